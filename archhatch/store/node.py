"""A store node: keeps batches of work with their results, and leads runs when it is its turn.

Its duties stand in modules of their own: membership (heartbeats), join, lease_watch (who leads what), handlers (the
calls that it answers), repair (copies and the log), departure (a planned end). This module alone wires them.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from typing import Any

from ..autoscaler.controller import CapacityController
from ..jobs import BodyCache, Quorum, RecordStore, Replicator
from ..memory import StoreShares
from ..membership import ConfigWatcher, NodeCard
from ..platform_client import PlatformClient
from ..rollout_controller import Engines, LeadershipTerm, WeightOrders
from ..rollout_controller.record_fetch import FetchRequest, fetch_records
from ..routing import ConfigurationFollower, RoutingTable
from ..rpc import CallError, CallRefusedError, ConnectionPool, Handlers, Server
from ..runtime import Clock, Counters, Settings, StateBoard, TaskGroup
from ..share_group import PartitionLeader, Worker
from ..singleton_roles.register_host import RoleRegisterHost
from ..upstream import LoadBalancer, UpstreamClient
from ..usage.reporter import UsageReporter
from ..wal import WriteAheadLog
from .departure import Departure
from .disk import DiskState
from .evacuation import EvacuationSupport
from .handlers import StoreHandlers
from .join import StoreJoin, new_store_id
from .lease_watch import LeaseWatch
from .membership import Membership
from .proxy import RequestProxy
from .repair import Repair
from .result_codes import DONE

HEARTBEAT_CONTACT_FRACTION = 1 / 15  # of ContactMs: between two heartbeats
SILENCE_CONTACT_FRACTION = 0.25  # of ContactMs: a store that was not heard for so long passes for gone
REPLICA_PAUSE_CONTACT_FRACTION = 1 / 12  # of ContactMs: the unit of pauses between calls to a replica
REPLICA_REST_CONTACT_FRACTION = 0.2  # of ContactMs: how long a replica that failed gets no requests
SUBSET_WIDENING = 0.5  # how far the load balancer widens its subset of replicas under load
CALL_SILENCE_TIMEOUTS = 1.5  # how long another store may take to answer a call
INCARNATION_BITS = 48  # random: no two processes of a store get the same incarnation
DEFAULT_DATA_DIR = "/tmp/archhatch"
BYTES_PER_MB = 1_000_000


def _as_host(node: StoreNode) -> Any:  # noqa: ANN401 - each package has its own Protocol
    """Returns a node for the Protocols of other packages, some of which ask for settable attributes.

    The node offers these as properties and methods, which a type checker takes for another thing.
    """
    return node


class StoreNode:
    """One process of a store: what its duties share, their start and their end.

    Attributes:
        settings: The settings of the process.
        log: The process's log.
        incarnation: Names this process among those that the store's disk had.
        heartbeat_interval_s: Between two heartbeats.
        quiet_s: A store that was not heard for so long passes for gone.
        configuration: Follows the configuration in force.
        plan: The configuration, once the control nodes gave one.
        leaderships: The newest term that this store led or leads of each run.
        live_services: The services with routes of live requests.
        ready: Whether it is a member, and knows all terms that were granted before it was one.
        leaving: Whether it is about to end.
    """

    wal: WriteAheadLog
    record_store: RecordStore
    upstream_client: UpstreamClient
    config_watcher: ConfigWatcher
    replicator: Replicator
    leader: PartitionLeader
    worker: Worker
    orders: WeightOrders

    def __init__(self, settings: Settings, log: Any, clock: Clock | None = None) -> None:  # noqa: ANN401 - loguru's logger has no public type
        self.settings = settings
        self.log = log
        self.clock = clock or Clock()
        self.counters = Counters()
        self.task_group = TaskGroup(log, self.counters)
        self.state_board = StateBoard()
        self.connections = ConnectionPool(self.counters)
        self.port: int = settings.internal_ports[0] + 1
        self.incarnation = f"{random.getrandbits(INCARNATION_BITS):012x}"
        self.heartbeat_interval_s = settings.seconds("ContactMs", HEARTBEAT_CONTACT_FRACTION)
        self.quiet_s = settings.seconds("ContactMs", SILENCE_CONTACT_FRACTION)
        self.quorum = Quorum.from_settings(settings)
        self.engines = Engines()
        rest_s = settings.seconds("ContactMs", REPLICA_REST_CONTACT_FRACTION)
        self.load_balancer = LoadBalancer(settings.zone, settings.node_name, rest_s=rest_s, busy_share=SUBSET_WIDENING)
        self.placement = self.load_balancer.placement
        self.configuration = ConfigurationFollower(log, self.counters)
        self.plan: RoutingTable | None = None
        self.leaderships: dict[str, LeadershipTerm] = {}
        self.live_services: set = set()
        self.ready = False
        self.leaving = False
        self._create_duties()

    def _create_duties(self) -> None:
        self.disk = DiskState(self.clock, self.settings.seconds("ContactMs"), self.counters)
        self.membership = Membership(self)
        self.lease_watch = LeaseWatch(self)
        self.joining = StoreJoin(self)
        self.repair = Repair(self)
        self.evacuation = EvacuationSupport(self)
        self.proxy = RequestProxy(self)
        self.ledger = RoleRegisterHost(_as_host(self))
        self.usage = UsageReporter(_as_host(self))
        self.capacity = CapacityController(_as_host(self))
        self.verbs = Handlers()
        StoreHandlers(self).register(self.verbs)
        self.ledger.register(self.verbs)
        self.rpc_server = Server(self.verbs, self.log, self.counters, lambda: self.id)

    async def start(self) -> None:
        """Loads the log, opens the port and begins all duties."""
        await self._load_log()
        self._create_clients()
        self.leader = PartitionLeader(_as_host(self), self.settings.share_lock_s, self.settings.share_locks)
        self.worker = Worker(_as_host(self))
        self.orders = WeightOrders(_as_host(self))
        await self.rpc_server.open(f"{self.settings.ip_address}:{self.port}")
        for name, duty in self._duties().items():
            self.task_group.run_forever(name, duty)
        jobs = len(self.record_store.batch_jobs)
        self.log.info("store {}: started, jobs={} log_bytes={}", self.id, jobs, self.wal.size)

    async def _load_log(self) -> None:
        self.wal = WriteAheadLog(
            self.settings.data_dir or DEFAULT_DATA_DIR,
            "store",
            self.log,
            clock=self.clock,
            counters=self.counters,
            limit_bytes=self.settings.disk_mb * BYTES_PER_MB,
        )
        cache_bytes = StoreShares(self.settings.memory_mb).body_cache_bytes
        bodies = BodyCache(self.settings.data_dir or DEFAULT_DATA_DIR, cache_bytes, self.counters)
        self.record_store = RecordStore(self.wal, self.clock, self.counters, bodies)
        self.record_store.load(self.wal.load())
        self.wal.start()
        if not self.record_store.id:
            await self.record_store.take_id(new_store_id())
        self.ledger.load()

    def _create_clients(self) -> None:
        settings = self.settings
        self.upstream_client = UpstreamClient(counters=self.counters)
        self.load_balancer.use_connections_of(self.upstream_client.has_idle_connection)
        if settings.platform_api is not None:
            platform = PlatformClient(
                settings.platform_api, settings.node_name, self.upstream_client, self.clock, self.counters
            )
            self.usage.platform = platform
            self.capacity.platform = platform
        self.config_watcher = ConfigWatcher(
            settings, self.identity(), self.connections, self.state_board, self.clock, self.counters
        )
        self.config_watcher.successes = self.load_balancer
        self.replicator = Replicator(
            self.id,
            self.record_store,
            self.connections,
            self.members,
            self.alive,
            self.task_group,
            self.counters,
            timeout_s=self.quiet_s * CALL_SILENCE_TIMEOUTS,
            quorum=self.quorum,
            takes=self.membership.takes,
            watch=self.disk.watch,
            prefers=self.evacuation.preferred_stores,
        )

    def _duties(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """The background tasks, by the name under which their faults are counted."""
        duties: dict[str, Callable[[], Awaitable[None]]] = {
            "config_watcher": self.config_watcher.run,
            "join": self.joining.run,
            "replica_registry": self._follow_replicas,
            "heartbeats": self.membership.run,
            "lease_watch": self.lease_watch.run,
            "repair": self.repair.run,
            "disk": self.repair.probe_disk,
            "evacuation": self.evacuation.run,
            "role_registers": self.ledger.maintain_groups,
            "usage": self.usage.run,
            "capacity": self.capacity.run,
            "leader": self.leader.run,
            "persist": self.leader.persist,
            "worker": self.worker.run,
            "scoring": self.worker.scoring.run,
            "orders": self.orders.run,
        }
        if self.usage.enabled:
            duties["usage lease"] = self.usage.lease.run
        if self.capacity.enabled:
            duties["capacity lease"] = self.capacity.lease.run
        return duties

    @property
    def id(self) -> str:
        """The store's id, which stands on its disk."""
        return self.record_store.id

    @property
    def timer_lag_s(self) -> float:
        """How late this node's timers are, as a moving average."""
        return self.membership.timer_lag_s

    def identity(self) -> NodeCard:
        """Returns how this store introduces itself to other nodes."""
        card: NodeCard = {
            "id": self.id,
            "klass": "store",
            "name": self.settings.node_name,
            "ip": self.settings.ip_address,
            "zone": self.settings.zone,
            "life": self.incarnation,
        }
        if self.record_store.member_number:
            card["no"] = str(self.record_store.member_number)
        return card

    async def leave(self) -> None:
        """Hands on what this store leads, has its copies made elsewhere, then ends."""
        self.leaving = True
        await Departure(self).run()
        await self.task_group.cancel_all()
        await self.rpc_server.close()
        await self.upstream_client.close()
        self.connections.end()
        await self.ledger.close()
        await self.wal.close()
        self.log.info("counters {}", self.counters.summary())

    # -- what the control nodes and the other stores say

    def replica_pause_s(self) -> float:
        """Returns the unit of pauses that depend on how fast replicas should answer, in seconds."""
        return self.settings.seconds("ContactMs", REPLICA_PAUSE_CONTACT_FRACTION)

    def members(self) -> dict:
        """Returns all stores of the membership by id, with their addresses."""
        stores = (self.config_watcher.shards.get("plan") or {}).get("stores", {})
        return {store_id: {**member, "addr": self.addr_of(member)} for store_id, member in stores.items()}

    def addr_of(self, member: dict) -> str:
        """Returns where a member answers calls."""
        return f"{member['ip']}:{self.port}"

    def alive(self, store_id: str) -> bool:
        """Returns whether a store is in touch."""
        return self.membership.alive(store_id)

    def confirmed(self, run: str, term: int, max_age_s: float) -> bool:
        """Returns whether enough stores proved lately that they promised no higher term of a run.

        Args:
            run: The run.
            term: The term under which this store leads it.
            max_age_s: How old a proof may be.
        """
        return self.membership.confirmed(run, term, max_age_s)

    def named(self) -> dict[str, int]:
        """Returns the newest named version of each model."""
        versions: dict[str, int] = {}
        for value in self.config_watcher.shards.values():
            for model, version in (value.get("named") or {}).items():
                versions[model] = max(version, versions.get(model, 1))
        return versions

    def leases(self) -> dict[str, dict]:
        """Returns the leases of all runs as the control nodes gave them; messages.RunLease reads one.

        They are not decoded here: workers look one up at each poll.
        """
        leases: dict[str, dict] = {}
        for value in self.config_watcher.shards.values():
            leases.update(value.get("tenures") or {})
        return leases

    def models_of(self, run: str) -> list[str]:
        """Returns the models that are trained on a service."""
        if self.plan is None:
            return []
        return [model for model, service in self.plan.service_by_model().items() if service == run]

    # -- leading, and calls to stores, this one among them

    def new_leadership_term(self, run: str, term: int) -> LeadershipTerm:
        """Returns a leadership of a run that has not begun yet."""
        return LeadershipTerm(_as_host(self), run, term)

    async def call_store(self, store_id: str, address: str, verb: str, document: dict) -> Any:  # noqa: ANN401 - each verb has its own answer
        """Calls a store's verb.

        Args:
            store_id: The store that is meant.
            address: Where it answers calls.
            verb: The verb.
            document: The call's document, without the key that names the store.

        Returns:
            The document of the answer; None if that very store does not answer, or refuses.
        """
        request = {"to": store_id, **document}
        if store_id == self.id:
            try:
                return await self.verbs.table[verb](request, b"")
            except CallRefusedError:
                return None
        timeout_s = self.quiet_s * CALL_SILENCE_TIMEOUTS
        try:
            code, answer, _ = await self.connections.to(address).call(verb, request, timeout_s=timeout_s)
        except CallError:
            return None
        return answer if code == DONE else None

    async def fetch_records(
        self, store_id: str, address: str, job_id: str, positions: list, wants_job: bool
    ) -> list | None:
        """Fetches records of a job from another store.

        Args:
            store_id: The store.
            address: Where it answers calls.
            job_id: The job.
            positions: The positions of the results that are wanted.
            wants_job: Whether the job itself is wanted too.

        Returns:
            The records, or None if that store does not answer.
        """
        return await fetch_records(_as_host(self), address, FetchRequest(store_id, job_id, positions, wants_job))

    async def _follow_replicas(self) -> None:
        """Takes up each change of the replicas that the control nodes report."""
        turn = 0
        while True:
            entries: list[Any] = self.config_watcher.take_changed_replicas()
            self.load_balancer.apply_updates(entries)
            self.engines.apply_entries(entries)
            if entries:
                self.state_board.notify("work")
                self.state_board.notify("orders")
            turn = await self.state_board.wait_for_change("roll", turn)
