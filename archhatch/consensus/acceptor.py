"""The voting side of a register: promises and accepted states.

Memory follows the disk. A promise or a state counts here, and is told to others, only once its record is synced. When
the append fails, nothing has changed: the proposer gets no answer, and a second try writes the record again. The record
of a failed try may still be found after a restart; that is the same as an answer that was lost on its way.
"""

from __future__ import annotations

import asyncio

import orjson

from .proposal_number import ZERO, ProposalNumber


class Acceptor:
    """One node's vote on one register.

    >>> # acceptor = Acceptor("plan", log, counters); await acceptor.prepare(ProposalNumber(1, "a", "life"))
    """

    def __init__(self, shard: str, wal, counters):
        self.shard, self.wal, self.counters = shard, wal, counters
        self.promised: ProposalNumber = ZERO
        self.proposal_number: ProposalNumber = ZERO
        self.state: dict | None = None
        self.lock = asyncio.Lock()  # held from the decision on a request until its record is synced

    def adopt(self, record: dict) -> None:
        """Take up a record read from the log; later records stand behind earlier ones."""
        self.promised = max(self.promised, ProposalNumber.from_wire(record["b"]))
        if record.get("s") is not None:
            self.proposal_number, self.state = ProposalNumber.from_wire(record["ab"]), record["s"]

    def record(self) -> bytes:
        """All that this acceptor must not forget, as one record."""
        return _record(self.shard, self.promised, self.proposal_number, self.state)

    @property
    def version(self) -> int:
        """The version of the accepted state; 0 without one."""
        return self.state["stamp"] if self.state is not None else 0

    async def prepare(self, proposal_number) -> dict:
        """Promise to take nothing under a lower ballot; tells what was accepted."""
        proposal_number = ProposalNumber.from_wire(proposal_number)
        async with self.lock:
            if proposal_number < self.promised:
                self.counters.add("part.prepare_refused")
                return {"ok": False, "promised": self.promised.to_wire()}
            if proposal_number > self.promised:
                await self.wal.append(orjson.dumps({"p": self.shard, "b": proposal_number.to_wire()}))
                self.promised = proposal_number
            return {"ok": True, "ballot": self.proposal_number.to_wire(), "state": self.state}

    async def accept(self, proposal_number, state: dict) -> dict:
        """Take a state unless a higher ballot was promised, or a later state of this ballot was taken."""
        proposal_number = ProposalNumber.from_wire(proposal_number)
        async with self.lock:
            if proposal_number < self.promised:
                self.counters.add("part.accept_refused")
                return {"ok": False, "promised": self.promised.to_wire()}
            if self.state is not None and proposal_number == self.proposal_number:
                if state["stamp"] < self.state["stamp"]:
                    self.counters.add("part.accept_stale")
                    return {"ok": False, "promised": self.promised.to_wire()}
                if state["stamp"] == self.state["stamp"]:
                    return {"ok": True}  # a repeated message: one ballot never gives a version to two states
            await self.wal.append(_record(self.shard, proposal_number, proposal_number, state))
            self.promised = self.proposal_number = proposal_number
            self.state = state
            return {"ok": True}

    async def confirm(self, proposal_number) -> dict:
        """Whether nothing higher than this ballot was promised here.

        A promise that is on its way to the disk has not been told to anyone, so it need not be waited for.
        """
        ok = ProposalNumber.from_wire(proposal_number) == self.promised
        if not ok:
            self.counters.add("part.confirm_refused")
        return {"ok": ok, "promised": self.promised.to_wire()}


def _record(shard: str, promised: ProposalNumber, proposal_number: ProposalNumber, state: dict | None) -> bytes:
    return orjson.dumps({"p": shard, "b": promised.to_wire(), "ab": proposal_number.to_wire(), "s": state})
