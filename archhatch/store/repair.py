"""The upkeep of what this store keeps: copies of the runs that it leads, old lots, the log's length, its disk."""

from __future__ import annotations

import asyncio

from ..jobs import Record, pack
from ..wal import LogError

PACE = 3  # heartbeats between rounds while the stores do not change and no copy is lacking
PROBE_BYTES = 4096  # what a disk must take before it counts as taking records again


class Repair:
    """Rounds of upkeep, at once when the stores change.

    >>> # repair = Repair(store); task_group.run_forever("mend", repair.run)
    >>> # task_group.run_forever("disk", repair.probe_disk)
    """

    def __init__(self, store):
        self.store = store

    async def run(self) -> None:
        """One round after the other."""
        store, turn = self.store, 0
        while True:
            lacking = any(leadership.needs_repair() for leadership in store.leaderships.values())
            turn = await store.state_board.wait_for_change(
                "members", turn, store.heartbeat_interval_s * (1 if lacking else PACE)
            )
            await self.round()

    async def round(self) -> None:
        """Mend all runs that this store leads, side by side; then forget and shorten what nobody needs."""
        store = self.store
        holding = [leadership for leadership in store.leaderships.values() if leadership.state == "holding"]
        await asyncio.gather(*(leadership.repair() for leadership in holding))
        for leadership in holding:
            leadership.forget_old_jobs()
        keep_s, now = store.settings.seconds("StatusS", 2), store.clock.now()
        old = [
            job_id
            for job_id, stored in store.record_store.batch_jobs.items()
            if stored.end is not None and now - stored.stored_at > keep_s
        ]
        store.record_store.forget(old, store.settings.seconds("LeaseMs", 2))
        await store.record_store.rewrite_if_due()

    async def probe_disk(self) -> None:
        """Try a disk that took nothing until it takes a small record again."""
        store = self.store
        while True:
            await asyncio.sleep(store.heartbeat_interval_s)
            if store.disk.may_probe():
                await self.probe()

    async def probe(self) -> None:
        """Write a record that means nothing: a promise of no run's term 0."""
        store = self.store
        raw = pack(Record({"k": "P", "run": "", "term": 0}, bytes(PROBE_BYTES)))
        try:
            await store.disk.watch(store.wal.append(raw))
        except LogError:
            return
        store.disk.recovered()
        store.log.info("the disk takes records again")
