"""Case 1: replicas that crash and are back within three seconds are forgotten, all of them, for good."""

from __future__ import annotations

import asyncio
import base64
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from harness import HOST, LIMITS, Record, Replica, System, call_once, has_trouble, main, status_of

ENGINES = 6  # one of them is a share of 0.167; the pages' largest is 0.19
DOWN_S = 1.0  # the pages' longest is 4.8
PAUSE_S = 2.5  # from one crash to the next: never two at once
EVENT_S = 0.25
EVENTS = 8
ITEMS = 240
DUE_S = 45.0  # how long the trainer waits for the step
NOWHERE_S = 5.0  # of calm, by the rule
CONTACT_S = 3.0
LOT = "7c41e09b52d6a3f8"

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
        {
            "Name": "roll",
            "HostName": HOST,
            "PathPrefix": "/roll/",
            "RouteClass": "rollout",
            "TimeoutMs": 20000,
            "TargetLatencyMs": 400,
            "ResultDueMs": 30000,
            "MaxQueueS": 60,
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
            "Engine": {"SlotCount": 4, "KvCapacity": 123037, "ModelList": [{"Name": "m"}]},
        },
    ],
    "Limits": LIMITS,
}


def lot() -> dict:
    """Returns the trainer's lot: its step asks for all groups."""
    entries = [
        {
            "InstanceId": f"item-{n:03}",
            "Path": f"/roll/{n}",
            "GroupId": f"g{n // 8}",
            "TokenCount": 24,
            "HeaderMap": {
                "X-Archhatch-Model": "m",
                "X-Archhatch-Token-Count": "16,8",
                "X-Archhatch-Prompt-Prefix": f"{n // 8 + 1:x}:16",
            },
            "Payload": base64.b64encode(f"prompt {n}".encode()).decode(),
        }
        for n in range(ITEMS)
    ]
    return {"TrainStep": 0, "Model": "m", "MinRevision": 1, "DesiredCount": ITEMS // 8, "Entries": entries}


async def hand_in(system: System) -> None:
    """Hands the lot in, again after each answer but a 202."""
    headers = {"Host": HOST, "X-Archhatch-Request-Id": LOT, "Content-Type": "application/json"}
    body = json.dumps(lot()).encode()
    while status_of(await call_once(system.front(), "POST", "/roll/step", headers, body)) != 202:
        await asyncio.sleep(0.3)
    system.record.say(f"lot {LOT} with {ITEMS} items is accepted")


async def read_lot(system: System) -> int:
    """Returns how many results are listed."""
    listed = 0
    while True:
        target = f"/api/lots/{LOT}?StartAfter={listed}"
        answer = await call_once(system.front(), "GET", target, {"Host": HOST}, timeout_s=2.5)
        if status_of(answer) != 200 or answer is None or not answer.json()["ResultList"]:
            return listed
        listed = answer.json()["NextToken"]


async def crash_all_in_turn(replicas: list[Replica]) -> None:
    """Each replica crashes once and starts again at its address, as another life; never two at once."""
    for replica in replicas:
        await replica.crash()
        await asyncio.sleep(DOWN_S)
        await replica.start()
        await asyncio.sleep(PAUSE_S - DOWN_S)


async def play(record: Record) -> bool:
    """Returns whether the step ran out of time by the system's fault."""
    system = System(record)
    replicas = [
        Replica(system, "timber-llm", n, model="m", work_s=lambda _: EVENT_S, events=EVENTS)
        for n in range(1, ENGINES + 1)
    ]
    try:
        await system.start(CONFIGURATION)
        for replica in replicas:
            await replica.start()
        await asyncio.sleep(2.0)
        await hand_in(system)
        accepted_at = record.now()
        await asyncio.sleep(1.0)
        if has_trouble():
            await crash_all_in_turn(replicas)
        calm_from = record.now() + CONTACT_S
        listed = 0
        while listed < ITEMS and record.now() < accepted_at + DUE_S:
            await asyncio.sleep(0.5)
            listed = await read_lot(system)
        return judge(record, replicas, listed, calm_from)
    finally:
        for replica in replicas:
            await replica.stop()
        system.end()


def judge(record: Record, replicas: list[Replica], listed: int, calm_from: float) -> bool:
    """The rule: the step ran out of time, and an item that nobody had done was at no replica for 5 s of calm."""
    runs = [run for replica in replicas for run in replica.runs]
    begun = {run.request_id for run in runs}
    last_begun_at = max(run.began_at for run in runs)
    busy = sum(replica.active for replica in replicas)
    idle_s = record.now() - max(calm_from, last_begun_at)
    heard = [f"{replica.life} {record.now() - replica.heard_at:.1f} s ago" for replica in replicas]
    record.say(f"heartbeats last acknowledged: {', '.join(heard)}")
    record.say(f"results listed: {listed} of {ITEMS}; items that any replica began: {len(begun)}")
    record.say(f"slots in use now: {busy} of {sum(replica.slots for replica in replicas)}, all replicas are up")
    record.say(f"calm from {calm_from:.1f}; the last run began at {last_begun_at:.1f}, {idle_s:.1f} s of calm ago")
    return listed < ITEMS and 0 < len(begun) < ITEMS and idle_s > NOWHERE_S and busy == 0


main(str(Path(__file__).resolve().parent), play)
