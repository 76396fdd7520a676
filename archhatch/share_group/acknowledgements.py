"""The leader's side of share.commit: accept, release and reject (KIP-932), each counted once its copies are synced."""

from __future__ import annotations

import asyncio

import orjson

from ..jobs import DeposedError
from .errors import NotLeaderError
from .hosts import LeaderHost
from .led_partitions import LedPartitions
from .led_runs import LedRuns
from .messages import (
    AcknowledgeRequest,
    AcknowledgeResponse,
    Acknowledgement,
    FinalAcknowledgement,
    ReleaseAcknowledgement,
    acknowledgement_of,
)
from .replica_feedback import ReplicaFeedback
from .window import EntryState, InvalidTransitionError, ShareEntry

FREE_DELIVERIES = 5  # deliveries after which a released entry begins to wait before the next
BACKOFF_PER_DELIVERY_S = 0.02  # by so much longer for each further delivery, up to quiet_s
MIN_BACKOFF_S = 0.001  # a shorter one is none: the timers are no finer


class AcknowledgementHandler:
    """Takes the acknowledgements of one leader's workers.

    Attributes:
        host: What is used of the node.
        led_runs: The runs that are led.
        feedback: Learns from what the runs showed of their replicas.
    """

    def __init__(self, host: LeaderHost, led_runs: LedRuns) -> None:
        self.host = host
        self.led_runs = led_runs
        self.feedback = ReplicaFeedback(host)

    async def acknowledge(self, document: dict, body: bytes) -> dict:
        """Commits a worker's acknowledgements.

        Args:
            document: An AcknowledgeRequest.
            body: A JSON array of Acknowledgements.

        Returns:
            An AcknowledgeResponse.

        Raises:
            NotLeaderError: This node does not lead the run, or no longer.
            LeaderEpochError: The worker named another epoch.
        """
        request = AcknowledgeRequest.from_document(document)
        run = self.led_runs.find(request.run, request.leader_epoch)
        rows = orjson.loads(body)
        committed = await asyncio.gather(*(self._acknowledge_one(run, request.worker_id, row) for row in rows))
        self.host.state_board.notify("work")
        return AcknowledgeResponse(committed).to_document()

    async def _acknowledge_one(self, run: LedPartitions, worker_id: str, row: dict) -> bool:
        """Commits one acknowledgement; returns whether it counts."""
        acknowledgement = acknowledgement_of(row)
        try:
            entry = _acquired_entry(run, worker_id, acknowledgement)
        except InvalidTransitionError:
            self.host.counters.add("share.refused")
            return False
        self.feedback.apply(entry, acknowledgement)
        if entry.is_acknowledging:  # the same acknowledgement came twice
            return False
        entry.free_slot()
        if isinstance(acknowledgement, ReleaseAcknowledgement):
            self._release(run, entry, acknowledgement)
            return True
        return await self._commit_result(run, entry, acknowledgement)

    async def _commit_result(
        self, run: LedPartitions, entry: ShareEntry, acknowledgement: FinalAcknowledgement
    ) -> bool:
        """Lists the result of an accepted or rejected entry; returns whether it counts."""
        batch_job, item_id, worker_id = entry.batch_job, entry.item.item_id, entry.worker
        entry.is_acknowledging = True
        try:
            await run.leadership.append_result(batch_job, item_id, acknowledgement.result)
        except DeposedError:
            run.leadership.step_down()
            raise NotLeaderError from None
        finally:
            entry.is_acknowledging = False
        if item_id not in batch_job.positioned_items:  # the term or the batch job ended meanwhile: not listed
            return False
        if entry.state is EntryState.ACQUIRED:
            window = run.windows[acknowledgement.partition]
            window.acknowledge(entry.offset, worker_id, acknowledgement.delivery_count, acknowledgement.type)
            run.entries.get(batch_job.job_id, {}).pop(item_id, None)
        self.host.counters.add("share." + acknowledgement.type)
        return True

    def _release(self, run: LedPartitions, entry: ShareEntry, acknowledgement: ReleaseAcknowledgement) -> None:
        """Makes a released entry Available again, with what was made of its text.

        A delivery count never ends an entry, as only answers of 500 and 422 may; one that came back often waits longer.
        """
        entry.texts = acknowledgement.texts
        entry.last_event_id = acknowledgement.last_event_id
        entry.versions = set(acknowledgement.versions)
        entry.failures = max(entry.failures, acknowledgement.failures)
        if acknowledgement.is_home_forgotten:
            queue = run.queues.get(entry.batch_job.job_id)
            if queue is not None:
                queue.forget_home(entry.item.group)
        extra_deliveries = max(0, entry.delivery_count - FREE_DELIVERIES)
        backoff_s = acknowledgement.backoff_s + min(self.host.quiet_s, BACKOFF_PER_DELIVERY_S * extra_deliveries)
        self.host.counters.add("share.release")
        run.release(entry, not_before=self.host.clock.now() + backoff_s if backoff_s > MIN_BACKOFF_S else 0.0)


def _acquired_entry(run: LedPartitions, worker_id: str, acknowledgement: Acknowledgement) -> ShareEntry:
    """Returns the entry that an acknowledgement names.

    Raises:
        InvalidTransitionError: There is no such partition, or the worker does not hold this acquisition.
    """
    window = run.windows.get(acknowledgement.partition)
    if window is None:
        raise InvalidTransitionError(f"{acknowledgement.partition}: no such partition")
    return window.acquired_entry(acknowledgement.offset, worker_id, acknowledgement.delivery_count)
