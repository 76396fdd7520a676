"""An evacuation's states, and what nodes of the data plane and stores make of the records that the feed brings."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class EvacuationState(enum.StrEnum):
    """Where an evacuation stands."""

    PLANNED = "planned"
    ANNOUNCED = "announced"  # started: the tenant is being told
    PREPARING = "preparing"  # copies of open lots come to the target
    MOVING = "moving"  # requests go to the target; what runs in the origin ends there or goes on in the target
    MOVED = "moved"
    RETURNING = "returning"
    RETURNED = "returned"
    CANCELLED = "cancelled"
    FAILED = "failed"


class Place(enum.StrEnum):
    """Where a tenant's new requests go."""

    ORIGIN = "origin"
    TARGET = "target"


FINAL = frozenset({EvacuationState.RETURNED, EvacuationState.CANCELLED, EvacuationState.FAILED})
BEFORE_MOVE = frozenset({EvacuationState.PLANNED, EvacuationState.ANNOUNCED, EvacuationState.PREPARING})

# steps that the holder of the duty takes, beside those that an operator orders: from a state and a place to a state,
# and where new requests go from then on
STEPS = {
    (EvacuationState.PLANNED, Place.ORIGIN, EvacuationState.FAILED): Place.ORIGIN,
    (EvacuationState.ANNOUNCED, Place.ORIGIN, EvacuationState.PREPARING): Place.ORIGIN,
    (EvacuationState.ANNOUNCED, Place.ORIGIN, EvacuationState.FAILED): Place.ORIGIN,
    (EvacuationState.PREPARING, Place.ORIGIN, EvacuationState.MOVING): Place.TARGET,
    (EvacuationState.PREPARING, Place.ORIGIN, EvacuationState.FAILED): Place.ORIGIN,
    (EvacuationState.MOVING, Place.TARGET, EvacuationState.MOVED): Place.TARGET,
    (EvacuationState.RETURNING, Place.TARGET, EvacuationState.RETURNING): Place.ORIGIN,  # the requests go home
    (EvacuationState.RETURNING, Place.ORIGIN, EvacuationState.RETURNED): Place.ORIGIN,
    (EvacuationState.RETURNING, Place.ORIGIN, EvacuationState.CANCELLED): Place.ORIGIN,
}


@dataclass(frozen=True, slots=True)
class Move:
    """One evacuation as the feed tells of it.

    >>> m = Move.read("e1", {"rules": ["q"], "origin": "a", "target": "b", "state": "moving", "placed": "target"})
    >>> m.here, m.copies_in, m.settling
    ('b', 'b', True)
    """

    name: str
    rules: frozenset
    origin: str
    target: str
    state: EvacuationState
    placed: Place

    @classmethod
    def read(cls, name: str, doc: dict) -> Move:
        """From a row of the feed."""
        return cls(
            name,
            frozenset(doc["rules"]),
            doc["origin"],
            doc["target"],
            EvacuationState(doc["state"]),
            Place(doc["placed"]),
        )

    @property
    def here(self) -> str:
        """The region of the tenant's new requests."""
        return self.target if self.placed is Place.TARGET else self.origin

    @property
    def copies_in(self) -> str | None:
        """The region that needs enough copies of the tenant's lots; None if none needs more than any other."""
        if self.state in (EvacuationState.PREPARING, EvacuationState.MOVING, EvacuationState.MOVED):
            return self.target
        return self.origin if self.state is EvacuationState.RETURNING else None

    @property
    def settling(self) -> bool:
        """Whether work that runs where it should no longer run is to end or go on elsewhere."""
        return self.state is EvacuationState.MOVING or (
            self.state is EvacuationState.RETURNING and self.placed is Place.ORIGIN
        )

    @property
    def left(self) -> str:
        """The region that new requests have left."""
        return self.origin if self.placed is Place.TARGET else self.target


class Moves:
    """The evacuations that are not over, by the rules of the policy that they move; made of the feed's rows or of
    records.

    >>> moves = Moves({"e1": {"rules": ["q"], "origin": "a", "target": "b", "state": "moved", "placed": "target"}})
    >>> moves.order("q", ["a", "b", "c"]), moves.order("r", ["a", "b"]), moves.of("q").name
    (['b', 'c', 'a'], ['a', 'b'], 'e1')
    """

    def __init__(self, table: dict | None = None):
        self.all = [Move.read(name, doc) for name, doc in (table or {}).items() if doc["state"] not in FINAL]
        self._by_rule = {rule: move for move in self.all for rule in move.rules}

    def __str__(self) -> str:
        return ", ".join(f"{m.name} {m.state}: {m.origin} to {m.target}" for m in self.all) or "none"

    def of(self, rule: str) -> Move | None:
        """The evacuation that a rule is part of."""
        return self._by_rule.get(rule)

    def order(self, rule: str, regions: list) -> list:
        """A rule's regions as a move has them: the target first, and the origin only where nothing else is left."""
        move = self._by_rule.get(rule)
        if move is None or move.placed is Place.ORIGIN:
            return regions
        others = [region for region in regions if region not in (move.origin, move.target)]
        return [region for region in [move.target, *others, move.origin] if region in regions]
