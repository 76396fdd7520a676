"""UNASKED, TWICE: a lot that is sent once more, after its route moved to another service, is taken a second time."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common_2"))

import rig  # noqa: E402

ITEMS = 60
EVENTS = 20


def configuration(revision: int, moved: bool) -> dict:
    """The configuration before and after the lots' route is moved from service one to service two."""
    routes = [
        rig.route("r", "/r/", "rollout", "two" if moved else "one", ResultDueMs=20000),
        rig.route("o", "/o/", "rollout", "one", ResultDueMs=20000),
        rig.route("q", "/q/", "idempotent", "app"),
    ]
    services = [
        rig.service("one", ["n"] if moved else ["m", "n"]),
        rig.service("two", ["k", "m"] if moved else ["k"]),
        rig.service("app"),
    ]
    return rig.configuration(revision, routes, services)


async def items_at(trainer: rig.Trainer, lot_id: str, edge: str) -> list[str]:
    """Reads what is listed of the lot now at an edge; returns the items by position."""
    answer = await trainer.read(lot_id, 0, 0, edge)
    return [row["InstanceId"] for row in answer.document()["ResultList"]] if answer.status == 200 else []


async def end_lot(deployment: rig.Rig, lot_id: str) -> float:
    """Ends the lot, again until it is acknowledged; returns when it was."""
    for _ in range(20):
        answer = await rig.call(deployment.front(0), "DELETE", f"/api/lots/{lot_id}", {"Host": "h.example"}, b"", 2.5)
        deployment.record.add("end", lot_id, answer.status, answer.why)
        if answer.status == 200:
            return time.monotonic()
        await asyncio.sleep(0.3)
    raise rig.CaseError("the lot's end was not acknowledged")


async def case(record: rig.Record) -> bool:
    """Plays the case; returns whether UNASKED or TWICE was broken."""
    deployment = rig.Rig(record, stores=3, edges=2)
    try:
        await deployment.start(configuration(1, moved=False))
        for i, name, models in ((1, "one", {"m": 1, "n": 1}), (2, "two", {"k": 1, "m": 1})):
            replica = rig.Replica(deployment, name, f"{deployment.net}.3.{i}", models=models, events=EVENTS)
            await deployment.add_replica(replica)
        await deployment.add_replica(rig.Replica(deployment, "app", f"{deployment.net}.3.9"))
        trainer = rig.Trainer(deployment)
        await asyncio.sleep(2)
        edges = [deployment.front(0), deployment.front(1)]
        other_id, other = rig.new_id(), rig.make_lot("n", 4, path="/o/", scorer="/q/")
        if await trainer.submit(other_id, other, path="/o/") != 202:
            raise rig.CaseError("the lot of the other model was not taken")
        lot_id, document = rig.new_id(), rig.make_lot("m", ITEMS, scorer="/q/")
        items = {entry["InstanceId"] for entry in document["Entries"]}
        if await trainer.submit(lot_id, document, edge=edges[0]) != 202:
            raise rig.CaseError("the lot was not taken")
        if rig.has_trouble():
            await deployment.put_config(configuration(2, moved=True))
        await asyncio.sleep(rig.BOUNDS["ConvergeMs"] / 1000 + 0.5)
        await trainer.submit(lot_id, document, edge=edges[1])  # once more, seconds after its 202, at another node
        await asyncio.sleep(4.0)
        first, second = [await items_at(trainer, lot_id, edge) for edge in edges]
        differing = sum(a != b for a, b in zip(first, second, strict=False))
        record.add("edge-1", first)
        record.add("edge-2", second)
        record.add("TWICE: positions that differ between the edges:", differing)
        ended_at = await end_lot(deployment, lot_id)
        await asyncio.sleep(rig.BOUNDS["CancelMs"] / 1000 + 6.0)
        late = [
            (round(at - ended_at, 3), request_id)
            for replica in deployment.replicas
            for at, request_id, *_ in replica.runs
            if request_id in items and at - ended_at > rig.BOUNDS["CancelMs"] / 1000
        ]
        record.add("UNASKED: items that ran later than CancelMs after the end's acknowledgement:", len(late), late[:5])
        return bool(differing) or bool(late)
    finally:
        await deployment.close()


if __name__ == "__main__":
    sys.exit(rig.play(Path(__file__).resolve().parent, case))
