"""The keeping side of a part: promises and accepted states, synced before they are answered."""
from __future__ import annotations

import asyncio

import orjson

ZERO = (0, "")


class Acceptor:
    """One node's memory of one part.

    >>> # keeper = Acceptor("plan", book); await keeper.prepare((1, "a"))
    """

    def __init__(self, part: str, book, counters):
        self.part, self.book, self.ctr = part, book, counters
        self.promised: tuple = ZERO
        self.ballot: tuple = ZERO
        self.state: dict | None = None
        self._lock = asyncio.Lock()

    def adopt(self, rec: dict) -> None:
        """Take up a record read from the write-ahead log."""
        self.promised = max(self.promised, tuple(rec["b"]))
        if rec.get("s") is not None:
            self.ballot, self.state = tuple(rec["ab"]), rec["s"]

    def record(self) -> bytes:
        """All that this keeper must not forget, as one record."""
        return orjson.dumps({"p": self.part, "b": self.promised, "ab": self.ballot, "s": self.state})

    async def prepare(self, ballot: tuple) -> dict:
        """Promise to take nothing under a lower ballot; tells what was accepted."""
        async with self._lock:
            if ballot < self.promised:
                self.ctr.add("part.prepare_refused")
                return {"ok": False, "promised": self.promised}
            if ballot > self.promised:
                self.promised = ballot
                await self.book.append(orjson.dumps({"p": self.part, "b": ballot}))
            return {"ok": True, "ballot": self.ballot, "state": self.state}

    async def accept(self, ballot: tuple, state: dict) -> dict:
        """Take a state unless a higher ballot was promised, or a later state of this one was taken."""
        async with self._lock:
            if ballot < self.promised:
                self.ctr.add("part.accept_refused")
                return {"ok": False, "promised": self.promised}
            if self.state is not None and ballot == self.ballot and state["stamp"] < self.state["stamp"]:
                self.ctr.add("part.accept_stale")
                return {"ok": False, "promised": self.promised}
            self.promised = self.ballot = ballot
            self.state = state
            await self.book.append(self.record())
            return {"ok": True}

    async def confirm(self, ballot: tuple) -> dict:
        """Whether nothing higher than this ballot was promised here."""
        async with self._lock:
            if ballot != self.promised:
                self.ctr.add("part.confirm_refused")
            return {"ok": ballot == self.promised, "promised": self.promised}
