"""The leader's side of share.fetch: a worker's session, what it still holds, and the batch that answers its poll."""

from __future__ import annotations

import orjson

from .acquisition import EntryAcquisition
from .errors import LeaderEpochError, NotLeaderError
from .hosts import LeaderHost
from .led_partitions import LedPartitions, WorkerState, worker_topic
from .led_runs import LedRuns
from .lost_acquisitions import release_worker
from .messages import (
    Acquisition,
    CancelReason,
    FetchRequest,
    FetchResponse,
    HeldEntry,
    ReacquiredEntry,
    SupersededResponse,
)
from .window import EntryState, ShareEntry

EMPTY_BATCH = b"[]"


class FetchHandler:
    """Answers the polls of the workers.

    Attributes:
        host: What is used of the node.
        led_runs: The runs that are led.
        acquisition: Acquires the batches.
    """

    def __init__(self, host: LeaderHost, led_runs: LedRuns, acquisition: EntryAcquisition) -> None:
        self.host = host
        self.led_runs = led_runs
        self.acquisition = acquisition

    async def fetch(self, document: dict) -> tuple[dict, bytes]:
        """Answers a poll with a batch, or with an empty one once its time is up.

        Args:
            document: A FetchRequest.

        Returns:
            A FetchResponse, and the batch's AcquiredRecords as a JSON array.

        Raises:
            NotLeaderError: This node does not lead the run, or no longer.
            LeaderEpochError: The worker named another epoch, or must say which entries it holds.
        """
        request = FetchRequest.from_document(document)
        run = self.led_runs.find(request.run, request.leader_epoch)
        now = self.host.clock.now()
        worker = self._session(run, request)
        if request.session_epoch < worker.session_epoch:
            return SupersededResponse().to_document(), EMPTY_BATCH
        worker.session_epoch = request.session_epoch
        worker.last_poll_at = now
        worker.timer_lag_s = request.timer_lag_s
        self.host.state_board.notify(worker_topic(request.run, worker.worker_id))  # ends an earlier poll
        for number in request.received_batches:
            worker.confirm_answer(number)
        for acquisition in request.ended_streams:
            self._end_stream(run, worker.worker_id, acquisition)
        reacquired = None
        if request.held_entries is not None:
            reacquired = self._reattach(run, worker, request.held_entries, now)
        return await self._wait_for_batch(run, worker, request, reacquired, now + request.max_wait_s)

    def _session(self, run: LedPartitions, request: FetchRequest) -> WorkerState:
        """The worker's session; a new one for a worker that says what it holds.

        Raises:
            LeaderEpochError: The worker is not known, because it was given up or the leader is new.
        """
        worker = run.workers.get(request.worker_id)
        if worker is not None and worker.incarnation == request.incarnation:
            return worker
        if request.held_entries is None:
            raise LeaderEpochError(run.leadership.term)
        if worker is not None:
            release_worker(self.host, run, worker.worker_id, "share.worker_gone")
        worker = WorkerState(request.worker_id, request.incarnation, request.zone)
        run.workers[request.worker_id] = worker
        return worker

    async def _wait_for_batch(
        self,
        run: LedPartitions,
        worker: WorkerState,
        request: FetchRequest,
        reacquired: list[ReacquiredEntry] | None,
        deadline: float,
    ) -> tuple[dict, bytes]:
        """Answers as soon as there is something to tell, at the deadline, or when a newer poll came."""
        host = self.host
        topic = worker_topic(request.run, worker.worker_id)
        while True:
            turn = host.state_board.version(topic)
            if not self.led_runs.is_led(request.run, run):
                raise NotLeaderError
            now = host.clock.now()
            is_newest = worker.session_epoch == request.session_epoch
            if not is_newest or run.workers.get(worker.worker_id) is not worker:
                superseded = FetchResponse(is_superseded=True, reacquired_entries=reacquired)
                return superseded.to_document(), EMPTY_BATCH
            worker.last_poll_at = now
            batch = self.acquisition.acquire_batch(run, worker, now)
            if batch or worker.cancellations or reacquired is not None or now >= deadline:
                acquisitions = [(item.entry, item.entry.delivery_count) for item in batch]
                response = FetchResponse(
                    reacquired_entries=reacquired,
                    cancellations=list(worker.cancellations),
                    batch_number=worker.number_answer(acquisitions, now),
                )
                return response.to_document(), orjson.dumps([item.document for item in batch])
            await host.state_board.wait_for_change(topic, turn, deadline - now)

    def _end_stream(self, run: LedPartitions, worker_id: str, acquisition: Acquisition) -> None:
        """Frees the slot of an entry whose stream ended, and notes how long the stream took."""
        window = run.windows.get(acquisition.partition)
        entry = window.locked.get(acquisition.offset) if window is not None else None
        if window is None or entry is None or not entry.is_acquired_by(worker_id, acquisition.delivery_count):
            return
        if entry.engine is not None and not entry.is_recalled:
            took_s = self.host.clock.now() - entry.locked_until + window.lock_s
            run.times.note(acquisition.partition, took_s)
        entry.free_slot()

    def _reattach(
        self, run: LedPartitions, worker: WorkerState, held_entries: list[HeldEntry], now: float
    ) -> list[ReacquiredEntry]:
        """Acquires for a worker again what it still holds from an earlier leader epoch.

        Entries that it is known to have acquired but does not name are released.
        """
        reacquired = []
        for held in held_entries:
            entry = run.entries.get(held.job_id, {}).get(held.item_id)
            if entry is not None and self._reacquire(run, worker, entry, held, now):
                reacquired.append(ReacquiredEntry(held.job_id, held.item_id, entry.offset, entry.delivery_count))
        kept = {(held.job_id, held.item_id) for held in reacquired}
        for window in run.windows.values():
            missing = [
                entry
                for entry in window.locked.values()
                if entry.worker == worker.worker_id
                and not entry.is_acknowledging
                and (entry.batch_job.job_id, entry.item.item_id) not in kept
            ]
            for entry in missing:
                self.host.counters.add("share.not_held")
                run.cancel(entry, CancelReason.EXPIRED)  # a batch with it may still be on its way to the worker
                run.release(entry)
        self.host.counters.add("share.attached", len(reacquired))
        return reacquired

    def _reacquire(
        self, run: LedPartitions, worker: WorkerState, entry: ShareEntry, held: HeldEntry, now: float
    ) -> bool:
        """Acquires one held entry for its worker; returns False if it may not keep it."""
        if entry.state is EntryState.ACQUIRED and entry.worker == worker.worker_id:
            return True
        window = run.windows[entry.batch_job.model]
        if entry.state is not EntryState.AVAILABLE or window.free_locks() <= 0:
            return False
        if not run.queues[held.job_id].remove(entry):
            return False
        window.acquire(entry, worker.worker_id, now)
        engine = self.host.engines.all.get(held.engine_id) if held.engine_id else None
        if engine is not None:
            entry.take_slot(engine)
        return True
