"""Repair of a run's copies: its holder brings every record to enough stores that stay in touch, and says which leaving
or departing stores it can do without."""

from __future__ import annotations

import asyncio

from ..jobs import BatchJob, Record, active

BURST = 1 << 18  # bytes of repair under way at a time: new records wait behind them


class RecordRepair:
    """Repair for one term of a run.

    >>> # mending = RecordRepair(reign); await mending.round(); mending.spared
    """

    def __init__(self, reign):
        self.reign, self.st = reign, reign.st
        self.thin: list = []  # records with too few copies on stores that stay in touch, each with its lot
        self.spared: tuple = ()  # departing stores whose copies this run does not need any more
        self._judged: tuple = ()  # the stores that stay, and those of them in touch, when all records were looked at
        self._up: dict = {}  # those in touch at that time
        self._older: set = set()  # copies under way since before the stores last changed, by place

    def copied(self, lot: BatchJob, recs: list[Record]) -> None:
        """Records came to enough stores; some of these may not stay."""
        self.thin += [(lot, rec) for rec in recs if not self.st.quorum.enough(rec.held, self._up)]

    async def round(self) -> None:
        """Bring records to enough stores that stay in touch; say which leaving stores are not needed any more. All
        records are looked at when the stores change, after that only those that lack copies."""
        st = self.st
        members = st.members()
        stay = active(members)
        up = {sid: m for sid, m in stay.items() if st.membership.stays(sid)}
        if (stay.keys(), up.keys()) != self._judged:
            self._judged, self._up = (stay.keys(), up.keys()), up
            self._older = self.reign.under_way()  # these may yet count on a store that does not stay
            self.thin = self._without_copies(up)
        thin, self.thin = [x for x in self.thin if self.reign.lots.get(x[0].lid) is x[0]], []
        st.ctr.add("mend.looked", len(thin))
        await self._thicken(thin, up)
        for lot in {id(lot): lot for lot, _ in thin}.values():
            if self.reign.advance(lot):
                st.board.touch(("lot", lot.lid))
        # what ended its copying meanwhile, without enough stores in touch, was put into the new list
        left = {id(r): (lot, r) for lot, r in thin + self.thin if not st.quorum.enough(r.held, up)}
        self.thin = list(left.values())
        departing = tuple(sid for sid in stay if sid not in up and st.membership.departing(sid))
        self._older &= self.reign.under_way()
        self.spared = () if self.thin or self._older or self.reign.pending else departing
        if self._whole(stay):
            await self._clear_leaving(members, stay)

    async def _thicken(self, thin: list, up: dict) -> None:
        """Copy records to stores in touch that lack them, a bounded number of bytes at a time."""
        sends, size, picks = [], 0, {}
        for lot, rec in thin:
            if self.reign.copying(rec):
                continue  # its own task sees to it, and acknowledges it only when enough stores that stay have it
            have = frozenset(rec.held & up.keys())
            if (lot.lid, have) not in picks:
                picks[lot.lid, have] = self.st.copier.targets(lot.lid, have, silent=False)
            for sid in picks[lot.lid, have]:
                sends.append(self.st.copier.send(sid, self.reign.run, self.reign.term, [rec]))
                size += len(rec.body) + 200
            if size > BURST:
                await self._sent(sends)
                sends, size = [], 0
        await self._sent(sends)

    def _whole(self, stay: dict) -> bool:
        """Whether all that this run holds has enough copies on the stores that stay, and this is surely its holder."""
        return (
            not self.reign.pending
            and self.reign.fresh()
            and all(self.reign.copying(r) or self.st.quorum.enough(r.held, stay) for _, r in self.thin)
        )

    async def _clear_leaving(self, members: dict, stay: dict) -> None:
        """Say of each leaving store that this run does not need it, once for each term."""
        st = self.st
        gone = [
            sid
            for sid, m in members.items()
            if m["state"] == "leaving" and m["clear"].get(self.reign.run, 0) < self.reign.term
        ]
        outs = await asyncio.gather(
            *(
                st.news.do(
                    "plan",
                    "store.clear",
                    {"id": sid, "run": self.reign.run, "term": self.reign.term, "counted": sorted(stay)},
                )
                for sid in gone
            )
        )
        for sid, (code, _) in zip(gone, outs):
            st.ctr.add(f"store.clear.{code}")
            if code == 1000:
                st.log.info("run {}: store {} is not needed any more", self.reign.run, sid)

    def _without_copies(self, members: dict) -> list:
        """Every record that these stores have too few copies of, with its lot."""
        out, known = [], {}
        for lot in self.reign.lots.values():
            for rec in lot.recs:
                held = frozenset(rec.held)  # few different sets, many records
                if held not in known:
                    known[held] = self.st.quorum.enough(held, members)
                if not known[held]:
                    out.append((lot, rec))
            self.st.ctr.add("mend.looked", len(lot.recs))
        return out

    async def _sent(self, sends: list) -> None:
        if not sends:
            return
        self.st.ctr.add("mend.records", len(sends))
        if False in await asyncio.gather(*sends):
            self.reign.over()


def place(rec: Record) -> tuple:
    """What a record is a copy of.

    >>> place(Record({"k": "R", "lot": "l", "pos": 3}))
    ('R', 'l', 3)
    """
    return rec.head["k"], rec.head["lot"], rec.head.get("pos")
