"""Peak memory of stores that lead and take over many large open batch jobs: real processes on loopback.

    PYTHONPATH=target/deps python3 -m benchmarks.takeover_memory --jobs 60 --items 3000

Hands in jobs of about 4 MB, kills the store that leads, and waits until every accepted job can be read again. No
replica runs, so that all jobs stay open. Prints what was accepted and each store's peak of resident memory.
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import json
import random
import signal
import tempfile
from pathlib import Path

from tests.soak.deployment import BLUE, HOST, Record, System, call_once, configuration, status_of

MEMORY_MB = 330
DISK_MB = 1200
PAYLOAD_BYTES = 600
CALL_S = 30.0
READ_PAUSE_S = 0.2
TAKEOVER_LIMIT_S = 120.0


class LargeSystem(System):
    """Stores with the limits that the measurement is about."""

    def settings_of(self, name: str, settings: dict) -> dict:
        settings["Limits"] |= {"MemoryMb": MEMORY_MB, "DiskMb": DISK_MB if settings["DataDir"] else 0}
        return settings


def job_body(number: int, items: int) -> bytes:
    """Returns a job of so many items; 3,000 items make about 4 MB."""
    chance = random.Random(number)
    entries = []
    for index in range(items):
        item_id = f"{number:08x}{index:08x}"
        scorer = {"InstanceId": f"c{item_id}", "HostName": HOST, "Path": "/score/1", "Payload": "3q2+7w=="}
        entries.append(
            {
                "InstanceId": item_id,
                "Path": f"/roll/{index}",
                "HeaderMap": {"X-Archhatch-Model": "m", "X-Archhatch-Token-Count": "540,400"},
                "Payload": base64.b64encode(chance.randbytes(PAYLOAD_BYTES)).decode(),
                "TokenCount": 940,
                "GroupId": f"g{index // 8}",
                "ScorerUrl": {**scorer, "Payload": base64.b64encode(chance.randbytes(100)).decode()},
            }
        )
    document = {"TrainStep": number, "Model": "m", "MinRevision": 1, "DesiredCount": 1, "Entries": entries}
    return json.dumps(document, separators=(",", ":")).encode()


def peak_mb(system: System, name: str) -> float:
    """Returns the peak of a process's resident memory; 0 if it has ended."""
    status = Path(f"/proc/{system.nodes[name].process.pid}/status")
    try:
        rows = dict(row.split(":", 1) for row in status.read_text().splitlines())
    except OSError:
        return 0.0
    return int(rows.get("VmHWM", "0 kB").split()[0]) / 1000


def leader_of(system: System) -> str:
    """Returns the store whose log says that it leads the run."""
    logs = {name: (system.folder / f"{name}.log").read_text() for name in system.nodes if name.startswith("store")}
    line = f"run {BLUE}: leadership acquired"
    return max((name for name in logs if line in logs[name]), key=lambda name: logs[name].rfind(line))


async def hand_in(system: System, number: int, body: bytes) -> bool:
    """Returns whether a job was accepted; a refusal for want of room counts as an answer."""
    headers = {"Host": HOST, "X-Archhatch-Request-Id": f"job-{number}", "X-Archhatch-Deadline-Ms": "20000"}
    while True:
        answer = await call_once(system.front(), "POST", "/roll/x", headers, body, CALL_S)
        status = status_of(answer)
        if status == 202:
            return True
        if answer is not None and json.loads(answer.body or b"{}").get("Error") != 3004:
            system.record.say(f"job-{number}: {status} {answer.body[:120]!r}")
            return False
        await asyncio.sleep(READ_PAUSE_S)


async def is_readable(system: System, number: int) -> bool:
    """Returns whether a job's results can be read."""
    answer = await call_once(system.front(), "GET", f"/api/lots/job-{number}?StartAfter=0", {"Host": HOST})
    return status_of(answer) == 200


async def measure(jobs: int, items: int) -> None:
    """Plays the measurement once."""
    system = LargeSystem(Record(Path(tempfile.mkdtemp()) / "record.txt"))
    stores = ("store-1", "store-2", "store-3")
    try:
        await system.start(configuration(1, BLUE))
        accepted = [n for n in range(jobs) if await hand_in(system, n, job_body(n, items))]
        leader = leader_of(system)
        before = {name: round(peak_mb(system, name)) for name in stores}
        print(
            f"accepted {len(accepted)} of {jobs} jobs of {len(job_body(0, items)):,} bytes; leader {leader}; {before}"
        )
        system.signal(leader, signal.SIGKILL)
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        for number in accepted:
            while not await is_readable(system, number):
                if loop.time() - began_at > TAKEOVER_LIMIT_S:
                    raise TimeoutError(f"job-{number} is not readable again")
                await asyncio.sleep(READ_PAUSE_S)
        after = {name: round(peak_mb(system, name)) for name in stores if name != leader}
        print(f"all readable {loop.time() - began_at:.1f} s after the kill; peaks {after} of {MEMORY_MB} MB")
    finally:
        system.end()


def main() -> None:
    """Reads the command line and measures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--jobs", type=int, default=60)
    parser.add_argument("--items", type=int, default=3000)
    options = parser.parse_args()
    asyncio.run(measure(options.jobs, options.items))


if __name__ == "__main__":
    main()
