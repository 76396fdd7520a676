"""The voting side of a register: promises and accepted states.

Memory follows the disk. A promise or a state counts here, and is answered, only once its record is synced. When
the append fails, nothing has changed: the proposer gets no answer, and a second try writes the record again. The record
of a failed try may still be found after a restart; that is the same as an answer that was lost on its way.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Protocol

import orjson

from ..runtime import Counters
from .messages import AcceptedAnswer, PromiseAnswer, PromisedAnswer
from .proposal_number import ZERO, ProposalNumber
from .register_state import VERSION_KEY

# keys of a record in the log
REGISTER_KEY = "p"
PROMISED_KEY = "b"
ACCEPTED_NUMBER_KEY = "ab"
STATE_KEY = "s"


class RecordLog(Protocol):
    """Where an acceptor writes what it must not forget."""

    async def append(self, *records: bytes) -> None:
        """Appends records; returns when they are synced, or raises."""


class Acceptor:
    """One node's vote on one register.

    >>> class MemoryLog:
    ...     async def append(self, *records): pass
    >>> acceptor = Acceptor("plan", MemoryLog(), Counters())
    >>> asyncio.run(acceptor.prepare([1, "a", "x"]))
    {'ok': True, 'ballot': [0, '', ''], 'state': None}
    >>> asyncio.run(acceptor.prepare([1, "a", "w"]))
    {'ok': False, 'promised': [1, 'a', 'x']}

    Attributes:
        shard: The name of the register.
        wal: The log; None until the owner has opened it, which it does before the first vote.
        counters: Counts refused requests.
        promised: The highest number promised.
        proposal_number: The number under which `state` was accepted.
        state: The document of the accepted state, or None.
        lock: Held from the decision on a request until its record is synced.
    """

    def __init__(self, shard: str, wal: RecordLog | None, counters: Counters) -> None:
        self.shard = shard
        self.wal = wal
        self.counters = counters
        self.promised: ProposalNumber = ZERO
        self.proposal_number: ProposalNumber = ZERO
        self.state: dict | None = None
        self.lock = asyncio.Lock()

    def adopt(self, record: dict) -> None:
        """Takes over a record read from the log; later records supersede earlier ones."""
        self.promised = max(self.promised, ProposalNumber.from_wire(record[PROMISED_KEY]))
        if record.get(STATE_KEY) is not None:
            self.proposal_number = ProposalNumber.from_wire(record[ACCEPTED_NUMBER_KEY])
            self.state = record[STATE_KEY]

    def record(self) -> bytes:
        """Returns all that this acceptor must not forget, as one record."""
        return _state_record(self.shard, self.promised, self.proposal_number, self.state)

    @property
    def version(self) -> int:
        """The version of the accepted state; 0 without one."""
        return self.state[VERSION_KEY] if self.state is not None else 0  # by key: read at each ping

    async def prepare(self, proposal_number: Sequence) -> dict:
        """Promises to accept nothing under a lower number.

        Args:
            proposal_number: The number, as a message holds it.

        Returns:
            The document of a PromiseAnswer with what was accepted so far, or of a refusal.
        """
        number = ProposalNumber.from_wire(proposal_number)
        async with self.lock:
            if number < self.promised:
                return self._refuse("consensus.prepare_refused")
            if number > self.promised:
                await self._append(orjson.dumps({REGISTER_KEY: self.shard, PROMISED_KEY: number.to_wire()}))
                self.promised = number
            return PromiseAnswer(True, self.proposal_number, self.state).to_document()

    async def accept(self, proposal_number: Sequence, state: dict) -> dict:
        """Accepts a state unless a higher number was promised, or a later state was accepted under this number.

        Args:
            proposal_number: The number, as a message holds it.
            state: The document of the state.

        Returns:
            The document of an AcceptedAnswer or of a refusal.
        """
        number = ProposalNumber.from_wire(proposal_number)
        async with self.lock:
            if number < self.promised:
                return self._refuse("consensus.accept_refused")
            if self.state is not None and number == self.proposal_number:
                version = state[VERSION_KEY]
                if version < self.version:
                    return self._refuse("consensus.accept_stale")
                if version == self.version:  # a repeated message: one number never gives a version to two states
                    return AcceptedAnswer().to_document()
            await self._append(_state_record(self.shard, number, number, state))
            self.promised = number
            self.proposal_number = number
            self.state = state
            return AcceptedAnswer().to_document()

    async def confirm(self, proposal_number: Sequence) -> dict:
        """Tells whether nothing higher than this number was promised here.

        A promise that is on its way to the disk has not been answered yet, so it need not be waited for.

        Args:
            proposal_number: The number, as a message holds it.

        Returns:
            The document of a PromisedAnswer.
        """
        is_confirmed = ProposalNumber.from_wire(proposal_number) == self.promised
        if not is_confirmed:
            self.counters.add("consensus.confirm_refused")
        return PromisedAnswer(is_confirmed, self.promised).to_document()

    def _refuse(self, counter: str) -> dict:
        self.counters.add(counter)
        return PromisedAnswer(False, self.promised).to_document()

    async def _append(self, record: bytes) -> None:
        assert self.wal is not None, "the owner opens the log before the first vote"
        await self.wal.append(record)


def _state_record(shard: str, promised: ProposalNumber, proposal_number: ProposalNumber, state: dict | None) -> bytes:
    return orjson.dumps(
        {
            REGISTER_KEY: shard,
            PROMISED_KEY: promised.to_wire(),
            ACCEPTED_NUMBER_KEY: proposal_number.to_wire(),
            STATE_KEY: state,
        }
    )
