"""The share-partition leader (KIP-932): it alone acquires entries for workers, and takes their settlements."""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass, field

import orjson

from ..directory import rank
from ..supervisor.lull import Lull
from ..batches import Deposed
from ..rpc import Refusal
from .forecast import RunTimes
from .journal import WindowJournal
from .queue import LotQueue
from .window import BadMove, Entry, State, Window

DOUBTFUL = 3  # a replica in doubt has one place in so many
IN_TIME = 0.4  # of the time until a lot is due: what waits and would be done in so much needs no more replicas
RECALL = "recall"  # the worker is to give an entry back whose stream still takes a place; all else it just drops
LAG = 4.0  # a worker whose node lags this many times more than the middle one drives no replica


@dataclass
class Seat:
    """A worker at this leader: one life of a store node."""

    worker: str
    life: str
    zone: str = ""
    heard: float = 0.0
    lag: float = 0.0
    poll: int = 0  # the newest poll; older ones are answered at once
    drop: list = field(default_factory=list)  # (partition, offset, delivery, why): to be broken off
    batch: int = 0
    unread: dict = field(default_factory=dict)  # batch -> (when, [entries]) until the worker says it came


class Run:
    """What this leader knows of one service's partitions, for as long as its reign lasts."""

    def __init__(self, reign, now: float):
        self.reign = reign
        self.since = now
        self.windows: dict[str, Window] = {}
        self.journals: dict[str, WindowJournal] = {}
        self.queues: dict[str, LotQueue] = {}  # lot -> its Available entries
        self.entries: dict[str, dict[str, Entry]] = {}  # lot -> item -> entry that is not final
        self.seats: dict[str, Seat] = {}
        self.drivers: dict[str, str] = {}  # engine -> worker
        self.drivers_of: tuple = ()
        self.times = RunTimes()


