"""The share-partition leader (KIP-932): it alone acquires entries for workers, and takes their settlements."""

from __future__ import annotations

import asyncio
import math

import orjson

from ..jobs import DeposedError
from ..rpc import CallRefusedError
from .window_journal import WindowJournal
from .led_partitions import LedPartitions, WorkerState
from .replica_slots import ReplicaSlots, lane_of
from .job_queue import JobQueue
from .recalls import Recalls
from .acknowledgements import Acknowledgements
from .window import ShareEntry, EntryState, SharePartition


class PartitionLeader:
    """Fills the places of the engines with entries, the most urgent lots first, through the workers that ask.

    >>> # leader = PartitionLeader(store); task_group.run_forever("leader", leader.run);
    >>> # doc, body = await leader.fetch(doc)
    """

    def __init__(self, store, lock_s: float = 30.0, max_locks: int = 200):
        self.store = store
        self.lock_s, self.max_locks = lock_s, max_locks
        self.runs: dict[str, LedPartitions] = {}
        self.slots = ReplicaSlots(store)
        self.due: list = []  # open lots, the most urgent first: (due, lot id, lot, lane, run)
        self.quiet_s = store.quiet_s
        self.recalls, self.settlements = Recalls(self), Acknowledgements(self)

    async def run(self) -> None:
        store, turn = self.store, 0
        while True:
            self.slots.load_limit.update(store.config_watcher.live_totals)
            self.sync()
            self.recalls.recall_for_live_requests()
            self.recalls.recall_for_moves()
            self.notify_workers()
            turn = await store.state_board.wait_for_change("work", turn, store.heartbeat_interval_s * 0.5)

    # -- what there is to do

    def sync(self) -> None:
        """Fold reigns and lots: new lots get their entries, ended ones lose what still runs."""
        store, now = self.store, self.store.clock.now()
        for name in [
            n
            for n, r in self.runs.items()
            if r.leadership is not store.leaderships.get(n) or r.leadership.state != "holding"
        ]:
            self._close(name)
        self.due = []
        for name, leadership in store.leaderships.items():
            if leadership.state != "holding":
                continue
            run = self.runs.get(name)
            if run is None:
                run = self.runs[name] = LedPartitions(leadership, now)
                self._restore(run)
            for job_id in [
                k for k in run.queues if k not in leadership.batch_jobs or leadership.batch_jobs[k].is_ended
            ]:
                self._drop_lot(run, job_id)
            for batch_job in leadership.batch_jobs.values():
                if batch_job.is_ended or (
                    batch_job.listed_count >= batch_job.total and batch_job.job_id not in run.queues
                ):
                    continue
                route = lane_of(store.plan, batch_job)
                if batch_job.job_id not in run.queues:
                    self._take_lot(run, batch_job)
                if route is not None and run.entries[batch_job.job_id]:
                    self.due.append((batch_job.accepted_at + route.due_s, batch_job.job_id, batch_job, route, run))
            self._take_back(run, now)
        self.due.sort(key=lambda x: x[:2])

    def _restore(self, run: LedPartitions) -> None:
        """Build the windows of the run's partitions from what the stores told of them."""
        found: dict[str, list] = {}
        for head, body in run.leadership.window_records:
            found.setdefault(head["part"], []).append((head, body))
        for shard, records in found.items():
            self._window(run, shard)
            run.journals[shard].restore(run.windows[shard], records, self.store.counters)
        for batch_job in sorted(run.leadership.batch_jobs.values(), key=lambda x: (x.base_offset, x.job_id)):
            win = self._window(run, batch_job.model)
            win.next_offset = max(win.next_offset, batch_job.base_offset + batch_job.total)

    def _window(self, run: LedPartitions, shard: str) -> SharePartition:
        win = run.windows.get(shard)
        if win is None:
            win = run.windows[shard] = SharePartition(shard, run.leadership.term, self.lock_s, self.max_locks)
            run.journals[shard] = WindowJournal(run.leadership.run, shard)
        return win

    def _take_lot(self, run: LedPartitions, batch_job) -> None:
        win = self._window(run, batch_job.model)
        q = run.queues[batch_job.job_id] = JobQueue(batch_job.desired_count)
        mine = run.entries[batch_job.job_id] = {}
        ranks: dict = {}
        for it in batch_job.items.values():
            ranks.setdefault(it.group, len(ranks))
            if it.item_id in batch_job.positioned_items:
                win.skip_final(batch_job.base_offset + it.at)
                continue
            e = win.append(batch_job, it, ranks[it.group], batch_job.base_offset + it.at)
            mine[it.item_id] = e
            q.put(e)

    def _drop_lot(self, run: LedPartitions, job_id: str) -> None:
        """The lot is ended: nothing of it starts any more, and what runs is broken off."""
        for e in run.entries.pop(job_id, {}).values():
            if e.state is EntryState.ACQUIRED:
                self.break_off(run, e, "ended")
            self.unplace(e)
            run.windows[e.batch_job.model].archive(e)
        run.queues.pop(job_id, None)

    def _close(self, name: str) -> None:
        run = self.runs.pop(name)
        for entries in run.entries.values():
            for e in entries.values():
                self.unplace(e)
        for seat in run.workers.values():
            self.store.state_board.notify(("seat", name, seat.worker))

    def break_off(self, run: LedPartitions, e: ShareEntry, why: str) -> None:
        seat = run.workers.get(e.worker)
        if seat is not None:
            seat.cancellations.append((e.batch_job.model, e.offset, e.delivery_count, why))

    def unplace(self, e: ShareEntry) -> None:
        if e.engine is not None:
            e.engine.running_items[e.batch_job.model] -= 1
            e.engine = None

    def _take_back(self, run: LedPartitions, now: float) -> None:
        """Locks that ran out, workers that are gone, and batches that never came: their entries are Available again."""
        store = self.store
        for seat in list(run.workers.values()):
            for n, (at, entries) in list(seat.unconfirmed_batches.items()):
                if now - at > self.quiet_s:
                    del seat.unconfirmed_batches[n]
                    for e, delivery in entries:
                        if e.state is EntryState.ACQUIRED and e.worker == seat.worker and e.delivery_count == delivery:
                            self.again(run, e, "batch_lost")
            if not store.alive(seat.worker) or now - seat.heard > self.quiet_s * 2:
                del run.workers[seat.worker]
                self._free(run, seat.worker, "worker_gone")
        for win in run.windows.values():
            for e in win.expired(now):
                self.break_off(run, e, "expired")
                self.again(run, e, "lock_expired")

    def _free(self, run: LedPartitions, worker: str, why: str) -> None:
        for win in run.windows.values():
            for e in [e for e in win.locked.values() if e.worker == worker and not e.is_acknowledging]:
                self.again(run, e, why)

    def again(self, run: LedPartitions, e: ShareEntry, why: str = "", pause: float = 0.0) -> None:
        """Make an entry Available, at the head of its group."""
        if why:
            self.store.counters.add("share." + why)
        self.unplace(e)
        run.windows[e.batch_job.model].release_lock(e)
        e.not_before = self.store.clock.now() + pause if pause > 0 else 0.0
        q = run.queues.get(e.batch_job.job_id)
        if q is not None:
            q.put(e, front=True)

    def notify_workers(self) -> None:
        """Let the polls look again whose engines have room."""
        now = self.store.clock.now()
        for name, run in self.runs.items():
            if not run.workers:
                continue
            wake = {s.worker for s in run.workers.values() if s.cancellations}
            if any(q.waiting[0] or q.waiting[1] or q.later for q in run.queues.values()):
                for e in self.store.engines.of_service(name):
                    if self.slots.free_slots(e, now) > 0:
                        wake.add(self.slots.driver_of(run, e))
            for worker in wake:
                self.store.state_board.notify(("seat", name, worker))

    def lacks_replicas(self, leadership, model: str) -> bool:
        """Whether a model's items would want more replicas that hold a version which they allow."""
        run = self.runs.get(leadership.run)
        return run is not None and self.slots.lacks_replicas(run, model)

    def demand(self) -> dict[str, float]:
        """By service, the places that the runs led here need to be done in time."""
        return {
            name: round(self.slots.demand(run), 1)
            for name, run in self.runs.items()
            if run.leadership.state == "holding"
        }

    # -- fetch

    def run_of(self, doc: dict) -> LedPartitions:
        self.sync_if_new(doc["run"])
        run = self.runs.get(doc["run"])
        if run is None or run.leadership.state != "holding" or self.store.leaving:
            raise CallRefusedError(3005)
        if run.leadership.term != doc["epoch"]:
            self.store.counters.add("share.other_epoch")
            raise CallRefusedError(3007, run.leadership.term)
        return run

    def sync_if_new(self, name: str) -> None:
        """A reign that just began has its windows before the first worker asks."""
        leadership = self.store.leaderships.get(name)
        if (
            leadership is not None
            and leadership.state == "holding"
            and (name not in self.runs or self.runs[name].leadership is not leadership)
        ):
            self.sync()

    async def fetch(self, doc: dict):
        """A worker's poll: what it read of earlier batches, which streams ended, and, under a new epoch, what it still
        holds. Answers with a batch in increasing offset order, or empty when its time is up."""
        store = self.store
        run = self.run_of(doc)
        now = store.clock.now()
        seat = run.workers.get(doc["worker"])
        if seat is None or seat.incarnation != doc["life"]:
            if doc["holding"] is None:  # it was given up, or this leader is new: first it says what it holds
                raise CallRefusedError(3007, run.leadership.term)
            if seat is not None:
                self._free(run, seat.worker, "worker_gone")
            seat = run.workers[doc["worker"]] = WorkerState(doc["worker"], doc["life"], doc["zone"])
        if doc["poll"] < seat.poll:
            return {"old": True}, b"[]"
        seat.poll, seat.heard, seat.lag = doc["poll"], now, doc["lag"]
        key = ("seat", doc["run"], seat.worker)
        store.state_board.notify(key)
        for n in doc["got"]:
            seat.unconfirmed_batches.pop(n, None)
        for shard, offset, delivery in doc["off"]:
            self._stream_ended(run, seat.worker, shard, offset, delivery)
        kept = self._attach(run, seat, doc["holding"], now) if doc["holding"] is not None else None
        end, mine = now + doc["hold"], doc["poll"]
        while True:
            turn = store.state_board.version(key)
            if run.leadership.state != "holding" or self.runs.get(doc["run"]) is not run:
                raise CallRefusedError(3005)
            now = store.clock.now()
            if seat.poll != mine or run.workers.get(seat.worker) is not seat:
                return {"old": True, "kept": kept, "drop": [], "batch": None}, b"[]"
            seat.heard = now
            drop, seat.cancellations = seat.cancellations, []
            batch = self._hand_out(run, seat, now)
            if batch or drop or kept is not None or now >= end:
                n = None
                if batch:
                    seat.batch += 1
                    n = seat.batch
                    seat.unconfirmed_batches[n] = (now, [(e, e.delivery_count) for e, _ in batch])
                return {"kept": kept, "drop": drop, "batch": n}, orjson.dumps([d for _, d in batch])
            await store.state_board.wait_for_change(key, turn, end - now)

    def _stream_ended(self, run: LedPartitions, worker: str, shard: str, offset: int, delivery: int) -> None:
        win = run.windows.get(shard)
        e = win.locked.get(offset) if win is not None else None
        if e is not None and e.worker == worker and e.delivery_count == delivery:
            if e.engine is not None and not e.recalled:
                run.times.note(shard, self.store.clock.now() - e.locked_until + self.lock_s)
            self.unplace(e)

    def _attach(self, run: LedPartitions, seat: WorkerState, holding: list, now: float) -> list:
        """A worker that outlived the last leader takes up again what it still holds, each as a new acquisition."""
        kept = []
        for job_id, iid, engine in holding:
            e = run.entries.get(job_id, {}).get(iid)
            if e is not None and e.state is EntryState.ACQUIRED and e.worker == seat.worker:
                kept.append([job_id, iid, e.offset, e.delivery_count])
                continue
            if e is None or e.state is not EntryState.AVAILABLE or run.windows[e.batch_job.model].free_locks() <= 0:
                continue
            q = run.queues[job_id]
            row = q.groups.get(e.item.group)
            if row is None or e not in row:
                continue
            row.remove(e)
            q.waiting[q._surplus(e.rank)] -= 1
            run.windows[e.batch_job.model].acquire(e, seat.worker, now)
            eng = self.store.engines.all.get(engine) if engine else None
            if eng is not None:
                e.engine = eng
                eng.running_items[e.batch_job.model] = eng.running_items.get(e.batch_job.model, 0) + 1
            kept.append([job_id, iid, e.offset, e.delivery_count])
        have = {(job_id, iid) for job_id, iid, _, _ in kept}
        for win in run.windows.values():
            for e in [
                e
                for e in win.locked.values()
                if e.worker == seat.worker
                and not e.is_acknowledging
                and (e.batch_job.job_id, e.item.item_id) not in have
            ]:
                self.again(run, e, "not_held")
        self.store.counters.add("share.attached", len(kept))
        return kept

    def _settled_in(self, run: LedPartitions, now: float) -> bool:
        """Whether the workers of an earlier epoch have had their time to say what they still hold."""
        store = self.store
        if now - run.since >= self.quiet_s * 0.5:
            return True
        return all(
            sid in run.workers for sid, m in store.members().items() if m["state"] == "active" and store.alive(sid)
        )

    def _hand_out(self, run: LedPartitions, seat: WorkerState, now: float) -> list:
        """Acquire entries for the free places of the engines that this worker drives."""
        if not run.leadership.is_confirmed() or not self._settled_in(run, now):
            return []
        waiting = sum(q.waiting[0] + q.waiting[1] + len(q.later) for q in run.queues.values())
        if not waiting:
            return []
        free = [
            (e, n)
            for e in self.store.engines.of_service(run.leadership.run)
            if (n := self.slots.free_slots(e, now)) > 0
        ]
        # while there are more places than entries, whoever asks first must not fill his engines and leave others idle
        share = math.ceil(waiting / max(1, len(free)))
        room = {e.instance_id: [e, min(n, share)] for e, n in free if self.slots.driver_of(run, e) == seat.worker}
        out: list = []
        for surplus in (False, True):
            for _, job_id, batch_job, route, owner in self.due:
                if not room:
                    break
                q = run.queues.get(job_id)
                if owner is not run or q is None or batch_job.is_ended or not (q.waiting[surplus] or q.later):
                    continue
                self._from_lot(run, seat, q, batch_job, route, surplus, room, out, now)
        out.sort(key=lambda x: (x[0].batch_job.model, x[0].offset))
        if out:
            self.store.counters.add("share.acquired", len(out))
        return out

    def _from_lot(self, run, seat, q, batch_job, route, surplus, room, out, now) -> None:
        win = run.windows[batch_job.model]
        services = {s for s, _ in route.split}
        fit = [
            iid
            for iid, (e, _) in room.items()
            if e.service in services
            and batch_job.model not in e.held_models
            and e.revisions.get(batch_job.model, 1) >= batch_job.min_revision
            and self.store.placement.allows(route, e.zone)
        ]
        fit.sort(key=lambda i: (room[i][0].running_count() / room[i][0].slots, room[i][0].seconds_per_event))
        while fit:
            for iid in list(fit):
                e, _ = room[iid]
                entry = q.take(iid, surplus, now) if win.free_locks() > 0 else None
                if entry is None:
                    return
                win.acquire(entry, seat.worker, now)
                entry.engine = e
                e.running_items[batch_job.model] = e.running_items.get(batch_job.model, 0) + 1
                version = e.revisions.get(batch_job.model, 1)
                if not entry.fits(version, route.single):
                    entry.drop_text()
                out.append((entry, self._card(entry, e, version, route)))
                room[iid][1] -= 1
                if room[iid][1] <= 0:
                    fit.remove(iid)
                    del room[iid]

    def _card(self, x: ShareEntry, e, version: int, route) -> dict:
        """An acquired entry as its worker gets it."""
        it, batch_job = x.item, x.batch_job
        return {
            "part": batch_job.model,
            "off": x.offset,
            "dc": x.delivery_count,
            "lot": batch_job.job_id,
            "iid": it.item_id,
            "host": batch_job.host,
            "path": it.path,
            "heads": it.heads,
            "tenant": batch_job.tenant,
            "payload": it.payload,
            "scorer": it.scorer,
            "least": batch_job.min_revision,
            "single": route.single,
            "sends": route.sends,
            "version": version,
            "engine": e.instance_id,
            "addr": e.address,
            "service": e.service,
            "texts": x.texts,
            "last": x.last_id,
            "versions": sorted(x.versions),
            "fails": x.fails,
            "key": [x.rank >= batch_job.desired_count > 0, batch_job.accepted_at + route.due_s, x.rank],
            "lock": self.lock_s,
        }

    async def commit(self, doc: dict, body: bytes):
        """A worker's settlements; the answer says which of them count."""
        return await self.settlements.commit(doc, body)

    # -- state

    async def persist(self) -> None:
        """Write what changed of the windows, a delta or a snapshot each, with the copies of any settlement."""
        while True:
            await asyncio.sleep(self.store.heartbeat_interval_s * 2)
            for run in list(self.runs.values()):
                records = [
                    r for shard, win in run.windows.items() if (r := run.journals[shard].next_record(win)) is not None
                ]
                for record in records:
                    try:
                        await run.leadership.replicate(record)
                    except DeposedError:
                        self.store.counters.add("share.zombie_write")
                        run.leadership.step_down()
                        break
