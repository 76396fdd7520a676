"""Acquisitions that no acknowledgement will end: expired locks, workers that are gone, batches that never arrived."""

from __future__ import annotations

from .hosts import LeaderHost
from .led_partitions import LedPartitions, WorkerState
from .messages import CancelReason

SILENT_WORKER_RATIO = 2  # a worker is gone after this multiple of quiet_s without a poll: polls come each quiet_s


def release_worker(host: LeaderHost, run: LedPartitions, worker_id: str, counter: str) -> None:
    """Makes all entries of a worker Available again, but for those that are being acknowledged."""
    for window in run.windows.values():
        held = [entry for entry in window.locked.values() if entry.worker == worker_id and not entry.is_acknowledging]
        for entry in held:
            host.counters.add(counter)
            run.release(entry)


def release_lost(host: LeaderHost, run: LedPartitions, now: float) -> None:
    """Makes the entries of all lost acquisitions of a run Available again."""
    for worker in list(run.workers.values()):
        _release_lost_batches(host, run, worker, now)
        is_silent = now - worker.last_poll_at > host.quiet_s * SILENT_WORKER_RATIO
        if not host.alive(worker.worker_id) or is_silent:
            del run.workers[worker.worker_id]
            release_worker(host, run, worker.worker_id, "share.worker_gone")
    for window in run.windows.values():
        for entry in window.expired(now):
            run.cancel(entry, CancelReason.EXPIRED)
            host.counters.add("share.lock_expired")
            run.release(entry)


def _release_lost_batches(host: LeaderHost, run: LedPartitions, worker: WorkerState, now: float) -> None:
    """Takes back batches whose arrival the worker did not confirm in time, and has it stop what it may run of them."""
    for number, batch in list(worker.unconfirmed_batches.items()):
        if now - batch.sent_at <= host.quiet_s:
            continue
        del worker.unconfirmed_batches[number]
        for entry, delivery_count in batch.acquisitions:
            if entry.is_acquired_by(worker.worker_id, delivery_count):
                host.counters.add("share.batch_lost")
                run.cancel(entry, CancelReason.EXPIRED)
                run.release(entry)
