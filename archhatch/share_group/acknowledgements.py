"""Settlements of workers (KIP-932): accept, release and reject, each counted once its copies are synced."""

from __future__ import annotations

import asyncio

import orjson

from ..jobs import DeposedError
from ..rpc import CallRefusedError
from .led_partitions import LedPartitions
from .window import InvalidTransitionError, ShareEntry, EntryState, SharePartition


class Acknowledgements:
    """Takes the settlements of one leader's workers.

    >>> # settlements = Acknowledgements(leader); doc = await settlements.commit(doc, body)
    """

    def __init__(self, leader):
        self.leader, self.store, self.quiet_s = leader, leader.store, leader.quiet_s

    async def commit(self, doc: dict, body: bytes):
        """A worker's settlements. Each counts once its copies are synced under this epoch; the answer says which."""
        run = self.leader.run_of(doc)
        rows = orjson.loads(body)
        outs = await asyncio.gather(*(self._settle(run, doc["worker"], row) for row in rows))
        self.store.state_board.notify("work")
        return {"done": outs}

    async def _settle(self, run: LedPartitions, worker: str, row: dict) -> bool:
        win = run.windows.get(row["part"])
        try:
            if win is None:
                raise InvalidTransitionError(f"{row['part']}: no such partition")
            e = win.held(row["off"], worker, row["dc"])
        except InvalidTransitionError:
            self.store.counters.add("share.refused")
            return False
        self._learn(e, row)
        if e.is_acknowledging:
            return False
        self.leader.unplace(e)
        if row["kind"] == "release":
            return self._release(run, win, e, row)
        e.is_acknowledging = True
        try:
            await run.leadership.append_result(e.batch_job, e.item.item_id, row["doc"])
        except DeposedError:
            run.leadership.step_down()
            raise CallRefusedError(3005) from None
        finally:
            e.is_acknowledging = False
        if e.item.item_id not in e.batch_job.positioned_items:  # the reign or the lot ended meanwhile: not settled
            return False
        if e.state is EntryState.ACQUIRED:
            win.acknowledge(e.offset, worker, row["dc"], row["kind"])
            run.entries.get(e.batch_job.job_id, {}).pop(e.item.item_id, None)
        self.store.counters.add("share." + row["kind"])
        return True

    def _release(self, run: LedPartitions, win: SharePartition, e: ShareEntry, row: dict) -> bool:
        e.texts, e.last_id, e.versions = row["texts"], row["last"], set(row["versions"])
        e.fails = max(e.fails, row["fails"])
        if row["forget_home"]:
            q = run.queues.get(e.batch_job.job_id)
            if q is not None:
                q.forget_home(e.item.group)
        # a delivery count never ends an item: the rules name what may. One that came back often waits longer.
        pause = row["pause"] + min(self.quiet_s, 0.02 * max(0, e.delivery_count - 5))
        win.held(e.offset, e.worker, e.delivery_count)
        self.leader.again(run, e, "release", pause if pause > 0.001 else 0.0)
        return True

    def _learn(self, x: ShareEntry, row: dict) -> None:
        """What the run showed of its replica: health and versions are judged here, in one place."""
        store, now = self.store, self.store.clock.now()
        e = store.engines.all.get(row["engine"])
        if e is None:
            return
        for sign, rest in row["signs"]:
            if sign == "served" and store.placement.policy is not None:
                store.load_balancer.proofs[e.service, e.zone] = now  # a sign of life of its region
            if sign == "gone":
                store.engines.remove(e.instance_id)
                return
            if sign == "doubt":
                store.orders.verify_replica(e)
                e.paused_until = now + store.gap_s() * 0.4
            elif sign == "full":
                e.paused_until = now + store.gap_s() * 0.2
            elif sign == "version":
                e.record_revision(x.batch_job.model, rest)
            elif sign == "pace":
                e.seconds_per_event += 0.1 * (rest - e.seconds_per_event)
            else:
                e.health.record(sign, now, rest)
