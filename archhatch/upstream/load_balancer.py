"""Picking a replica: by what is under way there, how it answered lately, where it stands, and its fitness."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..region_policy import Placement
from ..health import EJECTED, HEALTHY, PeerStatistics, ReplicaHealth
from .client import Answer, Ran
from .headers import LOAD
from .subset import Subset

ZONE = 0.08  # costs, as shares of a replica's places: a send to another zone
COLD = 0.05  # a new connection
NEAR = 1.5  # times the time of its peers: what is below is not slow
SLOW = 0.15  # one time more than its peers take,
MOST_SLOW = 3.0  # ... up to so many: one that is slow and idle is still better than most that are busy
FAILS = 2.1  # a failure, times their share: one among the last ten counts just under a place
SILENT = 0.5  # no beats came lately, and no answers
RESTING = 100.0  # a rest: only where nothing else is left
TRIAL_EACH = 2  # picks of a service between trials of a replica that had a rest, for each trial that it still needs
MOST_BLOCKS = 8  # of its subset's blocks that one of many nodes looks at, if a replica in them will do at all
MOST_SHEDS = 4  # a replica that is full again and again is left alone for twice as long each time, so often
HALF_RESTS = 4  # what was seen of a replica's pace counts half after so many rests
MEAN_S = 5.0  # how long the mean of what all said of their loads does
MEAN_MOST = 0.8  # what of it counts: one that said it is full is left for those of whom nothing is known
HEARD_S = 0.5  # how long a replica's own word on its load holds


@dataclass
class ReplicaEndpoint:
    """What this process knows of one replica."""

    iid: str
    address: str
    service: str
    zone: str
    slots: int
    draining: bool = False
    silent: bool = False
    under_way: int = 0
    pace: float = 0.0
    load: float = 0.0
    load_at: float = float("-inf")
    pace_at: float = 0.0
    served_at: float = float("-inf")
    sheds: int = 0  # times that it was full, since it served
    full_until: float = float("-inf")
    trial_at: int = -1000  # the service's count of picks at the last trial
    health: ReplicaHealth = field(default_factory=ReplicaHealth)


class _Pool:
    """What is kept for a service: its replicas in their order, how they do together, and how often one was picked."""

    def __init__(self, me: str, zone: str):
        self.subset, self.peers = Subset(me, zone), PeerStatistics()
        self.picks, self.pace, self.paces = 0, 0.0, 0
        self.load, self.load_at = 0.0, float("-inf")  # the mean share of places in use, of what replicas told lately

    def fold_pace(self, pace: float) -> None:
        self.paces += 1
        if self.paces > 10:
            pace = min(pace, 1.5 * self.pace)  # a few slow ones must not make the measure
        self.pace += max(0.02, 1.0 / self.paces) * (pace - self.pace)


class LoadBalancer:
    """Replicas by service, kept up to date from the roll; idle(address) tells where a connection is kept.

    widen is the share of its places in use from which a replica counts as busy: when all of a block of the subset are,
    the next block is looked at too. A node that is one of many wants few replicas, so a large share; one that makes all
    calls of a service itself wants all replicas, so 0.

    >>> p = LoadBalancer("z1")
    >>> p.fold([{"id": "a", "addr": "1:1", "service": "s", "zone": "z1", "slots": 2, "state": "up"}])
    >>> p.pick("s", set(), 0.0).iid
    'a'
    """

    def __init__(self, zone: str, me: str = "", rest_s: float = 1.0, widen: float = 0.0, idle=None):
        self.zone, self.me, self.rest_s, self.widen, self.idle = zone, me, rest_s, widen, idle
        self.all: dict[str, ReplicaEndpoint] = {}
        self.by_service: dict[str, dict] = {}
        self.by_addr: dict[str, ReplicaEndpoint] = {}
        self.pools: dict[str, _Pool] = {}
        self.placement = Placement()
        self.proofs: dict[tuple, float] = {}  # (service, zone) -> the last answer; kept only under a policy

    def fold(self, entries: list) -> None:
        """Take up changed entries of the roll."""
        for entry in entries:
            t = self.all.get(entry["id"])
            if entry["state"] == "gone":
                if t is not None:
                    self._drop(t)
                continue
            if t is None:
                t = self._add(entry)
            if entry["state"] == "draining" and not t.draining:
                t.draining = True
                self._leave(t)
            was, t.silent = t.silent, bool(entry.get("silent"))
            if was and not t.silent:
                t.health.hint_recovery()

    def _add(self, entry: dict) -> ReplicaEndpoint:
        t = ReplicaEndpoint(entry["id"], entry["addr"], entry["service"], entry["zone"], entry["slots"])
        old = self.by_addr.get(t.address)
        if old is not None:  # a new life at an address ends the one that was there
            self._drop(old)
        self.all[t.iid] = self.by_addr[t.address] = t
        self.by_service.setdefault(t.service, {})[t.iid] = t
        pool = self.pools.get(t.service)
        if pool is None:
            pool = self.pools[t.service] = _Pool(self.me, self.zone)
        pool.subset.add(t.iid, t.zone, t)
        t.health = ReplicaHealth(pool.peers)
        return t

    def _drop(self, t: ReplicaEndpoint) -> None:
        del self.all[t.iid]
        self.by_service[t.service].pop(t.iid, None)
        self._leave(t)
        if self.by_addr.get(t.address) is t:
            del self.by_addr[t.address]

    def _leave(self, t: ReplicaEndpoint) -> None:
        pool = self.pools[t.service]
        pool.subset.drop(t.iid)
        pool.peers.remove(t.health)

    def pick(
        self, service: str, tried: set, now: float, route=None, sure: bool = False, early: bool = False
    ) -> ReplicaEndpoint | None:
        """The best replica that was not tried yet, of as few as will do.

        sure: the request may run only once, so it is no trial of a replica that had a rest. early: it is out already;
        a second replica must be well and have places free, or none is given. lane: only where the placement policy lets
        it run now.
        """
        pool = self.pools.get(service)
        if pool is None:
            return None
        zones = None if route is None else self.placement.zones(route)
        best, best_cost, n = None, None, 0
        for count, block in enumerate(pool.subset.blocks(), 1):
            for t in block:
                n += 1
                if t.iid in tried or t.draining or (zones is not None and t.zone not in zones):
                    continue
                cost = self._cost(t, pool, now, sure or early) + 0.001 * n
                if best is None or cost < best_cost:
                    best, best_cost = t, cost
            if best is not None and (
                best_cost < 0.0
                or self._free(best, pool, now)
                or self.widen
                and count >= MOST_BLOCKS
                and best_cost < RESTING
            ):
                break
        if early and (best is None or not self._well(best, pool, now)):
            return None
        pool.picks += 1
        if best is not None and best.health.trials_left:
            best.trial_at = pool.picks
        return best

    def has_other(self, service: str, iid: str, route) -> bool:
        """Whether a request may go on at another replica than this one, under the placement policy; a mere question,
        unlike pick()."""
        zones = self.placement.zones(route)
        return any(
            replica.iid != iid and not replica.draining and (zones is None or replica.zone in zones)
            for replica in (self.by_service.get(service) or {}).values()
        )

    def refusal(self, service: str, route) -> int:
        """The code for a lane's request that no replica was picked for: whether the policy left none at all."""
        zones = self.placement.zones(route)
        if zones is None or any(t.zone in zones for t in (self.by_service.get(service) or {}).values()):
            return 3002
        return 3101

    def proved(self, now: float) -> list:
        """Answers since the last call, for the control nodes: [service, zone, seconds ago]."""
        out, self.proofs = [[s, z, now - at] for (s, z), at in self.proofs.items()], {}
        return out

    def _free(self, t: ReplicaEndpoint, pool: _Pool, now: float) -> bool:
        return self._busy(t, now) <= self.widen * t.slots and self._well(t, pool, now)

    def _well(self, t: ReplicaEndpoint, pool: _Pool, now: float) -> bool:
        """It does well, and has a place free."""
        return (
            t.health.state is HEALTHY
            and self._busy(t, now) < t.slots
            and not self._dark(t, now)
            and self._slow(t, pool, now) < 1.0
        )

    def _busy(self, t: ReplicaEndpoint, now: float) -> float:
        """Places in use there, as far as is known."""
        if now < t.full_until:
            return t.under_way + t.slots
        return t.under_way + (t.load if now - t.load_at < HEARD_S else 0.0)

    def _used(self, t: ReplicaEndpoint, pool: _Pool, now: float) -> float:
        """The share of its places in use. Who said nothing lately is taken to be as busy as the others: else each word
        of load would send the next request to a replica that is only unknown, on a new connection."""
        share = self._busy(t, now) / max(1, t.slots)
        if now >= t.full_until and now - t.load_at >= HEARD_S and now - pool.load_at < MEAN_S:
            share += min(MEAN_MOST, pool.load)
        return share

    def _dark(self, t: ReplicaEndpoint, now: float) -> bool:
        """Neither beats nor answers came lately. A missing beat alone is a hint that an answer refutes."""
        return t.silent and now - t.served_at > self.rest_s

    def _slow(self, t: ReplicaEndpoint, pool: _Pool, now: float) -> float:
        """How many times more than its peers it takes; what was seen long ago counts less."""
        more = t.pace / max(0.5, pool.pace) - NEAR
        return more * self._left(t, now) if more > 0.0 else 0.0

    def _left(self, t: ReplicaEndpoint, now: float) -> float:
        """How much of what was seen of its pace still counts."""
        return 0.5 ** (max(0.0, now - t.pace_at) / (HALF_RESTS * self.rest_s))

    def _cost(self, t: ReplicaEndpoint, pool: _Pool, now: float, sure: bool) -> float:
        slow = self._slow(t, pool, now)
        cost = self._used(t, pool, now) * (1.0 + slow) + SLOW * min(MOST_SLOW, slow)
        if t.zone != self.zone:
            cost += ZONE
        if self.idle is not None and not self.idle(t.address):
            cost += COLD
        if self._dark(t, now):
            cost += SILENT
        fit = t.health
        state = fit.update(now)
        if state is HEALTHY:
            return cost + FAILS * fit.failure_ratio(now)
        if state is EJECTED:
            return cost + RESTING
        if fit.trials_left:
            if not sure and not t.under_way and pool.picks - t.trial_at >= TRIAL_EACH * fit.trials_left:
                return cost - 2.0  # a trial: ahead of all others
            cost += 1.0
        return cost + FAILS * fit.failure_ratio(now) * (2.0 if sure else 1.0)

    def judge(self, t: ReplicaEndpoint, answer: Answer, now: float, took: float, typical: float) -> None:
        """Fold what an answer shows of a replica: its health, its pace and its load.

        >>> # load_balancer.judge(line, answer, clock.now(), 0.02, route.aim_s * 0.3)
        """
        for name, value in answer.heads:
            if name.lower() == LOAD.lower():
                self.note_load(t, value, now)
        if answer.ran is Ran.YES and answer.status < 500:
            self.note(t, "served", now, took, typical)
        elif answer.ran is Ran.NO and answer.status in (429, 503):
            self._shed(t, now)
        elif answer.stale:
            pass  # it forgot a connection; its health is not in question
        elif answer.ran is Ran.NO or answer.silent:
            self.note(t, "vanished", now)
        else:
            self.note(t, "faulted", now)

    def _shed(self, t: ReplicaEndpoint, now: float) -> None:
        """It was full: load, no ill health."""
        t.health.record("shed", now, self.rest_s)
        t.full_until = now + HEARD_S * 2 ** min(t.sheds, MOST_SHEDS)
        t.sheds += 1

    def note(self, t: ReplicaEndpoint, what: str, now: float, took: float | None = None, typical: float = 0.1) -> None:
        """Fold what a send showed."""
        t.health.record(what, now, self.rest_s)
        if what == "served":
            t.served_at, t.sheds, t.full_until = now, 0, float("-inf")
        if what == "served" and self.placement.policy is not None:
            self.proofs[t.service, t.zone] = now
        if took is not None:
            rel, pool = min(10.0, took / max(typical, 1e-3)), self.pools[t.service]
            t.pace = pool.pace + (t.pace - pool.pace) * self._left(t, now)
            t.pace += 0.2 * (rel - t.pace)
            t.pace_at = now
            pool.fold_pace(rel)

    def note_load(self, t: ReplicaEndpoint, head: str, now: float) -> None:
        """Fold a replica's own word on its load: running, waiting, slots."""
        try:
            run, wait, slots = (int(x) for x in head.split(","))
        except ValueError:
            return
        t.load, t.load_at, t.slots = max(0.0, run + wait - t.under_way), now, max(1, slots)
        pool = self.pools[t.service]
        pool.load += (0.1 if now - pool.load_at < MEAN_S else 1.0) * (t.load / t.slots - pool.load)
        pool.load_at = now
