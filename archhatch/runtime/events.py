"""The journal of events in memory, and views that are folded from it."""

from __future__ import annotations

from collections import deque


class View:
    """Folds events one by one; a subclass gives fold().

    >>> class Last(View):
    ...     def fold(self, kind, what): self.state = (kind, what)
    """

    def __init__(self):
        self.state = None

    def fold(self, kind: str, what) -> None:
        raise NotImplementedError


class Journal:
    """Keeps the newest events and hands each to every view.

    >>> class Count(View):
    ...     def fold(self, kind, what): self.state = (self.state or 0) + 1
    >>> j = Journal(keep=2); v = j.show(Count()); j.append("a", 1); j.append("b", 2); v.state
    2
    """

    def __init__(self, keep: int = 512):
        self.kept: deque = deque(maxlen=keep)
        self.views: list[View] = []
        self.seq = 0

    def show(self, view: View) -> View:
        self.views.append(view)
        for _, kind, what in self.kept:
            view.fold(kind, what)
        return view

    def append(self, kind: str, what) -> int:
        self.seq += 1
        self.kept.append((self.seq, kind, what))
        for v in self.views:
            v.fold(kind, what)
        return self.seq
