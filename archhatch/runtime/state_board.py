"""The blackboard: named values that controllers read and write, and can wait on."""

from __future__ import annotations

import asyncio


class StateBoard:
    """Values by name, each with a count of its changes.

    >>> b = StateBoard(); b.publish("plan", 7); b.read("plan"), b.version("plan")
    (7, 1)
    """

    def __init__(self):
        self._vals: dict = {}
        self._turns: dict = {}
        self._waits: dict = {}

    def publish(self, name: str, value) -> None:
        self._vals[name] = value
        self.notify(name)

    def notify(self, name: str) -> None:
        """Say that the value under name changed in place."""
        self._turns[name] = self._turns.get(name, 0) + 1
        for fut in self._waits.pop(name, ()):
            if not fut.done():
                fut.set_result(None)

    def read(self, name: str, default=None):
        return self._vals.get(name, default)

    def version(self, name: str) -> int:
        return self._turns.get(name, 0)

    async def wait_for_change(self, name: str, turn: int, timeout_s: float | None = None) -> int:
        """Wait until the value under name changed after turn, or secs have passed; the turn now."""
        if self.version(name) != turn:
            return self.version(name)
        fut = asyncio.get_running_loop().create_future()
        self._waits.setdefault(name, []).append(fut)
        try:
            await asyncio.wait_for(fut, timeout_s)
        except (asyncio.TimeoutError, TimeoutError):
            pass
        finally:
            waits = self._waits.get(name)
            if waits and fut in waits:
                waits.remove(fut)
        return self.version(name)
