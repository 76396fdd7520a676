"""A board of named values that tasks of one process read, change and wait on."""

from __future__ import annotations

import asyncio
from collections.abc import Hashable
from typing import Any


class StateBoard:
    """Named values, each with a version that counts its changes.

    A name is a string or a tuple such as ("lot", job_id). Values may live elsewhere: `notify` then only announces that
    the value behind a name has changed in place.

    >>> board = StateBoard(); board.publish("plan", 7); board.read("plan"), board.version("plan")
    (7, 1)
    """

    def __init__(self) -> None:
        self._values: dict[Hashable, Any] = {}
        self._versions: dict[Hashable, int] = {}
        self._waiters: dict[Hashable, list[asyncio.Future]] = {}

    def publish(self, name: Hashable, value: object) -> None:
        """Replaces the value of a name and wakes the tasks that wait for it."""
        self._values[name] = value
        self.notify(name)

    def notify(self, name: Hashable) -> None:
        """Announces that the value of a name has changed in place, and wakes the tasks that wait for it."""
        self._versions[name] = self._versions.get(name, 0) + 1
        for waiter in self._waiters.pop(name, ()):
            if not waiter.done():
                waiter.set_result(None)

    def read(self, name: Hashable, default: Any = None) -> Any:  # noqa: ANN401 - values of a board are of any type
        """Returns the value that was last published under a name."""
        return self._values.get(name, default)

    def version(self, name: Hashable) -> int:
        """Returns how often the value of a name has changed."""
        return self._versions.get(name, 0)

    async def wait_for_change(self, name: Hashable, version: int, timeout_s: float | None = None) -> int:
        """Waits until the value of a name has another version.

        Args:
            name: The name.
            version: The version that the caller has seen; if it is outdated already, the call returns at once.
            timeout_s: The longest wait in seconds; None waits without limit.

        Returns:
            The version now; it equals `version` if the time ran out.
        """
        if self.version(name) != version:
            return self.version(name)
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.setdefault(name, []).append(waiter)
        try:
            await asyncio.wait_for(waiter, timeout_s)
        except TimeoutError:
            pass
        finally:
            waiters = self._waiters.get(name)
            if waiters and waiter in waiters:
                waiters.remove(waiter)
        return self.version(name)
