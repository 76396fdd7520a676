"""Model replicas as the controller sees them: versions derived from completed orders, checked against reports."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..health import PeerStatistics, ReplicaHealth


@dataclass
class Engine:
    """One incarnation of one replica.

    Attributes:
        instance_id: The id of this incarnation.
        slots: How many items it runs at once.
        is_unreachable: Whether the control plane has not heard from it lately.
        revisions: The version that it holds of each model.
        held_models: Models of which nothing new is sent to it, because an order is near or under way.
        has_order_under_way: Whether a task of this node orders weights from it.
        count: How many orders it took, as far as is known.
        unresolved_order_at: When an order got no clear answer; none follows before a report tells what became of it.
        running_items: Items under way by model.
        paused_until: Until when nothing new is sent to it.
        seconds_per_event: How long it takes from one event of a stream to the next, smoothed.
    """

    instance_id: str
    address: str
    service: str
    zone: str
    slots: int
    draining: bool = False
    is_unreachable: bool = False
    revisions: dict[str, int] = field(default_factory=dict)
    held_models: set[str] = field(default_factory=set)
    has_order_under_way: bool = False
    count: int | None = None
    unresolved_order_at: float | None = None
    running_items: dict[str, int] = field(default_factory=dict)
    paused_until: float = 0.0
    seconds_per_event: float = 0.0
    health: ReplicaHealth = field(default_factory=ReplicaHealth)

    def running_count(self) -> int:
        """Returns how many items are under way."""
        return sum(self.running_items.values())

    def has_revision(self, model: str, revision: int) -> bool:
        """Returns whether it holds this version of a model or a newer one; every replica starts with version 1."""
        return self.revisions.get(model, 1) >= revision

    def record_revision(self, model: str, revision: int) -> None:
        """Takes up a version that a completed order or a report shows; versions only rise within an incarnation.

        >>> engine = Engine("i", "a", "s", "z", 1)
        >>> engine.record_revision("m", 2); engine.record_revision("m", 1); engine.revisions
        {'m': 2}
        """
        if revision > self.revisions.get(model, 0):
            self.revisions[model] = revision


class Engines:
    """All engines by id, kept up to date from the replica registry's feed.

    Attributes:
        all: Engines by the id of the incarnation.
        by_address: Engines by address: one address has one incarnation.
        peers: What the engines of a service have in common, for outlier detection.

    >>> engines = Engines()
    >>> engines.apply_entries([{"id": "a", "addr": "1:1", "service": "s", "zone": "z", "slots": 2, "state": "up",
    ...                         "models": {"m": 3}}])
    >>> engines.all["a"].revisions
    {'m': 3}
    """

    def __init__(self) -> None:
        self.all: dict[str, Engine] = {}
        self.by_address: dict[str, Engine] = {}
        self.peers: dict[str, PeerStatistics] = {}
        self._by_service: dict[str, list[Engine]] = {}  # empty: to be built anew, because an engine came or went
        self._known_count = 0

    def apply_entries(self, entries: list[dict]) -> None:
        """Takes up changed entries of the replica registry.

        The entries stay the registry's documents: at every heartbeat all that changed come by here, and are read once.
        """
        for entry in entries:
            engine = self.all.get(entry["id"])
            if entry["state"] == "gone" or entry.get("superseded"):
                if engine is not None:
                    self._drop(engine)
                continue
            if not entry.get("models"):
                continue
            if engine is None:
                if entry.get("silent") and self._is_served(entry["addr"]):
                    continue  # a dead incarnation, whose successor the control node does not know yet
                engine = self._add(entry)
            engine.draining = entry["state"] == "draining"
            was_unreachable = engine.is_unreachable
            engine.is_unreachable = bool(entry.get("silent"))
            if was_unreachable and not engine.is_unreachable:
                engine.health.hint_recovery()
            for model, revision in entry["models"].items():
                engine.record_revision(model, revision)

    def _is_served(self, address: str) -> bool:
        """Whether an engine at this address is heard."""
        engine = self.by_address.get(address)
        return engine is not None and not engine.is_unreachable

    def _add(self, entry: dict) -> Engine:
        former = self.by_address.get(entry["addr"])
        if former is not None:  # a new incarnation at an address ends the one that was there
            self._drop(former)
        peers = self.peers.setdefault(entry["service"], PeerStatistics())
        engine = Engine(
            entry["id"],
            entry["addr"],
            entry["service"],
            entry["zone"],
            entry["slots"],
            health=ReplicaHealth(peers),
        )
        self.all[engine.instance_id] = engine
        self.by_address[engine.address] = engine
        self._by_service.clear()
        return engine

    def count_of(self, service: str) -> int:
        """Returns how many engines a service has."""
        return len(self.of_service(service))

    def remove(self, instance_id: str) -> None:
        """Forgets an incarnation that has ended."""
        engine = self.all.get(instance_id)
        if engine is not None:
            self._drop(engine)

    def _drop(self, engine: Engine) -> None:
        self.all.pop(engine.instance_id, None)
        self.peers[engine.service].remove(engine.health)
        if self.by_address.get(engine.address) is engine:
            del self.by_address[engine.address]
        self._by_service.clear()

    def of_service(self, service: str) -> list[Engine]:
        """Returns a service's engines; the list is shared by all who ask until one comes or goes.

        >>> Engines().of_service("s")
        []
        """
        if self._known_count != len(self.all):  # others take an engine out of `all` that is another incarnation
            for engine in [engine for engine in self.by_address.values() if engine.instance_id not in self.all]:
                self._drop(engine)
            self._by_service.clear()
            self._known_count = len(self.all)
        if not self._by_service:
            for engine in self.all.values():
                self._by_service.setdefault(engine.service, []).append(engine)
        return self._by_service.get(service) or []
