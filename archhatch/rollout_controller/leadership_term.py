"""One store's hold on the runs of one service: their lots, what is listed of them, and the proof that nobody else
holds them. Runs that share replicas share a holder: a replica must never see orders of two."""

from __future__ import annotations

import asyncio
import base64

from transitions import Machine

from ..jobs import DeposedError, BatchJob, Record, read_job
from ..jobs.record import unpack_many
from ..runtime import encode_kept
from ..rpc import CallError
from ..store.heartbeat import Leading
from .repair import RecordRepair, place
from .takeover import ORDER, Takeover

MOVES = [
    {"trigger": "gathered", "source": "reading", "dest": "holding"},
    {"trigger": "deposed", "source": "*", "dest": "over"},
]


class LeadershipTerm:
    """Begins by reading what so many stores hold of the run that no acknowledged record can be missed, then serves it
    until another's term is higher.

    >>> # reign = LeadershipTerm(store, "service", term); await reign.begin()
    """

    def __init__(self, store, run: str, term: int):
        self.st, self.run, self.term = store, run, term
        self.lots: dict[str, BatchJob] = {}
        self.order_from: dict[str, float] = {}  # replica -> when it may have orders of this holder
        self.began = store.clock.now()
        self.window_recs: list = []  # what the stores told of the partitions' windows
        self.next: dict[str, int] = {}  # partition of the step log -> the offset of its next entry
        Machine(
            self, states=["reading", "holding", "over"], initial="reading", transitions=MOVES, auto_transitions=False
        )
        self.pending: dict[str, dict] = {}  # ended lots that are still to be taken up -> what the stores said of them
        self._copying: dict[tuple, asyncio.Task] = {}  # what is being copied, by the place of its first record
        self.offered: set = set()  # lots that were handed in under this term, whatever became of them
        self._progress_at = self.began
        self.ended_at = float("inf")
        self.takeover, self.mending = Takeover(self), RecordRepair(self)

    # -- taking over

    async def begin(self) -> None:
        """Gather, then serve; whatever goes wrong ends the term, so that the lease does not stay with one that leads
        nothing."""
        try:
            await self._begin()
        except DeposedError:
            self.over()
        except Exception:
            self.over()
            raise

    async def _begin(self) -> None:
        st = self.st
        while self.state == "reading" and not await self.takeover.gather():
            await asyncio.sleep(st.beat_s)
        if self.state != "reading":
            return
        self.gathered()
        self.progress()
        st.log.info("run {}: held under term {} with {} lots", self.run, self.term, len(self.lots))
        st.ctr.add("reign.begun")
        for lot in list(self.lots.values()):
            st.board.touch(("lot", lot.lid))
        st.board.touch("work")
        st.board.touch("members")  # what lacks copies is repaired at once
        await self.takeover.take_up_ended()

    def over(self) -> None:
        if self.state != "over":
            self.deposed()
            self.ended_at = self.st.clock.now()
            self.st.ctr.add("reign.over")
            self.st.log.info("run {}: term {} is over", self.run, self.term)
            for task in self._copying.values():
                task.cancel()  # nothing of this term is answered any more; its waiters are told DeposedError
            for lid in self.lots:
                self.st.board.touch(("lot", lid))
            self.st.board.touch("work")

    # -- what others are told

    def progress(self) -> None:
        """Something that this term waits for has been reached."""
        self._progress_at = self.st.clock.now()

    def note_progress(self) -> None:
        """Called at each heartbeat: a holder that enough stores confirm is making progress."""
        if self.fresh():
            self.progress()

    def leading(self) -> Leading:
        """What a heartbeat says of this run."""
        return Leading(self.term, self.st.clock.now() - self._progress_at, self.mending.spared)

    # -- serving

    def fresh(self) -> bool:
        """Whether enough stores said, not long ago, that they know no higher term: then no other holder has listed."""
        return self.state == "holding" and self.st.confirmed(self.run, self.term, self.st.boot.secs("SettleMs", 0.5))

    def may_order(self, iid: str | None = None) -> bool:
        """Whether this node may order weights right now: at all, or from one replica."""
        return (
            self.state == "holding"
            and (iid is None or self.st.clock.now() >= self.order_from.get(iid, 0.0))
            and self.st.confirmed(self.run, self.term, self.st.boot.secs("LeaseMs", 1 / 3))
        )

    # -- copying: the reign's own tasks do it, so that it goes on whatever happens to those who wait

    async def _copy(self, recs: list, lot: BatchJob | None) -> None:
        """Have records copied; returns when enough stores have them. Whoever asks for the same waits for the same."""
        key = place(recs[0])
        task = self._copying.get(key)
        if task is None:
            task = self._copying[key] = self.st.crew.once("records", self._copy_on, key, recs, lot)
        await asyncio.wait({task})  # unlike an await of the task, this leaves it running if the waiter is cancelled
        if task.cancelled() or task.result() is not True:
            raise DeposedError(self.run)

    async def _copy_on(self, key: tuple, recs: list, lot: BatchJob | None) -> bool:
        try:
            await self.st.copier.put(self.run, self.term, recs)
        except DeposedError:
            self.over()
            return False
        except Exception:
            self.over()  # a record without its copies must not stand in a term that goes on
            raise
        finally:
            self._copying.pop(key, None)
        if key[0] == "L":
            self.lots.setdefault(lot.lid, lot)
            self.st.ctr.add("lot.taken")
            self.st.board.touch("work")
        else:
            self.advance(lot)
            self.st.board.touch(("lot", lot.lid))
        self.mending.copied(lot, recs)
        return True

    def copying(self, rec: Record) -> bool:
        """Whether a record is being copied; it is acknowledged only when enough stores that stay have it."""
        return place(rec) in self._copying

    def under_way(self) -> set:
        """The places of all records that are being copied."""
        return set(self._copying)

    def advance(self, lot: BatchJob) -> bool:
        """List what has its copies, and all before it; whether there was any."""
        before = lot.listed
        while lot.listed < len(lot.results) and self.st.copier.enough(lot.results[lot.listed]):
            lot.listed += 1
        return lot.listed > before

    async def put(self, head: dict, body: bytes) -> None:
        """Take a lot, once; returns when enough stores have it."""
        self.offered.add(head["lot"])
        if head["lot"] in self.lots:
            return
        rec = Record({"k": "L", "lot": head["lot"], "run": self.run, "host": head["host"], "path": head["path"]}, body)
        if head.get("tenant") is not None:
            rec.head["tenant"] = head["tenant"]
        lot = None
        if place(rec) not in self._copying:
            lot = read_job(rec.head, body, self.st.clock.now())
            lot.base = rec.head["base"] = self._offsets(lot.model, lot.total)
            lot.recs.append(rec)
        await self._copy([rec], lot)

    def _offsets(self, part: str, count: int) -> int:
        """Room for a lot's items in the partition of its model: the first of so many offsets."""
        at = self.next.get(part, 0)
        self.next[part] = at + count
        return at

    async def note(self, rec) -> None:
        """Have a record of a partition's window synced with its copies; DeposedError if another leads."""
        await self.st.copier.put(self.run, self.term, [rec])

    async def intend(self, iid: str) -> float:
        """Have enough stores know that an order is about to be sent to a replica; the time until which it may be."""
        began = self.st.clock.now()
        # not a task of the reign: without the one that waits, no order is sent, and the note binds nobody
        await self.st.copier.put(
            self.run,
            self.term,
            [Record({"k": "O", "lot": "", "run": self.run, "iid": iid, "term": self.term, "t": self.tick()})],
        )
        return began + self.st.boot.secs("LeaseMs", ORDER)

    def tick(self) -> float:
        """Seconds of this reign by this node's steady clock: borne by records, so that others can tell how old a note
        is at least."""
        return round(self.st.clock.now() - self.began, 3)

    async def end(self, lid: str) -> None:
        lot = self.lots[lid]
        lot.ended, lot.ended_at = True, lot.ended_at or self.st.clock.now()
        lot.let_items_go()
        self.st.board.touch("work")
        rec = next((r for r in lot.recs if r.head["k"] == "E"), None)
        if rec is None:
            rec = Record({"k": "E", "lot": lid, "run": self.run})
            lot.recs.append(rec)
        if not self.st.copier.enough(rec):
            await self._copy([rec], lot)

    async def list_result(self, lot: BatchJob, iid: str, doc: dict) -> None:
        """Give an item its position; it is listed once enough stores hold it and all before it are."""
        if iid in lot.done or self.state != "holding" or lot.ended:
            return
        lot.done.add(iid)
        rec = Record(
            {
                "k": "R",
                "lot": lot.lid,
                "run": self.run,
                "pos": len(lot.results),
                "term": self.term,
                "item": iid,
                "t": self.tick(),
            },
            encode_kept(doc),
        )
        lot.results.append(rec)
        lot.recs.append(rec)
        await self._copy([rec], lot)

    async def read(self, lid: str, after: int, hold: float) -> bytes | None:
        """A page of results; None when this node cannot be sure."""
        st = self.st
        end = st.clock.now() + hold
        while True:
            if not self.fresh():
                return None
            lot = self.lots[lid]
            turn = st.board.turn(("lot", lid))
            left = end - st.clock.now()
            if lot.listed > after or left <= 0 or lot.listed == lot.total:
                rows, nxt = lot.page(after)
                return b'{"Total":%d,"NextToken":%d,"ResultList":[%s]}' % (lot.total, nxt, b",".join(rows))
            await st.board.news(("lot", lid), turn, left)

    def item(self, lid: str, iid: str) -> bytes | None:
        lot = self.lots[lid]
        it = lot.items.get(iid)
        return None if it is None else base64.b64decode(it.payload)

    # -- repair

    async def mend(self) -> None:
        """Bring records to enough stores that stay in touch; say which leaving stores are not needed any more."""
        await self.mending.round()

    def lacks_copies(self) -> bool:
        """Whether the last round of repair left something to do."""
        return self.state == "holding" and bool(self.mending.thin or self.pending)

    def forget(self) -> list:
        """Lots that are ended and older than StatusS."""
        now, keep = self.st.clock.now(), self.st.boot.secs("StatusS")
        old = [
            lid for lid, lot in self.lots.items() if lot.ended and now - lot.taken > keep and now - lot.ended_at > keep
        ]
        for lid in old:
            del self.lots[lid]
        return old


async def fetch_over(store, sid: str, addr: str, lid: str, poss: list, lot: bool):
    """Records of a lot from another store, or None."""
    try:
        code, _, raw = await store.lines.to(addr).call(
            "shelf.fetch", {"to": sid, "lot": lid, "poss": poss, "want_lot": lot}, secs=store.quiet_s * 2
        )
    except CallError:
        return None
    return unpack_many(raw) if code == 1000 else None
