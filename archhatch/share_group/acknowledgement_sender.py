"""The worker's side of share.commit: brings acknowledgements to the leader until it has committed them."""

from __future__ import annotations

import asyncio

import orjson

from ..rpc import CallError
from .acquired_entry import AcquiredEntry
from .errors import LEADER_EPOCH_CODE
from .hosts import WorkerHost
from .leader_client import DONE_CODE, LeaderAddress, LeaderClient
from .leader_session import LeaderSession
from .messages import (
    ACKNOWLEDGE_VERB,
    AcknowledgeRequest,
    AcknowledgeResponse,
    FinalAcknowledgement,
    ReleaseAcknowledgement,
)

MAX_ROWS = 64  # acknowledgements in one call: bounds its size, as texts can be long
REATTACH_HEARTBEATS = 0.25  # in heartbeat intervals: the back-off while the entries are not reattached yet
RETRY_HEARTBEATS = 0.5  # in heartbeat intervals: the back-off after a call that failed
TIMEOUT_QUIETS = 2  # in quiet_s: a commit waits for copies, whose own calls may take that long

SentAcknowledgement = tuple[AcquiredEntry, ReleaseAcknowledgement | FinalAcknowledgement]


class AcknowledgementSender:
    """Sends all acknowledgements of a run that wait in one call, and again until the leader answers.

    Attributes:
        host: What is used of the node.
        client: Calls the leaders.
    """

    def __init__(self, host: WorkerHost, client: LeaderClient) -> None:
        self.host = host
        self.client = client

    async def run(self, run: str, session: LeaderSession) -> None:
        """Sends the acknowledgements of a run for good."""
        while True:
            await session.acknowledgements_ready.wait()
            session.acknowledgements_ready.clear()
            waiting, encoded = self._encode(session, _waiting(session)[:MAX_ROWS])
            leader = self.client.leader_of(run)
            if not waiting:
                continue
            if leader is None or leader.epoch != session.leader_epoch or session.must_reattach:
                # the next poll has the new leader acquire them first
                await self._retry_after(session, REATTACH_HEARTBEATS)
                continue
            committed = await self._send(run, session, leader, encoded)
            if committed is None:
                self.host.counters.add("share.uncommitted")
                await self._retry_after(session, RETRY_HEARTBEATS)
                continue
            self._drop_answered(session, waiting, committed)
            if any(entry.acknowledgement is not None for entry in session.entries.values()):
                session.acknowledgements_ready.set()

    async def _retry_after(self, session: LeaderSession, heartbeats: float) -> None:
        await asyncio.sleep(self.host.heartbeat_interval_s * heartbeats)
        session.acknowledgements_ready.set()

    def _encode(
        self, session: LeaderSession, waiting: list[SentAcknowledgement]
    ) -> tuple[list[SentAcknowledgement], list[bytes]]:
        """Encodes acknowledgements, each by itself; an entry whose one cannot be is given up, and its lock runs out."""
        sent: list[SentAcknowledgement] = []
        encoded: list[bytes] = []
        for entry, acknowledgement in waiting:
            try:
                encoded.append(orjson.dumps(acknowledgement.to_document()))
            except (TypeError, ValueError) as error:
                self.host.counters.add("share.acknowledgement_unencodable")
                self.host.log.warning("item {}: given up, error={!r}", entry.record.item_id, error)
                session.drop(entry)
            else:
                sent.append((entry, acknowledgement))
        return sent, encoded

    async def _send(
        self, run: str, session: LeaderSession, leader: LeaderAddress, encoded: list[bytes]
    ) -> list[bool] | None:
        """Sends encoded acknowledgements; returns of each whether it counts, or None without a good answer."""
        request = AcknowledgeRequest(self.host.id, run, session.leader_epoch)
        body = b"[" + b",".join(encoded) + b"]"
        try:
            code, answer, _ = await self.client.call(
                leader, ACKNOWLEDGE_VERB, request.to_document(), body, self.host.quiet_s * TIMEOUT_QUIETS
            )
        except CallError:
            return None
        if code == LEADER_EPOCH_CODE:
            session.must_reattach = True
        if code != DONE_CODE or answer is None:
            return None
        return AcknowledgeResponse.from_document(answer).is_committed

    def _drop_answered(self, session: LeaderSession, sent: list[SentAcknowledgement], committed: list[bool]) -> None:
        """Forgets the entries whose acknowledgements the leader answered, whether they count or not."""
        for (entry, acknowledgement), is_committed in zip(sent, committed, strict=False):
            is_unchanged = (entry.offset, entry.delivery_count) == (
                acknowledgement.offset,
                acknowledgement.delivery_count,
            )
            if is_unchanged and session.holds(entry):
                session.drop(entry)
                if not is_committed:
                    self.host.counters.add("share.acknowledgement_lost")


def _waiting(session: LeaderSession) -> list[SentAcknowledgement]:
    """The entries whose acknowledgements are not committed yet."""
    return [(entry, entry.acknowledgement) for entry in session.entries.values() if entry.acknowledgement is not None]
