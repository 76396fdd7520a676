"""The state machine of a singleton role: what each command makes of the role's record. No clock, no I/O.

The caller says whether a lease has lapsed; it watches the record on its steady clock (`.watch`).
"""

from __future__ import annotations

from dataclasses import dataclass

from .errors import (
    InvalidLeaseDurationError,
    LeaseHeldError,
    RoleFailedError,
    StaleFenceError,
    WrongRoleStateError,
)
from .record import LeaseHolder, PriorState, RoleState, SingletonRole

# Verity's bounds: below, a pause of the process costs the lease; above, a takeover takes too long.
MIN_LEASE_S = 5.0
MAX_LEASE_S = 120.0


@dataclass(frozen=True, slots=True)
class Granted:
    """The caller holds the role.

    Attributes:
        fencing_token: The token under which it acts.
        prior: What is known of the attempts before.
        intent: What an earlier lease holder was about to do.
    """

    fencing_token: int
    prior: PriorState
    intent: object = None


@dataclass(frozen=True, slots=True)
class Cached:
    """The role was committed before.

    Attributes:
        result: What was committed.
    """

    result: object


def request(record: SingletonRole, requester: LeaseHolder, lease_s: float, has_lapsed: bool) -> Granted | Cached:
    """Asks for a role's lease.

    >>> role = SingletonRole()
    >>> request(role, LeaseHolder("a", "1"), 5.0, has_lapsed=False)
    Granted(fencing_token=1, prior=<PriorState.NONE: 'none'>, intent=None)
    >>> try: request(role, LeaseHolder("b", "1"), 5.0, has_lapsed=False)
    ... except LeaseHeldError as e: e.code
    2301
    >>> request(role, LeaseHolder("b", "1"), 5.0, has_lapsed=True)
    Granted(fencing_token=2, prior=<PriorState.EXPIRED: 'expired'>, intent=None)

    Args:
        record: The role's record; changed in place if the lease is granted.
        requester: Who asks.
        lease_s: How long the lease shall hold, in seconds.
        has_lapsed: Whether the present lease has outlived its length, as seen by who runs the command.

    Returns:
        The grant, or the result of a role that was committed.

    Raises:
        InvalidLeaseDurationError: lease_s is out of bounds.
        RoleFailedError: The role failed and was not reset.
        LeaseHeldError: Another node holds the lease.
    """
    if not MIN_LEASE_S <= lease_s <= MAX_LEASE_S:
        raise InvalidLeaseDurationError(lease_s)
    if record.state is RoleState.COMMITTED:
        return Cached(record.result)
    if record.state is RoleState.FAILED:
        raise RoleFailedError(record.error)
    if record.state is RoleState.RUNNING and record.lease_holder == requester:
        return Granted(record.fencing_token, record.prior, record.intent)  # the answer to its first request was lost
    _check_is_free(record, requester, has_lapsed)
    return _grant(record, requester, lease_s, _prior_at_grant(record))


def _check_is_free(record: SingletonRole, requester: LeaseHolder, has_lapsed: bool) -> None:
    """Raises LeaseHeldError if a process of another node may still act under the lease."""
    previous = record.lease_holder
    if previous is None or has_lapsed or requester.is_same_node(previous):
        return
    raise LeaseHeldError({"node": previous.node, "fence": record.fencing_token})


def _prior_at_grant(record: SingletonRole) -> PriorState:
    """What a new lease holder learns of the attempts before; notes the expiry of a lease that was not released."""
    if record.state is RoleState.RUNNING and record.lease_holder is not None:
        record.add_audit_entry(RoleState.EXPIRED.value, record.fencing_token, record.lease_holder.node)
        return PriorState.EXPIRED
    if record.prior is PriorState.RESET:
        return PriorState.RESET
    return PriorState.NONE


def _grant(record: SingletonRole, requester: LeaseHolder, lease_s: float, prior: PriorState) -> Granted:
    record.state = RoleState.RUNNING
    record.lease_holder = requester
    record.prior = prior
    record.fencing_token += 1
    record.lease_s = lease_s
    record.renewals = 0
    record.add_audit_entry("granted", record.fencing_token, requester.node)
    return Granted(record.fencing_token, prior, record.intent)


