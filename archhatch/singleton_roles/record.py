"""Records of singleton roles: what one node at a time must do, who may do it now, and what came of it.

After "Verity Core Concepts: effects, leases and fence tokens". A role is either a lease that stands for as long as its
holder renews it, or an effect: one piece of work that is done under such a lease, or under a lease of its own.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, StrEnum

from ..runtime.message import InvalidMessageError, Message, wire

MAX_AUDIT_ENTRIES = 12  # the newest entries of a record's audit trail; bounds the record's size


class RoleState(StrEnum):
    """The state of a role. EXPIRED stands in the audit trail only, when a lease passes on without its release."""

    IDLE = "IDLE"
    RUNNING = "RUNNING"
    COMMITTED = "COMMITTED"
    FAILED = "FAILED"
    EXPIRED = "EXPIRED"


class PriorState(StrEnum):
    """What a new lease holder learns of the attempts before its own."""

    NONE = "none"  # there was no attempt, or its lease holder released the role
    EXPIRED = "expired"  # an attempt began and its outcome is unknown: observe before acting
    RESET = "reset"  # an attempt failed for good, and an operator allowed another


@dataclass(frozen=True, slots=True)
class LeaseHolder:
    """One incarnation of a node's process.

    Attributes:
        node: The node's name.
        incarnation: Drawn at random when the process starts.
    """

    node: str
    incarnation: str

    def is_same_node(self, other: LeaseHolder | None) -> bool:
        """Whether both are processes of one node; the earlier has ended when the later starts."""
        return other is not None and other.node == self.node


@dataclass(frozen=True, slots=True)
class AuditEntry:
    """One step in a role's history.

    Attributes:
        event: What happened, such as `granted`.
        fencing_token: The token under which it happened.
        node: The node that did it.
    """

    event: str
    fencing_token: int
    node: str


def _encode_lease_holder(lease_holder: LeaseHolder | None) -> list | None:
    return None if lease_holder is None else [lease_holder.node, lease_holder.incarnation]


def _decode_lease_holder(value: list | None) -> LeaseHolder | None:
    return LeaseHolder(*value) if value else None


def _encode_audit(entries: list[AuditEntry]) -> list:
    return [[entry.event, entry.fencing_token, entry.node] for entry in entries]


def _decode_audit(value: list) -> list[AuditEntry]:
    return [AuditEntry(*entry) for entry in value]


def _encode_enum(member: Enum) -> str:
    return member.value


@dataclass(slots=True)
class SingletonRole(Message):
    """All that the register keeps of one role; changed in place by `.state_machine` alone.

    Attributes:
        state: The role's state.
        fencing_token: The token of the last grant; only rises.
        lease_holder: Who got the last grant.
        prior: What the lease holder learned of the attempts before its own.
        lease_s: How long a grant or a renewal holds; after a release, how long others have to wait. Seconds.
        renewals: Renewals and releases so far: a change shows watchers that the lease was alive.
        intent: What the lease holder was about to do, kept before it did it.
        result: What was committed.
        error: Why the role failed.
        audit: The newest steps of its history.
    """

    state: RoleState = wire("state", default=RoleState.IDLE, encode=_encode_enum, decode=RoleState)
    fencing_token: int = wire("fence", default=0)
    lease_holder: LeaseHolder | None = wire(
        "holder", default=None, encode=_encode_lease_holder, decode=_decode_lease_holder
    )
    prior: PriorState = wire("prior", default=PriorState.NONE, encode=_encode_enum, decode=PriorState)
    lease_s: float = wire("lease_s", default=0.0)
    renewals: int = wire("renewals", default=0)
    intent: object = wire("intent", default=None)
    result: object = wire("result", default=None)
    error: str = wire("error", default="")
    audit: list[AuditEntry] = wire("audit", default_factory=list, encode=_encode_audit, decode=_decode_audit)

    def add_audit_entry(self, event: str, fencing_token: int, node: str) -> None:
        """Adds to the audit trail and drops its oldest entries beyond MAX_AUDIT_ENTRIES."""
        self.audit.append(AuditEntry(event, fencing_token, node))
        del self.audit[:-MAX_AUDIT_ENTRIES]

    @classmethod
    def read(cls, document: dict | None) -> SingletonRole:
        """Reads a record from a register's value.

        >>> stored = SingletonRole(fencing_token=3, lease_holder=LeaseHolder("a", "x")).to_document()
        >>> SingletonRole.read(stored).lease_holder
        LeaseHolder(node='a', incarnation='x')

        Args:
            document: The stored record, or None where there is none.

        Returns:
            The record; a new one if there was none.

        Raises:
            InvalidMessageError: The record has other keys than this version knows.
        """
        if document is None:
            return cls()
        if not _REQUIRED_KEYS <= document.keys() <= _KEYS:
            # another version's record is refused: writing it back would drop the fields that are unknown here
            raise InvalidMessageError(f"role record: unusable keys: {sorted(document)}")
        return cls.from_document(document)


@dataclass(frozen=True, slots=True)
class LeaseStatus(Message):
    """The part of a record that tells whether its lease is held; cheaper to read than the whole.

    Attributes:
        state: The role's state.
        lease_holder: Who got the last grant.
        lease_s: How long the last grant or renewal holds, in seconds.
    """

    state: RoleState = wire("state", decode=RoleState)
    lease_holder: LeaseHolder | None = wire("holder", decode=_decode_lease_holder)
    lease_s: float = wire("lease_s")


_KEYS = frozenset(SingletonRole().to_document())
_REQUIRED_KEYS = frozenset({"state", "prior", "holder", "audit"})
