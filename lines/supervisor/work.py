"""One item of an open lot on its way: what is made of its text so far."""
from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class Work:
    """state: waiting, running, scoring, done."""
    lot: object
    item: object
    rank: int
    state: str = "waiting"
    fails: int = 0
    score_fails: int = 0
    texts: list = field(default_factory=list)
    last_id: str = ""
    versions: set = field(default_factory=set)
    not_before: float = 0.0
    task: object = None
    engine: object = None
    recalled: bool = False

    def drop_text(self) -> None:
        """Start over: what was made does not fit."""
        self.texts, self.last_id, self.versions = [], "", set()

    def fits(self, rev: int, single: bool) -> bool:
        """Whether a run under a version may go on with this text.

        >>> Work(type("L", (), {"least": 2})(), None, 0, texts=["a"], versions={3}).fits(4, True)
        False
        """
        if rev < self.lot.least or any(v < self.lot.least for v in self.versions):
            return False
        return not (single and self.versions and self.versions != {rev})
