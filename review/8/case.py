"""UNASKED: items of a lot that was ended long ago run again after the stores' leader has changed twice."""

from __future__ import annotations

import asyncio
import os
import re
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common_2"))

import rig  # noqa: E402

STATUS_S = int(os.environ.get("STATUS_S", "15"))  # 15 in place of the sheet's 120: fits into the case's time
KEPT_S = 2 * STATUS_S + 5  # from the lots to the second restart
LOTS = 8
ITEMS = 24
WATCH_S = 12.0


async def leader(deployment: rig.Rig) -> rig.Program:
    """Returns the store that leads now: the one whose log names the highest term."""
    best, best_term = None, -1
    for store in deployment.stores:
        match = re.search(r"leadership acquired, term=(\d+)", store.last_line("leadership acquired"))
        if match and int(match[1]) > best_term:
            best, best_term = store, int(match[1])
    if best is None:
        raise rig.CaseError("no store leads")
    deployment.record.add("leader", best.name, f"term={best_term}")
    return best


async def end_lot(deployment: rig.Rig, lot_id: str) -> float:
    """Ends a lot, again until it is acknowledged; returns when it was."""
    for _ in range(30):
        answer = await rig.call(deployment.front(), "DELETE", f"/api/lots/{lot_id}", {"Host": "h.example"}, b"", 2.5)
        deployment.record.add("end", lot_id, answer.status, answer.why)
        if answer.status == 200:
            return time.monotonic()
        await asyncio.sleep(0.3)
    raise rig.CaseError("a lot's end was not acknowledged")


async def case(record: rig.Record) -> bool:
    """Plays the case; returns whether UNASKED was broken."""
    rig.BOUNDS["StatusS"] = STATUS_S
    deployment = rig.Rig(record, stores=3)
    try:
        routes = [
            rig.route("r", "/r/", "rollout", "llm", ResultDueMs=60000),
            rig.route("q", "/q/", "idempotent", "app"),
        ]
        await deployment.start(rig.configuration(1, routes, [rig.service("llm", ["m"]), rig.service("app")]))
        for i in (1, 2):
            await deployment.add_replica(rig.Replica(deployment, "llm", f"{deployment.net}.3.{i}", models={"m": 1}))
        await deployment.add_replica(rig.Replica(deployment, "app", f"{deployment.net}.3.9"))
        trainer = rig.Trainer(deployment)
        await asyncio.sleep(2)
        lots = {rig.new_id(): rig.make_lot("m", ITEMS, scorer="/q/") for _ in range(LOTS)}
        for lot_id, document in lots.items():
            if await trainer.submit(lot_id, document) != 202:
                raise rig.CaseError("a lot was not taken")
        began = time.monotonic()
        await asyncio.sleep(1.0)
        if rig.has_trouble():
            await (await leader(deployment)).restart()
        await asyncio.sleep(2.0)
        ended = {lot_id: await end_lot(deployment, lot_id) for lot_id in lots}
        await asyncio.sleep(max(0.0, began + KEPT_S - time.monotonic()))
        if rig.has_trouble():
            await (await leader(deployment)).restart()
        await asyncio.sleep(WATCH_S)
        lot_of = {row["InstanceId"]: lot_id for lot_id, document in lots.items() for row in document["Entries"]}
        late = [
            (lot_of[run[1]], run[1], round(run[0] - ended[lot_of[run[1]]], 1))
            for replica in deployment.replicas
            for run in replica.runs
            if run[1] in lot_of and run[0] - ended[lot_of[run[1]]] > rig.BOUNDS["CancelMs"] / 1000
        ]
        for row in late:
            record.add("LATE lot, item, seconds after its end was acknowledged:", *row)
        record.add("items that ran later than CancelMs after their lot's acknowledged end:", len(late))
        return bool(late)
    finally:
        await deployment.close()


if __name__ == "__main__":
    sys.exit(rig.play(Path(__file__).resolve().parent, case, KEPT_S + 75.0))
