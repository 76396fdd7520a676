"""Case 5: a configuration whose TimeoutMs is text is acknowledged, and no edge can put it in force."""

from __future__ import annotations

import asyncio
import copy
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from harness import BOUNDS, HOST, LIMITS, Record, Replica, System, call_once, has_trouble, main, status_of

CONVERGE_S = BOUNDS["ConvergeMs"] / 1000
CALM_S = 4.0  # longer than ContactMs: the edge is in touch

CONFIGURATION = {
    "Revision": 1,
    "RouteTable": [
        {
            "Name": "quote",
            "HostName": HOST,
            "PathPrefix": "/quote/",
            "RouteClass": "idempotent",
            "TimeoutMs": 1500,
            "TargetLatencyMs": 192,
            "Priority": 2,
            "Service": "quote-app",
            "MaxAttempts": 2,
        },
    ],
    "ServiceTable": [
        {"Name": "quote-app", "HealthPath": "/health", "MaxConnections": 110, "Protocol": "h1", "TlsMode": False},
    ],
    "Limits": LIMITS,
}


def second_configuration() -> dict:
    """Returns the next version: it adds a route, whose TimeoutMs is text in place of a number if there is trouble."""
    configuration = copy.deepcopy(CONFIGURATION)
    timeout_ms = "2000" if has_trouble() else 2000
    added = {"Name": "stock", "PathPrefix": "/stock/", "TimeoutMs": timeout_ms}
    configuration["Revision"] = 2
    configuration["RouteTable"].append({**configuration["RouteTable"][0], **added})
    return configuration


async def ask(system: System, path: str, request_id: str, edge: int = 1) -> int:
    """Sends a request; returns the status of its answer."""
    headers = {"Host": HOST, "X-Archhatch-Request-Id": request_id, "X-Archhatch-Deadline-Ms": "1500"}
    status = status_of(await call_once(system.front(edge), "POST", path, headers, b"{}"))
    system.record.say(f"{request_id}: POST {path} at edge-{edge} -> {status}")
    return status


async def play(record: Record) -> bool:
    """Returns whether the configuration was acknowledged, and requests were handled as only the older one allows."""
    system = System(record)
    replica = Replica(system, "quote-app", 1, slots=6)
    try:
        await system.start(CONFIGURATION)
        await replica.start()
        await asyncio.sleep(CALM_S)
        await ask(system, "/quote/1", "before-1")
        acknowledged = status_of(await system.change_configuration(second_configuration(), 1))
        record.say(f"PUT /api/config, Revision 2 on 1 -> {acknowledged}")
        await asyncio.sleep(CONVERGE_S + 1.0)
        statuses = [await ask(system, f"/stock/{n}", f"after-{n}") for n in range(8)]
        await ask(system, "/quote/2", "after-old-route")
        await watch_added_edge(system)
        return judge(record, acknowledged, statuses)
    finally:
        await replica.stop()
        system.end()


async def watch_added_edge(system: System) -> None:
    """Looks what becomes of an edge that is added now; it is not judged."""
    system.add_edge(2)
    await asyncio.sleep(CALM_S)
    readiness = status_of(await call_once(system.readiness(2), "GET", "/api/readiness"))
    system.record.say(f"edge-2, added {CALM_S:.0f} s ago: readiness -> {readiness}")
    await ask(system, "/quote/3", "at-added-edge", edge=2)


def judge(record: Record, acknowledged: int, statuses: list[int]) -> bool:
    """The rule, both ways.

    If the configuration is invalid, it must not be acknowledged; if it is valid, machines in touch must handle requests
    by it that are sent later than ConvergeMs after its acknowledgement.
    """
    if acknowledged != 200:
        record.say("it was refused")
        return False
    refused = statuses.count(404)
    record.say(f"it was acknowledged; 404 on its route, later than ConvergeMs after that: {refused} of {len(statuses)}")
    return refused > 0


main(str(Path(__file__).resolve().parent), play)
