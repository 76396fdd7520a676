"""Arguments of the commands on a role's record, as they stand on the wire between nodes.

The keys are written in the order of the fields, which is that of the versions before.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from ..runtime.message import Message, wire


class RoleArguments(Protocol):
    """What the arguments of all commands on a role have in common."""

    @property
    def key(self) -> str:
        """The role's key."""

    @property
    def node(self) -> str:
        """The name of the node that asks."""

    @property
    def incarnation(self) -> str:
        """The process of that node; empty where an operator asks."""


@dataclass(frozen=True, slots=True)
class LeaseRequest(Message):
    """Asks for a role's lease ("duty.request").

    Attributes:
        key: The role's key.
        lease_s: How long the lease shall hold, in seconds.
        node: The name of the node that asks.
        incarnation: Its process.
        seen: The present grant's fencing token and number of renewals, as seen by who runs the command; None where it
            has seen none.
        seen_s: Seconds for which it has seen them unchanged.
    """

    key: str = wire("key")
    lease_s: float = wire("lease_s")
    node: str = wire("node")
    incarnation: str = wire("life", default="")
    seen: list | None = wire("seen", default=None, optional=True)
    seen_s: float = wire("seen_s", default=0.0, optional=True)


@dataclass(frozen=True, slots=True)
class LeaseRenewal(Message):
    """Extends a lease ("duty.renew")."""

    key: str = wire("key")
    fencing_token: int = wire("fence")
    node: str = wire("node")
    incarnation: str = wire("life", default="")


@dataclass(frozen=True, slots=True)
class LeaseRelease(Message):
    """Gives a lease back ("duty.release"); others have to wait `rest_s` seconds for it."""

    key: str = wire("key")
    fencing_token: int = wire("fence")
    rest_s: float = wire("rest_s")
    node: str = wire("node")
    incarnation: str = wire("life", default="")


@dataclass(frozen=True, slots=True)
class EffectIntent(Message):
    """Begins an effect under a lease ("duty.intend")."""

    key: str = wire("key")
    fencing_token: int = wire("fence")
    intent: object = wire("intent")
    node: str = wire("node")
    incarnation: str = wire("life", default="")


@dataclass(frozen=True, slots=True)
class RoleCommit(Message):
    """Keeps a role's result for good ("duty.commit")."""

    key: str = wire("key")
    fencing_token: int = wire("fence")
    result: object = wire("result")
    node: str = wire("node")
    incarnation: str = wire("life", default="")


@dataclass(frozen=True, slots=True)
class RoleFailure(Message):
    """Keeps that a role failed for good ("duty.fail")."""

    key: str = wire("key")
    fencing_token: int = wire("fence")
    error: str = wire("error")
    node: str = wire("node")
    incarnation: str = wire("life", default="")


@dataclass(frozen=True, slots=True)
class RoleReset(Message):
    """Allows a failed role to be tried again ("duty.reset"); an operator has no incarnation."""

    key: str = wire("key")
    node: str = wire("node")
    incarnation: str = wire("life", default="", optional=True)


@dataclass(frozen=True, slots=True)
class GrantAnswer(Message):
    """The answer to a lease request or an intent that was granted."""

    is_cached: bool = wire("cached")
    fencing_token: int = wire("fence")
    prior: str = wire("prior")
    intent: object = wire("intent")


@dataclass(frozen=True, slots=True)
class CachedAnswer(Message):
    """The answer to a lease request or an intent for what was committed before."""

    is_cached: bool = wire("cached")
    result: object = wire("result")
