"""Real processes on the log that control nodes of version 1aa5174 left.

tests/data/core.form1 is the log of core-1 of three: it took configuration 1, then, as that version did, configuration 2
whose TimeoutMs of the route /new-2/ is the text "2000", and ended on SIGTERM. It was written by that version's
processes, played by tests/soak/upgrades.py.
"""

import asyncio
import pathlib
from functools import partial

import orjson
from tests.soak.deployment import Record, Replica, call_once, status_of
from tests.soak.upgrades import CORES, ROOT, STORES, Operator, VersionedSystem, ask

from archhatch.runtime.build_info import build_info
from archhatch.wal import read_records
from archhatch.wal.records import frame_header

LOG = pathlib.Path(__file__).parent.parent / "data" / "core.form1"
NET = "127.54"  # of the addresses in the log
PORT = orjson.loads(read_records(LOG.read_bytes())[0][0])["founders"][f"f-{NET}.0.1"].rsplit(":", 1)[1]
READY_S = 30.0


class UpgradedSystem(VersionedSystem):
    """A system whose control nodes start on the log of an earlier version."""

    def settings_of(self, name, settings):
        """Writes a control node's log, as that node would have it, before it starts."""
        if name in CORES:
            records = [self._moved(raw, name) for raw in read_records(LOG.read_bytes())[0]]
            (pathlib.Path(settings["DataDir"]) / "core").write_bytes(
                b"".join(frame_header(raw) + raw for raw in records)
            )
        return settings

    def _moved(self, raw, name):
        """A record with the addresses of this system; the identity is that of the node."""
        port = str(self.internal_port).encode()
        moved = raw.replace(f":{PORT}".encode(), b":" + port).replace(f"{NET}.0.".encode(), f"{self.net}.0.".encode())
        record = orjson.loads(moved)
        if "id" in record:
            record["id"] = f"f-{self.net}.0.{name[-1]}"
        return orjson.dumps(record)

    async def start_all(self):
        """Starts all processes and waits until the edge is ready."""
        self.use(ROOT)
        for number, name in enumerate(CORES, 1):
            binding = {"ControlPlane": f"{self.net}.0.{number}:{self.control_port}"}
            self._add(name, "control-plane", "core", f"{self.net}.0.{number}", binding)
        for number, name in enumerate(STORES, 1):
            self._add(name, "store", "storage", f"{self.net}.1.{number}", {})
        self.add_edge(1)
        await self._until("edge-1 ready", partial(call_once, self.readiness(1), "GET", "/api/readiness"), READY_S)


def test_what_an_earlier_version_acknowledged_is_served_after_the_upgrade():
    """Guards against an upgrade after which edges have no configuration that they can read, and answer 503."""

    async def go():
        system = UpgradedSystem(Record(pathlib.Path("/dev/null")))
        replica = Replica(system, "quote-app", 1, slots=6)
        try:
            await system.start_all()
            await replica.start()
            await system._until("a replica is known", lambda: call(system, "/quote/1"), READY_S)
            assert await ask(system, 1, "/new-2/1") == 200  # the text was taken for a number
            readiness = await call_once(system.readiness(1), "GET", "/api/readiness")
            code = {"Version": build_info().version, "Sources": build_info().sources}  # what was built is what runs
            condition = readiness.json()
            held = condition.pop("HeldBytes")
            assert set(held) == {"connections", "large_bodies", "small_bodies"}
            assert held["large_bodies"] == held["small_bodies"] == 0  # nothing is on its way
            assert condition == {"OperState": "ready", "Revision": 2, "AtBound": [], **code}
            operator = Operator(system, ROOT, revision=2)
            assert await operator.send(1, timeout_ms="2000") == 400  # what arrives today is read strictly
            await operator.send_until_taken()
            await system._until("the next configuration", lambda: call(system, "/new-3/1"), READY_S)
            logs = [system.log_path(name).read_text() for name in system.nodes]
            assert not any("Traceback" in log or "cannot be read" in log for log in logs)
        finally:
            await replica.stop()
            system.end()

    asyncio.run(go())


async def call(system, path):
    """Sends a request to the edge; returns its answer."""
    headers = {"Host": "ficu95.example", "X-Archhatch-Request-Id": path, "X-Archhatch-Deadline-Ms": "2000"}
    answer = await call_once(system.front(1), "POST", path, headers, b"{}")
    assert status_of(answer) in (0, 200, 404, 503)
    return answer
