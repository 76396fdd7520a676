"""The memory of a request's body, for as long as anything works on the body."""

from __future__ import annotations

from contextvars import ContextVar

from .pool import Charge


class HeldBody:
    """A body that was read, and the memory that it holds until its last user releases it.

    Attributes:
        data: The bytes.
    """

    __slots__ = ("data", "_charge", "_users")

    def __init__(self, data: bytes, charge: Charge | None = None) -> None:
        self.data, self._charge = data, charge
        self._users = 1

    def retain(self) -> None:
        """Adds a user: something that works on the body when its request is answered already."""
        self._users += 1

    def release(self) -> None:
        """Takes a user away; with the last one the bytes are let go, and the memory is given back."""
        self._users -= 1
        if self._users:
            return
        self.data = b""  # contexts of timers and tasks that have ended may refer to this object for a while
        if self._charge is not None:
            self._charge.release()


# The body of the request that is being handled, for what goes on when the request has ended.
HELD_BODY: ContextVar[HeldBody | None] = ContextVar("held_body", default=None)


def retain_held_body() -> HeldBody | None:
    """Adds a user to the body of the request that is being handled, and returns it; None where none is held."""
    held = HELD_BODY.get()
    if held is not None:
        held.retain()
    return held
