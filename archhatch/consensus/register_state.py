"""The state of a register, as voters store it and nodes exchange it, with names for its keys."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Self

VERSION_KEY = "stamp"
VALUE_KEY = "val"
VOTERS_KEY = "voters"
PREVIOUS_VOTERS_KEY = "prev"


@dataclass(frozen=True, slots=True)
class RegisterState:
    """A view of a state's document that names what its keys hold.

    It keeps the document itself, not a copy in fields, so that a state is passed on with the keys and their order as it
    came, whichever release wrote it.

    >>> state = RegisterState({"stamp": 4, "val": {"x": 1}, "voters": {"a": "10.0.0.1:1"}, "prev": None})
    >>> state.version, state.with_value({"x": 2}).document
    (4, {'stamp': 5, 'val': {'x': 2}, 'voters': {'a': '10.0.0.1:1'}, 'prev': None})

    Attributes:
        document: The state as it is stored and sent; never changed in place.
    """

    document: dict

    @property
    def version(self) -> int:
        """The number of changes that led to this state."""
        return self.document[VERSION_KEY]

    @property
    def value(self) -> dict:
        """What the register holds."""
        return self.document[VALUE_KEY]

    @property
    def voters(self) -> dict[str, str]:
        """The group: node id -> address."""
        return self.document[VOTERS_KEY]

    @property
    def previous_voters(self) -> dict[str, str] | None:
        """The group before, while the group changes; else None."""
        return self.document[PREVIOUS_VOTERS_KEY]

    def all_voters(self) -> dict[str, str]:
        """Returns the voters with their addresses, the previous ones included."""
        return members(self.document)

    def with_value(self, value: dict) -> Self:
        """Returns the next version, with another value."""
        return self._next({VALUE_KEY: value})

    def with_voters(self, voters: dict[str, str]) -> Self:
        """Returns the next version, which begins a change of the group."""
        return self._next({VOTERS_KEY: voters, PREVIOUS_VOTERS_KEY: self.voters})

    def without_previous_voters(self) -> Self:
        """Returns the next version, which ends a change of the group."""
        return self._next({PREVIOUS_VOTERS_KEY: None})

    def _next(self, changes: dict) -> Self:
        return type(self)({**self.document, **changes, VERSION_KEY: self.version + 1})


def members(state: dict) -> dict[str, str]:
    """Returns the voters that a state's document names with their addresses, the previous ones included."""
    voters = dict(state[PREVIOUS_VOTERS_KEY] or {})
    voters.update(state[VOTERS_KEY])
    return voters
