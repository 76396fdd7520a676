"""Proof of contact with a majority, and of what it holds: asked of a control node before it serves anything.

A ping that was answered proves both directions as of the moment when it was sent. Pings that were merely heard prove
nothing: a node that can hear and cannot be heard must not think itself in touch.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ..consensus import covers, members


@dataclass(slots=True)
class _Report:
    """The last answered ping of a node: when it was sent, and the versions that the node had accepted by then."""

    sent_at: float
    accepted: dict = field(default_factory=dict)


class MajorityContact:
    """Who answered this node's pings lately.

    >>> c = MajorityContact(1.0); c.note("b", 5.0, {"plan": 7}); group = {"voters": dict.fromkeys("abc"), "prev": None}
    >>> c.reached("a", group, 5.9), c.reached("a", group, 6.1), c.newest("plan", group["voters"], 5.9)
    (True, False, 7)
    """

    def __init__(self, bound_s: float):
        self.bound_s = bound_s
        self._reports: dict[str, _Report] = {}

    def note(self, node_id: str, sent_at: float, accepted: dict) -> None:
        """A ping that was sent at a time was answered."""
        old = self._reports.get(node_id)
        if old is None or sent_at >= old.sent_at:
            self._reports[node_id] = _Report(sent_at, accepted)

    def forget(self, node_id: str) -> None:
        """The node ended, or another stands at its address."""
        self._reports.pop(node_id, None)

    def proven(self, node_id: str, now: float) -> bool:
        """Whether the path to a node and back worked within the bound."""
        report = self._reports.get(node_id)
        return report is not None and now - report.sent_at <= self.bound_s

    def reached(self, me: str, group: dict, now: float) -> bool:
        """Whether a majority of a group, this node counted in if it votes, answered within the bound.

        While a group changes, that is a majority of both.
        """
        return covers({v for v in members(group) if v == me or self.proven(v, now)}, group)

    def newest(self, shard: str, voters: dict, now: float) -> int:
        """The highest version that any of the voters in contact has accepted; -1 if none has."""
        told = [self._reports[v].accepted.get(shard, -1) for v in voters if self.proven(v, now)]
        return max(told, default=-1)


class ServingGate:
    """Whether this node may serve configuration, the list of replicas, acknowledgements and answers to operators.

    It opens when a majority is in contact and this node holds, of every register, a version as high as any that this
    majority has accepted and any that it was told is chosen. Once open, a version may run ahead for `grace_s`, the time
    that news of a change needs; after a loss of contact (a cut, a freeze, a start) none may.

    >>> gate = ServingGate(0.5)
    >>> gate.look(True, {"plan"}, 1.0), gate.look(True, set(), 1.1), gate.look(True, {"plan"}, 1.2)
    (False, True, True)
    >>> gate.look(True, {"plan"}, 1.8), gate.look(False, set(), 1.9)
    (False, False)
    """

    def __init__(self, grace_s: float):
        self.grace_s = grace_s
        self._open = False
        self._behind_since: dict[str, float] = {}

    def look(self, reached: bool, behind: set, now: float) -> bool:
        """Fold what is seen now: contact with a majority, and the registers of which a newer version is known of."""
        self._behind_since = {p: self._behind_since.get(p, now) for p in behind}
        if not reached:
            self._open = False
        elif not behind:
            self._open = True
        elif any(now - since > self.grace_s for since in self._behind_since.values()):
            self._open = False
        return self._open
