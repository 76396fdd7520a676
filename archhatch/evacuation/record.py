"""The states of an evacuation, and what other nodes make of the records that the feed carries."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class EvacuationState(enum.StrEnum):
    """Where an evacuation stands."""

    PLANNED = "planned"
    ANNOUNCED = "announced"  # started: the tenant is being notified
    PREPARING = "preparing"  # copies of open batch jobs come to the target
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

# The steps that the holder of the lease takes, beside those that an operator orders: from a state and a place to a
# state, and where new requests go from then on.
STEPS: dict[tuple[EvacuationState, Place, EvacuationState], Place] = {
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
    """One evacuation as the feed carries it.

    >>> row = {"rules": ["q"], "origin": "a", "target": "b", "state": "moving", "placed": "target"}
    >>> move = Move.from_document("e1", row)
    >>> move.serving_region, move.copies_region, move.is_settling
    ('b', 'b', True)

    Attributes:
        name: The evacuation's id.
        rules: The rules of the policy that it moves.
        origin: The region that the tenant leaves.
        target: The region that it moves to.
        state: Where the evacuation stands.
        placed: Where the tenant's new requests go.
    """

    name: str
    rules: frozenset[str]
    origin: str
    target: str
    state: EvacuationState
    placed: Place

    @classmethod
    def from_document(cls, name: str, document: dict) -> Move:
        """Reads a row of the feed, or a record."""
        return cls(
            name=name,
            rules=frozenset(document["rules"]),
            origin=document["origin"],
            target=document["target"],
            state=EvacuationState(document["state"]),
            placed=Place(document["placed"]),
        )

    @property
    def serving_region(self) -> str:
        """The region of the tenant's new requests."""
        return self.target if self.placed is Place.TARGET else self.origin

    @property
    def left_region(self) -> str:
        """The region that new requests have left."""
        return self.origin if self.placed is Place.TARGET else self.target

    @property
    def copies_region(self) -> str | None:
        """The region that needs enough copies of the tenant's batch jobs; None if none needs more than any other."""
        if self.state in (EvacuationState.PREPARING, EvacuationState.MOVING, EvacuationState.MOVED):
            return self.target
        return self.origin if self.state is EvacuationState.RETURNING else None

    @property
    def is_settling(self) -> bool:
        """Whether work that runs where it should no longer run is to end or go on elsewhere."""
        is_returning_home = self.state is EvacuationState.RETURNING and self.placed is Place.ORIGIN
        return self.state is EvacuationState.MOVING or is_returning_home


class Moves:
    """The evacuations that are not over, by the rules of the policy that they move.

    >>> moves = Moves({"e1": {"rules": ["q"], "origin": "a", "target": "b", "state": "moved", "placed": "target"}})
    >>> moves.order("q", ["a", "b", "c"]), moves.order("r", ["a", "b"]), moves.of_rule("q").name
    (['b', 'c', 'a'], ['a', 'b'], 'e1')

    Attributes:
        all: The evacuations.
    """

    def __init__(self, records: dict[str, dict] | None = None) -> None:
        """Reads evacuations.

        Args:
            records: Rows of the feed or whole records, by id.
        """
        self.all = [
            Move.from_document(name, record) for name, record in (records or {}).items() if record["state"] not in FINAL
        ]
        self._by_rule = {rule: move for move in self.all for rule in move.rules}

    def __str__(self) -> str:
        return ", ".join(f"{move.name} {move.state}: {move.origin} to {move.target}" for move in self.all) or "none"

    def of_rule(self, rule: str) -> Move | None:
        """Returns the evacuation that moves a rule, or None."""
        return self._by_rule.get(rule)

    def order(self, rule: str, regions: list[str]) -> list[str]:
        """Returns a rule's regions as its move orders them: the target first, the origin only without any other."""
        move = self._by_rule.get(rule)
        if move is None or move.placed is Place.ORIGIN:
            return regions
        others = [region for region in regions if region not in (move.origin, move.target)]
        return [region for region in [move.target, *others, move.origin] if region in regions]
