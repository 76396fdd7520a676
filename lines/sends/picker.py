"""Picking a replica: by what is under way there, how it answered lately, where it stands, and its fitness."""
from __future__ import annotations

from dataclasses import dataclass, field

from ..directory import Fitness
from .subset import Subset

ZONE = 0.08      # costs, as shares of a replica's places: a send to another zone
COLD = 0.05      # a new connection
HEARD_S = 0.5    # how long a replica's own word on its load holds


@dataclass
class Trunkline:
    """What this process knows of one replica."""
    iid: str
    addr: str
    service: str
    zone: str
    slots: int
    draining: bool = False
    silent: bool = False
    under_way: int = 0
    pace: float = 0.0
    load: float = 0.0
    load_at: float = float("-inf")
    fitness: Fitness = field(default_factory=Fitness)


class Picker:
    """Replicas by service, kept up to date from the roll; idle(address) tells where a connection is kept.

    widen is the share of its places in use from which a replica counts as busy: when all of a block of the subset are,
    the next block is looked at too. A node that is one of many wants few replicas, so a large share; one that makes all
    calls of a service itself wants all replicas, so 0.

    >>> p = Picker("z1"); p.fold([{"id": "a", "addr": "1:1", "service": "s", "zone": "z1", "slots": 2, "state": "up"}])
    >>> p.pick("s", set(), 0.0).iid
    'a'
    """

    def __init__(self, zone: str, me: str = "", rest_s: float = 1.0, widen: float = 0.0, idle=None):
        self.zone, self.me, self.rest_s, self.widen, self.idle = zone, me, rest_s, widen, idle
        self.all: dict[str, Trunkline] = {}
        self.by_service: dict[str, dict] = {}
        self.by_addr: dict[str, Trunkline] = {}
        self.subsets: dict[str, Subset] = {}

    def fold(self, entries: list) -> None:
        """Take up changed entries of the roll."""
        for ent in entries:
            t = self.all.get(ent["id"])
            if ent["state"] == "gone":
                if t is not None:
                    self._drop(t)
                continue
            if t is None:
                t = self._add(ent)
            if ent["state"] == "draining" and not t.draining:
                t.draining = True
                self.subsets[t.service].drop(t.iid)
            was, t.silent = t.silent, bool(ent.get("silent"))
            if was and not t.silent:
                t.fitness.until = 0.0

    def _add(self, ent: dict) -> Trunkline:
        t = Trunkline(ent["id"], ent["addr"], ent["service"], ent["zone"], ent["slots"])
        old = self.by_addr.get(t.addr)
        if old is not None:   # a new life at an address ends the one that was there
            self._drop(old)
        self.all[t.iid] = self.by_addr[t.addr] = t
        self.by_service.setdefault(t.service, {})[t.iid] = t
        subset = self.subsets.get(t.service)
        if subset is None:
            subset = self.subsets[t.service] = Subset(self.me, self.zone)
        subset.add(t.iid, t.zone, t)
        return t

    def _drop(self, t: Trunkline) -> None:
        del self.all[t.iid]
        self.by_service[t.service].pop(t.iid, None)
        self.subsets[t.service].drop(t.iid)
        if self.by_addr.get(t.addr) is t:
            del self.by_addr[t.addr]

    def pick(self, service: str, tried: set, now: float) -> Trunkline | None:
        """The best replica that was not tried yet, of as few as will do."""
        subset = self.subsets.get(service)
        if subset is None:
            return None
        best, best_cost, n = None, None, 0
        for block in subset.blocks():
            for t in block:
                n += 1
                if t.iid in tried or t.draining:
                    continue
                cost = self._cost(t, now) + 0.001 * n
                if best is None or cost < best_cost:
                    best, best_cost = t, cost
            if best is not None and self._free(best, now):
                break
        return best

    def _free(self, t: Trunkline, now: float) -> bool:
        return not t.silent and self._busy(t, now) <= self.widen * t.slots and t.fitness.look(now) == "fit"

    def _busy(self, t: Trunkline, now: float) -> float:
        return t.under_way + (t.load if now - t.load_at < HEARD_S else 0.0)

    def _cost(self, t: Trunkline, now: float) -> float:
        cost = self._busy(t, now) / max(1, t.slots) * (1.0 + t.pace)
        if t.zone != self.zone:
            cost += ZONE
        if self.idle is not None and not self.idle(t.addr):
            cost += COLD
        state = t.fitness.look(now)
        if state == "resting":
            cost += 100.0
        elif state == "doubtful":
            cost += 1.0
        if t.silent:
            cost += 0.5
        return cost

    def note(self, t: Trunkline, what: str, now: float, took: float | None = None, typical: float = 0.1) -> None:
        """Fold what a send showed."""
        t.fitness.note(what, now, self.rest_s)
        if took is not None:
            rel = min(10.0, took / max(typical, 1e-3))
            t.pace += 0.2 * (rel - t.pace)

    def note_load(self, t: Trunkline, head: str, now: float) -> None:
        """Fold a replica's own word on its load: running, waiting, slots."""
        try:
            run, wait, slots = (int(x) for x in head.split(","))
        except ValueError:
            return
        t.load, t.load_at, t.slots = max(0.0, run + wait - t.under_way), now, max(1, slots)
