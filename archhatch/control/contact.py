"""Proof of contact with a majority, and of what it holds: asked of a control node before it serves anything.

A ping that was answered proves both directions as of the moment when it was sent. Pings that were merely received prove
nothing: a node that can receive and cannot be reached must not think itself in contact.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ..consensus import is_quorum, members

NO_VERSION = -1  # below the version of a register that was never changed, which is 0


@dataclass(frozen=True, slots=True)
class _AnsweredPing:
    """The last answered ping of a node: when it was sent, and the versions that the node had accepted by then."""

    sent_at: float
    accepted_versions: dict[str, int] = field(default_factory=dict)


class MajorityContact:
    """Who has answered this node's pings lately.

    >>> contact = MajorityContact(1.0)
    >>> contact.record_answer("b", 5.0, {"plan": 7})
    >>> group = {"voters": dict.fromkeys("abc"), "prev": None}
    >>> contact.has_majority("a", group, 5.9), contact.has_majority("a", group, 6.1)
    (True, False)
    >>> contact.newest_accepted("plan", group["voters"], 5.9)
    7

    Attributes:
        bound_s: For how long an answered ping proves contact, from the moment when it was sent.
    """

    def __init__(self, bound_s: float) -> None:
        self.bound_s = bound_s
        self._answers: dict[str, _AnsweredPing] = {}

    def record_answer(self, node_id: str, sent_at: float, accepted_versions: dict[str, int]) -> None:
        """Notes that a ping was answered; an answer to an older ping does not replace that to a newer one."""
        last = self._answers.get(node_id)
        if last is None or sent_at >= last.sent_at:
            self._answers[node_id] = _AnsweredPing(sent_at, accepted_versions)

    def forget(self, node_id: str) -> None:
        """Drops a node that has ended, or whose address another node has taken."""
        self._answers.pop(node_id, None)

    def has_contact(self, node_id: str, now: float) -> bool:
        """Returns whether the path to a node and back worked within the bound."""
        answer = self._answers.get(node_id)
        return answer is not None and now - answer.sent_at <= self.bound_s

    def has_majority(self, own_id: str, group: dict, now: float) -> bool:
        """Returns whether a majority of a group answered within the bound; this node counts if it votes.

        While a group changes, that is a majority of the old and of the new one.
        """
        return is_quorum({voter for voter in members(group) if voter == own_id or self.has_contact(voter, now)}, group)

    def newest_accepted(self, shard: str, voters: dict, now: float) -> int:
        """Returns the highest version that any of the voters in contact has accepted; NO_VERSION if none has."""
        versions = [
            self._answers[voter].accepted_versions.get(shard, NO_VERSION)
            for voter in voters
            if self.has_contact(voter, now)
        ]
        return max(versions, default=NO_VERSION)


class ServingGate:
    """Whether this node may serve configuration, the list of replicas, acknowledgements and answers to operators.

    It opens when a majority is in contact and this node holds, of every register, a version as high as any that this
    majority has accepted and any that it knows to be chosen. Once open, a version may run ahead for `grace_s`, the time
    that a change needs to arrive; after a loss of contact (a partition, a freeze, a start) none may.

    >>> gate = ServingGate(0.5)
    >>> gate.update(True, {"plan"}, 1.0), gate.update(True, set(), 1.1), gate.update(True, {"plan"}, 1.2)
    (False, True, True)
    >>> gate.update(True, {"plan"}, 1.8), gate.update(False, set(), 1.9)
    (False, False)
    """

    def __init__(self, grace_s: float) -> None:
        self.grace_s = grace_s
        self._is_open = False
        self._behind_since: dict[str, float] = {}

    def update(self, has_majority: bool, behind: set[str], now: float) -> bool:
        """Opens or shuts the gate by what is known now.

        Args:
            has_majority: Whether a majority is in contact.
            behind: The registers of which a newer version is known than this node holds.
            now: The time on the steady clock, in seconds.

        Returns:
            Whether the gate is open.
        """
        self._behind_since = {shard: self._behind_since.get(shard, now) for shard in behind}
        if not has_majority:
            self._is_open = False
        elif not behind:
            self._is_open = True
        elif any(now - since > self.grace_s for since in self._behind_since.values()):
            self._is_open = False
        return self._is_open
