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

    def __init__(self, part: str, book, counters):
        self.part, self.book, self.ctr = part, book, counters
        self.promised: ProposalNumber = ZERO
        self.ballot: ProposalNumber = ZERO
        self.state: dict | None = None
        self.lock = asyncio.Lock()  # held from the decision on a request until its record is synced

    def adopt(self, rec: dict) -> None:
        """Take up a record read from the log; later records stand behind earlier ones."""
        self.promised = max(self.promised, ProposalNumber.read(rec["b"]))
        if rec.get("s") is not None:
            self.ballot, self.state = ProposalNumber.read(rec["ab"]), rec["s"]

    def record(self) -> bytes:
        """All that this acceptor must not forget, as one record."""
        return _record(self.part, self.promised, self.ballot, self.state)

    @property
    def version(self) -> int:
        """The version of the accepted state; 0 without one."""
        return self.state["stamp"] if self.state is not None else 0

    async def prepare(self, ballot) -> dict:
        """Promise to take nothing under a lower ballot; tells what was accepted."""
        ballot = ProposalNumber.read(ballot)
        async with self.lock:
            if ballot < self.promised:
                self.ctr.add("part.prepare_refused")
                return {"ok": False, "promised": self.promised.wire()}
            if ballot > self.promised:
                await self.book.append(orjson.dumps({"p": self.part, "b": ballot.wire()}))
                self.promised = ballot
            return {"ok": True, "ballot": self.ballot.wire(), "state": self.state}

    async def accept(self, ballot, state: dict) -> dict:
        """Take a state unless a higher ballot was promised, or a later state of this ballot was taken."""
        ballot = ProposalNumber.read(ballot)
        async with self.lock:
            if ballot < self.promised:
                self.ctr.add("part.accept_refused")
                return {"ok": False, "promised": self.promised.wire()}
            if self.state is not None and ballot == self.ballot:
                if state["stamp"] < self.state["stamp"]:
                    self.ctr.add("part.accept_stale")
                    return {"ok": False, "promised": self.promised.wire()}
                if state["stamp"] == self.state["stamp"]:
                    return {"ok": True}  # a repeated message: one ballot never gives a version to two states
            await self.book.append(_record(self.part, ballot, ballot, state))
            self.promised = self.ballot = ballot
            self.state = state
            return {"ok": True}

    async def confirm(self, ballot) -> dict:
        """Whether nothing higher than this ballot was promised here.

        A promise that is on its way to the disk has not been told to anyone, so it need not be waited for.
        """
        ok = ProposalNumber.read(ballot) == self.promised
        if not ok:
            self.ctr.add("part.confirm_refused")
        return {"ok": ok, "promised": self.promised.wire()}


def _record(part: str, promised: ProposalNumber, ballot: ProposalNumber, state: dict | None) -> bytes:
    return orjson.dumps({"p": part, "b": promised.wire(), "ab": ballot.wire(), "s": state})
