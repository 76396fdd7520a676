"""Picking a replica: by what is under way there, how it answered lately, where it stands, and its fitness."""
from __future__ import annotations

from dataclasses import dataclass, field

from ..areacodes import Placement
from ..directory import Fitness, rank


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
    warm: float = 0.0
    under_way: int = 0
    pace: float = 0.0
    load: float = 0.0
    load_at: float = float("-inf")
    fitness: Fitness = field(default_factory=Fitness)


class Picker:
    """Replicas by service, kept up to date from the roll.

    >>> p = Picker("z1"); p.fold([{"id": "a", "addr": "1:1", "service": "s", "zone": "z1", "slots": 2, "state": "up"}])
    >>> p.pick("s", set(), 0.0).iid
    'a'
    """

    def __init__(self, zone: str, me: str = "", rest_s: float = 1.0):
        self.zone, self.me, self.rest_s = zone, me, rest_s
        self.all: dict[str, Trunkline] = {}
        self.by_service: dict[str, dict] = {}
        self.placement = Placement()
        self.proofs: dict[tuple, float] = {}   # (service, zone) -> the last answer; kept only under a policy

    def fold(self, entries: list) -> None:
        """Take up changed entries of the roll."""
        for ent in entries:
            t = self.all.get(ent["id"])
            if ent["state"] == "gone":
                if t is not None:
                    self.all.pop(t.iid)
                    self.by_service[t.service].pop(t.iid, None)
                continue
            if t is None:
                t = self.all[ent["id"]] = Trunkline(ent["id"], ent["addr"], ent["service"], ent["zone"], ent["slots"])
                self.by_service.setdefault(t.service, {})[t.iid] = t
                # a new life at an address ends the one that was there
                for other in [o for o in self.all.values() if o.addr == t.addr and o is not t]:
                    self.all.pop(other.iid)
                    self.by_service[other.service].pop(other.iid, None)
            t.draining = ent["state"] == "draining"
            was, t.silent = t.silent, bool(ent.get("silent"))
            if was and not t.silent:
                t.fitness.until = 0.0

    def pick(self, service: str, tried: set, now: float, lane=None) -> Trunkline | None:
        """The best replica that was not tried yet, where the placement policy lets the lane run now."""
        best, best_cost = None, None
        zones = None if lane is None else self.placement.zones(lane)
        lines = self.by_service.get(service) or {}
        order = None
        for t in lines.values():
            if t.iid in tried or t.draining or (zones is not None and t.zone not in zones):
                continue
            if order is None:
                order = {iid: n for n, iid in enumerate(rank(self.me, lines))}
            cost = self._cost(t, now) + 0.001 * order[t.iid]
            if best is None or cost < best_cost:
                best, best_cost = t, cost
        return best

    def refusal(self, service: str, lane) -> int:
        """The code for a lane's request that no replica was picked for: whether the policy left none at all."""
        zones = self.placement.zones(lane)
        if zones is None or any(t.zone in zones for t in (self.by_service.get(service) or {}).values()):
            return 3002
        return 3101

    def proved(self, now: float) -> list:
        """Answers since the last call, for the control nodes: [service, zone, seconds ago]."""
        out, self.proofs = [[s, z, now - at] for (s, z), at in self.proofs.items()], {}
        return out

    def _cost(self, t: Trunkline, now: float) -> float:
        busy = t.under_way + (t.load if now - t.load_at < 0.5 else 0.0)
        cost = busy / max(1, t.slots) * (1.0 + t.pace)
        if t.zone != self.zone:
            cost += 0.08
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
        if what == "served" and self.placement.policy is not None:
            self.proofs[t.service, t.zone] = now
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
