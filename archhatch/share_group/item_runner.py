"""Runs an acquired entry: its stream, its reward call, and the acknowledgement that follows from both."""

from __future__ import annotations

import asyncio
from functools import partial

from ..rollout_controller.scoring import Scoring
from .acquired_entry import AcquiredEntry, WorkState
from .hosts import WorkerHost
from .item_stream import ItemStream
from .leader_session import LeaderSession
from .messages import AcknowledgeType, FinalAcknowledgement, ReleaseAcknowledgement

NO_SEAL = ""  # stands for the seal of an item without a reward call


class ItemRunner:
    """Runs entries, each in a task of its own.

    Attributes:
        host: What is used of the node.
        scoring: Makes the reward calls.
        stream: Drives replicas.
        max_silence_s: No request is sent when the leader's last answered poll is older: the batch job may have ended.
    """

    def __init__(self, host: WorkerHost, scoring: Scoring, max_silence_s: float) -> None:
        self.host = host
        self.scoring = scoring
        self.stream = ItemStream(host)
        self.max_silence_s = max_silence_s

    def start(self, session: LeaderSession, entry: AcquiredEntry) -> None:
        """Takes an entry in hand and starts to run it; one of the same item that was given up is cancelled."""
        earlier = session.entries.get(entry.key())
        if earlier is not None and earlier.task is not None:
            session.drop(earlier)
            earlier.task.cancel()
        entry.may_send = partial(self._may_send, session, entry)
        session.entries[entry.key()] = entry
        entry.task = self.host.task_group.spawn("item", self._run, session, entry)

    def _may_send(self, session: LeaderSession, entry: AcquiredEntry) -> bool:
        """Whether a request of an entry may reach a replica.

        Its lock must stand, and the leader must have answered lately, so that the batch job cannot have ended for
        longer than the bound allows.
        """
        now = self.host.clock.now()
        is_leader_heard = now - session.leader_heard_at <= self.max_silence_s
        return now < entry.locked_until and is_leader_heard and session.holds(entry)

    async def _run(self, session: LeaderSession, entry: AcquiredEntry) -> None:
        try:
            await self.stream.run(entry)
        except asyncio.CancelledError:
            # the leader wants it back, or this node leaves: what was made of the text goes with the release
            if session.holds(entry) and entry.state is WorkState.RUNNING:
                self._release(session, entry)
            else:
                session.drop(entry)
            session.report_stream_end(entry)
            raise
        if entry.state is WorkState.RUNNING:
            self._release(session, entry)
            return
        session.report_stream_end(entry)
        try:
            result = await self._score(entry)
        except asyncio.CancelledError:
            session.drop(entry)
            raise
        if result is None:
            self._finish(session, entry, AcknowledgeType.REJECT, _aborted_result(entry))
        else:
            self._finish(session, entry, AcknowledgeType.ACCEPT, result)

    async def _score(self, entry: AcquiredEntry) -> dict | None:
        """Makes the reward call of an entry that has one; returns the item's result, or None if it failed for good."""
        record = entry.record
        if entry.failures >= record.max_attempts:
            return None
        seal: str | None = NO_SEAL
        if record.scorer:
            seal = await self.scoring.score(entry, record.priority)
        if seal is None:
            return None
        result = _complete_result(entry)
        if record.scorer:
            result["Score"] = seal
        return result

    def _release(self, session: LeaderSession, entry: AcquiredEntry) -> None:
        """Gives an entry back with what was made of its text."""
        record = entry.record
        entry.state = WorkState.ACKNOWLEDGING
        entry.acknowledgement = ReleaseAcknowledgement(
            record.partition,
            entry.offset,
            entry.delivery_count,
            AcknowledgeType.RELEASE,
            record.engine_id,
            entry.signals,
            texts=entry.texts,
            last_event_id=entry.last_event_id,
            versions=sorted(entry.versions),
            failures=entry.failures,
            backoff_s=entry.backoff_s,
            is_home_forgotten=entry.is_home_forgotten,
        )
        session.acknowledgements_ready.set()

    def _finish(self, session: LeaderSession, entry: AcquiredEntry, kind: AcknowledgeType, result: dict) -> None:
        """Accepts or rejects an entry; it counts once the leader has committed it."""
        record = entry.record
        self.host.counters.add("item." + result["OperState"])
        entry.state = WorkState.ACKNOWLEDGING
        entry.acknowledgement = FinalAcknowledgement(
            record.partition, entry.offset, entry.delivery_count, kind, record.engine_id, entry.signals, result
        )
        session.acknowledgements_ready.set()


def _complete_result(entry: AcquiredEntry) -> dict:
    """The result of an item as its trainer reads it."""
    return {
        "InstanceId": entry.record.item_id,
        "OperState": "complete",
        "Text": "\n".join(entry.texts),
        "WeightVersions": sorted(entry.versions),
    }


def _aborted_result(entry: AcquiredEntry) -> dict:
    """The result of an item that failed for good."""
    return {"InstanceId": entry.record.item_id, "OperState": "aborted", "Text": "", "WeightVersions": []}
