"""Acquires entries for a worker: which of them, for which free slots (KIP-932: only the leader acquires)."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from .hosts import LeaderHost
from .job_queue import JobQueue
from .led_partitions import LedPartitions, WorkerState
from .led_runs import LedRuns, OpenJob
from .messages import acquired_record_document
from .replica_slots import ReplicaSlots, has_model
from .window import ShareEntry

if TYPE_CHECKING:
    from ..rollout_controller.engines import Engine

REATTACH_QUIET_SHARE = 0.5  # of quiet_s: how long a new leader waits for workers to say what they still hold


@dataclass(slots=True)
class FreeSlots:
    """The slots of one engine that a batch may still fill."""

    engine: Engine
    count: int


class AcquiredItem(NamedTuple):
    """An entry of a batch, with the document that its worker gets."""

    entry: ShareEntry
    document: dict


class EntryAcquisition:
    """Fills free slots of replicas with entries, those of the earliest due batch jobs first.

    Attributes:
        host: What is used of the node.
        led_runs: The runs and their open batch jobs.
        slots: The replicas' slots.
    """

    def __init__(self, host: LeaderHost, led_runs: LedRuns, slots: ReplicaSlots) -> None:
        self.host = host
        self.led_runs = led_runs
        self.slots = slots

    def acquire_batch(self, run: LedPartitions, worker: WorkerState, now: float) -> list[AcquiredItem]:
        """Acquires entries for the free slots of the engines that a worker drives.

        Args:
            run: The run.
            worker: The worker.
            now: The time, by the steady clock.

        Returns:
            The acquired entries by partition in increasing offset order.
        """
        if not run.leadership.is_confirmed() or not self._is_reattach_over(run, now):
            return []
        free = self._free_slots(run, worker, now)
        batch: list[AcquiredItem] = []
        for is_surplus in (False, True):
            for job in self.led_runs.open_jobs:
                if not free:
                    break
                queue = run.queues.get(job.batch_job.job_id)
                if job.run is not run or queue is None or job.batch_job.is_ended:
                    continue
                if queue.waiting_count(is_surplus) or queue.delayed:
                    self._acquire_from_job(worker, queue, job, is_surplus, free, batch, now)
        batch.sort(key=lambda item: (item.entry.batch_job.model, item.entry.offset))
        if batch:
            self.host.counters.add("share.acquired", len(batch))
        return batch

    def _is_reattach_over(self, run: LedPartitions, now: float) -> bool:
        """Whether the workers of an earlier epoch have had their time to say what they still hold."""
        if now - run.led_since >= self.host.quiet_s * REATTACH_QUIET_SHARE:
            return True
        return all(
            member_id in run.workers
            for member_id, member in self.host.members().items()
            if member["state"] == "active" and self.host.alive(member_id)
        )

    def _free_slots(self, run: LedPartitions, worker: WorkerState, now: float) -> dict[str, FreeSlots]:
        """By engine id, the free slots of the worker's engines, none if no entry waits.

        While there are more free slots than entries, each engine gets an even share: whoever asks first must not fill
        its engines and leave the others idle.
        """
        waiting = sum(queue.wanted_count + queue.surplus_count + len(queue.delayed) for queue in run.queues.values())
        if not waiting:
            return {}
        free = [
            (engine, count)
            for engine in self.slots.engines_of(run)
            if (count := self.slots.free_slots(engine, now)) > 0
        ]
        even_share = math.ceil(waiting / max(1, len(free)))
        return {
            engine.instance_id: FreeSlots(engine, min(count, even_share))
            for engine, count in free
            if self.slots.driver_of(run, engine) == worker.worker_id
        }

    def _acquire_from_job(  # noqa: PLR0913, PLR0917 - the state of one batch in the making, on the hot path
        self,
        worker: WorkerState,
        queue: JobQueue,
        job: OpenJob,
        is_surplus: bool,
        free: dict[str, FreeSlots],
        batch: list[AcquiredItem],
        now: float,
    ) -> None:
        """Acquires entries of one batch job, one for each fitting engine in turn; takes filled slots out of free."""
        batch_job, route = job.batch_job, job.route
        model = batch_job.model
        window = job.run.windows[model]
        engine_ids = self._fitting_engines(job, free)
        while engine_ids:
            for engine_id in list(engine_ids):
                slots = free[engine_id]
                engine = slots.engine
                entry = queue.take(engine_id, is_surplus, now) if window.free_locks() > 0 else None
                if entry is None:
                    return
                window.acquire(entry, worker.worker_id, now)
                entry.take_slot(engine)
                model_version = engine.revisions.get(model, 1)
                if not entry.fits(model_version, route.is_single_version):
                    entry.drop_text()
                document = acquired_record_document(entry, engine, model_version, route, window.lock_s)
                batch.append(AcquiredItem(entry, document))
                slots.count -= 1
                if slots.count <= 0:
                    engine_ids.remove(engine_id)
                    del free[engine_id]

    def _fitting_engines(self, job: OpenJob, free: dict[str, FreeSlots]) -> list[str]:
        """The engines that may run a batch job's items, the least loaded and then the fastest first."""
        batch_job, route = job.batch_job, job.route
        model = batch_job.model
        services = {service for service, _ in route.traffic_split}
        fitting = [
            engine_id
            for engine_id, slots in free.items()
            if slots.engine.service in services
            and has_model(slots.engine, job.run, model)
            and model not in slots.engine.held_models
            and slots.engine.revisions.get(model, 1) >= batch_job.min_revision
            and self.host.placement.allows(route, slots.engine.zone)
        ]
        fitting.sort(
            key=lambda id_: (
                free[id_].engine.running_count() / free[id_].engine.slots,
                free[id_].engine.seconds_per_event,
            )
        )
        return fitting
