"""The last changes of a register, as a feed sends them to readers that have an older version."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

import orjson

from ..membership.delta import diff
from ..runtime import encode_kept

KEEP_CHANGES = 64  # changes of a register that are kept,
KEEP_SHARE = 0.5  # ... as long as they are together no longer than this share of the whole


@dataclass(frozen=True, slots=True)
class Change:
    """The step from one version of a register to a later one, encoded."""

    base: int
    version: int
    encoded: bytes


class RegisterHistory:
    """note() is told of each version that becomes known here; since() gives the steps from an older one.

    >>> h = RegisterHistory(); h.note(1, {"a": 1, "b": "." * 200}); h.note(4, {"a": 2, "b": "." * 200})
    >>> h.since(1), h.since(2), h.since(4)
    ([b'{"in":{"a":{"is":2}},"drop":[]}'], None, [])
    """

    def __init__(self):
        self.version: int | None = None
        self.whole = orjson.Fragment(b"null")  # the newest version, encoded
        self._value: object = None
        self._changes: deque[Change] = deque()

    def note(self, version: int, value: object) -> None:
        """This version is in force now."""
        if version == self.version:
            return
        raw = encode_kept(value)
        if self.version is None or version < self.version:
            self._changes.clear()
        else:
            change = diff(self._value, value) or {"in": {}, "drop": []}
            self._changes.append(Change(self.version, version, encode_kept(change)))
            self._shorten(len(raw) * KEEP_SHARE)
        self.version, self._value, self.whole = version, value, orjson.Fragment(raw)

    def since(self, version: int) -> list[bytes] | None:
        """The steps from a version to the newest one, the oldest first; None if they are not all known."""
        if version == self.version:
            return []
        steps = []
        for change in reversed(self._changes):
            steps.append(change.encoded)
            if change.base == version:
                return steps[::-1]
        return None

    def _shorten(self, most_bytes: float) -> None:
        while len(self._changes) > KEEP_CHANGES or sum(len(c.encoded) for c in self._changes) > most_bytes:
            self._changes.popleft()
