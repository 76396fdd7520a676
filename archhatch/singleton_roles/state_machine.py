"""The state machine of a duty: what a request, a renewal, a commit and the like make of its record. No clock, no I/O.

Whether a lease has lapsed is told by the caller, which watches the record on its steady clock (`.watch`).
"""

from __future__ import annotations

from dataclasses import dataclass

from .record import SingletonRole, RoleState, LeaseHolder, PriorState

SHORTEST_LEASE_S, LONGEST_LEASE_S = 5.0, 120.0


class RoleRequestRefused(Exception):
    """A call that the record's state does not allow; carries the numbered code and what the caller may want to know."""

    def __init__(self, code: int, doc: object = None):
        super().__init__(f"{code}: {doc}")
        self.code, self.doc = code, doc


HELD, STALE_FENCE, FAILED_BEFORE, UNKNOWN_DUTY, BAD_LEASE, TOO_LARGE, WRONG_STATE = range(2301, 2308)


@dataclass(frozen=True, slots=True)
class Granted:
    """The caller holds the duty under this fence."""

    fence: int
    prior: PriorState
    intent: object = None  # what an earlier holder was about to do


@dataclass(frozen=True, slots=True)
class Cached:
    """The duty was done before; this is its result."""

    result: object


def request(record: SingletonRole, holder: LeaseHolder, lease_s: float, lapsed: bool) -> Granted | Cached:
    """Ask for a duty's lease.

    >>> r = SingletonRole(); request(r, LeaseHolder("a", "1"), 5.0, False)
    Granted(fence=1, prior=<PriorState.NONE: 'none'>, intent=None)
    >>> try: request(r, LeaseHolder("b", "1"), 5.0, False)
    ... except RoleRequestRefused as e: e.code
    2301
    >>> request(r, LeaseHolder("b", "1"), 5.0, True)
    Granted(fence=2, prior=<PriorState.EXPIRED: 'expired'>, intent=None)
    """
    if not SHORTEST_LEASE_S <= lease_s <= LONGEST_LEASE_S:
        raise RoleRequestRefused(BAD_LEASE, lease_s)
    if record.state is RoleState.COMMITTED:
        return Cached(record.result)
    if record.state is RoleState.FAILED:
        raise RoleRequestRefused(FAILED_BEFORE, record.error)
    if record.state is RoleState.RUNNING and record.holder == holder:
        return Granted(record.fence, record.prior, record.intent)  # the grant's answer was lost
    if record.holder is not None and not lapsed and not holder.same_machine(record.holder):
        raise RoleRequestRefused(HELD, {"node": record.holder.node, "fence": record.fence})
    prior = PriorState.NONE
    if record.state is RoleState.RUNNING:
        record.note(RoleState.EXPIRED.value, record.fence, record.holder.node)
        prior = PriorState.EXPIRED
    elif record.prior is PriorState.RESET:
        prior = PriorState.RESET
    return _grant(record, holder, lease_s, prior)


def _grant(record: SingletonRole, holder: LeaseHolder, lease_s: float, prior: PriorState) -> Granted:
    record.state, record.holder, record.prior = RoleState.RUNNING, holder, prior
    record.fence, record.lease_s, record.renewals = record.fence + 1, lease_s, 0
    record.note("granted", record.fence, holder.node)
    return Granted(record.fence, prior, record.intent)


def check_holder(record: SingletonRole, holder: LeaseHolder, fence: int) -> None:
    """RoleRequestRefused unless this is the holder under the newest fence."""
    if record.fence != fence or record.holder != holder:
        raise RoleRequestRefused(STALE_FENCE, {"fence": record.fence})
    if record.state is not RoleState.RUNNING:
        raise RoleRequestRefused(WRONG_STATE, record.state.value)


def renew(record: SingletonRole, holder: LeaseHolder, fence: int) -> None:
    """Hold on for another length of the lease."""
    check_holder(record, holder, fence)
    record.renewals += 1


def release(record: SingletonRole, holder: LeaseHolder, fence: int, rest_s: float) -> None:
    """Give a duty back; another machine gets it once `rest_s` seconds have passed."""
    check_holder(record, holder, fence)
    record.state, record.prior, record.lease_s = RoleState.IDLE, PriorState.NONE, rest_s
    record.renewals += 1
    record.note("released", fence, holder.node)


def intend(record: SingletonRole, holder: LeaseHolder, fence: int, intent: object) -> Granted | Cached:
    """Begin an effect under a lease's fence: what is about to be done is kept first. One that was begun before keeps
    its first intent, which is what the caller has to do.

    >>> r = SingletonRole(); first = intend(r, LeaseHolder("a", "1"), 4, {"n": 1})
    >>> first.prior.value, intend(r, LeaseHolder("b", "1"), 5, {"n": 2})
    ('none', Granted(fence=5, prior=<PriorState.EXPIRED: 'expired'>, intent={'n': 1}))
    """
    if record.state is RoleState.COMMITTED:
        return Cached(record.result)
    if record.state is RoleState.FAILED:
        raise RoleRequestRefused(FAILED_BEFORE, record.error)
    if fence < record.fence:
        raise RoleRequestRefused(STALE_FENCE, {"fence": record.fence})
    begun = record.state is RoleState.RUNNING
    if begun and record.fence == fence:
        return Granted(fence, record.prior, record.intent)  # the answer was lost
    prior = PriorState.EXPIRED if begun else record.prior
    if not begun:
        record.intent = intent
    record.state, record.holder, record.prior, record.fence = RoleState.RUNNING, holder, prior, fence
    record.note("begun", fence, holder.node)
    return Granted(fence, prior, record.intent)


def commit(record: SingletonRole, holder: LeaseHolder, fence: int, result: object) -> None:
    """Keep a result for good; refused under any but the newest fence. The same commit again is no fault."""
    if record.state is RoleState.COMMITTED and record.fence == fence and record.result == result:
        return
    check_holder(record, holder, fence)
    record.state, record.result = RoleState.COMMITTED, result
    record.note(RoleState.COMMITTED.value, fence, holder.node)


def fail(record: SingletonRole, holder: LeaseHolder, fence: int, error: str) -> None:
    """Keep that a duty failed for good: nobody gets it until it is reset."""
    check_holder(record, holder, fence)
    record.state, record.error = RoleState.FAILED, error
    record.note(RoleState.FAILED.value, fence, holder.node)


def reset(record: SingletonRole, node: str) -> None:
    """An operator allows a failed duty to be tried again."""
    if record.state is not RoleState.FAILED:
        raise RoleRequestRefused(WRONG_STATE, record.state.value)
    record.state, record.prior, record.error, record.intent = RoleState.IDLE, PriorState.RESET, "", None
    record.holder = None  # its last holder gave up: nobody has to be waited for
    record.note("reset", record.fence, node)
