"""One store's hold on the runs of one service: their lots, what is listed of them, and the proof that nobody else
holds them. Runs that share replicas share a holder: a replica must never see orders of two."""
from __future__ import annotations

import asyncio
import base64

import orjson
from transitions import Machine

from ..batches import Deposed, Lot, Record, active, read_lot
from ..batches.record import unpack_many
from ..rpc import CallError
from ..store.heartbeat import Leading

MOVES = [
    {"trigger": "gathered", "source": "reading", "dest": "holding"},
    {"trigger": "deposed", "source": "*", "dest": "over"},
]
ABREAST = 8       # lots that are adopted side by side
ORDER = 1 / 6     # of LeaseMs: how long after its note an order may be sent
BURST = 1 << 18   # bytes of repair under way at a time: new records wait behind them


class Reign:
    """Begins by reading what so many stores hold of the run that no acknowledged record can be missed, then serves it
    until another's term is higher.

    >>> # reign = Reign(store, "service", term); await reign.begin()
    """

    def __init__(self, store, run: str, term: int):
        self.st, self.run, self.term = store, run, term
        self.lots: dict[str, Lot] = {}
        self.order_from: dict[str, float] = {}   # replica -> when it may have orders of this holder
        self.began = store.clock.now()
        self._addrs: dict[str, str] = {}         # the stores that were asked when this reign began
        self.window_recs: list = []              # what the stores told of the partitions' windows
        self.next: dict[str, int] = {}           # partition of the step log -> the offset of its next entry
        Machine(self, states=["reading", "holding", "over"], initial="reading", transitions=MOVES,
                auto_transitions=False)
        self._mended: tuple = ()      # the stores that stay, and those in touch, when all records were looked at
        self._up: dict = {}
        self.pending: dict[str, dict] = {}   # ended lots that are still to be taken up -> what the stores said of them
        self._thin: list = []         # records with too few copies on stores in touch, each with its lot
        self._copying: dict[tuple, asyncio.Task] = {}   # what is being copied, by the place of its first record
        self.offered: set = set()     # lots that were handed in under this term, whatever became of them
        self._older: set = set()      # copies under way since before the stores last changed, by place
        self.spared: tuple = ()       # departing stores whose copies this run does not need any more
        self._heard: set = set()      # stores that have answered this term's gather
        self._progress_at = self.began
        self.ended_at = float("inf")

    # -- taking over

    async def begin(self) -> None:
        st = self.st
        while self.state == "reading":
            try:
                if await self._gather():
                    break
            except Deposed:
                self.over()
                return
            except Exception:
                self.over()   # whatever it was: the lease must not stay with a term that leads nothing
                raise
            await asyncio.sleep(st.beat_s)
        if self.state != "reading":
            return
        self.gathered()
        self._progress_at = st.clock.now()
        st.log.info("run {}: held under term {} with {} lots", self.run, self.term, len(self.lots))
        st.ctr.add("reign.begun")
        for lot in list(self.lots.values()):
            st.board.touch(("lot", lot.lid))
        st.board.touch("work")
        st.board.touch("members")   # what lacks copies is repaired at once
        await self._take_up_ended()

    async def _take_up_ended(self) -> None:
        """Ended lots follow once the open ones are served: nobody waits for their results."""
        while self.pending and self.state == "holding":
            try:
                if not await self._adopt_all(self.pending):
                    await asyncio.sleep(self.st.beat_s)
            except Deposed:
                self.over()

    def over(self) -> None:
        if self.state != "over":
            self.deposed()
            self.ended_at = self.st.clock.now()
            self.st.ctr.add("reign.over")
            self.st.log.info("run {}: term {} is over", self.run, self.term)
            for task in self._copying.values():
                task.cancel()   # nothing of this term is answered any more; its waiters are told Deposed
            for lid in self.lots:
                self.st.board.touch(("lot", lid))
            self.st.board.touch("work")

    async def _gather(self) -> bool:
        st = self.st
        # from here on no older holder's word ends the membership of a store that this gather counts on
        code, doc = await st.news.do("plan", "run.begin", {"run": self.run, "term": self.term})
        if code == 2018:
            raise Deposed(self.run)
        if code != 1000:
            return False
        members = doc["stores"]
        addrs = {sid: st.addr_of(m) for sid, m in members.items()}
        if st.id not in addrs:
            return False
        got, told = {}, []
        tasks = {asyncio.ensure_future(st.ask_store(sid, addr, "shelf.prepare", {"run": self.run, "term": self.term})):
                 sid for sid, addr in addrs.items()}
        wait = set(tasks)
        try:
            while wait:
                sure = st.id in got and st.quorum.heard(got, members)
                # once it is sure, the others are given a moment: copies that they have need not be made anew
                done, wait = await asyncio.wait(wait, timeout=st.beat_s if sure else None,
                                                return_when=asyncio.FIRST_COMPLETED)
                if not done:
                    break
                for t in done:
                    out = t.result()
                    if out is None:
                        continue
                    if not out["ok"]:
                        raise Deposed(self.run)
                    got[tasks[t]] = out["lots"]
                    self._note_heard(tasks[t])
                    told.append(out)
                    self.window_recs += out["windows"]
        finally:
            for t in wait:
                t.cancel()
        if st.id not in got or not st.quorum.heard(got, members):
            return False
        self._heed_orders(told)
        seen: dict[str, dict] = {}
        for sid, lots in got.items():
            for lid, said in lots.items():
                seen.setdefault(lid, {})[sid] = said
        self._addrs = addrs
        self.pending = {lid: s for lid, s in seen.items() if any(x["end"] for x in s.values())}
        return await self._adopt_all({lid: s for lid, s in seen.items() if lid not in self.pending})

    async def _adopt_all(self, seen: dict) -> bool:
        """Take up lots; True if that went well for all of them."""
        # some side by side: what they copy to a store shares calls and syncs; not all, or fetches outlast their time
        few = asyncio.Semaphore(ABREAST)

        async def adopt(lid):
            async with few:
                well = await self._adopt(lid, seen[lid], self._addrs)
                if well:
                    self.pending.pop(lid, None)
                    self._progress_at = self.st.clock.now()
                return well
        tasks = [asyncio.ensure_future(adopt(lid)) for lid in sorted(seen)]
        try:
            return all(await asyncio.gather(*tasks))
        finally:
            for t in tasks:
                t.cancel()

    def _note_heard(self, sid: str) -> None:
        if sid not in self._heard:
            self._heard.add(sid)
            self._progress_at = self.st.clock.now()

    def _heed_orders(self, told: list) -> None:
        """An earlier holder meant to order from these replicas: wait out its right to, and then the lease.

        How long ago that was, a store knows since its start. Records of the same term that bear a later time of that
        holder's clock prove more, also after a loss of power by all.
        """
        now, wait = self.st.clock.now(), self.st.boot.secs("LeaseMs", 1 + ORDER)
        tick = max((tuple(out["tick"]) for out in told if out["tick"]), default=(0, 0.0))
        for out in told:
            for iid, age in out["orders"].items():
                term, t = out["noted"].get(iid, (tick[0], tick[1]))
                if term < tick[0]:
                    age = max(age, tick[1])
                elif term == tick[0]:
                    age = max(age, tick[1] - t)
                at = now - age + wait
                self.order_from[iid] = max(at, self.order_from.get(iid, at))

    async def _adopt(self, lid: str, seen: dict, addrs: dict) -> bool:
        """Take up one lot from what the stores said; positions without enough copies are written anew."""
        st = self.st
        if not any(s["lot"] for s in seen.values()):
            return True   # only an end or results without the lot: it was never accepted
        best: dict[int, tuple] = {}
        for s in seen.values():
            for pos, term, item in s["results"]:
                if pos not in best or term > best[pos][0]:
                    best[pos] = (term, item)
        chosen, items = [], set()
        while len(chosen) in best and best[len(chosen)][1] not in items:
            items.add(best[len(chosen)][1])
            chosen.append(best[len(chosen)])
        mine = st.shelf.lots.get(lid) or {"lot": None, "results": {}, "end": None}
        lack = [p for p, (term, _) in enumerate(chosen)
                if p not in mine["results"] or mine["results"][p].head["term"] != term]
        have = {p: mine["results"][p] for p in range(len(chosen)) if p not in lack}
        lot_rec, end = mine["lot"], mine["end"]
        for sid, s in seen.items():
            if sid == st.id:
                continue
            want = [p for p in lack if p not in have and any(
                p == q and term == chosen[p][0] for q, term, _ in s["results"])]
            need_lot = lot_rec is None and s["lot"]
            if not want and not need_lot and not (s["end"] and end is None):
                continue
            recs = await st.fetch(sid, addrs[sid], lid, want, need_lot)
            if recs is None:
                return False
            for r in recs:
                if r.head["k"] == "L":
                    lot_rec = lot_rec or r
                elif r.head["k"] == "E":
                    end = end or r
                elif r.head["term"] == chosen[r.head["pos"]][0]:
                    have.setdefault(r.head["pos"], r)
        if lot_rec is None or any(p not in have for p in range(len(chosen))):
            return False
        lot = read_lot(lot_rec.head, lot_rec.body, mine.get("at", st.clock.now()))
        first = Record(dict(lot_rec.head), lot_rec.body, {sid for sid, s in seen.items() if s["lot"]})
        lot.recs.append(first)
        again = [first] if not st.copier.enough(first) else []
        where = {sid: {tuple(row) for row in s["results"]} for sid, s in seen.items()}
        for pos, (term, item) in enumerate(chosen):
            held = {sid for sid, rows in where.items() if (pos, term, item) in rows}
            rec = Record(dict(have[pos].head), have[pos].body, held)
            if not st.copier.enough(rec):
                rec = Record({**rec.head, "term": self.term, "t": self.tick()}, rec.body)
                again.append(rec)
            lot.results.append(rec)
            lot.recs.append(rec)
            lot.done.add(item)
        if end is not None:
            lot.ended, lot.ended_at = True, st.clock.now()
            rec = Record(dict(end.head), end.body, {sid for sid, s in seen.items() if s["end"]})
            lot.recs.append(rec)
            if not st.copier.enough(rec):
                again.append(rec)
        if again:
            st.ctr.add("adopt.again", len(again))
            await st.copier.put(self.run, self.term, again)
        lot.listed = len(lot.results)
        self.lots[lid] = lot
        self.next[lot.model] = max(self.next.get(lot.model, 0), lot.base + lot.total)
        return True

    # -- what others are told

    def note_progress(self) -> None:
        """Called at each heartbeat: a holder that enough stores confirm is making progress."""
        if self.fresh():
            self._progress_at = self.st.clock.now()

    def leading(self) -> Leading:
        """What a heartbeat says of this run."""
        return Leading(self.term, self.st.clock.now() - self._progress_at, self.spared)

    # -- serving

    def fresh(self) -> bool:
        """Whether enough stores said, not long ago, that they know no higher term: then no other holder has listed."""
        return self.state == "holding" and self.st.confirmed(self.run, self.term, self.st.boot.secs("SettleMs", 0.5))

    def may_order(self, iid: str | None = None) -> bool:
        """Whether this node may order weights right now: at all, or from one replica."""
        return (self.state == "holding" and (iid is None or self.st.clock.now() >= self.order_from.get(iid, 0.0))
                and self.st.confirmed(self.run, self.term, self.st.boot.secs("LeaseMs", 1 / 3)))

    # -- copying: the reign's own tasks do it, so that it goes on whatever happens to those who wait

    async def _copy(self, recs: list, lot: Lot | None) -> None:
        """Have records copied; returns when enough stores have them. Whoever asks for the same waits for the same."""
        key = _place(recs[0])
        task = self._copying.get(key)
        if task is None:
            task = self._copying[key] = self.st.crew.once("records", self._copy_on, key, recs, lot)
        await asyncio.wait({task})   # unlike an await of the task, this leaves it running if the waiter is cancelled
        if task.cancelled() or task.result() is not True:
            raise Deposed(self.run)

    async def _copy_on(self, key: tuple, recs: list, lot: Lot | None) -> bool:
        try:
            await self.st.copier.put(self.run, self.term, recs)
        except Deposed:
            self.over()
            return False
        except Exception:
            self.over()   # a record without its copies must not stand in a term that goes on
            raise
        finally:
            self._copying.pop(key, None)
        if key[0] == "L":
            self.lots.setdefault(lot.lid, lot)
            self.st.ctr.add("lot.taken")
            self.st.board.touch("work")
        else:
            self._advance(lot)
            self.st.board.touch(("lot", lot.lid))
        self._thin += [(lot, r) for r in recs if not self.st.quorum.enough(r.held, self._up)]
        return True

    def _advance(self, lot: Lot) -> bool:
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
        lot = None
        if _place(rec) not in self._copying:
            lot = read_lot(rec.head, body, self.st.clock.now())
            lot.base = rec.head["base"] = self._offsets(lot.model, lot.total)
            lot.recs.append(rec)
        await self._copy([rec], lot)

    def _offsets(self, part: str, count: int) -> int:
        """Room for a lot's items in the partition of its model: the first of so many offsets."""
        at = self.next.get(part, 0)
        self.next[part] = at + count
        return at

    async def note(self, rec) -> None:
        """Have a record of a partition's window synced with its copies; Deposed if another leads."""
        await self.st.copier.put(self.run, self.term, [rec])

    async def intend(self, iid: str) -> float:
        """Have enough stores know that an order is about to be sent to a replica; the time until which it may be."""
        began = self.st.clock.now()
        # not a task of the reign: without the one that waits, no order is sent, and the note binds nobody
        await self.st.copier.put(self.run, self.term, [Record({"k": "O", "lot": "", "run": self.run, "iid": iid,
                                                            "term": self.term, "t": self.tick()})])
        return began + self.st.boot.secs("LeaseMs", ORDER)

    def tick(self) -> float:
        """Seconds of this reign by this node's steady clock: borne by records, so that others can tell how old a note
        is at least."""
        return round(self.st.clock.now() - self.began, 3)

    async def end(self, lid: str) -> None:
        lot = self.lots[lid]
        lot.ended, lot.ended_at = True, lot.ended_at or self.st.clock.now()
        self.st.board.touch("work")
        rec = next((r for r in lot.recs if r.head["k"] == "E"), None)
        if rec is None:
            rec = Record({"k": "E", "lot": lid, "run": self.run})
            lot.recs.append(rec)
        if not self.st.copier.enough(rec):
            await self._copy([rec], lot)

    async def list_result(self, lot: Lot, iid: str, doc: dict) -> None:
        """Give an item its position; it is listed once enough stores hold it and all before it are."""
        if iid in lot.done or self.state != "holding" or lot.ended:
            return
        lot.done.add(iid)
        rec = Record({"k": "R", "lot": lot.lid, "run": self.run, "pos": len(lot.results), "term": self.term, "item": iid,
                   "t": self.tick()}, orjson.dumps(doc))
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
        return None if it is None or lot.ended else base64.b64decode(it.payload)

    # -- repair

    async def mend(self) -> None:
        """Bring records to enough stores that stay in touch; say which leaving stores are not needed any more. All
        records are looked at when the stores change, after that only those that lack copies."""
        st = self.st
        members = st.members()
        stay = active(members)
        up = {sid: m for sid, m in stay.items() if st.membership.stays(sid)}
        if (stay.keys(), up.keys()) != self._mended:
            self._mended, self._up = (stay.keys(), up.keys()), up
            self._older = set(self._copying)   # these may yet count on a store that does not stay
            self._thin = self._without_copies(up)
        thin, self._thin = [x for x in self._thin if self.lots.get(x[0].lid) is x[0]], []
        st.ctr.add("mend.looked", len(thin))
        await self._thicken(thin, up)
        for lot in {id(lot): lot for lot, _ in thin}.values():
            if self._advance(lot):
                st.board.touch(("lot", lot.lid))
        # what ended its copying meanwhile, without enough stores in touch, was put into the new list
        left = {id(r): (lot, r) for lot, r in thin + self._thin if not st.quorum.enough(r.held, up)}
        self._thin = list(left.values())
        departing = tuple(sid for sid in stay if sid not in up and st.membership.departing(sid))
        self._older &= self._copying.keys()
        self.spared = () if self._thin or self._older or self.pending else departing
        if self._whole(stay):
            await self._clear_leaving(members, stay)

    def lacks_copies(self) -> bool:
        """Whether the last round of repair left something to do."""
        return self.state == "holding" and bool(self._thin or self.pending)

    async def _thicken(self, thin: list, up: dict) -> None:
        """Copy records to stores in touch that lack them, a bounded number of bytes at a time."""
        sends, size, picks = [], 0, {}
        for lot, rec in thin:
            if _place(rec) in self._copying:
                continue   # its own task sees to it, and acknowledges it only when enough stores that stay have it
            have = frozenset(rec.held & up.keys())
            if (lot.lid, have) not in picks:
                picks[lot.lid, have] = self.st.copier.targets(lot.lid, have, silent=False)
            for sid in picks[lot.lid, have]:
                sends.append(self.st.copier.send(sid, self.run, self.term, [rec]))
                size += len(rec.body) + 200
            if size > BURST:
                await self._sent(sends)
                sends, size = [], 0
        await self._sent(sends)

    def _whole(self, stay: dict) -> bool:
        """Whether all that this run holds has enough copies on the stores that stay, and this is surely its holder."""
        return not self.pending and self.fresh() and all(
            _place(r) in self._copying or self.st.quorum.enough(r.held, stay) for _, r in self._thin)

    async def _clear_leaving(self, members: dict, stay: dict) -> None:
        """Say of each leaving store that this run does not need it, once for each term."""
        st = self.st
        gone = [sid for sid, m in members.items()
                if m["state"] == "leaving" and m["clear"].get(self.run, 0) < self.term]
        outs = await asyncio.gather(*(st.news.do("plan", "store.clear", {
            "id": sid, "run": self.run, "term": self.term, "counted": sorted(stay)}) for sid in gone))
        for sid, (code, _) in zip(gone, outs):
            st.ctr.add(f"store.clear.{code}")
            if code == 1000:
                st.log.info("run {}: store {} is not needed any more", self.run, sid)

    def _without_copies(self, members: dict) -> list:
        """Every record that these stores have too few copies of, with its lot."""
        out, known = [], {}
        for lot in self.lots.values():
            for rec in lot.recs:
                held = frozenset(rec.held)   # few different sets, many records
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
            self.over()

    def forget(self) -> list:
        """Lots that are ended and older than StatusS."""
        now, keep = self.st.clock.now(), self.st.boot.secs("StatusS")
        old = [lid for lid, lot in self.lots.items() if lot.ended and now - lot.taken > keep
               and now - lot.ended_at > keep]
        for lid in old:
            del self.lots[lid]
        return old


def _place(rec: Record) -> tuple:
    """What a record is a copy of.

    >>> _place(Record({"k": "R", "lot": "l", "pos": 3}))
    ('R', 'l', 3)
    """
    return rec.head["k"], rec.head["lot"], rec.head.get("pos")


async def fetch_over(store, sid: str, addr: str, lid: str, poss: list, lot: bool):
    """Records of a lot from another store, or None."""
    try:
        code, _, raw = await store.lines.to(addr).call("shelf.fetch", {"to": sid, "lot": lid, "poss": poss,
                                                                       "want_lot": lot}, secs=store.quiet_s * 2)
    except CallError:
        return None
    return unpack_many(raw) if code == 1000 else None
