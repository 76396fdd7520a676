"""The runs that this node leads, kept in step with its leadership terms and their batch jobs."""

from __future__ import annotations

from dataclasses import dataclass

from ..jobs import BatchJob
from ..routing.routes import Route
from .errors import LeaderEpochError, NotLeaderError
from .hosts import LEADERSHIP_HELD, LeaderHost, Leadership
from .led_partitions import LedPartitions, worker_topic
from .lost_acquisitions import release_lost
from .replica_slots import route_of


@dataclass(frozen=True, slots=True)
class OpenJob:
    """A batch job with entries that are not final.

    Attributes:
        due_at: When its results are due, by the steady clock.
        batch_job: The batch job.
        route: The route that it came by.
        run: The state of its run.
    """

    due_at: float
    batch_job: BatchJob
    route: Route
    run: LedPartitions


class LedRuns:
    """Opens and closes the state of each run, and of its batch jobs, as they come and go.

    Attributes:
        host: What is used of the node.
        lock_s: Duration of an acquisition lock.
        max_locks: How many entries of a partition may be acquired at a time.
        runs: The state of each run that is led.
        open_jobs: The open batch jobs of all runs, the earliest due first.
    """

    def __init__(self, host: LeaderHost, lock_s: float, max_locks: int) -> None:
        self.host = host
        self.lock_s = lock_s
        self.max_locks = max_locks
        self.runs: dict[str, LedPartitions] = {}
        self.open_jobs: list[OpenJob] = []

    def sync(self) -> None:
        """Takes up new leadership terms and batch jobs, drops ended ones, and releases lost acquisitions."""
        now = self.host.clock.now()
        for name in [name for name, run in self.runs.items() if not self._is_current(name, run)]:
            self._close(name)
        self.open_jobs = []
        for name, leadership in self.host.leaderships.items():
            if leadership.state != LEADERSHIP_HELD:
                continue
            run = self.runs.get(name)
            if run is None:
                run = self.runs[name] = LedPartitions(leadership, now, self.lock_s, self.max_locks)
                run.restore(self.host.counters)
            self._sync_jobs(run)
            release_lost(self.host, run, now)
        self.open_jobs.sort(key=lambda job: (job.due_at, job.batch_job.job_id))

    def _is_current(self, name: str, run: LedPartitions) -> bool:
        leadership: Leadership | None = self.host.leaderships.get(name)
        return run.leadership is leadership and leadership.state == LEADERSHIP_HELD

    def _sync_jobs(self, run: LedPartitions) -> None:
        """Takes up the batch jobs of a run, and the routes that the configuration in force gives them.

        A batch job stays with the leader of the run that accepted it, whatever becomes of its route: one leader at a
        time has it, under the run's lease. Its items go to the services to which its route leads now.
        """
        batch_jobs = run.leadership.batch_jobs
        for job_id in [job_id for job_id in run.queues if job_id not in batch_jobs or batch_jobs[job_id].is_ended]:
            run.drop_job(job_id)
        services: set[str] = set()
        for job_id, batch_job in batch_jobs.items():
            is_queued = job_id in run.queues
            if batch_job.is_ended or (batch_job.listed_count >= batch_job.total and not is_queued):
                continue
            route = route_of(self.host.plan, batch_job)
            if not is_queued:
                run.add_job(batch_job)
            if route is not None and run.entries[job_id]:
                self.open_jobs.append(OpenJob(batch_job.accepted_at + route.result_due_s, batch_job, route, run))
                services.update(service for service, _ in route.traffic_split)
        run.services = services or {run.leadership.run}

    def _close(self, name: str) -> None:
        run = self.runs.pop(name)
        for entries in run.entries.values():
            for entry in entries.values():
                entry.free_slot()
        for worker_id in run.workers:
            self.host.state_board.notify(worker_topic(name, worker_id))

    def find(self, name: str, leader_epoch: int) -> LedPartitions:
        """Returns the state of a run that a worker calls about.

        Args:
            name: The run.
            leader_epoch: The epoch that the worker believes in.

        Returns:
            The run's state.

        Raises:
            NotLeaderError: This node does not lead the run, is leaving, or hands the run over.
            LeaderEpochError: It leads it under another epoch.
        """
        self._sync_if_new(name)
        run = self.runs.get(name)
        if run is None or run.leadership.state != LEADERSHIP_HELD or self.host.leaving or run.is_handing_over:
            raise NotLeaderError
        if run.leadership.term != leader_epoch:
            self.host.counters.add("share.other_epoch")
            raise LeaderEpochError(run.leadership.term)
        return run

    def _sync_if_new(self, name: str) -> None:
        """Takes up a leadership term that just began, so that it has its windows before the first worker asks."""
        leadership: Leadership | None = self.host.leaderships.get(name)
        if leadership is None or leadership.state != LEADERSHIP_HELD:
            return
        if name not in self.runs or self.runs[name].leadership is not leadership:
            self.sync()

    def is_led(self, name: str, run: LedPartitions) -> bool:
        """Returns whether this state of a run is still the one that is served."""
        return run.leadership.state == LEADERSHIP_HELD and self.runs.get(name) is run
