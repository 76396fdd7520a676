"""What the rollout controller uses of the store that it runs in, by part."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from ..jobs import Quorum, Record, RecordStore, Replicator
from ..membership import ConfigWatcher
from ..routing import RoutingTable
from ..runtime import Clock, Counters, Settings, StateBoard, TaskGroup
from ..upstream import LoadBalancer, UpstreamClient
from .engines import Engines


class LeadershipHost(Protocol):
    """What a leadership term, its takeover and its repair use of a store.

    Attributes:
        id: The id of this store's disk among the stores.
        heartbeat_interval_s: The pause between heartbeats; waits are cut to it.
        membership: Knows which stores stay in touch and which are departing.
    """

    id: str
    settings: Settings
    clock: Clock
    counters: Counters
    log: Any
    state_board: StateBoard
    task_group: TaskGroup
    heartbeat_interval_s: float
    quorum: Quorum
    replicator: Replicator
    record_store: RecordStore
    config_watcher: ConfigWatcher
    membership: Any

    def members(self) -> dict[str, dict]:
        """Returns all stores of the membership by id."""

    def addr_of(self, member: dict) -> str:
        """Returns the address where a member answers calls."""

    def confirmed(self, run: str, term: int, timeout_s: float) -> bool:
        """Returns whether enough stores said within timeout_s that they know no higher term of a run."""

    async def call_store(self, sid: str, address: str, verb: str, doc: dict) -> dict | None:
        """Calls a verb of a store; None if that very store does not answer."""

    async def fetch_records(
        self, sid: str, address: str, job_id: str, poss: list[int], batch_job: bool
    ) -> list[Record] | None:
        """Fetches records of a job from another store; None if it does not answer."""


class ReplicaDemand(Protocol):
    """Tells which models lack replicas: the leader of the share groups."""

    def lacks_replicas(self, leadership: Any, model: str) -> bool:  # noqa: ANN401 - a leadership term or a stand-in
        """Returns whether items of a model wait that no free slot may run."""


class WeightOrderHost(Protocol):
    """What weight orders use of a store.

    Attributes:
        leaderships: The leadership terms that this store holds, by run.
        replica_pause_s: The unit in seconds for pauses that depend on how fast replicas should answer.
    """

    settings: Settings
    log: Any
    clock: Clock
    counters: Counters
    state_board: StateBoard
    task_group: TaskGroup
    heartbeat_interval_s: float
    engines: Engines
    upstream_client: UpstreamClient
    plan: RoutingTable | None
    leaderships: dict
    leader: ReplicaDemand
    replica_pause_s: Callable[[], float]
    named: Callable[[], dict[str, int]]
    models_of: Callable[[str], list[str]]


class ScoringHost(Protocol):
    """What reward calls use of a store."""

    clock: Clock
    counters: Counters
    state_board: StateBoard
    heartbeat_interval_s: float
    load_balancer: LoadBalancer
    upstream_client: UpstreamClient
    plan: RoutingTable
    replica_pause_s: Callable[[], float]
