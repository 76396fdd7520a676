"""The last changes of a register, as the feed sends them to readers that have an older version."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

import orjson

from ..membership.delta import diff
from ..runtime import encode_kept

MAX_CHANGES = 64  # changes of a register that are kept,
MAX_CHANGES_SHARE = 0.5  # ... as long as they are together no longer than this share of the whole value


@dataclass(frozen=True, slots=True)
class Change:
    """The step from one version of a register to a later one, encoded."""

    base_version: int
    version: int
    encoded: bytes


class RegisterHistory:
    """The newest version of a register and the steps that led to it.

    >>> history = RegisterHistory()
    >>> history.add(1, {"a": 1, "b": "." * 200})
    >>> history.add(4, {"a": 2, "b": "." * 200})
    >>> history.changes_since(1), history.changes_since(2), history.changes_since(4)
    ([b'{"in":{"a":{"is":2}},"drop":[]}'], None, [])

    Attributes:
        version: The newest version, None before the first one.
        encoded_value: The newest value, encoded.
    """

    def __init__(self) -> None:
        self.version: int | None = None
        self.encoded_value = orjson.Fragment(b"null")
        self._value: object = None
        self._changes: deque[Change] = deque()

    def add(self, version: int, value: object) -> None:
        """Takes up the version that is in force now."""
        if version == self.version:
            return
        raw = encode_kept(value)
        if self.version is None or version < self.version:
            self._changes.clear()
        else:
            change = diff(self._value, value) or {"in": {}, "drop": []}
            self._changes.append(Change(self.version, version, encode_kept(change)))
            self._shorten(len(raw) * MAX_CHANGES_SHARE)
        self.version = version
        self._value = value
        self.encoded_value = orjson.Fragment(raw)

    def changes_since(self, version: int) -> list[bytes] | None:
        """Returns the steps from a version to the newest one, the oldest first; None if they are not all kept."""
        if version == self.version:
            return []
        steps = []
        for change in reversed(self._changes):
            steps.append(change.encoded)
            if change.base_version == version:
                return steps[::-1]
        return None

    def _shorten(self, max_bytes: float) -> None:
        while len(self._changes) > MAX_CHANGES or sum(len(change.encoded) for change in self._changes) > max_bytes:
            self._changes.popleft()
