"""How a new leadership term begins: it reads what so many stores hold of the run that no acknowledged record can be
missed, and has what too few of them hold written anew."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from ..jobs import DeposedError, BatchJob, Record, read_job

ABREAST = 8  # lots that are adopted side by side
ORDER = 1 / 6  # of LeaseMs: how long after its note an order may be sent


@dataclass
class Copies:
    """The records of one lot that were found, here or at other stores."""

    batch_job: Record | None
    end: Record | None
    results: dict[int, Record] = field(default_factory=dict)  # position -> the record of the chosen term


class Takeover:
    """The reading part of one term; what it finds is put into the reign.

    >>> # takeover = Takeover(leadership); while not await takeover.gather(): ...; await takeover.take_up_ended()
    """

    def __init__(self, leadership):
        self.leadership, self.store = leadership, leadership.store
        self._addrs: dict[str, str] = {}  # the stores that were asked
        self._heard: set = set()  # the stores that have answered

    # -- reading

    async def gather(self) -> bool:
        """Ask all stores for the run, and take up its open lots; False if it is to be tried again."""
        store, leadership = self.store, self.leadership
        # from here on no older holder's word ends the membership of a store that this gather counts on
        code, doc = await store.config_watcher.run_command(
            "plan", "run.begin", {"run": leadership.run, "term": leadership.term}
        )
        if code == 2018:
            raise DeposedError(leadership.run)
        if code != 1000 or store.id not in doc["stores"]:
            return False
        self._addrs = {sid: store.addr_of(member) for sid, member in doc["stores"].items()}
        told = await self._ask_all(doc["stores"])
        if told is None:
            return False
        self.heed_orders(list(told.values()))
        leadership.window_records = [row for out in told.values() for row in out["windows"]]
        seen: dict[str, dict] = {}
        for sid, out in told.items():
            for job_id, said in out["lots"].items():
                seen.setdefault(job_id, {})[sid] = said
        leadership.pending_jobs = {
            job_id: said for job_id, said in seen.items() if any(x["end"] for x in said.values())
        }
        return await self._adopt_all(
            {job_id: said for job_id, said in seen.items() if job_id not in leadership.pending_jobs}
        )

    async def _ask_all(self, members: dict) -> dict | None:
        """What the stores tell, this one among them; None if too few answered. DeposedError if one knows more."""
        store, leadership = self.store, self.leadership
        told: dict[str, dict] = {}
        promise = {"run": leadership.run, "term": leadership.term}
        tasks = {
            asyncio.ensure_future(store.ask_store(sid, address, "shelf.prepare", promise)): sid
            for sid, address in self._addrs.items()
        }
        wait = set(tasks)
        try:
            while wait:
                sure = store.id in told and store.quorum.has_heard_enough(told, members)
                # once it is sure, the others are given a moment: copies that they have need not be made anew
                done, wait = await asyncio.wait(
                    wait, timeout=store.heartbeat_interval_s if sure else None, return_when=asyncio.FIRST_COMPLETED
                )
                if not done:
                    break
                for task in done:
                    out = task.result()
                    if out is None:
                        continue
                    if not out["ok"]:
                        raise DeposedError(leadership.run)
                    told[tasks[task]] = out
                    self._note_heard(tasks[task])
        finally:
            for task in wait:
                task.cancel()
        return told if store.id in told and store.quorum.has_heard_enough(told, members) else None

    def _note_heard(self, sid: str) -> None:
        if sid not in self._heard:
            self._heard.add(sid)
            self.leadership.progress()

    def heed_orders(self, told: list) -> None:
        """An earlier holder meant to order from these replicas: wait out its right to, and then the lease.

        How long ago that was, a store knows since its start. Records of the same term that bear a later time of that
        holder's clock prove more, also after a loss of power by all.
        """
        now, wait = self.store.clock.now(), self.store.settings.seconds("LeaseMs", 1 + ORDER)
        tick = max((tuple(out["tick"]) for out in told if out["tick"]), default=(0, 0.0))
        may_order_from = self.leadership.may_order_from
        for out in told:
            for iid, age in out["orders"].items():
                term, t = out["noted"].get(iid, (tick[0], tick[1]))
                if term < tick[0]:
                    age = max(age, tick[1])
                elif term == tick[0]:
                    age = max(age, tick[1] - t)
                at = now - age + wait
                may_order_from[iid] = max(at, may_order_from.get(iid, at))

    # -- taking up lots

    async def take_up_ended(self) -> None:
        """Ended lots follow once the open ones are served: nobody waits for their results."""
        leadership = self.leadership
        while leadership.pending_jobs and leadership.state == "holding":
            if not await self._adopt_all(leadership.pending_jobs):
                await asyncio.sleep(self.store.heartbeat_interval_s)

    async def _adopt_all(self, seen: dict) -> bool:
        """Take up lots; True if that went well for all of them."""
        # some side by side: what they copy to a store shares calls and syncs; not all, or fetches outlast their time
        few = asyncio.Semaphore(ABREAST)

        async def adopt(job_id):
            async with few:
                well = await self._adopt(job_id, seen[job_id])
                if well:
                    self.leadership.pending_jobs.pop(job_id, None)
                    self.leadership.progress()
                return well

        tasks = [asyncio.ensure_future(adopt(job_id)) for job_id in sorted(seen)]
        try:
            return all(await asyncio.gather(*tasks))
        finally:
            for task in tasks:
                task.cancel()

    async def _adopt(self, job_id: str, seen: dict) -> bool:
        """Take up one lot from what the stores said; positions without enough copies are written anew."""
        leadership = self.leadership
        if not any(said["lot"] for said in seen.values()):
            return True  # only an end or results without the lot: it was never accepted
        chosen = choose(seen)
        copies = await self._collect(job_id, seen, chosen)
        if copies is None:
            return False
        batch_job, again = self._rebuild(job_id, seen, chosen, copies)
        if again:
            self.store.counters.add("adopt.again", len(again))
            await self.store.replicator.replicate(leadership.run, leadership.term, again)
        batch_job.listed_count = len(batch_job.results)
        leadership.batch_jobs[job_id] = batch_job
        leadership.next_offsets[batch_job.model] = max(
            leadership.next_offsets.get(batch_job.model, 0), batch_job.base_offset + batch_job.total
        )
        return True

    async def _collect(self, job_id: str, seen: dict, chosen: list) -> Copies | None:
        """The records of a lot, fetched from other stores where they are not here; None if some are not to be had."""
        mine = self.store.record_store.batch_jobs.get(job_id) or {"lot": None, "results": {}, "end": None}
        here = {
            pos: mine["results"][pos]
            for pos, (term, _) in enumerate(chosen)
            if pos in mine["results"] and mine["results"][pos].head["term"] == term
        }
        copies = Copies(mine["lot"], mine["end"], here)
        for sid, said in seen.items():
            if sid != self.store.id and not await self._fetch(sid, job_id, said, chosen, copies):
                return None
        whole = copies.batch_job is not None and all(pos in copies.results for pos in range(len(chosen)))
        return copies if whole else None

    async def _fetch(self, sid: str, job_id: str, said: dict, chosen: list, copies: Copies) -> bool:
        """Have a store's copies of what is still lacking; False if it does not answer."""
        want = [
            pos
            for pos, (term, _) in enumerate(chosen)
            if pos not in copies.results and any(pos == row[0] and term == row[1] for row in said["results"])
        ]
        need_lot = copies.batch_job is None and said["lot"]
        if not want and not need_lot and not (said["end"] and copies.end is None):
            return True
        records = await self.store.fetch(sid, self._addrs[sid], job_id, want, need_lot)
        if records is None:
            return False
        self.leadership.progress()
        for record in records:
            if record.head["k"] == "L":
                copies.batch_job = copies.batch_job or record
            elif record.head["k"] == "E":
                copies.end = copies.end or record
            elif record.head["pos"] < len(chosen) and record.head["term"] == chosen[record.head["pos"]][0]:
                copies.results.setdefault(record.head["pos"], record)
        return True

    def _rebuild(self, job_id: str, seen: dict, chosen: list, copies: Copies) -> tuple[BatchJob, list]:
        """The lot as this term lists it, and the records of it that too few stores hold."""
        store, leadership = self.store, self.leadership
        mine = store.record_store.batch_jobs.get(job_id) or {}
        batch_job = read_job(copies.batch_job.head, copies.batch_job.body, mine.get("at", store.clock.now()))
        batch_job.records.append(
            Record(dict(copies.batch_job.head), copies.batch_job.body, {sid for sid, s in seen.items() if s["lot"]})
        )
        where = {sid: {tuple(row) for row in said["results"]} for sid, said in seen.items()}
        for pos, (term, item) in enumerate(chosen):
            held = {sid for sid, rows in where.items() if (pos, term, item) in rows}
            record = Record(dict(copies.results[pos].head), copies.results[pos].body, held)
            if not store.replicator.has_enough_copies(record):
                record = Record({**record.head, "term": leadership.term, "t": leadership.elapsed_s()}, record.body)
            batch_job.results.append(record)
            batch_job.records.append(record)
            batch_job.positioned_items.add(item)
        if copies.end is not None:
            batch_job.is_ended, batch_job.ended_at = True, store.clock.now()
            batch_job.release_items()
            held = {sid for sid, said in seen.items() if said["end"]}
            batch_job.records.append(Record(dict(copies.end.head), copies.end.body, held))
        return batch_job, [record for record in batch_job.records if not store.replicator.has_enough_copies(record)]


def choose(seen: dict) -> list:
    """The (term, item) at each position from the first on: the highest term's, up to a hole, each item once.

    >>> choose({"a": {"results": [[0, 1, "x"], [2, 1, "z"]]}, "b": {"results": [[0, 2, "y"]]}})
    [(2, 'y')]
    """
    best: dict[int, tuple] = {}
    for said in seen.values():
        for pos, term, item in said["results"]:
            if pos not in best or term > best[pos][0]:
                best[pos] = (term, item)
    chosen, items = [], set()
    while len(chosen) in best and best[len(chosen)][1] not in items:
        items.add(best[len(chosen)][1])
        chosen.append(best[len(chosen)])
    return chosen
