"""What the leader and the worker of share groups use of the store node that they run in."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from ..jobs import BatchJob, Record
    from ..region_policy.placement import Placement
    from ..rollout_controller import Engines
    from ..routing import RoutingTable
    from ..rpc import ConnectionPool, Handlers
    from ..runtime import Clock, Counters, Settings, StateBoard, TaskGroup
    from ..upstream import LoadBalancer, UpstreamClient

LEADERSHIP_HELD = "holding"  # the state of a leadership term that serves its run


class Leadership(Protocol):
    """One leadership term of a run, held by this node.

    Attributes:
        run: The run that is led.
        term: The term; share groups use it as the leader epoch.
        state: LEADERSHIP_HELD while the term serves its run.
        batch_jobs: The run's batch jobs by id.
        window_records: Head and body of the window records that a majority of stores reported at takeover.
    """

    run: str
    term: int
    state: str
    batch_jobs: dict[str, BatchJob]
    window_records: list[tuple[dict, bytes]]

    def is_confirmed(self) -> bool:
        """Whether enough stores confirmed lately that they know no higher term."""

    def step_down(self) -> None:
        """Ends the term on this node."""

    async def append_result(self, batch_job: BatchJob, iid: str, doc: dict, /) -> None:
        """Lists an item's result; returns once enough copies are synced. Raises DeposedError under a newer term."""

    def allot_offsets(self, partition: str, count: int, /) -> int:
        """Sets offsets of a partition aside, which no other item ever has; returns the first."""

    async def replicate(self, record: Record, /) -> None:
        """Writes a window record; returns once enough copies are synced. Raises DeposedError under a newer term."""


class ShareGroupHost(Protocol):
    """What both the leader and the worker use."""

    @property
    def id(self) -> str:
        """The member id of this store node."""

    @property
    def clock(self) -> Clock:
        """The node's steady clock, in seconds."""

    @property
    def counters(self) -> Counters:
        """Event counters of the process."""

    @property
    def state_board(self) -> StateBoard:
        """Change notifications between the node's tasks."""

    @property
    def config_watcher(self) -> Any:  # noqa: ANN401 - only `live_totals` is read; tests offer just that
        """Holds `live_totals`: the live requests under way, by service."""

    @property
    def heartbeat_interval_s(self) -> float:
        """Seconds between two heartbeats."""

    @property
    def quiet_s(self) -> float:
        """Seconds of silence after which a call or a node is given up."""

    @property
    def leaving(self) -> bool:
        """Whether the node shuts down gracefully."""

    def members(self) -> Mapping[str, dict]:
        """The member stores by id: "state", "addr"."""

    def replica_pause_s(self) -> float:
        """Seconds that a healthy replica may pause; the unit of the back-offs."""


class LeaderHost(ShareGroupHost, Protocol):
    """What a partition leader uses of its node."""

    @property
    def leaderships(self) -> Mapping[str, Any]:
        """The Leadership of each run that this node leads or takes over."""

    @property
    def engines(self) -> Engines:
        """All model replicas."""

    @property
    def plan(self) -> RoutingTable | None:
        """The routing table; None before the first configuration came."""

    @property
    def placement(self) -> Placement:
        """Which zones the routes may use."""

    @property
    def evacuation(self) -> Any:  # noqa: ANN401 - only `leads_elsewhere(run)` is used; tests offer just that
        """Holds `leads_elsewhere(run)`: whether a run is about to be led from another region."""

    @property
    def task_group(self) -> TaskGroup:
        """Runs background tasks."""

    @property
    def load_balancer(self) -> LoadBalancer:
        """Holds `last_answer_at`: when a service last answered from a zone."""

    @property
    def orders(self) -> Any:  # noqa: ANN401 - only `verify_replica(engine)` is used; tests offer just that
        """Holds `verify_replica(engine)`: has the version of a replica checked."""

    def alive(self, sid: str, /) -> bool:
        """Whether a store is in touch."""


class WorkerHost(ShareGroupHost, Protocol):
    """What a worker uses of its node."""

    @property
    def incarnation(self) -> str:
        """The random id of this start of the process."""

    @property
    def settings(self) -> Settings:
        """The node's settings: zone, and CancelMs."""

    @property
    def timer_lag_s(self) -> float:
        """How late the node's timers fire, in seconds."""

    @property
    def ready(self) -> bool:
        """Whether the node is a full member."""

    @property
    def task_group(self) -> TaskGroup:
        """Runs background tasks."""

    @property
    def verbs(self) -> Handlers:
        """The node's own call handlers, for calls to itself."""

    @property
    def connections(self) -> ConnectionPool:
        """Connections to the other nodes."""

    @property
    def upstream_client(self) -> UpstreamClient:
        """Sends requests to replicas."""

    @property
    def live_services(self) -> set:
        """Services that live requests use too."""

    @property
    def log(self) -> Any:  # noqa: ANN401 - the logger has no type of its own
        """The process's log."""

    def leases(self) -> Mapping[str, dict]:
        """The leases of the runs: "holder", "term"."""
