"""Case 3: a lot's end does not reach a store whose connections were reset meanwhile; it goes on with reward calls."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from harness import (
    BOUNDS,
    HOST,
    LIMITS,
    CouldNotRunError,
    Record,
    Replica,
    System,
    call_once,
    has_trouble,
    main,
    status_of,
)

CANCEL_S = BOUNDS["CancelMs"] / 1000
CONTACT_S = BOUNDS["ContactMs"] / 1000
CUT_S = 0.4  # the pages' longest cut of a store is 5.2 s
END_AFTER_S = 0.1  # from the beginning of the cut on
ENGINES, SLOTS = 8, 4
EVENTS, EVENT_S = 16, 0.4  # an item streams for 6.4 s
LOTS = ("7c41e09b52d6a3f8", "8d52f1ac63e7b409", "9e6302bd74f8c51a")  # one after the other, until the rule is broken
STORES = (1, 2, 3)
PORTS_A_STORE = 16

CONFIGURATION = {
    "Revision": 1,
    "RouteTable": [
        {
            "Name": "score",
            "HostName": HOST,
            "PathPrefix": "/score/",
            "RouteClass": "idempotent",
            "TimeoutMs": 2000,
            "TargetLatencyMs": 533,
            "Priority": 2,
            "Service": "quote-app",
            "MaxAttempts": 4,
        },
        {
            "Name": "roll",
            "HostName": HOST,
            "PathPrefix": "/roll/",
            "RouteClass": "rollout",
            "TimeoutMs": 20000,
            "TargetLatencyMs": 400,
            "ResultDueMs": 11000,
            "MaxQueueS": 40,
            "Priority": 1,
            "Service": "timber-llm",
            "MaxAttempts": 3,
            "Resumable": True,
        },
    ],
    "ServiceTable": [
        {"Name": "quote-app", "HealthPath": "/health", "MaxConnections": 110, "Protocol": "h1", "TlsMode": False},
        {
            "Name": "timber-llm",
            "HealthPath": "/health",
            "MaxConnections": 160,
            "Protocol": "h1",
            "TlsMode": False,
            "Engine": {"SlotCount": SLOTS, "KvCapacity": 123037, "ModelList": [{"Name": "m"}]},
        },
    ],
    "Limits": LIMITS,
}


class Link:
    """A proxy between a caller and a store: it passes bytes on, or resets its connections and refuses new ones."""

    def __init__(self, listen: tuple[str, int], target: tuple[str, int]) -> None:
        self.listen, self.target = listen, target
        self.is_cut = False
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listens."""
        self._server = await asyncio.start_server(self._pass_on, *self.listen)

    def cut(self) -> None:
        """Resets all connections."""
        self.is_cut = True
        for writer in list(self._writers):
            writer.transport.abort()

    async def _pass_on(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.is_cut:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        try:
            ways = (_copy(reader, far_writer), _copy(far_reader, writer))
            await asyncio.wait([asyncio.ensure_future(way) for way in ways], return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            pass  # the script ends
        finally:
            self._writers -= {writer, far_writer}
            writer.transport.abort()
            far_writer.transport.abort()

    def close(self) -> None:
        """Ends it."""
        if self._server is not None:
            self._server.close()
        self.cut()


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(1 << 16):
            writer.write(data)
            await writer.drain()


class LinkedSystem(System):
    """A system whose stores call each other through proxies.

    A node finds another store at that one's IP address and its own InternalPorts. Each store has internal ports of its
    own here, so that what stands at "that address, those ports" for each caller is a proxy that knows the caller.
    """

    def store_port(self, store: int) -> int:
        """Returns the first internal port of a store."""
        return self.internal_port + PORTS_A_STORE * store

    def ports_needed(self) -> int:
        """Returns how many internal ports are used from the first on."""
        return PORTS_A_STORE * (len(STORES) + 1)

    def settings_of(self, name: str, settings: dict) -> dict:
        """Gives each store its own internal ports."""
        if name.startswith("store-"):
            first = self.store_port(int(name.removeprefix("store-")))
            settings["InternalPorts"] = [first, first + PORTS_A_STORE - 1]
        return settings

    async def open_links(self) -> None:
        """Opens the proxies: to stores from edges and from each other store, and from stores to control nodes."""
        self.links: dict[tuple[str, str], Link] = {}
        for store in STORES:
            ip, own = f"{self.net}.1.{store}", self.store_port(store)
            self.links["edges", f"store-{store}"] = Link((ip, self.internal_port + 1), (ip, own + 1))
            for caller in STORES:
                if caller != store:
                    link = Link((ip, self.store_port(caller) + 1), (ip, own + 1))
                    self.links[f"store-{caller}", f"store-{store}"] = link
            for control in (1, 2, 3):
                control_ip = f"{self.net}.0.{control}"
                link = Link((control_ip, own), (control_ip, self.internal_port))
                self.links[f"store-{store}", f"core-{control}"] = link
        for link in self.links.values():
            await link.open()

    def links_between_stores(self, store: str) -> list[Link]:
        """Returns the links of one store with the other stores, in both directions."""
        return [
            link for ends, link in self.links.items() if store in ends and all(end.startswith("store-") for end in ends)
        ]

    def leader(self) -> str:
        """Returns the store that leads the run, by the stores' logs."""
        for store in STORES:
            log = (self.folder / f"store-{store}.log").read_text()
            if "run timber-llm: leadership acquired" in log:
                return f"store-{store}"
        raise CouldNotRunError("nobody leads the run")


def lot(lot_id: str) -> dict:
    """Returns a trainer's lot: one item for each slot, each with a reward call."""
    name = lot_id[:4]
    entries = [
        {
            "InstanceId": f"item-{name}-{n:03}",
            "Path": f"/roll/{n}",
            "GroupId": f"g{n // 4}",
            "TokenCount": 32,
            "HeaderMap": {
                "X-Archhatch-Model": "m",
                "X-Archhatch-Token-Count": "16,16",
                "X-Archhatch-Prompt-Prefix": f"{n // 4 + 1:x}:16",
            },
            "Payload": base64.b64encode(f"prompt {n}".encode()).decode(),
            "ScorerUrl": {
                "InstanceId": f"reward-{name}-{n:03}",
                "HostName": HOST,
                "Path": f"/score/{n}",
                "Payload": "3q2+7w==",
            },
        }
        for n in range(ENGINES * SLOTS)
    ]
    return {"TrainStep": 0, "Model": "m", "MinRevision": 1, "DesiredCount": 1, "Entries": entries}


async def hand_in(system: System, lot_id: str) -> None:
    """Hands a lot in, again after each answer but a 202."""
    headers = {"Host": HOST, "X-Archhatch-Request-Id": lot_id, "Content-Type": "application/json"}
    body = json.dumps(lot(lot_id)).encode()
    while status_of(await call_once(system.front(), "POST", "/roll/step", headers, body)) != 202:
        await asyncio.sleep(0.3)
    system.record.say(f"lot {lot_id} is accepted")


async def end_lot(system: System, lot_id: str) -> float:
    """Ends a lot as its trainer does; returns when that was acknowledged."""
    while status_of(await call_once(system.front(), "DELETE", f"/api/lots/{lot_id}", {"Host": HOST})) != 200:
        await asyncio.sleep(0.2)
    system.record.say("the lot's end is acknowledged")
    return system.record.now()


async def cut(system: LinkedSystem, store: str) -> float:
    """Cuts a store off from the other stores for a moment; returns when it was joined again."""
    links = system.links_between_stores(store)
    for link in links:
        link.cut()
    system.record.say(f"{store} is cut off from the other stores: connections are reset")
    await asyncio.sleep(CUT_S)
    for link in links:
        link.is_cut = False
    system.record.say(f"{store} is joined again")
    return system.record.now()


async def play(record: Record) -> bool:
    """Returns whether a reward call of the ended lot ran later than CancelMs after its end."""
    system = LinkedSystem(record)
    engines = [
        Replica(system, "timber-llm", n, slots=SLOTS, model="m", work_s=lambda _: EVENT_S, events=EVENTS)
        for n in range(1, ENGINES + 1)
    ]
    scorers = [Replica(system, "quote-app", n, slots=6) for n in (21, 22)]
    try:
        await system.open_links()
        await system.start(CONFIGURATION)
        for replica in engines + scorers:
            await replica.start()
        await asyncio.sleep(CONTACT_S + 1.0)
        for lot_id in LOTS:
            if await play_step(system, engines, scorers, lot_id):
                return True
        return False
    finally:
        for replica in engines + scorers:
            await replica.stop()
        for link in system.links.values():
            link.close()
        system.end()


async def play_step(system: LinkedSystem, engines: list[Replica], scorers: list[Replica], lot_id: str) -> bool:
    """Plays one lot, which ends while all its items run; returns whether the rule was broken."""
    record = system.record
    await hand_in(system, lot_id)
    await asyncio.sleep(1.8)
    leader = system.leader()
    record.say(f"{leader} leads the run; items under way: {sum(engine.active for engine in engines)}")
    joined_at = record.now()
    if has_trouble():
        other = next(f"store-{store}" for store in STORES if f"store-{store}" != leader)
        cutting = asyncio.ensure_future(cut(system, other))
        await asyncio.sleep(END_AFTER_S)
        ended_at = await end_lot(system, lot_id)
        joined_at = await cutting
    else:
        ended_at = await end_lot(system, lot_id)
    await asyncio.sleep(EVENTS * EVENT_S + 4.0)
    return judge(record, scorers, lot_id, ended_at, joined_at)


def judge(record: Record, scorers: list[Replica], lot_id: str, ended_at: float, joined_at: float) -> bool:
    """The rule: a reward call ran that came later than CancelMs after the end, from a machine that was in touch."""
    runs = [run for scorer in scorers for run in scorer.runs if run.request_id.startswith(f"reward-{lot_id[:4]}")]
    late = [run for run in runs if run.began_at > ended_at + CANCEL_S and run.began_at > joined_at + CONTACT_S]
    record.say(f"reward calls of {lot_id} that ran in all: {len(runs)}; later than CancelMs after its end: {len(late)}")
    for run in late:
        record.add(f"{run.request_id} ran {run.began_at - ended_at:.2f} s after the acknowledged end of its lot")
    return bool(late)


main(str(Path(__file__).resolve().parent), play)
