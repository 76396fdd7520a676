"""Which nodes should vote on a register: a change of the group, one step away from the one that is."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

SPARE_LOSSES = 1  # losses that the group bears beyond FaultTolerance, where machines for it exist


@dataclass(frozen=True, slots=True)
class GroupSize:
    """How many voters bear the losses that the settings allow.

    >>> GroupSize.for_losses(1), GroupSize.for_losses(2)
    (GroupSize(minimum=3, maximum=5), GroupSize(minimum=5, maximum=7))
    """

    minimum: int
    maximum: int

    @classmethod
    def for_losses(cls, losses: int) -> GroupSize:
        """A majority of 2f + 1 voters outlives the loss of f of them."""
        return cls(2 * losses + 1, 2 * (losses + SPARE_LOSSES) + 1)


@dataclass(frozen=True, slots=True)
class UnreachableTimeouts:
    """Seconds of silence after which a voter is replaced, where a spare stands by, or left out, where none does."""

    replace_s: float
    shrink_s: float


@dataclass(slots=True)
class GroupView:
    """What a node sees of the others. Addresses and zones are known of all that are named."""

    voters: dict  # id -> address
    spares: dict  # id -> address: alive, not leaving, no voters
    silent: dict  # voter id -> seconds since it was heard; own id: 0
    leaving: set = field(default_factory=set)  # voters that said that they will end
    zones: dict = field(default_factory=dict)  # id -> zone


def desired_group(sight: GroupView, size: GroupSize, patience: UnreachableTimeouts, alive_s: float) -> dict | None:
    """The group that should be, one change away; None if the present one is right.

    A voter is replaced in one step, so that the group never shrinks on the way; it is only made smaller when there are
    more voters than the allowed losses need.

    >>> seen = GroupView({"a": 1, "b": 2, "c": 3}, {"d": 4}, {"a": 0, "b": 9, "c": 0})
    >>> desired_group(seen, GroupSize(3, 3), UnreachableTimeouts(2, 8), 1)
    {'a': 1, 'c': 3, 'd': 4}
    """
    wiped = _wiped(sight, alive_s)
    if wiped is not None:
        return _swap(sight, *wiped)
    sight = replace(sight, spares=_free_spares(sight))
    gone = _first(sight, lambda v: v in sight.leaving) or _longest_silent(sight, patience.replace_s)
    if gone is not None and sight.spares:
        return _swap(sight, gone, _best_spare(sight, gone))
    if gone is not None and len(sight.voters) > size.minimum:
        if gone in sight.leaving or sight.silent[gone] >= patience.shrink_s:
            return {v: a for v, a in sight.voters.items() if v != gone}
    if all(s < alive_s for s in sight.silent.values()) and not sight.leaving & sight.voters.keys():
        return _grown(sight, size)
    return None


def _wiped(sight: GroupView, alive_s: float) -> tuple | None:
    """A voter at whose address another node lives: its disk was lost, and it will not come back."""
    for voter, address in sight.voters.items():
        for spare, spare_addr in sight.spares.items():
            if spare_addr == address and sight.silent[voter] >= alive_s:
                return voter, spare
    return None


def _free_spares(sight: GroupView) -> dict:
    """Spares that stand at no voter's address: an address is never two voters'."""
    taken = set(sight.voters.values())
    return {s: address for s, address in sight.spares.items() if address not in taken}


def _first(sight: GroupView, chosen) -> str | None:
    return next((v for v in sorted(sight.voters) if chosen(v)), None)


def _longest_silent(sight: GroupView, least_s: float) -> str | None:
    silent = [(s, v) for v, s in sight.silent.items() if v in sight.voters and s >= least_s]
    return max(silent)[1] if silent else None


def _best_spare(sight: GroupView, gone: str | None = None) -> str:
    """A spare of the zone with the fewest voters."""
    zones = [sight.zones.get(v) for v in sight.voters if v != gone]
    return min(sight.spares, key=lambda s: (zones.count(sight.zones.get(s)), s))


def _swap(sight: GroupView, gone: str, spare: str) -> dict:
    return {**{v: a for v, a in sight.voters.items() if v != gone}, spare: sight.spares[spare]}


def _grown(sight: GroupView, size: GroupSize) -> dict | None:
    """One voter more while there are too few or their number is even; beyond that two at a time, as one alone would
    raise the majority and bear no further loss."""
    count = len(sight.voters)
    steps = 1 if count < size.minimum or count % 2 == 0 else 2
    if len(sight.spares) < steps or count + steps > max(size.maximum, size.minimum):
        return None
    grown = sight
    for _ in range(steps):
        spare = _best_spare(grown)
        rest = {s: a for s, a in grown.spares.items() if s != spare}
        grown = GroupView({**grown.voters, spare: grown.spares[spare]}, rest, grown.silent, grown.leaving, grown.zones)
    return grown.voters