class Leader:
    """Fills the places of the engines with entries, the most urgent lots first, through the workers that ask.

    >>> # leader = Leader(store); crew.keep("leader", leader.run); doc, body = await leader.fetch(doc)
    """

    def __init__(self, store, lock_s: float = 30.0, most_locks: int = 200):
        self.st = store
        self.lock_s, self.most_locks = lock_s, most_locks
        self.runs: dict[str, Run] = {}
        self.lull = Lull()
        self.due: list = []  # open lots, the most urgent first: (due, lot id, lot, lane, run)
        self.quiet_s = store.quiet_s

    async def run(self) -> None:
        st, turn = self.st, 0
        while True:
            self.lull.heed(st.news.busy)
            self.sync()
            self._give_back()
            self._move_on()
            self._wake()
            turn = await st.board.news("work", turn, st.beat_s * 0.5)

    # -- what there is to do

    def sync(self) -> None:
        """Fold reigns and lots: new lots get their entries, ended ones lose what still runs."""
        st, now = self.st, self.st.clock.now()
        for name in [n for n, r in self.runs.items() if r.reign is not st.reigns.get(n) or r.reign.state != "holding"]:
            self._close(name)
        self.due = []
        for name, reign in st.reigns.items():
            if reign.state != "holding":
                continue
            run = self.runs.get(name)
            if run is None:
                run = self.runs[name] = Run(reign, now)
                self._restore(run)
            for lid in [k for k in run.queues if k not in reign.lots or reign.lots[k].ended]:
                self._drop_lot(run, lid)
            for lot in reign.lots.values():
                if lot.ended or (lot.listed >= lot.total and lot.lid not in run.queues):
                    continue
                lane = self._lane(lot)
                if lot.lid not in run.queues:
                    self._take_lot(run, lot)
                if lane is not None and run.entries[lot.lid]:
                    self.due.append((lot.taken + lane.due_s, lot.lid, lot, lane, run))
            self._take_back(run, now)
        self.due.sort(key=lambda x: x[:2])

    def _restore(self, run: Run) -> None:
        """Build the windows of the run's partitions from what the stores told of them."""
        found: dict[str, list] = {}
        for head, body in run.reign.window_recs:
            found.setdefault(head["part"], []).append((head, body))
        for part, recs in found.items():
            self._window(run, part)
            run.journals[part].restore(run.windows[part], recs, self.st.ctr)
        for lot in sorted(run.reign.lots.values(), key=lambda x: (x.base, x.lid)):
            win = self._window(run, lot.model)
            win.next = max(win.next, lot.base + lot.total)

    def _window(self, run: Run, part: str) -> Window:
        win = run.windows.get(part)
        if win is None:
            win = run.windows[part] = Window(part, run.reign.term, self.lock_s, self.most_locks)
            run.journals[part] = WindowJournal(run.reign.run, part)
        return win

    def _take_lot(self, run: Run, lot) -> None:
        win = self._window(run, lot.model)
        q = run.queues[lot.lid] = LotQueue(lot.want)
        mine = run.entries[lot.lid] = {}
        ranks: dict = {}
        for it in lot.items.values():
            ranks.setdefault(it.group, len(ranks))
            if it.iid in lot.done:
                win.skip(lot.base + it.at)
                continue
            e = win.append(lot, it, ranks[it.group], lot.base + it.at)
            mine[it.iid] = e
            q.put(e)

    def _drop_lot(self, run: Run, lid: str) -> None:
        """The lot is ended: nothing of it starts any more, and what runs is broken off."""
        for e in run.entries.pop(lid, {}).values():
            if e.state is State.ACQUIRED:
                self._break_off(run, e, "ended")
            self._unplace(e)
            run.windows[e.lot.model].finish(e)
        run.queues.pop(lid, None)

    def _close(self, name: str) -> None:
        run = self.runs.pop(name)
        for entries in run.entries.values():
            for e in entries.values():
                self._unplace(e)
        for seat in run.seats.values():
            self.st.board.touch(("seat", name, seat.worker))

    def _break_off(self, run: Run, e: Entry, why: str) -> None:
        seat = run.seats.get(e.worker)
        if seat is not None:
            seat.drop.append((e.lot.model, e.offset, e.deliveries, why))

    def _unplace(self, e: Entry) -> None:
        if e.engine is not None:
            e.engine.running[e.lot.model] -= 1
            e.engine = None

    def _take_back(self, run: Run, now: float) -> None:
        """Locks that ran out, workers that are gone, and batches that never came: their entries are Available again."""
        st = self.st
        for seat in list(run.seats.values()):
            for n, (at, entries) in list(seat.unread.items()):
                if now - at > self.quiet_s:
                    del seat.unread[n]
                    for e, delivery in entries:
                        if e.state is State.ACQUIRED and e.worker == seat.worker and e.deliveries == delivery:
                            self._again(run, e, "batch_lost")
            if not st.alive(seat.worker) or now - seat.heard > self.quiet_s * 2:
                del run.seats[seat.worker]
                self._free(run, seat.worker, "worker_gone")
        for win in run.windows.values():
            for e in win.expired(now):
                self._break_off(run, e, "expired")
                self._again(run, e, "lock_expired")

    def _free(self, run: Run, worker: str, why: str) -> None:
        for win in run.windows.values():
            for e in [e for e in win.locked.values() if e.worker == worker and not e.settling]:
                self._again(run, e, why)

    def _again(self, run: Run, e: Entry, why: str = "", pause: float = 0.0) -> None:
        """Make an entry Available, at the head of its group."""
        if why:
            self.st.ctr.add("share." + why)
        self._unplace(e)
        run.windows[e.lot.model].give_up(e)
        e.not_before = self.st.clock.now() + pause if pause > 0 else 0.0
        q = run.queues.get(e.lot.lid)
        if q is not None:
            q.put(e, front=True)

    # -- who drives what

    def _workers(self, run: Run) -> list:
        """Seats that may drive replicas: not those that lag far behind the others, nor this node if others can."""
        seats = list(run.seats.values())
        lags = sorted(s.lag for s in seats)
        middle = lags[len(lags) // 2] if lags else 0.0
        well = [s for s in seats if s.lag <= max(LAG * middle, self.st.beat_s * 0.25)] or seats
        others = [s for s in well if s.worker != self.st.id]
        return others if len(others) >= 2 else well

    def driver(self, run: Run, e) -> str | None:
        """The worker of an engine, by rendezvous: of the engine's zone where there is one."""
        seats = self._workers(run)
        key = tuple(sorted((s.worker, s.zone) for s in seats))
        if key != run.drivers_of:
            run.drivers_of, run.drivers = key, {}
        got = run.drivers.get(e.iid)
        if got is None and key:
            near = [w for w, z in key if z == e.zone] or [w for w, _ in key]
            got = run.drivers[e.iid] = rank(e.iid, near)[0]
        return got

    def _places(self, e) -> int:
        return self.lull.places(e.service, e.slots, self.st.engines.count(e.service))

    def _open(self, e, now: float) -> int:
        """Free places of an engine that may have items; one in doubt gets few until it has proven itself."""
        if e.draining or e.pause_until > now:
            return 0
        health = e.fitness.look(now)
        if health == "resting":
            return 0
        places = self._places(e)
        return (min(places, max(1, places // DOUBTFUL)) if health == "doubtful" else places) - e.busy()

    def _wake(self) -> None:
        """Let the polls look again whose engines have room."""
        now = self.st.clock.now()
        for name, run in self.runs.items():
            if not run.seats:
                continue
            wake = {s.worker for s in run.seats.values() if s.drop}
            if any(q.waiting[0] or q.waiting[1] or q.later for q in run.queues.values()):
                for e in self.st.engines.of(name):
                    if self._open(e, now) > 0:
                        wake.add(self.driver(run, e))
            for worker in wake:
                self.st.board.touch(("seat", name, worker))

    def short(self, reign, model: str) -> bool:
        """Whether items that the trainer waits for find no free place under a version that they allow, and would not be
        done well before they are due where the others run."""
        run, now = self.runs.get(reign.run), self.st.clock.now()
        if run is None:
            return False
        for lid, q in run.queues.items():
            lot = reign.lots.get(lid)
            if lot is None or lot.model != model or lot.ended or not q.wanted(now):
                continue
            fit = [
                e
                for e in self.st.engines.of(reign.run)
                if model not in e.held and e.revs.get(model, 1) >= lot.least and not e.draining
            ]
            if any(e.busy() < self._places(e) for e in fit):
                continue
            if not self._in_time(run, lot, q.waiting[False], sum(e.running.get(model, 0) for e in fit), now):
                return True
        return False

    def _in_time(self, run: Run, lot, waiting: int, running: int, now: float) -> bool:
        """Whether so many waiting items of a lot would be done well before it is due."""
        lane, done_s = self._lane(lot), run.times.forecast(lot.model, waiting, running)
        return lane is not None and done_s is not None and done_s <= IN_TIME * (lot.taken + lane.due_s - now)

    def _give_back(self) -> None:
        """Live requests are back: break off the newest items over the places that are left. What is made of their
        texts is kept, and they go on where it ends."""
        if not self.lull.busy:
            return
        for run in self.runs.values():
            over: dict = {}
            for e in self.st.engines.of(run.reign.run):
                n = e.busy() - self._places(e)
                if n > 0:
                    over[e.iid] = n
            if not over:
                continue
            here: dict = {}
            for win in run.windows.values():
                for x in win.locked.values():
                    if x.engine is not None and x.engine.iid in over:
                        here.setdefault(x.engine.iid, []).append(x)
            for iid, rows in here.items():
                n = over[iid] - sum(1 for x in rows if x.recalled)
                for x in sorted((x for x in rows if not x.recalled), key=lambda x: -x.until)[: max(0, n)]:
                    x.recalled = True
                    self._break_off(run, x, RECALL)
                    self.st.ctr.add("item.recalled")

    def _lane(self, lot):
        """The lane that a lot came by; None if the configuration has it no more."""
        plan = self.st.plan
        return plan.lane(lot.host, lot.path.split("?", 1)[0]) if plan is not None else None

    def _move_on(self) -> None:
        """A planned move: entries that run where they should no longer run are recalled, as far as there are free
        places where they go on; their texts are kept."""
        st = self.st
        if not any(move.settling for move in st.placement.moves.all):
            return
        for run in self.runs.values():
            lanes = {lid: self._lane(run.reign.lots[lid]) for lid in run.queues if lid in run.reign.lots}
            for lid, lane in lanes.items():
                if lane is not None:
                    self._leave_homes(run.queues[lid], lane)
            held = [entry for window in run.windows.values() for entry in window.locked.values()]
            leaving = [entry for entry in held if self._leaves(entry, lanes.get(entry.lot.lid))]
            room = self._room_for(run, [lanes[entry.lot.lid] for entry in leaving])
            room -= sum(q.waiting[0] + q.waiting[1] for q in run.queues.values())
            room -= sum(1 for entry in leaving if entry.recalled)
            fresh = sorted((entry for entry in leaving if not entry.recalled), key=lambda entry: -entry.until)
            for entry in fresh[: max(0, room)]:
                entry.recalled = True
                self._break_off(run, entry, RECALL)
                st.ctr.add("item.moved_on")

    def _leaves(self, entry: Entry, lane) -> bool:
        return (
            lane is not None
            and entry.engine is not None
            and not entry.settling
            and self.st.placement.leaves(lane, entry.engine.zone)
        )

    def _leave_homes(self, queue: LotQueue, lane) -> None:
        """Groups that wait for a replica which they should no longer use may stand elsewhere."""
        for group, iid in list(queue.homes.items()):
            engine = self.st.engines.all.get(iid)
            if engine is not None and self.st.placement.leaves(lane, engine.zone):
                queue.forget_home(group)

    def _room_for(self, run: Run, lanes: list) -> int:
        """Free places where any of these lanes may run."""
        now, placement = self.st.clock.now(), self.st.placement
        zones = {zone for lane in {id(x): x for x in lanes}.values() for zone in placement.zones(lane) or ()}
        engines = [e for e in self.st.engines.of(run.reign.run) if e.zone in zones]
        return sum(max(0, self._open(e, now)) for e in engines)

    # -- fetch

    def _run_of(self, doc: dict) -> Run:
        self.sync_if_new(doc["run"])
        run = self.runs.get(doc["run"])
        if run is None or run.reign.state != "holding" or self.st.leaving:
            raise Refusal(3005)
        if run.reign.term != doc["epoch"]:
            self.st.ctr.add("share.other_epoch")
            raise Refusal(3007, run.reign.term)
        return run

    def sync_if_new(self, name: str) -> None:
        """A reign that just began has its windows before the first worker asks."""
        reign = self.st.reigns.get(name)
        if (
            reign is not None
            and reign.state == "holding"
            and (name not in self.runs or self.runs[name].reign is not reign)
        ):
            self.sync()

    async def fetch(self, doc: dict):
        """A worker's poll: what it read of earlier batches, which streams ended, and, under a new epoch, what it still
        holds. Answers with a batch in increasing offset order, or empty when its time is up."""
        st = self.st
        run = self._run_of(doc)
        now = st.clock.now()
        seat = run.seats.get(doc["worker"])
        if seat is None or seat.life != doc["life"]:
            if doc["holding"] is None:  # it was given up, or this leader is new: first it says what it holds
                raise Refusal(3007, run.reign.term)
            if seat is not None:
                self._free(run, seat.worker, "worker_gone")
            seat = run.seats[doc["worker"]] = Seat(doc["worker"], doc["life"], doc["zone"])
        if doc["poll"] < seat.poll:
            return {"old": True}, b"[]"
        seat.poll, seat.heard, seat.lag = doc["poll"], now, doc["lag"]
        key = ("seat", doc["run"], seat.worker)
        st.board.touch(key)
        for n in doc["got"]:
            seat.unread.pop(n, None)
        for part, offset, delivery in doc["off"]:
            self._stream_ended(run, seat.worker, part, offset, delivery)
        kept = self._attach(run, seat, doc["holding"], now) if doc["holding"] is not None else None
        end, mine = now + doc["hold"], doc["poll"]
        while True:
            turn = st.board.turn(key)
            if run.reign.state != "holding" or self.runs.get(doc["run"]) is not run:
                raise Refusal(3005)
            now = st.clock.now()
            if seat.poll != mine or run.seats.get(seat.worker) is not seat:
                return {"old": True, "kept": kept, "drop": [], "batch": None}, b"[]"
            seat.heard = now
            drop, seat.drop = seat.drop, []
            batch = self._hand_out(run, seat, now)
            if batch or drop or kept is not None or now >= end:
                n = None
                if batch:
                    seat.batch += 1
                    n = seat.batch
                    seat.unread[n] = (now, [(e, e.deliveries) for e, _ in batch])
                return {"kept": kept, "drop": drop, "batch": n}, orjson.dumps([d for _, d in batch])
            await st.board.news(key, turn, end - now)

    def _stream_ended(self, run: Run, worker: str, part: str, offset: int, delivery: int) -> None:
        win = run.windows.get(part)
        e = win.locked.get(offset) if win is not None else None
        if e is not None and e.worker == worker and e.deliveries == delivery:
            if e.engine is not None and not e.recalled:
                run.times.note(part, self.st.clock.now() - e.until + self.lock_s)
            self._unplace(e)

    def _attach(self, run: Run, seat: Seat, holding: list, now: float) -> list:
        """A worker that outlived the last leader takes up again what it still holds, each as a new acquisition."""
        kept = []
        for lid, iid, engine in holding:
            e = run.entries.get(lid, {}).get(iid)
            if e is not None and e.state is State.ACQUIRED and e.worker == seat.worker:
                kept.append([lid, iid, e.offset, e.deliveries])
                continue
            if e is None or e.state is not State.AVAILABLE or run.windows[e.lot.model].room() <= 0:
                continue
            q = run.queues[lid]
            row = q.groups.get(e.item.group)
            if row is None or e not in row:
                continue
            row.remove(e)
            q.waiting[q._surplus(e.rank)] -= 1
            run.windows[e.lot.model].acquire(e, seat.worker, now)
            eng = self.st.engines.all.get(engine) if engine else None
            if eng is not None:
                e.engine = eng
                eng.running[e.lot.model] = eng.running.get(e.lot.model, 0) + 1
            kept.append([lid, iid, e.offset, e.deliveries])
        have = {(lid, iid) for lid, iid, _, _ in kept}
        for win in run.windows.values():
            for e in [
                e
                for e in win.locked.values()
                if e.worker == seat.worker and not e.settling and (e.lot.lid, e.item.iid) not in have
            ]:
                self._again(run, e, "not_held")
        self.st.ctr.add("share.attached", len(kept))
        return kept

    def _settled_in(self, run: Run, now: float) -> bool:
        """Whether the workers of an earlier epoch have had their time to say what they still hold."""
        st = self.st
        if now - run.since >= self.quiet_s * 0.5:
            return True
        return all(sid in run.seats for sid, m in st.members().items() if m["state"] == "active" and st.alive(sid))

    def _hand_out(self, run: Run, seat: Seat, now: float) -> list:
        """Acquire entries for the free places of the engines that this worker drives."""
        if not run.reign.fresh() or not self._settled_in(run, now):
            return []
        waiting = sum(q.waiting[0] + q.waiting[1] + len(q.later) for q in run.queues.values())
        if not waiting:
            return []
        free = [(e, n) for e in self.st.engines.of(run.reign.run) if (n := self._open(e, now)) > 0]
        # while there are more places than entries, whoever asks first must not fill his engines and leave others idle
        share = math.ceil(waiting / max(1, len(free)))
        room = {e.iid: [e, min(n, share)] for e, n in free if self.driver(run, e) == seat.worker}
        out: list = []
        for surplus in (False, True):
            for _, lid, lot, lane, owner in self.due:
                if not room:
                    break
                q = run.queues.get(lid)
                if owner is not run or q is None or lot.ended or not (q.waiting[surplus] or q.later):
                    continue
                self._from_lot(run, seat, q, lot, lane, surplus, room, out, now)
        out.sort(key=lambda x: (x[0].lot.model, x[0].offset))
        if out:
            self.st.ctr.add("share.acquired", len(out))
        return out

    def _from_lot(self, run, seat, q, lot, lane, surplus, room, out, now) -> None:
        win = run.windows[lot.model]
        services = {s for s, _ in lane.split}
        fit = [
            iid
            for iid, (e, _) in room.items()
            if e.service in services
            and lot.model not in e.held
            and e.revs.get(lot.model, 1) >= lot.least
            and self.st.placement.allows(lane, e.zone)
        ]
        fit.sort(key=lambda i: (room[i][0].busy() / room[i][0].slots, room[i][0].pace))
        while fit:
            for iid in list(fit):
                e, _ = room[iid]
                entry = q.take(iid, surplus, now) if win.room() > 0 else None
                if entry is None:
                    return
                win.acquire(entry, seat.worker, now)
                entry.engine = e
                e.running[lot.model] = e.running.get(lot.model, 0) + 1
                version = e.revs.get(lot.model, 1)
                if not entry.fits(version, lane.single):
                    entry.drop_text()
                out.append((entry, self._card(entry, e, version, lane)))
                room[iid][1] -= 1
                if room[iid][1] <= 0:
                    fit.remove(iid)
                    del room[iid]

    def _card(self, x: Entry, e, version: int, lane) -> dict:
        """An acquired entry as its worker gets it."""
        it, lot = x.item, x.lot
        return {
            "part": lot.model,
            "off": x.offset,
            "dc": x.deliveries,
            "lot": lot.lid,
            "iid": it.iid,
            "host": lot.host,
            "path": it.path,
            "heads": it.heads,
            "payload": it.payload,
            "scorer": it.scorer,
            "least": lot.least,
            "single": lane.single,
            "sends": lane.sends,
            "version": version,
            "engine": e.iid,
            "addr": e.addr,
            "service": e.service,
            "texts": x.texts,
            "last": x.last_id,
            "versions": sorted(x.versions),
            "fails": x.fails,
            "key": [x.rank >= lot.want > 0, lot.taken + lane.due_s, x.rank],
            "lock": self.lock_s,
        }

    # -- settlement

    async def commit(self, doc: dict, body: bytes):
        """A worker's settlements. Each counts once its copies are synced under this epoch; the answer says which."""
        run = self._run_of(doc)
        rows = orjson.loads(body)
        outs = await asyncio.gather(*(self._settle(run, doc["worker"], row) for row in rows))
        self.st.board.touch("work")
        return {"done": outs}

    async def _settle(self, run: Run, worker: str, row: dict) -> bool:
        win = run.windows.get(row["part"])
        try:
            if win is None:
                raise BadMove(f"{row['part']}: no such partition")
            e = win.held(row["off"], worker, row["dc"])
        except BadMove:
            self.st.ctr.add("share.refused")
            return False
        self._learn(e, row)
        if e.settling:
            return False
        self._unplace(e)
        if row["kind"] == "release":
            return self._release(run, win, e, row)
        e.settling = True
        try:
            await run.reign.list_result(e.lot, e.item.iid, row["doc"])
        except Deposed:
            run.reign.over()
            raise Refusal(3005) from None
        finally:
            e.settling = False
        if e.item.iid not in e.lot.done:  # the reign or the lot ended meanwhile: not settled
            return False
        if e.state is State.ACQUIRED:
            win.settle(e.offset, worker, row["dc"], row["kind"])
            run.entries.get(e.lot.lid, {}).pop(e.item.iid, None)
        self.st.ctr.add("share." + row["kind"])
        return True

    def _release(self, run: Run, win: Window, e: Entry, row: dict) -> bool:
        e.texts, e.last_id, e.versions = row["texts"], row["last"], set(row["versions"])
        e.fails = max(e.fails, row["fails"])
        if row["forget_home"]:
            q = run.queues.get(e.lot.lid)
            if q is not None:
                q.forget_home(e.item.group)
        # a delivery count never ends an item: the rules name what may. One that came back often waits longer.
        pause = row["pause"] + min(self.quiet_s, 0.02 * max(0, e.deliveries - 5))
        win.held(e.offset, e.worker, e.deliveries)
        self._again(run, e, "release", pause if pause > 0.001 else 0.0)
        return True

    def _learn(self, x: Entry, row: dict) -> None:
        """What the run showed of its replica: health and versions are judged here, in one place."""
        st, now = self.st, self.st.clock.now()
        e = st.engines.all.get(row["engine"])
        if e is None:
            return
        for sign, rest in row["signs"]:
            if sign == "served" and st.placement.policy is not None:
                st.picker.proofs[e.service, e.zone] = now  # a sign of life of its region
            if sign == "gone":
                st.engines.drop(e.iid)
                return
            if sign == "doubt":
                st.orders.doubt(e)
                e.pause_until = now + st.gap_s() * 0.4
            elif sign == "full":
                e.pause_until = now + st.gap_s() * 0.2
            elif sign == "version":
                e.proven(x.lot.model, rest)
            elif sign == "pace":
                e.pace += 0.1 * (rest - e.pace)
            else:
                e.fitness.note(sign, now, rest)

    # -- state

    async def persist(self) -> None:
        """Write what changed of the windows, a delta or a snapshot each, with the copies of any settlement."""
        while True:
            await asyncio.sleep(self.st.beat_s * 2)
            for run in list(self.runs.values()):
                recs = [r for part, win in run.windows.items() if (r := run.journals[part].next(win)) is not None]
                for rec in recs:
                    try:
                        await run.reign.note(rec)
                    except Deposed:
                        self.st.ctr.add("share.zombie_write")
                        run.reign.over()
                        break
