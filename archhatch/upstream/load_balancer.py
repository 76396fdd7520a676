"""Load balancing: which replica of a service a request goes to, and what its result shows of the replica."""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import TYPE_CHECKING, Any, cast

from ..health import ReplicaHealth
from ..region_policy import Placement
from ..routing import Route
from ..runtime.numbers import read_count
from .attempt_result import FIRST_SERVER_ERROR_STATUS, AttemptResult, Execution
from .headers import INSTANCE_LOAD_HEADER
from .replica_cost import REPORTED_LOAD_TTL_S, RESTING_COST, ReplicaCost
from .replica_pool import ReplicaEndpoint, ReplicaPool

if TYPE_CHECKING:
    from ..membership import ReplicaEntry

NO_REPLICA_CODE = 3002
REGION_OUT_CODE = 3101  # the placement policy leaves no replica at all

MAX_BLOCKS = 8  # of its subset that one of many nodes looks at, if a replica in them will do at all
POSITION_COST = 0.001  # for each place in the node's order: decides between replicas that are otherwise equal
MAX_SHED_DOUBLINGS = 4  # a replica that is full again and again is left alone for twice as long each time, so often
MAX_RELATIVE_LATENCY = 10.0  # what a single response may count at most
MIN_TYPICAL_S = 1e-3  # routes without a latency target
LATENCY_SAMPLE_WEIGHT = 0.2  # of a latency in a replica's moving mean
FULL_STATUSES = (429, 503)

LOAD_FIELDS = 3  # running, waiting, slots
MAX_REPORTED_LOAD = 1_000_000  # requests: more is no report
_INSTANCE_LOAD_LOWER = INSTANCE_LOAD_HEADER.lower()


