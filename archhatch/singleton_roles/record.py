"""Records of duties: what one node at a time must do, who may do it now, and what came of it.

After "Verity Core Concepts: effects, leases and fence tokens". A duty is either a lease that stands for as long as its
holder renews it, or an effect: one piece of work that is done under such a lease, or under a lease of its own.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass, field
from enum import Enum

AUDIT_KEPT = 12  # entries of a record's audit trail that are kept


class RoleState(str, Enum):
    """The life of a duty. EXPIRED is written when the next holder takes over from one that fell silent."""

    IDLE = "IDLE"
    RUNNING = "RUNNING"
    COMMITTED = "COMMITTED"
    FAILED = "FAILED"
    EXPIRED = "EXPIRED"


class PriorState(str, Enum):
    """What a new holder is told of the attempts before its own."""

    NONE = "none"  # there was no attempt, or its holder gave the duty back
    EXPIRED = "expired"  # an attempt began and nobody knows how it ended: observe before acting
    RESET = "reset"  # an attempt failed for good, and an operator allowed another


@dataclass(frozen=True, slots=True)
class LeaseHolder:
    """One life of a node's process."""

    node: str  # the node's name
    incarnation: str  # drawn at random when the process starts

    def same_machine(self, other: LeaseHolder | None) -> bool:
        """Whether both are processes of one machine; the earlier has ended when the later starts."""
        return other is not None and other.node == self.node


@dataclass(frozen=True, slots=True)
class AuditEntry:
    """One step in a duty's life."""

    event: str
    fence: int
    node: str


@dataclass(slots=True)
class SingletonRole:
    """All that the ledger keeps of one duty."""

    state: RoleState = RoleState.IDLE
    fence: int = 0  # of the last grant; only rises
    holder: LeaseHolder | None = None  # of the last grant
    prior: PriorState = PriorState.NONE  # what the holder was told
    lease_s: float = 0.0  # for so long a grant or renewal holds; after a release, how long others have to wait
    renewals: int = 0  # since the grant
    intent: object = None  # what the holder said that it was about to do, before it did it
    result: object = None  # what was committed
    error: str = ""  # why it failed
    audit: list[AuditEntry] = field(default_factory=list)

    def note(self, event: str, fence: int, node: str) -> None:
        """Add to the audit trail, which is bounded."""
        self.audit.append(AuditEntry(event, fence, node))
        del self.audit[:-AUDIT_KEPT]

    @classmethod
    def read(cls, doc: dict | None) -> SingletonRole:
        """From a register's value; a new record where there is none."""
        if doc is None:
            return cls()
        holder = LeaseHolder(*doc["holder"]) if doc["holder"] else None
        audit = [AuditEntry(*entry) for entry in doc["audit"]]
        fields = {**doc, "state": RoleState(doc["state"]), "prior": PriorState(doc["prior"])}
        return cls(**{**fields, "holder": holder, "audit": audit})

    def doc(self) -> dict:
        """For a register's value.

        >>> SingletonRole.read(SingletonRole(fence=3, holder=LeaseHolder("a", "x")).doc()).holder
        LeaseHolder(node='a', incarnation='x')
        """
        doc = asdict(self)
        doc["state"], doc["prior"] = self.state.value, self.prior.value
        doc["holder"] = [self.holder.node, self.holder.incarnation] if self.holder else None
        doc["audit"] = [[entry.event, entry.fence, entry.node] for entry in self.audit]
        return doc
