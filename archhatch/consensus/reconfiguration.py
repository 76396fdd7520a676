"""Which nodes should vote on a register: one change away from the present group. Pure functions."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

SPARE_FAILURES = 1  # failures that the group tolerates beyond FaultTolerance, where machines for it exist


@dataclass(frozen=True, slots=True)
class GroupSize:
    """How many voters tolerate the failures that the settings allow.

    >>> GroupSize.for_losses(1), GroupSize.for_losses(2)
    (GroupSize(minimum=3, maximum=5), GroupSize(minimum=5, maximum=7))

    Attributes:
        minimum: Below this, the group grows as soon as it can.
        maximum: Above this, it does not grow.
    """

    minimum: int
    maximum: int

    @classmethod
    def for_losses(cls, losses: int) -> GroupSize:
        """Returns the size at which the group survives the loss of so many voters: 2f + 1 voters survive that of f."""
        return cls(2 * losses + 1, 2 * (losses + SPARE_FAILURES) + 1)


@dataclass(frozen=True, slots=True)
class UnreachableTimeouts:
    """When an unreachable voter leaves the group.

    Attributes:
        replace_after_s: Where a spare node can take its place.
        remove_after_s: Where none can, and the group is larger than its minimum.
    """

    replace_after_s: float
    remove_after_s: float


@dataclass(slots=True)
class GroupView:
    """What a node knows of the others. Addresses and zones are known of all that are named.

    Attributes:
        voters: The present group: id -> address.
        spares: Nodes that are alive, do not leave and do not vote: id -> address.
        unreachable_s: Voter id -> seconds since the last contact; 0 for this node.
        leaving: Voters that announced their end.
        zones: Node id -> zone.
    """

    voters: dict[str, str]
    spares: dict[str, str]
    unreachable_s: dict[str, float]
    leaving: set[str] = field(default_factory=set)
    zones: dict[str, str] = field(default_factory=dict)


def desired_group(
    view: GroupView, size: GroupSize, timeouts: UnreachableTimeouts, alive_timeout_s: float
) -> dict[str, str] | None:
    """Returns the group that should be, one change away; None if the present one is right.

    A voter is replaced in one step, so that the group never shrinks on the way; it is only made smaller when there are
    more voters than the tolerated failures need.

    >>> view = GroupView({"a": "a:1", "b": "b:1", "c": "c:1"}, {"d": "d:1"}, {"a": 0, "b": 9, "c": 0})
    >>> desired_group(view, GroupSize(3, 3), UnreachableTimeouts(2, 8), 1)
    {'a': 'a:1', 'c': 'c:1', 'd': 'd:1'}

    Args:
        view: What is known of the nodes.
        size: How many voters there should be.
        timeouts: When an unreachable voter is replaced or removed.
        alive_timeout_s: A voter heard from within this time counts as alive.
    """
    wiped = _find_wiped(view, alive_timeout_s)
    if wiped is not None:
        return _with_replacement(view, *wiped)
    view = replace(view, spares=_spares_at_free_addresses(view))
    departing = _first_leaving(view) or _longest_unreachable(view, timeouts.replace_after_s)
    if departing is not None and view.spares:
        return _with_replacement(view, departing, _best_spare(view, departing))
    if departing is not None and len(view.voters) > size.minimum:
        is_due = departing in view.leaving or view.unreachable_s[departing] >= timeouts.remove_after_s
        if is_due:
            return {voter: address for voter, address in view.voters.items() if voter != departing}
    are_all_alive = all(seconds < alive_timeout_s for seconds in view.unreachable_s.values())
    if are_all_alive and not view.leaving & view.voters.keys():
        return _grown(view, size)
    return None


def _find_wiped(view: GroupView, alive_timeout_s: float) -> tuple[str, str] | None:
    """Returns a voter whose disk was lost and the node that lives at its address now: the voter will not return."""
    for voter, address in view.voters.items():
        for spare, spare_address in view.spares.items():
            if spare_address == address and view.unreachable_s[voter] >= alive_timeout_s:
                return voter, spare
    return None


def _spares_at_free_addresses(view: GroupView) -> dict[str, str]:
    """Returns the spares at no voter's address: two voters never share one."""
    taken = set(view.voters.values())
    return {spare: address for spare, address in view.spares.items() if address not in taken}


def _first_leaving(view: GroupView) -> str | None:
    return next((voter for voter in sorted(view.voters) if voter in view.leaving), None)


def _longest_unreachable(view: GroupView, minimum_s: float) -> str | None:
    unreachable = [
        (seconds, voter)
        for voter, seconds in view.unreachable_s.items()
        if voter in view.voters and seconds >= minimum_s
    ]
    return max(unreachable)[1] if unreachable else None


def _best_spare(view: GroupView, departing: str | None = None) -> str:
    """Returns a spare of the zone with the fewest remaining voters."""
    zones = [view.zones.get(voter) for voter in view.voters if voter != departing]
    return min(view.spares, key=lambda spare: (zones.count(view.zones.get(spare)), spare))


def _with_replacement(view: GroupView, departing: str, spare: str) -> dict[str, str]:
    remaining = {voter: address for voter, address in view.voters.items() if voter != departing}
    return {**remaining, spare: view.spares[spare]}


def _grown(view: GroupView, size: GroupSize) -> dict[str, str] | None:
    """Returns a larger group, if there are spares for it.

    It grows by one voter while there are too few or their number is even; beyond that by two at a time, as one alone
    would raise the majority and tolerate no further failure.
    """
    count = len(view.voters)
    step = 1 if count < size.minimum or count % 2 == 0 else 2
    if len(view.spares) < step or count + step > max(size.maximum, size.minimum):
        return None
    for _ in range(step):
        spare = _best_spare(view)
        voters = {**view.voters, spare: view.spares[spare]}
        spares = {other: address for other, address in view.spares.items() if other != spare}
        view = replace(view, voters=voters, spares=spares)
    return view.voters