def check_lease_holder(record: SingletonRole, caller: LeaseHolder, fencing_token: int) -> None:
    """Refuses a caller that does not hold the role under its newest fencing token.

    Raises:
        StaleFenceError: Another process, or another grant, came after.
        WrongRoleStateError: The role is not running.
    """
    if record.fencing_token != fencing_token or record.lease_holder != caller:
        raise StaleFenceError({"fence": record.fencing_token})
    if record.state is not RoleState.RUNNING:
        raise WrongRoleStateError(record.state.value)


def renew(record: SingletonRole, caller: LeaseHolder, fencing_token: int) -> None:
    """Extends the lease by another of its lengths. Raises as check_lease_holder."""
    check_lease_holder(record, caller, fencing_token)
    record.renewals += 1


def release(record: SingletonRole, caller: LeaseHolder, fencing_token: int, rest_s: float) -> None:
    """Gives a role back; another node gets it once `rest_s` seconds have passed. Raises as check_lease_holder."""
    check_lease_holder(record, caller, fencing_token)
    record.state = RoleState.IDLE
    record.prior = PriorState.NONE
    record.lease_s = rest_s
    record.renewals += 1
    record.add_audit_entry("released", fencing_token, caller.node)


def intend(record: SingletonRole, caller: LeaseHolder, fencing_token: int, intent: object) -> Granted | Cached:
    """Begins an effect under a lease's fencing token: what is about to be done is kept first.

    An effect that was begun before keeps its first intent, which is what the caller has to carry out.

    >>> role = SingletonRole()
    >>> intend(role, LeaseHolder("a", "1"), 4, {"n": 1}).prior.value
    'none'
    >>> intend(role, LeaseHolder("b", "1"), 5, {"n": 2})
    Granted(fencing_token=5, prior=<PriorState.EXPIRED: 'expired'>, intent={'n': 1})

    Raises:
        RoleFailedError: The effect failed and was not reset.
        StaleFenceError: The effect was begun under a newer token.
    """
    if record.state is RoleState.COMMITTED:
        return Cached(record.result)
    if record.state is RoleState.FAILED:
        raise RoleFailedError(record.error)
    if fencing_token < record.fencing_token:
        raise StaleFenceError({"fence": record.fencing_token})
    was_begun = record.state is RoleState.RUNNING
    if was_begun and record.fencing_token == fencing_token:
        return Granted(fencing_token, record.prior, record.intent)  # the answer to its first call was lost
    if was_begun:
        record.prior = PriorState.EXPIRED
    else:
        record.intent = intent
    record.state = RoleState.RUNNING
    record.lease_holder = caller
    record.fencing_token = fencing_token
    record.add_audit_entry("begun", fencing_token, caller.node)
    return Granted(fencing_token, record.prior, record.intent)


def commit(record: SingletonRole, caller: LeaseHolder, fencing_token: int, result: object) -> None:
    """Keeps a result for good. The same commit again is accepted, as the first answer may have been lost.

    Raises as check_lease_holder.
    """
    is_committed = record.state is RoleState.COMMITTED
    if is_committed and record.fencing_token == fencing_token and record.result == result:
        return
    check_lease_holder(record, caller, fencing_token)
    record.state = RoleState.COMMITTED
    record.result = result
    record.add_audit_entry(RoleState.COMMITTED.value, fencing_token, caller.node)


def fail(record: SingletonRole, caller: LeaseHolder, fencing_token: int, error: str) -> None:
    """Keeps that a role failed for good: nobody gets it until it is reset. Raises as check_lease_holder."""
    check_lease_holder(record, caller, fencing_token)
    record.state = RoleState.FAILED
    record.error = error
    record.add_audit_entry(RoleState.FAILED.value, fencing_token, caller.node)


def reset(record: SingletonRole, node: str) -> None:
    """Allows a failed role to be tried again, on behalf of an operator.

    Raises:
        WrongRoleStateError: The role has not failed.
    """
    if record.state is not RoleState.FAILED:
        raise WrongRoleStateError(record.state.value)
    record.state = RoleState.IDLE
    record.prior = PriorState.RESET
    record.error = ""
    record.intent = None
    record.lease_holder = None  # it gave up: nobody has to be waited for
    record.add_audit_entry("reset", record.fencing_token, node)
