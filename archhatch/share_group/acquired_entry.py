"""An acquired entry of the step log in a worker's hands."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(eq=False)
class AcquiredEntry:
    """An acquired entry in a worker's hands. state: running, scoring, settling."""

    run: str
    card: dict
    locked_until: float  # the lock's end by this node's steady clock
    state: str = "running"
    texts: list = field(default_factory=list)
    last_id: str = ""
    versions: set = field(default_factory=set)
    fails: int = 0
    score_fails: int = 0
    signs: list = field(default_factory=list)
    pause: float = 0.0
    forget_home: bool = False
    off_told: bool = False
    row: dict | None = None  # its settlement, until the leader committed it
    task: object = None
    item: object = None
    may_send: object = None

    def key(self) -> tuple:
        """The lot and the item."""
        return self.card["lot"], self.card["iid"]

    def drop_text(self) -> None:
        """Forget what was made: the item starts over."""
        self.texts, self.last_id, self.versions = [], "", set()

    def sign(self, what: str, rest: float = 0.0) -> None:
        """Note for the leader what the run showed of its replica."""
        self.signs.append([what, rest])
