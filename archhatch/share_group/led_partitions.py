"""The state that a leader keeps of one run: its share partitions, its batch jobs' entries and its workers."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .job_queue import JobQueue
from .messages import Cancellation, CancelReason
from .run_times import RunTimes
from .window import EntryState, ShareEntry, SharePartition
from .window_journal import WindowJournal

if TYPE_CHECKING:
    from ..jobs import BatchJob
    from ..runtime import Counters
    from .hosts import Leadership


@dataclass(frozen=True, slots=True)
class UnconfirmedBatch:
    """A batch that its worker has not confirmed yet.

    Attributes:
        sent_at: When it was handed out, by the steady clock.
        acquisitions: Its entries, each with the delivery count of the acquisition.
    """

    sent_at: float
    acquisitions: list[tuple[ShareEntry, int]]


@dataclass(slots=True)
class WorkerState:
    """A worker's share session at this leader (KIP-932).

    Attributes:
        worker_id: The worker's member id.
        incarnation: The start of its process.
        zone: Where it stands.
        last_poll_at: When it was last served, by the steady clock.
        timer_lag_s: How late its timers fire.
        session_epoch: Number of its newest poll; older ones are answered at once.
        cancellations: What it is to stop: in every answer until the worker confirms one that carried it.
        last_batch: Number of the last answer that carried something.
        unconfirmed_batches: Batches by number until the worker confirms them.
        unconfirmed_cancellations: The cancellations that numbered answers carried, until the worker confirms one.
    """

    worker_id: str
    incarnation: str
    zone: str = ""
    last_poll_at: float = 0.0
    timer_lag_s: float = 0.0
    session_epoch: int = 0
    cancellations: list[Cancellation] = field(default_factory=list)
    last_batch: int = 0
    unconfirmed_batches: dict[int, UnconfirmedBatch] = field(default_factory=dict)
    unconfirmed_cancellations: dict[int, list[Cancellation]] = field(default_factory=dict)

    def number_answer(self, acquisitions: list[tuple[ShareEntry, int]], now: float) -> int | None:
        """Numbers an answer, and keeps what it carries until the worker confirms it.

        Args:
            acquisitions: The entries of its batch, each with the delivery count of the acquisition.
            now: The time, by the steady clock.

        Returns:
            The number; None if the answer carries neither a batch nor cancellations.
        """
        if not acquisitions and not self.cancellations:
            return None
        self.last_batch += 1
        if acquisitions:
            self.unconfirmed_batches[self.last_batch] = UnconfirmedBatch(now, acquisitions)
        if self.cancellations:
            self.unconfirmed_cancellations[self.last_batch] = list(self.cancellations)
        return self.last_batch

    def confirm_answer(self, number: int) -> None:
        """Takes up that a numbered answer has arrived."""
        self.unconfirmed_batches.pop(number, None)
        confirmed = self.unconfirmed_cancellations.pop(number, [])
        self.cancellations = [cancellation for cancellation in self.cancellations if cancellation not in confirmed]
        if not self.cancellations:
            self.unconfirmed_cancellations.clear()


def worker_topic(run: str, worker_id: str) -> str:
    """Returns the state-board topic on which a worker's poll waits."""
    return f"share-worker:{run}:{worker_id}"


class LedPartitions:
    """The share partitions of one run, for as long as one leadership term lasts.

    Attributes:
        leadership: The leadership term.
        led_since: When this state was made, by the steady clock.
        lock_s: Duration of an acquisition lock.
        max_locks: How many entries of a partition may be acquired at a time.
        windows: The share partitions by model.
        journals: Their records on disk.
        queues: The Available entries of each open batch job.
        entries: By batch job and item, the entries that are not final.
        workers: The workers' sessions.
        drivers: Cache of ReplicaSlots.driver_of: the worker of each engine.
        drivers_key: The workers and zones that the cache was made from.
        times: The durations of the items' streams.
        services: The services to whose replicas the routes of the open batch jobs lead now.
        is_handing_over: Whether another store is about to lead: workers keep what they have for it.
    """

    def __init__(self, leadership: Leadership, now: float, lock_s: float, max_locks: int) -> None:
        self.leadership = leadership
        self.led_since = now
        self.lock_s = lock_s
        self.max_locks = max_locks
        self.windows: dict[str, SharePartition] = {}
        self.journals: dict[str, WindowJournal] = {}
        self.queues: dict[str, JobQueue] = {}
        self.entries: dict[str, dict[str, ShareEntry]] = {}
        self.workers: dict[str, WorkerState] = {}
        self.drivers: dict[str, str] = {}
        self.drivers_key: tuple[tuple[str, str], ...] = ()
        self.times = RunTimes()
        self.services: set[str] = {leadership.run}
        self.is_handing_over = False

    def restore(self, counters: Counters) -> None:
        """Builds the windows from the records that the stores reported at takeover."""
        found: dict[str, list[tuple[dict, bytes]]] = {}
        for head, body in self.leadership.window_records:
            found.setdefault(head["part"], []).append((head, body))
        for partition, records in found.items():
            window = self._window(partition)
            self.journals[partition].restore(window, records, counters)

    def _window(self, partition: str) -> SharePartition:
        """Returns a share partition; makes it if it is new."""
        window = self.windows.get(partition)
        if window is None:
            window = SharePartition(
                partition,
                self.leadership.term,
                self.lock_s,
                self.max_locks,
                lambda: self.leadership.allot_offsets(partition, 1),
            )
            self.windows[partition] = window
            self.journals[partition] = WindowJournal(self.leadership.run, partition)
        return window

    def add_job(self, batch_job: BatchJob) -> None:
        """Adds the entries of a batch job, but for items whose results are listed or being listed."""
        window = self._window(batch_job.model)
        queue = self.queues[batch_job.job_id] = JobQueue(batch_job.desired_count)
        entries = self.entries[batch_job.job_id] = {}
        ranks: dict[str, int] = {}
        for item in batch_job.items.values():
            rank = ranks.setdefault(item.group, len(ranks))
            offset = batch_job.base_offset + item.at
            if item.item_id in batch_job.positioned_items:
                window.skip_final(offset)
                continue
            entry = window.append(batch_job, item, rank, offset)
            entries[item.item_id] = entry
            queue.put(entry)

    def drop_job(self, job_id: str) -> None:
        """Archives the entries of a batch job that ended, and cancels those that run."""
        for entry in self.entries.pop(job_id, {}).values():
            if entry.state is EntryState.ACQUIRED:
                self.cancel(entry, CancelReason.ENDED)
            entry.free_slot()
            self.windows[entry.batch_job.model].archive(entry)
        self.queues.pop(job_id, None)

    def cancel(self, entry: ShareEntry, reason: CancelReason) -> None:
        """Has the entry's worker told to stop running it."""
        worker = self.workers.get(entry.worker)
        if worker is not None:
            worker.cancellations.append(Cancellation(entry.batch_job.model, entry.offset, entry.delivery_count, reason))

    def release(self, entry: ShareEntry, not_before: float = 0.0) -> None:
        """Makes an acquired entry Available again, at the head of its group.

        Args:
            entry: The entry.
            not_before: Earliest time of its next acquisition, by the steady clock; 0 if at once.
        """
        entry.free_slot()
        self.windows[entry.batch_job.model].release_lock(entry)
        entry.not_before = not_before
        queue = self.queues.get(entry.batch_job.job_id)
        if queue is not None:
            queue.put(entry, front=True)
