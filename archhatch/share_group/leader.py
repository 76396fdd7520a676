"""The share-partition leader (KIP-932): it alone acquires entries for workers, and commits their acknowledgements."""

from __future__ import annotations

import asyncio

from ..jobs import DeposedError, Record
from .acknowledgements import AcknowledgementHandler
from .acquisition import EntryAcquisition
from .fetch import FetchHandler
from .hosts import LEADERSHIP_HELD, LeaderHost, Leadership
from .led_partitions import LedPartitions, worker_topic
from .led_runs import LedRuns
from .recalls import Recalls
from .replica_slots import ReplicaSlots

DEFAULT_LOCK_S = 30.0  # KIP-932's default of group.share.record.lock.duration.ms
DEFAULT_MAX_LOCKS = 200  # KIP-932's default of group.share.partition.max.record.locks
TURN_HEARTBEATS = 0.5  # in heartbeat intervals: the longest time between two turns of the leader's loop
WRITE_HEARTBEATS = 2  # in heartbeat intervals: the time between two writes of the windows


class PartitionLeader:
    """Leads the share partitions of all runs whose leadership this node holds.

    Attributes:
        host: What is used of the node.
        led_runs: The runs, kept in step with the leadership terms.
        runs: The state of each run by name: that of led_runs.
        slots: The replicas' slots.
        recalls: Takes entries back for live requests and planned moves.
    """

    def __init__(self, host: LeaderHost, lock_s: float = DEFAULT_LOCK_S, max_locks: int = DEFAULT_MAX_LOCKS) -> None:
        self.host = host
        self.led_runs = LedRuns(host, lock_s, max_locks)
        self.runs: dict[str, LedPartitions] = self.led_runs.runs
        self.slots = ReplicaSlots(host)
        self.recalls = Recalls(host, self.runs, self.slots)
        self._fetch_handler = FetchHandler(host, self.led_runs, EntryAcquisition(host, self.led_runs, self.slots))
        self._acknowledgement_handler = AcknowledgementHandler(host, self.led_runs)

    async def run(self) -> None:
        """Takes a turn whenever there is work, and at least twice in a heartbeat interval."""
        host, turn = self.host, 0
        while True:
            self.slots.load_limit.update(host.config_watcher.live_totals)
            self.sync()
            self.recalls.recall_for_live_requests()
            self.recalls.recall_for_moves()
            self.notify_workers()
            turn = await host.state_board.wait_for_change("work", turn, host.heartbeat_interval_s * TURN_HEARTBEATS)

    def sync(self) -> None:
        """Takes up new leadership terms and batch jobs, drops ended ones, and releases lost acquisitions."""
        self.led_runs.sync()

    def notify_workers(self) -> None:
        """Has the polls of workers look again that may get entries or have entries to stop."""
        now = self.host.clock.now()
        for name, run in self.runs.items():
            if not run.workers:
                continue
            worker_ids: set[str | None] = {worker.worker_id for worker in run.workers.values() if worker.cancellations}
            if not all(queue.is_empty() for queue in run.queues.values()):
                for engine in self.slots.engines_of(run):
                    if self.slots.free_slots(engine, now) > 0:
                        worker_ids.add(self.slots.driver_of(run, engine))
            for worker_id in worker_ids:
                if worker_id is not None:
                    self.host.state_board.notify(worker_topic(name, worker_id))

    def lacks_replicas(self, leadership: Leadership, model: str) -> bool:
        """Returns whether more replicas of a run's service should load a version of a model that open jobs allow.

        Those of other runs count too, if their routes lead to this service by now.
        """
        runs = [run for run in self.runs.values() if leadership.run in run.services]
        return any(self.slots.lacks_replicas(run, model) for run in runs)

    def demand(self) -> dict[str, float]:
        """Returns by service the slots with which all open batch jobs would be done in time."""
        slots: dict[str, float] = {}
        for run in self.runs.values():
            if run.leadership.state != LEADERSHIP_HELD:
                continue
            for service, count in self.slots.demand(run).items():
                slots[service] = slots.get(service, 0.0) + count
        return {service: round(count, 1) for service, count in slots.items()}

    async def fetch(self, document: dict) -> tuple[dict, bytes]:
        """Answers a worker's poll; see FetchHandler.fetch."""
        return await self._fetch_handler.fetch(document)

    async def commit(self, document: dict, body: bytes) -> dict:
        """Commits a worker's acknowledgements; see AcknowledgementHandler.acknowledge."""
        return await self._acknowledgement_handler.acknowledge(document, body)

    async def persist(self) -> None:
        """Writes what changed of the windows, an update or a snapshot each, from time to time."""
        while True:
            await asyncio.sleep(self.host.heartbeat_interval_s * WRITE_HEARTBEATS)
            for run in list(self.runs.values()):
                await self._write(run, _records_of(run))

    async def prepare_handover(self, name: str) -> None:
        """Has the next leader of a run find the texts that this one alone has; until `end_handover` none are added.

        Not for longer than quiet_s: a leader may be handing on because its disk is slow.
        """
        run = self.runs.get(name)
        if run is None:
            return
        run.is_handing_over = True
        records = [run.journals[partition].handover_record(window) for partition, window in run.windows.items()]
        written = self.host.task_group.spawn("handover", self._write, run, [row for row in records if row is not None])
        await asyncio.wait({written}, timeout=self.host.quiet_s)

    def end_handover(self, name: str) -> None:
        """Serves a run again that no other store took over."""
        run = self.runs.get(name)
        if run is not None:
            run.is_handing_over = False

    async def _write(self, run: LedPartitions, records: list[Record]) -> None:
        for record in records:
            try:
                await run.leadership.replicate(record)
            except DeposedError:  # another leader has a higher epoch: what is left is not to be written
                self.host.counters.add("share.fenced_write")
                run.leadership.step_down()
                return


def _records_of(run: LedPartitions) -> list[Record]:
    """The next record of each window that changed."""
    records = (run.journals[partition].next_record(window) for partition, window in run.windows.items())
    return [record for record in records if record is not None]
