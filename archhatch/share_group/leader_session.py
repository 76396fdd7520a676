"""A worker's share session with the leader of one run (KIP-932)."""

from __future__ import annotations

import asyncio

from .acquired_entry import AcquiredEntry
from .messages import Acquisition


class LeaderSession:
    """What a worker keeps of one run.

    Attributes:
        leader_epoch: The epoch of the leader that the worker follows.
        must_reattach: Whether the next poll must name the entries in hand: the leader does not know this worker.
        session_epoch: Number of the last poll.
        entries: The entries in hand by batch job and item.
        ended_streams: Acquisitions whose streams ended, until a poll that reported them was answered.
        received_batches: Numbers of answers that arrived, until a poll that confirmed them was answered.
        leader_heard_at: When the last poll that was answered was sent, by the steady clock.
        poll_again: Set when there is something to tell the leader, or another leader to ask.
        acknowledgements_ready: Set when acknowledgements wait to be committed.
    """

    def __init__(self) -> None:
        self.leader_epoch = 0
        self.must_reattach = True
        self.session_epoch = 0
        self.entries: dict[tuple[str, str], AcquiredEntry] = {}
        self.ended_streams: list[Acquisition] = []
        self.received_batches: list[int] = []
        self.leader_heard_at = float("-inf")
        self.poll_again = asyncio.Event()
        self.acknowledgements_ready = asyncio.Event()

    def follow(self, leader_epoch: int) -> None:
        """Begins the session with the leader of an epoch, if that is another one."""
        if leader_epoch != self.leader_epoch:
            self.leader_epoch = leader_epoch
            self.must_reattach = True

    def holds(self, entry: AcquiredEntry) -> bool:
        """Returns whether this very entry is in hand: not given up, nor replaced by a later acquisition."""
        return self.entries.get(entry.key()) is entry

    def drop(self, entry: AcquiredEntry) -> None:
        """Forgets an entry, if it is the one in hand."""
        if self.holds(entry):
            del self.entries[entry.key()]

    def find(self, acquisition: Acquisition) -> AcquiredEntry | None:
        """Returns the entry in hand of an acquisition."""
        return next((entry for entry in self.entries.values() if entry.acquisition() == acquisition), None)

    def report_stream_end(self, entry: AcquiredEntry) -> None:
        """Has the leader told at once that an entry's slot is free."""
        if not entry.is_stream_end_reported:
            entry.is_stream_end_reported = True
            self.ended_streams.append(entry.acquisition())
            self.poll_again.set()

    def confirm_reported(self, ended_streams: list[Acquisition], received_batches: list[int]) -> None:
        """Drops what an answered poll reported."""
        self.ended_streams = [stream for stream in self.ended_streams if stream not in ended_streams]
        self.received_batches = [number for number in self.received_batches if number not in received_batches]
