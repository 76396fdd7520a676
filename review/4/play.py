"""Case 4: a configuration moves a rollout route to another service, and items of accepted lots never run again."""

from __future__ import annotations

import asyncio
import base64
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from harness import BOUNDS, HOST, LIMITS, Record, Replica, System, call_once, has_trouble, main, status_of

CONVERGE_S = BOUNDS["ConvergeMs"] / 1000
OLD, NEW = "llm-blue", "llm-green"
EVENT_S = 0.25
ITEMS = 64
DUE_S = 32.0  # how long the trainer waits for the step
NOWHERE_S = 5.0  # of calm, by the rule
LOT, LATER_LOT = "7c41e09b52d6a3f8", "8d52f1ac63e7b409"


def engine(name: str, models: list[str]) -> dict:
    """Returns a service of model replicas."""
    return {
        "Name": name,
        "HealthPath": "/health",
        "MaxConnections": 160,
        "Protocol": "h1",
        "TlsMode": False,
        "Engine": {"SlotCount": 4, "KvCapacity": 123037, "ModelList": [{"Name": model} for model in models]},
    }


def configuration(revision: int, service: str, timeout_ms: int = 20000) -> dict:
    """Returns a version in which one of the two services has the model, and the route leads there."""
    route = {
        "Name": "roll",
        "HostName": HOST,
        "PathPrefix": "/roll/",
        "RouteClass": "rollout",
        "TimeoutMs": timeout_ms,
        "TargetLatencyMs": 400,
        "ResultDueMs": 30000,
        "MaxQueueS": 60,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 3,
        "Resumable": True,
    }
    services = [engine(name, ["m"] if name == service else []) for name in (OLD, NEW)]
    return {"Revision": revision, "RouteTable": [route], "ServiceTable": services, "Limits": LIMITS}


def lot(name: str) -> dict:
    """Returns a trainer's lot: its step asks for all groups."""
    entries = [
        {
            "InstanceId": f"{name}-{n:03}",
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


async def hand_in(system: System, lot_id: str, name: str) -> None:
    """Hands a lot in, again after each answer but a 202."""
    headers = {"Host": HOST, "X-Archhatch-Request-Id": lot_id, "Content-Type": "application/json"}
    body = json.dumps(lot(name)).encode()
    while status_of(await call_once(system.front(), "POST", "/roll/step", headers, body)) != 202:
        await asyncio.sleep(0.3)
    system.record.say(f"lot {lot_id} with {ITEMS} items is accepted")


async def read_lot(system: System, lot_id: str) -> int:
    """Returns how many results are listed."""
    listed = 0
    while True:
        target = f"/api/lots/{lot_id}?StartAfter={listed}"
        answer = await call_once(system.front(), "GET", target, {"Host": HOST}, timeout_s=2.5)
        if answer is None or answer.status != 200 or not answer.json()["ResultList"]:
            return listed
        listed = answer.json()["NextToken"]


async def play(record: Record) -> bool:
    """Returns whether the first lot's step ran out of time by the system's fault."""
    system = System(record)
    replicas = [
        Replica(system, service, number, model="m", work_s=lambda _: EVENT_S)
        for number, service in enumerate([OLD, OLD, NEW, NEW], 1)
    ]
    try:
        await system.start(configuration(1, OLD))
        for replica in replicas:
            await replica.start()
        await asyncio.sleep(2.0)
        await hand_in(system, LOT, "one")
        accepted_at = record.now()
        await asyncio.sleep(3.0)
        changed = configuration(2, NEW) if has_trouble() else configuration(2, OLD, timeout_ms=25000)
        status = status_of(await system.change_configuration(changed, 1))
        calm_from = record.now() + CONVERGE_S
        record.say(f"PUT /api/config, the route leads to {changed['RouteTable'][0]['Service']} -> {status}")
        listed = 0
        while listed < ITEMS and record.now() < accepted_at + DUE_S:
            await asyncio.sleep(0.5)
            listed = await read_lot(system, LOT)
        is_broken = judge(record, replicas, listed, calm_from)
        await watch_later_lot(system)
        return is_broken
    finally:
        for replica in replicas:
            await replica.stop()
        system.end()


async def watch_later_lot(system: System) -> None:
    """Looks whether a lot that is handed in now is run, to show that the new service is well; it is not judged."""
    await hand_in(system, LATER_LOT, "two")
    await asyncio.sleep(6.0)
    system.record.say(f"results of the later lot after 6 s: {await read_lot(system, LATER_LOT)}")


def judge(record: Record, replicas: list[Replica], listed: int, calm_from: float) -> bool:
    """The rule: the step ran out of time, and an item that nobody had done was at no replica for 5 s of calm."""
    runs = [run for replica in replicas for run in replica.runs]
    begun = {run.request_id for run in runs}
    last_begun_at = max(run.began_at for run in runs)
    busy = sum(replica.active for replica in replicas)
    idle_s = record.now() - max(calm_from, last_begun_at)
    record.say(f"results listed: {listed} of {ITEMS}; items that any replica began: {len(begun)}")
    record.say(f"slots in use now: {busy} of {sum(replica.slots for replica in replicas)}")
    record.say(f"calm from {calm_from:.1f}; the last run began at {last_begun_at:.1f}, {idle_s:.1f} s of calm ago")
    return listed < ITEMS and 0 < len(begun) < ITEMS and idle_s > NOWHERE_S and busy == 0


main(str(Path(__file__).resolve().parent), play)
