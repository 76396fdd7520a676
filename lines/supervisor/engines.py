"""Model replicas as the controller sees them: versions derived from completed orders, checked against reports."""
from __future__ import annotations

from dataclasses import dataclass, field

from ..directory import Fitness


@dataclass
class Engine:
    """One life of one replica."""
    iid: str
    addr: str
    service: str
    zone: str
    slots: int
    draining: bool = False
    silent: bool = False
    revs: dict = field(default_factory=dict)
    held: set = field(default_factory=set)        # models to which nothing new is sent: an order is near or under way
    ordering: bool = False
    count: int | None = None                      # orders taken, as last reported
    running: dict = field(default_factory=dict)   # model -> items under way
    pause_until: float = 0.0
    pace: float = 0.0                             # seconds an event, lately
    fitness: Fitness = field(default_factory=Fitness)

    def busy(self) -> int:
        return sum(self.running.values())

    def proven(self, model: str, rev: int) -> None:
        """A completed order or a report shows this version; versions only rise within a life.

        >>> e = Engine("i", "a", "s", "z", 1); e.proven("m", 2); e.proven("m", 1); e.revs
        {'m': 2}
        """
        if rev > self.revs.get(model, 0):
            self.revs[model] = rev


class Engines:
    """All engines by id, folded from the roll.

    >>> es = Engines(); es.fold([{"id": "a", "addr": "1:1", "service": "s", "zone": "z", "slots": 2, "state": "up",
    ...                           "models": {"m": 3}}]); es.all["a"].revs
    {'m': 3}
    """

    def __init__(self):
        self.all: dict[str, Engine] = {}

    def fold(self, entries: list) -> None:
        for ent in entries:
            e = self.all.get(ent["id"])
            if ent["state"] == "gone":
                self.all.pop(ent["id"], None)
                continue
            if not ent.get("models"):
                continue
            if e is None:
                for old in [o for o in self.all.values() if o.addr == ent["addr"]]:
                    del self.all[old.iid]
                e = self.all[ent["id"]] = Engine(ent["id"], ent["addr"], ent["service"], ent["zone"], ent["slots"])
            e.draining = ent["state"] == "draining"
            was, e.silent = e.silent, bool(ent.get("silent"))
            if was and not e.silent:
                e.fitness.until = 0.0
            for model, rev in ent["models"].items():
                e.proven(model, rev)

    def count(self, service: str) -> int:
        """How many engines a service has."""
        return len(self.of(service))

    def drop(self, iid: str) -> None:
        """That life is over."""
        self.all.pop(iid, None)

    def of(self, service: str) -> list[Engine]:
        return [e for e in self.all.values() if e.service == service]
