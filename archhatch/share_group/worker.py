"""A worker of the share groups (KIP-932): fetches entries from the leaders, runs and acknowledges them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

from ..rollout_controller.load_limit import LoadLimit
from ..rollout_controller.scoring import Scoring
from .acknowledgement_sender import AcknowledgementSender
from .acquired_entry import AcquiredEntry, WorkState
from .entry_fetcher import EntryFetcher
from .hosts import WorkerHost
from .item_runner import ItemRunner
from .leader_client import LeaderClient
from .leader_session import LeaderSession

if TYPE_CHECKING:
    from ..rollout_controller.host import ScoringHost

MAX_WAIT_CANCELS = 0.25  # in CancelMs: how long a leader may hold a poll, so that two fit into MAX_SILENCE_CANCELS
MAX_SILENCE_CANCELS = 0.5  # in CancelMs: after so long without the leader's answer no request is sent
LEAVE_CHECK_HEARTBEATS = 0.1  # in heartbeat intervals: how often leave() looks whether all is given back


class Worker:
    """Fetches from the leader of every run and runs what it gets.

    Attributes:
        host: What is used of the node.
        sessions: The session with the leader of each run.
        load_limit: How many slots live requests leave to reward calls.
        scoring: Makes the reward calls; its loop is a duty of the node.
    """

    def __init__(self, host: WorkerHost) -> None:
        self.host = host
        self.sessions: dict[str, LeaderSession] = {}
        self.load_limit = LoadLimit()
        # the node is a ScoringHost too; what only the scoring uses of it is declared there
        self.scoring = Scoring(cast("ScoringHost", host), self.load_limit)
        self._client = LeaderClient(host)
        max_silence_s = host.settings.seconds("CancelMs", MAX_SILENCE_CANCELS)
        runner = ItemRunner(host, self.scoring, max_silence_s)
        max_wait_s = host.settings.seconds("CancelMs", MAX_WAIT_CANCELS)
        self._fetcher = EntryFetcher(host, self._client, runner, max_wait_s, max_silence_s)
        self._sender = AcknowledgementSender(host, self._client)

    async def run(self) -> None:
        """Keeps a fetching and an acknowledging task for each run that there is."""
        host, turn = self.host, 0
        while True:
            for run in host.leases():
                session = self.sessions.get(run)
                if session is None:
                    session = self.sessions[run] = LeaderSession()
                    host.task_group.run_forever("pull", self._fetcher.run, run, session)
                    host.task_group.run_forever("commit", self._sender.run, run, session)
                leader = self._client.leader_of(run)
                if leader is not None and leader.epoch != session.leader_epoch:
                    session.poll_again.set()  # another node leads now: don't wait for the old one's answer
            self.load_limit.update(host.config_watcher.live_totals)
            turn = await host.state_board.wait_for_change("work", turn, host.heartbeat_interval_s)

    async def leave(self) -> None:
        """Gives everything back: releases what runs, and waits until all acknowledgements are committed."""
        for entry in self._entries():
            if entry.state is WorkState.RUNNING and entry.task is not None:
                entry.task.cancel()
        deadline = self.host.clock.now() + self.host.quiet_s
        while self.host.clock.now() < deadline and any(_is_unfinished(entry) for entry in self._entries()):
            await asyncio.sleep(self.host.heartbeat_interval_s * LEAVE_CHECK_HEARTBEATS)

    def _entries(self) -> list[AcquiredEntry]:
        """All entries in hand."""
        return [entry for session in self.sessions.values() for entry in session.entries.values()]


def _is_unfinished(entry: AcquiredEntry) -> bool:
    """Whether an entry runs, or its acknowledgement is to be committed."""
    return entry.acknowledgement is not None or entry.state is WorkState.RUNNING
