"""Values by texts that somebody outside makes up, for a bounded number of the newest texts."""

from __future__ import annotations

from hashlib import blake2b
from typing import Generic, TypeVar

V = TypeVar("V")

DIGEST_BYTES = 16  # two texts of one digest are not to be found by chance, nor by trying


class RecentTexts(Generic[V]):
    """A mapping that keeps digests in place of its keys, so that long ones cost no more, and lets the oldest go.

    >>> runs = RecentTexts[str](most=2)
    >>> for job_id in "abc": runs.put(job_id, "run-" + job_id)
    >>> runs.get("a"), runs.get("c"), "b" in runs, len(runs), runs.has_let_go
    (None, 'run-c', True, 2, True)

    Attributes:
        most: How many texts are kept.
        has_let_go: Whether any text was let go for another: one that is not there may have been.
    """

    def __init__(self, most: int) -> None:
        self.most = most
        self.has_let_go = False
        self._values: dict[bytes, V] = {}  # the oldest first

    def __len__(self) -> int:
        return len(self._values)

    def __contains__(self, text: str) -> bool:
        return _digest(text) in self._values

    def get(self, text: str) -> V | None:
        """Returns the value of a text; None if it is not there."""
        return self._values.get(_digest(text))

    def put(self, text: str, value: V) -> None:
        """Sets the value of a text, which is the newest from now on."""
        digest = _digest(text)
        self._values.pop(digest, None)
        self._values[digest] = value
        if len(self._values) > self.most:
            del self._values[next(iter(self._values))]
            self.has_let_go = True

    def remove(self, text: str) -> None:
        """Removes a text if it is there."""
        self._values.pop(_digest(text), None)


def _digest(text: str) -> bytes:
    return blake2b(text.encode("utf-8", "surrogatepass"), digest_size=DIGEST_BYTES).digest()
