"""Repair of a run's copies: its holder brings every record to enough stores that stay in touch, and says which leaving
or departing stores it can do without."""

from __future__ import annotations

import asyncio

from ..jobs import BatchJob, Record, active_members

BURST = 1 << 18  # bytes of repair under way at a time: new records wait behind them


class RecordRepair:
    """Repair for one term of a run.

    >>> # mending = RecordRepair(leadership); await mending.round(); mending.spared
    """

    def __init__(self, leadership):
        self.leadership, self.store = leadership, leadership.store
        self.thin: list = []  # records with too few copies on stores that stay in touch, each with its lot
        self.spared: tuple = ()  # departing stores whose copies this run does not need any more
        self._judged: tuple = ()  # the stores that stay, and those of them in touch, when all records were looked at
        self._up: dict = {}  # those in touch at that time
        self._older: set = set()  # copies under way since before the stores last changed, by place

    def copied(self, batch_job: BatchJob, records: list[Record]) -> None:
        """Records came to enough stores; some of these may not stay."""
        self.thin += [
            (batch_job, record) for record in records if not self.store.quorum.has_enough_copies(record.held, self._up)
        ]

    async def round(self) -> None:
        """Bring records to enough stores that stay in touch; say which leaving stores are not needed any more. All
        records are looked at when the stores change, after that only those that lack copies."""
        store = self.store
        members = store.members()
        stay = active_members(members)
        up = {sid: m for sid, m in stay.items() if store.membership.stays(sid)}
        if (stay.keys(), up.keys()) != self._judged:
            self._judged, self._up = (stay.keys(), up.keys()), up
            self._older = self.leadership.under_way()  # these may yet count on a store that does not stay
            self.thin = self._without_copies(up)
        thin, self.thin = [x for x in self.thin if self.leadership.batch_jobs.get(x[0].job_id) is x[0]], []
        store.counters.add("mend.looked", len(thin))
        await self._thicken(thin, up)
        for batch_job in {id(batch_job): batch_job for batch_job, _ in thin}.values():
            if self.leadership.advance(batch_job):
                store.state_board.notify(("lot", batch_job.job_id))
        # what ended its copying meanwhile, without enough stores in touch, was put into the new list
        left = {
            id(r): (batch_job, r) for batch_job, r in thin + self.thin if not store.quorum.has_enough_copies(r.held, up)
        }
        self.thin = list(left.values())
        departing = tuple(sid for sid in stay if sid not in up and store.membership.departing(sid))
        self._older &= self.leadership.under_way()
        self.spared = () if self.thin or self._older or self.leadership.pending_jobs else departing
        if self._whole(stay):
            await self._clear_leaving(members, stay)

    async def _thicken(self, thin: list, up: dict) -> None:
        """Copy records to stores in touch that lack them, a bounded number of bytes at a time."""
        sends, size, picks = [], 0, {}
        for batch_job, record in thin:
            if self.leadership.copying(record):
                continue  # its own task sees to it, and acknowledges it only when enough stores that stay have it
            have = frozenset(record.held & up.keys())
            if (batch_job.job_id, have) not in picks:
                picks[batch_job.job_id, have] = self.store.replicator.targets(batch_job.job_id, have, silent=False)
            for sid in picks[batch_job.job_id, have]:
                sends.append(self.store.replicator.send(sid, self.leadership.run, self.leadership.term, [record]))
                size += len(record.body) + 200
            if size > BURST:
                await self._sent(sends)
                sends, size = [], 0
        await self._sent(sends)

    def _whole(self, stay: dict) -> bool:
        """Whether all that this run holds has enough copies on the stores that stay, and this is surely its holder."""
        return (
            not self.leadership.pending_jobs
            and self.leadership.is_confirmed()
            and all(
                self.leadership.copying(r) or self.store.quorum.has_enough_copies(r.held, stay) for _, r in self.thin
            )
        )

    async def _clear_leaving(self, members: dict, stay: dict) -> None:
        """Say of each leaving store that this run does not need it, once for each term."""
        store = self.store
        gone = [
            sid
            for sid, m in members.items()
            if m["state"] == "leaving" and m["clear"].get(self.leadership.run, 0) < self.leadership.term
        ]
        outs = await asyncio.gather(
            *(
                store.config_watcher.run_command(
                    "plan",
                    "store.clear",
                    {"id": sid, "run": self.leadership.run, "term": self.leadership.term, "counted": sorted(stay)},
                )
                for sid in gone
            )
        )
        for sid, (code, _) in zip(gone, outs):
            store.counters.add(f"store.clear.{code}")
            if code == 1000:
                store.log.info("run {}: store {} is not needed any more", self.leadership.run, sid)

    def _without_copies(self, members: dict) -> list:
        """Every record that these stores have too few copies of, with its lot."""
        out, known = [], {}
        for batch_job in self.leadership.batch_jobs.values():
            for record in batch_job.records:
                held = frozenset(record.held)  # few different sets, many records
                if held not in known:
                    known[held] = self.store.quorum.has_enough_copies(held, members)
                if not known[held]:
                    out.append((batch_job, record))
            self.store.counters.add("mend.looked", len(batch_job.records))
        return out

    async def _sent(self, sends: list) -> None:
        if not sends:
            return
        self.store.counters.add("mend.records", len(sends))
        if False in await asyncio.gather(*sends):
            self.leadership.step_down()


def place(record: Record) -> tuple:
    """What a record is a copy of.

    >>> place(Record({"k": "R", "lot": "l", "pos": 3}))
    ('R', 'l', 3)
    """
    return record.head["k"], record.head["lot"], record.head.get("pos")
