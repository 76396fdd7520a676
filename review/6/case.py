"""MIXED: after two changes of the stores' leader, an item's text begins with that of an item of another lot."""

from __future__ import annotations

import asyncio
import re
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common_2"))

import rig  # noqa: E402

EVENTS = 20
READ_S = 25.0  # what is not listed by then is not judged
LOT_ITEMS = 48
ROUNDS = 6
LIVE_CLIENTS = 6
LEAD_S = 3.5  # between a lot and the burst: until then items have all slots again
BURST_S = 1.3  # from a burst's start to the restart, and from its end to the burst's end


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


async def live(deployment: rig.Rig, end: asyncio.Event) -> None:
    """A client of the streaming route: one stream after the other."""
    while not end.is_set():
        request_id = rig.new_id()
        heads = {
            "Host": "h.example",
            "X-Archhatch-Request-Id": request_id,
            "X-Archhatch-Deadline-Ms": "5000",
            "X-Archhatch-Model": "m",
            "X-Archhatch-Token-Count": "540,400",
            "X-Archhatch-Prompt-Prefix": f"{request_id[:6]}:300",
        }
        answer = await rig.call(deployment.front(), "POST", f"/s/{request_id}", heads, b"x", 6.0)
        deployment.record.add("live", request_id, answer.status, answer.why)
        await asyncio.sleep(0.05)


def wrong_texts(deployment: rig.Rig, lot_id: str, results: list[dict]) -> int:
    """Counts results whose text is not the whole output of their item."""
    count = 0
    for row in results:
        whole = "\n".join(rig.event_text(row["InstanceId"], number) for number in range(1, EVENTS + 1))
        if row["OperState"] == "complete" and row["Text"] != whole:
            count += 1
            deployment.record.add("WRONG", lot_id, row["InstanceId"], row["Text"].replace("\n", " "))
    return count


async def play_round(deployment: rig.Rig, trainer: rig.Trainer, lots: dict[str, dict]) -> None:
    """One more lot, a burst of live requests and, while these take slots back, the restart of the leading store."""
    # a later lot's id sorts before the earlier ones', as that of two random ids does half of the time
    lot_id, document = f"{15 - len(lots):x}{rig.new_id()[1:]}", rig.make_lot("m", LOT_ITEMS, scorer="/q/")
    lots[lot_id] = document
    if await trainer.submit(lot_id, document) != 202:
        raise rig.CaseError("a lot was not taken")
    await asyncio.sleep(LEAD_S)
    end = asyncio.Event()
    clients = [asyncio.ensure_future(live(deployment, end)) for _ in range(LIVE_CLIENTS)]
    try:
        await asyncio.sleep(BURST_S)
        if rig.has_trouble():
            await (await leader(deployment)).restart()
        await asyncio.sleep(BURST_S)
    finally:
        end.set()
        await asyncio.wait(clients)


async def count_wrong(deployment: rig.Rig, trainer: rig.Trainer, lots: dict[str, dict], wait_s: float) -> int:
    """Reads all lots, waiting so long for what is not listed yet; returns how many texts are wrong."""
    wrong, deadline = 0, time.monotonic() + wait_s
    for lot_id, document in lots.items():
        left_s = max(0.05, deadline - time.monotonic())  # at least once
        results = await trainer.read_all(lot_id, len(document["Entries"]), left_s)
        deployment.record.add("lot", lot_id, "listed", len(results))
        wrong += wrong_texts(deployment, lot_id, results)
    return wrong


async def case(record: rig.Record) -> bool:
    """Plays the case; returns whether MIXED was broken."""
    deployment = rig.Rig(record, stores=3)
    try:
        routes = [
            rig.route("r", "/r/", "rollout", "llm", ResultDueMs=20000),
            rig.route("s", "/s/", "streaming", "llm"),
            rig.route("q", "/q/", "idempotent", "app"),
        ]
        await deployment.start(rig.configuration(1, routes, [rig.service("llm", ["m"]), rig.service("app")]))
        for i in range(1, 4):
            ip = f"{deployment.net}.3.{i}"
            await deployment.add_replica(rig.Replica(deployment, "llm", ip, models={"m": 1}, events=EVENTS, gap_s=0.15))
        await deployment.add_replica(rig.Replica(deployment, "app", f"{deployment.net}.3.9"))
        trainer = rig.Trainer(deployment)
        await asyncio.sleep(2)
        lots: dict[str, dict] = {}
        wrong = 0
        for _ in range(ROUNDS):
            await play_round(deployment, trainer, lots)
            wrong = await count_wrong(deployment, trainer, lots, 0.0)
            if wrong:
                break
        wrong = wrong or await count_wrong(deployment, trainer, lots, READ_S)
        record.add("MIXED: complete results whose text is not their item's whole output:", wrong)
        return wrong > 0
    finally:
        await deployment.close()


if __name__ == "__main__":
    sys.exit(rig.play(Path(__file__).resolve().parent, case))