class LoadBalancer:
    """Knows the replicas by service, as the registry has them, and selects one for each request.

    >>> balancer = LoadBalancer("z1")
    >>> entry = {"id": "a", "addr": "1:1", "service": "s", "zone": "z1", "slots": 2, "state": "up"}
    >>> balancer.apply_updates([entry])
    >>> balancer.select_replica("s", set(), 0.0).instance_id
    'a'

    Attributes:
        replicas: All replicas by id.
        by_service: The replicas of each service by id.
        pools: What is known of each service's replicas together.
        placement: Where the placement policy lets a route's requests run now.
        last_answer_at: When a service's replicas in a zone answered last, until a control node has been told; kept only
            under a policy.
    """

    def __init__(
        self,
        zone: str,
        node_id: str = "",
        rest_s: float = 1.0,
        busy_share: float = 0.0,
        has_idle_connection: Callable[[str], bool] | None = None,
    ) -> None:
        """Starts without replicas.

        Args:
            zone: This node's zone.
            node_id: This node's id, by which it orders the replicas.
            rest_s: How long an ejected replica rests at first, in seconds.
            busy_share: The share of its slots in use from which on a replica counts as busy. When all of a block of the
                subset are, the next block is looked at too. A node that is one of many wants few replicas, so a large
                share; one that makes all calls of a service itself wants all replicas, so 0.
            has_idle_connection: Tells whether an address can be reached without a new connection.
        """
        self._node_id, self._zone, self._rest_s = node_id, zone, rest_s
        self._cost = ReplicaCost(zone, rest_s, busy_share, has_idle_connection)
        self.replicas: dict[str, ReplicaEndpoint] = {}
        self.by_service: dict[str, dict[str, ReplicaEndpoint]] = {}
        self._by_address: dict[str, ReplicaEndpoint] = {}
        self.pools: dict[str, ReplicaPool] = {}
        self.placement = Placement()
        self.last_answer_at: dict[tuple[str, str], float] = {}

    def use_connections_of(self, has_idle_connection: Callable[[str], bool]) -> None:
        """Prefers replicas that this function says can be reached without a new connection."""
        self._cost.has_idle_connection = has_idle_connection

    def apply_updates(self, entries: list[ReplicaEntry]) -> None:
        """Applies changed entries of the replica registry, as they came from a control node."""
        for entry in entries:
            replica = self.replicas.get(entry["id"])
            if entry["state"] == "gone" or entry.get("superseded"):
                if replica is not None:
                    self._remove(replica)
                continue
            if replica is None:
                if entry.get("silent") and self._is_served(entry["addr"]):
                    continue  # a dead incarnation, whose successor the control node does not know yet
                replica = self._add(entry)
            if entry["state"] == "draining" and not replica.is_draining:
                replica.is_draining = True
                self._leave_pool(replica)
            was_silent = replica.is_silent
            replica.is_silent = bool(entry.get("silent"))
            if was_silent and not replica.is_silent:
                replica.health.hint_recovery()

    def _is_served(self, address: str) -> bool:
        """Whether a replica at this address is heard."""
        replica = self._by_address.get(address)
        return replica is not None and not replica.is_silent

    def _add(self, entry: ReplicaEntry) -> ReplicaEndpoint:
        replica = ReplicaEndpoint(entry["id"], entry["addr"], entry["service"], entry["zone"], entry["slots"])
        previous = self._by_address.get(replica.address)
        if previous is not None:  # a new process at an address replaces the one that was there
            self._remove(previous)
        self.replicas[replica.instance_id] = self._by_address[replica.address] = replica
        self.by_service.setdefault(replica.service, {})[replica.instance_id] = replica
        pool = self.pools.get(replica.service)
        if pool is None:
            pool = self.pools[replica.service] = ReplicaPool(self._node_id, self._zone)
        pool.subset.add(replica.instance_id, replica.zone, replica)
        replica.health = ReplicaHealth(pool.peers)
        return replica

    def _remove(self, replica: ReplicaEndpoint) -> None:
        del self.replicas[replica.instance_id]
        self.by_service[replica.service].pop(replica.instance_id, None)
        self._leave_pool(replica)
        if self._by_address.get(replica.address) is replica:
            del self._by_address[replica.address]

    def _leave_pool(self, replica: ReplicaEndpoint) -> None:
        pool = self.pools[replica.service]
        pool.subset.remove(replica.instance_id)
        pool.peers.remove(replica.health)

    def select_replica(
        self,
        service: str,
        tried: Collection[str],
        now: float,
        route: Route | None = None,
        runs_once: bool = False,
        is_hedge: bool = False,
    ) -> ReplicaEndpoint | None:
        """Selects the best replica that was not tried yet, and counts the selection.

        Args:
            service: The service that the request goes to.
            tried: Ids of the replicas that the request was sent to already.
            now: The time on the steady clock.
            route: The request's route: only replicas where the placement policy lets it run now.
            runs_once: Whether the request may run only once, so that it is no trial of a replica after a rest.
            is_hedge: Whether the request is out already, so that only a fit replica with free slots will do.

        Returns:
            The replica, or None if there is none.
        """
        pool = self.pools.get(service)
        if pool is None:
            return None
        zones = None if route is None else self.placement.zones(route)
        best = self._cheapest(pool, tried, now, zones, runs_once or is_hedge)
        if is_hedge and (best is None or not self._cost.is_fit(best, pool, now)):
            return None
        pool.selections += 1
        if best is not None and best.health.trials_left:
            best.last_trial = pool.selections
        return best

    def _cheapest(
        self,
        pool: ReplicaPool,
        tried: Collection[str],
        now: float,
        zones: frozenset[str] | None,
        no_trial: bool,
    ) -> ReplicaEndpoint | None:
        """The replica of least cost in as few blocks of the subset as will do."""
        best, best_cost, position = None, 0.0, 0
        for block_count, block in enumerate(pool.subset.blocks(), 1):
            for replica in block:
                position += 1
                if replica.instance_id in tried or replica.is_draining:
                    continue
                if zones is not None and replica.zone not in zones:
                    continue
                cost = self._cost.of(replica, pool, now, no_trial) + POSITION_COST * position
                if best is None or cost < best_cost:
                    best, best_cost = replica, cost
            if best is not None and self._is_good_enough(best, best_cost, block_count, pool, now):
                break
        return best

    def _is_good_enough(
        self, best: ReplicaEndpoint, cost: float, block_count: int, pool: ReplicaPool, now: float
    ) -> bool:
        """Whether no further block needs to be looked at."""
        if cost < 0.0 or self._cost.is_idle_enough(best, pool, now):
            return True
        return bool(self._cost.busy_share) and block_count >= MAX_BLOCKS and cost < RESTING_COST

    def has_alternative(self, service: str, instance_id: str, route: Route) -> bool:
        """Whether a request may go on at another replica than this one, under the placement policy."""
        zones = self.placement.zones(route)
        return any(
            replica.instance_id != instance_id and not replica.is_draining and (zones is None or replica.zone in zones)
            for replica in (self.by_service.get(service) or {}).values()
        )

    def refusal_code(self, service: str, route: Route) -> int:
        """The result code for a request that no replica was selected for: whether the policy left none at all."""
        zones = self.placement.zones(route)
        if zones is None:
            return NO_REPLICA_CODE
        replicas = (self.by_service.get(service) or {}).values()
        return NO_REPLICA_CODE if any(replica.zone in zones for replica in replicas) else REGION_OUT_CODE

    def answer_ages(self, now: float) -> list[list[Any]]:
        """Returns the answers that no control node has confirmed to have been told of.

        Returns:
            Lists of service, zone and age in seconds, as the feed's question carries them.
        """
        return [[service, zone, now - at] for (service, zone), at in self.last_answer_at.items()]

    def confirm_answers(self, until: float) -> None:
        """Forgets the answers up to a time, by the steady clock: a control node has been told of them."""
        self.last_answer_at = {key: at for key, at in self.last_answer_at.items() if at > until}

    def record_result(
        self, replica: ReplicaEndpoint, result: AttemptResult, now: float, took_s: float, typical_s: float
    ) -> None:
        """Records what a result shows of a replica: its health, its latency and its load.

        Args:
            replica: The replica that the request was sent to.
            result: The result.
            now: The time on the steady clock.
            took_s: How long the request took.
            typical_s: How long one of its route typically takes.
        """
        for name, value in result.headers:
            if name.lower() == _INSTANCE_LOAD_LOWER:
                self.record_load(replica, value, now)
        if result.execution is Execution.EXECUTED and result.status < FIRST_SERVER_ERROR_STATUS:
            self.record_outcome(replica, "served", now, took_s, typical_s)
        elif result.execution is Execution.NOT_EXECUTED and result.status in FULL_STATUSES:
            self._record_shed(replica, now)
        elif result.is_stale_connection:
            pass  # the replica forgot a connection; its health is not in question
        elif result.execution is Execution.NOT_EXECUTED or result.is_unresponsive:
            self.record_outcome(replica, "vanished", now)
        else:
            self.record_outcome(replica, "faulted", now)

    def _record_shed(self, replica: ReplicaEndpoint, now: float) -> None:
        """Records that a replica was full: load, no ill health."""
        replica.health.record("shed", now, self._rest_s)
        replica.full_until = now + REPORTED_LOAD_TTL_S * 2 ** min(replica.consecutive_sheds, MAX_SHED_DOUBLINGS)
        replica.consecutive_sheds += 1

    def record_outcome(
        self, replica: ReplicaEndpoint, outcome: str, now: float, took_s: float | None = None, typical_s: float = 0.1
    ) -> None:
        """Records what a request showed.

        Args:
            replica: The replica that the request was sent to.
            outcome: "served", "late", "faulted" or "vanished", as ReplicaHealth knows them.
            now: The time on the steady clock.
            took_s: How long the request took; None if that says nothing of the replica.
            typical_s: How long one of its route typically takes.
        """
        replica.health.record(outcome, now, self._rest_s)
        if outcome == "served":
            replica.served_at = now
            replica.consecutive_sheds = 0
            replica.full_until = float("-inf")
            if self.placement.policy is not None:
                self.last_answer_at[replica.service, replica.zone] = now
        if took_s is not None:
            self._record_latency(replica, min(MAX_RELATIVE_LATENCY, took_s / max(typical_s, MIN_TYPICAL_S)), now)

    def _record_latency(self, replica: ReplicaEndpoint, relative_latency: float, now: float) -> None:
        pool = self.pools[replica.service]
        mean = pool.mean_relative_latency
        replica.relative_latency = mean + (replica.relative_latency - mean) * self._cost.latency_weight(replica, now)
        replica.relative_latency += LATENCY_SAMPLE_WEIGHT * (relative_latency - replica.relative_latency)
        replica.relative_latency_at = now
        pool.add_latency(relative_latency)

    def record_load(self, replica: ReplicaEndpoint, header: str, now: float) -> None:
        """Records a replica's report of its load, "running,waiting,slots"; one that cannot be read is passed over."""
        counts = [read_count(part.strip()) for part in header.split(",")]
        if len(counts) != LOAD_FIELDS or None in counts or max(cast(list[int], counts)) > MAX_REPORTED_LOAD:
            return
        running, waiting, slots = cast(list[int], counts)
        replica.reported_load = max(0.0, running + waiting - replica.in_flight)
        replica.reported_load_at = now
        replica.slots = max(1, slots)
        self.pools[replica.service].add_load(replica.reported_load / replica.slots, now)
