"""Model replicas as the controller sees them: versions derived from completed orders, checked against reports."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..health import ReplicaHealth, PeerStatistics


@dataclass
class Engine:
    """One life of one replica."""

    iid: str
    address: str
    service: str
    zone: str
    slots: int
    draining: bool = False
    silent: bool = False
    revs: dict = field(default_factory=dict)
    held: set = field(default_factory=set)  # models to which nothing new is sent: an order is near or under way
    ordering: bool = False
    count: int | None = None  # orders taken, as far as is known
    unclear_at: float | None = None  # an order got no clear answer then: none follows before a report tells
    running: dict = field(default_factory=dict)  # model -> items under way
    pause_until: float = 0.0
    pace: float = 0.0  # seconds an event, lately
    health: ReplicaHealth = field(default_factory=ReplicaHealth)

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
        self.by_addr: dict[str, Engine] = {}
        self.peers: dict[str, PeerStatistics] = {}
        self._listed: dict[str, list] = {}  # service -> its engines; made anew when `all` changed
        self._count = 0

    def fold(self, entries: list) -> None:
        """Take up changed entries of the roll."""
        for entry in entries:
            e = self.all.get(entry["id"])
            if entry["state"] == "gone":
                if e is not None:
                    self._drop(e)
                continue
            if not entry.get("models"):
                continue
            if e is None:
                old = self.by_addr.get(entry["addr"])
                if old is not None:  # a new life at an address ends the one that was there
                    self._drop(old)
                peers = self.peers.setdefault(entry["service"], PeerStatistics())
                e = Engine(
                    entry["id"],
                    entry["addr"],
                    entry["service"],
                    entry["zone"],
                    entry["slots"],
                    health=ReplicaHealth(peers),
                )
                self.all[e.iid] = self.by_addr[e.address] = e
                self._listed.clear()
            e.draining = entry["state"] == "draining"
            was, e.silent = e.silent, bool(entry.get("silent"))
            if was and not e.silent:
                e.health.hint_recovery()
            for model, rev in entry["models"].items():
                e.proven(model, rev)

    def count(self, service: str) -> int:
        """How many engines a service has."""
        return len(self.of(service))

    def drop(self, iid: str) -> None:
        """That life is over."""
        e = self.all.get(iid)
        if e is not None:
            self._drop(e)

    def _drop(self, e: Engine) -> None:
        self.all.pop(e.iid, None)
        self.peers[e.service].remove(e.health)
        if self.by_addr.get(e.address) is e:
            del self.by_addr[e.address]
        self._listed.clear()

    def of(self, service: str) -> list[Engine]:
        """A service's engines; the list is shared by all who ask until one comes or goes.

        >>> Engines().of("s")
        []
        """
        if self._count != len(self.all):  # others take an engine out of `all` that turned out to be another life
            for e in [e for e in self.by_addr.values() if e.iid not in self.all]:
                self._drop(e)
            self._listed.clear()
            self._count = len(self.all)
        if not self._listed:
            for e in self.all.values():
                self._listed.setdefault(e.service, []).append(e)
        return self._listed.get(service) or []
