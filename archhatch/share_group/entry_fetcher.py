"""The worker's side of share.fetch: polls the leader of a run and takes up what it answers."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import orjson

from ..rpc import CallError
from .acquired_entry import AcquiredEntry, WorkState
from .errors import LEADER_EPOCH_CODE
from .hosts import WorkerHost
from .item_runner import ItemRunner
from .leader_client import DONE_CODE, LeaderAddress, LeaderClient
from .leader_session import LeaderSession
from .messages import (
    FETCH_VERB,
    AcquiredRecord,
    Acquisition,
    Cancellation,
    CancelReason,
    FetchRequest,
    FetchResponse,
    HeldEntry,
    ReacquiredEntry,
)

RETRY_HEARTBEATS = 0.25  # in heartbeat intervals: the back-off after a poll that failed


class EntryFetcher:
    """Polls leaders.

    Attributes:
        host: What is used of the node.
        client: Calls the leaders.
        runner: Runs the entries.
        max_wait_s: How long a leader may hold a poll.
        max_batch_age_s: A batch is dropped if its poll was sent longer ago: its entries may have been given up.
    """

    def __init__(
        self, host: WorkerHost, client: LeaderClient, runner: ItemRunner, max_wait_s: float, max_batch_age_s: float
    ) -> None:
        self.host = host
        self.client = client
        self.runner = runner
        self.max_wait_s = max_wait_s
        self.max_batch_age_s = max_batch_age_s

    async def run(self, run: str, session: LeaderSession) -> None:
        """Polls the leader of a run for good; a poll that waits is overtaken when there is something to tell."""
        host = self.host
        while True:
            leader = self.client.leader_of(run)
            if leader is None or not host.ready or host.leaving:
                await asyncio.sleep(host.heartbeat_interval_s)
                continue
            session.follow(leader.epoch)
            session.poll_again.clear()
            poll = host.task_group.spawn("poll", self._poll, run, session, leader)
            overtaken = asyncio.ensure_future(session.poll_again.wait())
            try:
                await asyncio.wait([poll, overtaken], return_when=asyncio.FIRST_COMPLETED)
            finally:
                overtaken.cancel()
            if poll.done() and not poll.cancelled() and poll.result() is not True:
                await asyncio.sleep(host.heartbeat_interval_s * RETRY_HEARTBEATS)

    async def _poll(self, run: str, session: LeaderSession, leader: LeaderAddress) -> bool:
        """Polls once and takes up the answer; returns False if the next poll should wait a little."""
        sent_at = self.host.clock.now()
        held = list(session.entries.values()) if session.must_reattach else None
        request = self._request(run, session, leader, held)
        try:
            code, answer, body = await self.client.call(
                leader, FETCH_VERB, request.to_document(), b"", self.max_wait_s + self.host.quiet_s
            )
        except CallError:
            return False
        if leader.epoch != session.leader_epoch:
            return True
        if code == LEADER_EPOCH_CODE:
            session.must_reattach = True
        if code != DONE_CODE or answer is None:
            return False
        response = FetchResponse.from_document(answer)
        if response.is_superseded:
            return True
        if self.host.clock.now() - sent_at > self.max_batch_age_s:
            # it was delayed on its way, or this node stood still: what it hands out may have ended by now. Nothing of
            # it is confirmed, so the leader tells the cancellations again and takes the batch back.
            self.host.counters.add("share.stale_batch")
            return False
        session.leader_heard_at = max(session.leader_heard_at, sent_at)
        session.confirm_reported(request.ended_streams, request.received_batches)
        self._apply(run, session, held, response, body, sent_at)
        return True

    def _request(
        self, run: str, session: LeaderSession, leader: LeaderAddress, held: list[AcquiredEntry] | None
    ) -> FetchRequest:
        session.session_epoch += 1
        return FetchRequest(
            worker_id=self.host.id,
            incarnation=self.host.incarnation,
            zone=self.host.settings.zone,
            timer_lag_s=self.host.timer_lag_s,
            run=run,
            leader_epoch=leader.epoch,
            session_epoch=session.session_epoch,
            max_wait_s=self.max_wait_s,
            ended_streams=list(session.ended_streams),
            received_batches=list(session.received_batches),
            held_entries=None if held is None else [_held_entry(entry) for entry in held],
        )

    def _apply(  # noqa: PLR0913 - a poll's request and its answer
        self,
        run: str,
        session: LeaderSession,
        held: list[AcquiredEntry] | None,
        response: FetchResponse,
        body: bytes,
        sent_at: float,
    ) -> None:
        """Takes up an answer: what is kept of the held entries, what is to stop, and the new batch."""
        if response.reacquired_entries is not None and held is not None:
            self._keep_reacquired(session, held, response.reacquired_entries)
            session.must_reattach = False
        for cancellation in response.cancellations:
            _cancel(session, cancellation)
        if response.batch_number is not None:
            session.received_batches.append(response.batch_number)
            for document in orjson.loads(body):
                record = AcquiredRecord.from_document(document)
                self.runner.start(session, AcquiredEntry.of(run, record, sent_at + record.lock_s))
        self.host.state_board.notify("score")  # reward calls may wait for the leader to be heard

    def _keep_reacquired(
        self, session: LeaderSession, held: list[AcquiredEntry], reacquired: list[ReacquiredEntry]
    ) -> None:
        """Keeps, under a new leader epoch, only the entries that its leader acquired for this worker again."""
        kept = {(row.job_id, row.item_id): row for row in reacquired}
        session.ended_streams = []
        for entry in held:
            row = kept.get(entry.key())
            if row is None:
                session.entries.pop(entry.key(), None)
                if entry.task is not None:
                    entry.task.cancel()
                continue
            entry.offset = row.offset
            entry.delivery_count = row.delivery_count
            entry.locked_until = self.host.clock.now() + entry.record.lock_s
            if entry.acknowledgement is not None:
                entry.acknowledgement = replace(
                    entry.acknowledgement, offset=row.offset, delivery_count=row.delivery_count
                )
            if entry.state is not WorkState.RUNNING:
                session.ended_streams.append(entry.acquisition())
        session.acknowledgements_ready.set()


def _held_entry(entry: AcquiredEntry) -> HeldEntry:
    """An entry as a new leader is told of it."""
    engine_id = entry.record.engine_id if entry.state is WorkState.RUNNING else None
    return HeldEntry(entry.record.job_id, entry.record.item_id, engine_id)


def _cancel(session: LeaderSession, cancellation: Cancellation) -> None:
    """Stops an entry, unless it is recalled and its stream has ended: then no slot is gained, and it goes on."""
    acquisition = Acquisition(cancellation.partition, cancellation.offset, cancellation.delivery_count)
    entry = session.find(acquisition)
    if entry is None or entry.task is None or entry.task.cancelling():
        return  # told before: a cancellation comes again until it is confirmed
    if cancellation.reason != CancelReason.RECALL or entry.state is WorkState.RUNNING:
        entry.task.cancel()
