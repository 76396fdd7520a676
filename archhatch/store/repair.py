"""The upkeep of what this store keeps: copies of the runs that it leads, old jobs, the log's length, its disk."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Protocol

from ..jobs import Record, pack
from ..wal import LogError

if TYPE_CHECKING:
    from ..jobs import RecordStore
    from ..rollout_controller import LeadershipTerm
    from ..runtime import Clock, Settings, StateBoard
    from ..wal import WriteAheadLog
    from .disk import DiskState

IDLE_ROUND_HEARTBEATS = 3  # between rounds while the stores do not change and no copy is lacking
PROBE_BYTES = 4096  # what a disk must take before it counts as taking records again
KEEP_STATUS_PERIODS = 2  # StatusS: for how long an ended job's body and results are kept after its end
FORGET_LEASE_PERIODS = 2  # LeaseMs: for how long the intent of an order is kept


class RepairHost(Protocol):
    """What the upkeep uses of its store."""

    settings: Settings
    clock: Clock
    log: Any
    state_board: StateBoard
    heartbeat_interval_s: float
    leaderships: dict[str, LeadershipTerm]
    record_store: RecordStore
    disk: DiskState
    wal: WriteAheadLog


class Repair:
    """Runs rounds of upkeep, at once when the stores change."""

    def __init__(self, store: RepairHost) -> None:
        self.store = store

    async def run(self) -> None:
        """Runs one round after the other."""
        store = self.store
        turn = 0
        while True:
            lacks_copies = any(leadership.needs_repair() for leadership in store.leaderships.values())
            heartbeats = 1 if lacks_copies else IDLE_ROUND_HEARTBEATS
            turn = await store.state_board.wait_for_change("members", turn, store.heartbeat_interval_s * heartbeats)
            await self.run_round()

    async def run_round(self) -> None:
        """Repairs all runs that this store leads, side by side; then drops and shortens what nobody needs."""
        store = self.store
        holding = [leadership for leadership in store.leaderships.values() if leadership.state == "holding"]
        await asyncio.gather(*(leadership.repair() for leadership in holding))
        for leadership in holding:
            leadership.forget_old_jobs()
        keep_s = store.settings.seconds("StatusS", KEEP_STATUS_PERIODS)
        store.record_store.strip(store.clock.now() - keep_s)
        store.record_store.forget_orders(store.settings.seconds("LeaseMs", FORGET_LEASE_PERIODS))
        await store.record_store.rewrite_if_due()

    async def probe_disk(self) -> None:
        """Tries a disk that took nothing until it takes a small record again."""
        store = self.store
        while True:
            await asyncio.sleep(store.heartbeat_interval_s)
            if store.disk.should_probe():
                await self.write_probe()

    async def write_probe(self) -> None:
        """Writes a record that means nothing: a promise of no run's term 0."""
        store = self.store
        probe = pack(Record({"k": "P", "run": "", "term": 0}, bytes(PROBE_BYTES)))
        try:
            await store.disk.watch(store.wal.append(probe))
        except LogError:
            return  # the failure is noted by the watch, and the disk rests longer
        store.disk.note_recovery()
        store.log.info("disk: a probe was synced, it takes records again, probe_bytes={}", PROBE_BYTES)
