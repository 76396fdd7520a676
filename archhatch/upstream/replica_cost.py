"""The cost by which replicas are compared: load, latency, zone, connection and health, in shares of a replica's slots.

The functions decide only: they take the time as an argument and change nothing, except that ReplicaHealth.update() ends
an ejection that is over.
"""

from __future__ import annotations

from collections.abc import Callable

from ..health import EJECTED, HEALTHY
from .replica_pool import MEAN_LOAD_TTL_S, ReplicaEndpoint, ReplicaPool

OTHER_ZONE_COST = 0.08  # bytes between zones are charged
NEW_CONNECTION_COST = 0.05
SLOW_LATENCY_RATIO = 1.5  # a replica counts as slow from this multiple of its peers' mean latency
SLOW_COST = 0.15  # for each multiple above it,
MAX_SLOW_MULTIPLES = 3.0  # ... up to so many: one that is slow and idle is still better than most that are busy
FAILURE_COST = 2.1  # times the share of failures: one among the last ten counts just under a slot
UNRESPONSIVE_COST = 0.5  # neither heartbeats nor responses came lately
RESTING_COST = 100.0  # an ejected replica: only where nothing else is left
AFTER_REST_COST = 1.0  # a replica that still owes trials, outside of them
TRIAL_COST = -2.0  # ahead of all others
RUNS_ONCE_FAILURE_FACTOR = 2.0  # a request that may run only once weighs failures of a doubtful replica so much more
SELECTIONS_BETWEEN_TRIALS = 2  # of a service, for each trial that a replica still owes
LATENCY_HALF_LIFE_RESTS = 4  # what was seen of a replica's latency counts half after so many rests
MIN_MEAN_LATENCY = 0.5  # a service that is faster than typical is no reason to call its replicas slow
MAX_ASSUMED_LOAD = 0.8  # of an unknown replica: one that reported to be full must not look better than it
REPORTED_LOAD_TTL_S = 0.5  # how long a replica's own report of its load counts
SLOWNESS_OF_UNFIT = 1.0  # multiples of latency from which on a replica gets no hedged request


class ReplicaCost:
    """Compares replicas for a node.

    Attributes:
        zone: The node's zone.
        rest_s: How long an ejected replica rests at first, in seconds.
        busy_share: The share of its slots in use from which on a replica counts as busy.
        has_idle_connection: Tells whether an address can be reached without a new connection; None if none is pooled.
    """

    __slots__ = ("zone", "rest_s", "busy_share", "has_idle_connection")

    def __init__(
        self, zone: str, rest_s: float, busy_share: float, has_idle_connection: Callable[[str], bool] | None
    ) -> None:
        self.zone = zone
        self.rest_s = rest_s
        self.busy_share = busy_share
        self.has_idle_connection = has_idle_connection

    def of(self, replica: ReplicaEndpoint, pool: ReplicaPool, now: float, no_trial: bool) -> float:
        """The cost of sending the next request to a replica; `no_trial` if it must not be a trial of the replica."""
        slowness = self._slowness(replica, pool, now)
        cost = self._used_share(replica, pool, now) * (1.0 + slowness)
        cost += SLOW_COST * min(MAX_SLOW_MULTIPLES, slowness)
        if replica.zone != self.zone:
            cost += OTHER_ZONE_COST
        if self.has_idle_connection is not None and not self.has_idle_connection(replica.address):
            cost += NEW_CONNECTION_COST
        if self._is_unresponsive(replica, now):
            cost += UNRESPONSIVE_COST
        health = replica.health
        state = health.update(now)
        if state is HEALTHY:
            return cost + FAILURE_COST * health.failure_ratio(now)
        if state is EJECTED:
            return cost + RESTING_COST
        if health.trials_left:
            if not no_trial and _is_trial_due(replica, pool):
                return cost + TRIAL_COST
            cost += AFTER_REST_COST
        return cost + FAILURE_COST * health.failure_ratio(now) * (RUNS_ONCE_FAILURE_FACTOR if no_trial else 1.0)

    def is_idle_enough(self, replica: ReplicaEndpoint, pool: ReplicaPool, now: float) -> bool:
        """Whether a replica is fit and below the share of slots from which on it counts as busy."""
        return used_slots(replica, now) <= self.busy_share * replica.slots and self.is_fit(replica, pool, now)

    def is_fit(self, replica: ReplicaEndpoint, pool: ReplicaPool, now: float) -> bool:
        """Whether a replica is healthy, responsive and not slow, and has a free slot."""
        return (
            replica.health.state is HEALTHY
            and used_slots(replica, now) < replica.slots
            and not self._is_unresponsive(replica, now)
            and self._slowness(replica, pool, now) < SLOWNESS_OF_UNFIT
        )

    def latency_weight(self, replica: ReplicaEndpoint, now: float) -> float:
        """How much of what was seen of a replica's latency still counts, from 1 down to 0."""
        half_life_s = LATENCY_HALF_LIFE_RESTS * self.rest_s
        return 0.5 ** (max(0.0, now - replica.relative_latency_at) / half_life_s)

    def _used_share(self, replica: ReplicaEndpoint, pool: ReplicaPool, now: float) -> float:
        """The share of a replica's slots in use.

        One that reported nothing lately is taken to be as busy as the others: else each report of a load would send the
        next request to a replica of which nothing is known, on a new connection.
        """
        share = used_slots(replica, now) / max(1, replica.slots)
        is_unknown = now >= replica.full_until and now - replica.reported_load_at >= REPORTED_LOAD_TTL_S
        if is_unknown and now - pool.mean_load_at < MEAN_LOAD_TTL_S:
            share += min(MAX_ASSUMED_LOAD, pool.mean_load)
        return share

    def _is_unresponsive(self, replica: ReplicaEndpoint, now: float) -> bool:
        """Whether neither heartbeats nor responses came lately. A response refutes a missing heartbeat."""
        return replica.is_silent and now - replica.served_at > self.rest_s

    def _slowness(self, replica: ReplicaEndpoint, pool: ReplicaPool, now: float) -> float:
        """By how many multiples of its peers' latency a replica is slow; what was seen long ago counts less."""
        excess = replica.relative_latency / max(MIN_MEAN_LATENCY, pool.mean_relative_latency) - SLOW_LATENCY_RATIO
        return excess * self.latency_weight(replica, now) if excess > 0.0 else 0.0


def used_slots(replica: ReplicaEndpoint, now: float) -> float:
    """A replica's slots in use, as far as is known."""
    if now < replica.full_until:
        return replica.in_flight + replica.slots
    if now - replica.reported_load_at < REPORTED_LOAD_TTL_S:
        return replica.in_flight + replica.reported_load
    return replica.in_flight


def _is_trial_due(replica: ReplicaEndpoint, pool: ReplicaPool) -> bool:
    selections = pool.selections - replica.last_trial
    return not replica.in_flight and selections >= SELECTIONS_BETWEEN_TRIALS * replica.health.trials_left
