"""A store node: keeps batches of work with their results, and leads runs when it is its turn.

Its duties stand in modules of their own: membership (heartbeats), join, lease_watch (who leads what), handlers (the
calls that it answers), repair (copies and the log), departure (a planned end).
"""

from __future__ import annotations

import random

from ..autoscaler.controller import CapacityController
from ..jobs import Quorum, RecordStore, Replicator
from ..platform_client import PlatformClient
from ..share_group import PartitionLeader, Worker
from ..routing import RoutingTable
from ..membership import ConfigWatcher
from ..runtime import StateBoard, Clock, Counters, TaskGroup
from ..singleton_roles.register_host import RoleRegisterHost
from ..rpc import CallError, ConnectionPool, Handlers, CallRefusedError, Server
from ..upstream import UpstreamClient, LoadBalancer
from ..rollout_controller import Engines, WeightOrders, LeadershipTerm
from ..rollout_controller.record_fetch import FetchRequest, fetch_records
from ..usage.reporter import UsageReporter
from ..wal import WriteAheadLog
from .departure import Departure
from .disk import DiskState
from .evacuation import EvacuationSupport
from .handlers import StoreHandlers
from .join import StoreJoin
from .lease_watch import LeaseWatch
from .membership import Membership
from .proxy import RequestProxy
from .repair import Repair


class StoreNode:
    """One life of a store: what its parts share, their start and their end.

    >>> # store = StoreNode(settings, log); await store.start(); await store.leave()
    """

    def __init__(self, settings, log, clock=None):
        self.settings, self.log = settings, log
        self.clock = clock or Clock()
        self.counters = Counters()
        self.task_group = TaskGroup(log, self.counters)
        self.state_board = StateBoard()
        self.connections = ConnectionPool(self.counters)
        self.port = settings.internal_ports[0] + 1
        self.incarnation = f"{random.getrandbits(48):012x}"
        self.heartbeat_interval_s = settings.seconds("ContactMs", 1 / 15)
        self.quiet_s = settings.seconds("ContactMs", 0.25)
        self.quorum = Quorum.from_settings(settings)
        self.engines = Engines()
        self.load_balancer = LoadBalancer(
            settings.zone, settings.node_name, rest_s=settings.seconds("ContactMs", 0.2), widen=0.5
        )
        self.placement = self.load_balancer.placement
        self.plan: RoutingTable | None = None
        self.leaderships: dict[str, LeadershipTerm] = {}
        self.live_services: set = set()
        self.ready = False  # it is a member, and knows all terms that were granted before it was one
        self.leaving = False
        self.disk = DiskState(self.clock, settings.seconds("ContactMs"), self.counters)
        self.membership = Membership(self)
        self.lease_watch = LeaseWatch(self)
        self.joining = StoreJoin(self)
        self.repair = Repair(self)
        self.evacuation = EvacuationSupport(self)
        self.proxy = RequestProxy(self)
        self.ledger = RoleRegisterHost(self)
        self.usage = UsageReporter(self)
        self.capacity = CapacityController(self)
        self.verbs = Handlers()
        StoreHandlers(self).register(self.verbs)
        self.ledger.register(self.verbs)
        self.desk = Server(self.verbs, log, self.counters, lambda: self.id)

    async def start(self) -> None:
        """Load the log, open the port and begin all duties."""
        self.wal = WriteAheadLog(
            self.settings.data_dir or "/tmp/archhatch",
            "store",
            self.log,
            clock=self.clock,
            counters=self.counters,
            limit_bytes=self.settings.disk_mb * 1_000_000,
        )
        self.record_store = RecordStore(self.wal, self.clock, self.counters)
        self.record_store.load(self.wal.load())
        self.wal.start()
        if not self.record_store.id:
            await self.record_store.take_id(f"s-{random.getrandbits(64):016x}")
        self.ledger.load()
        self.upstream_client = UpstreamClient(counters=self.counters)
        self.load_balancer.idle = self.upstream_client.idle
        if self.settings.platform_api is not None:
            platform = PlatformClient(
                self.settings.platform_api, self.settings.node_name, self.upstream_client, self.clock, self.counters
            )
            self.usage.platform = self.capacity.platform = platform
        self.config_watcher = ConfigWatcher(
            self.settings, self.card(), self.connections, self.state_board, self.clock, self.counters
        )
        self.config_watcher.successes_by_zone = self.load_balancer.proved
        self.replicator = Replicator(
            self.id,
            self.record_store,
            self.connections,
            self.members,
            self.alive,
            self.task_group,
            self.counters,
            timeout_s=self.quiet_s * 1.5,
            quorum=self.quorum,
            takes=self.membership.takes,
            watch=self.disk.watch,
            prefers=self.evacuation.preferred,
        )
        self.leader = PartitionLeader(self, self.settings.share_lock_s, self.settings.share_locks)
        self.worker = Worker(self)
        self.orders = WeightOrders(self)
        await self.desk.open(f"{self.settings.ip_address}:{self.port}")
        duties = {
            "news": self.config_watcher.run,
            "parts": self.joining.run,
            "roll": self._roll_loop,
            "pings": self.membership.run,
            "watch": self.lease_watch.run,
            "mend": self.repair.run,
            "disk": self.repair.probe_disk,
            "evacuation": self.evacuation.run,
            "ledger": self.ledger.care,
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
        for name, duty in duties.items():
            self.task_group.run_forever(name, duty)
        self.log.info("store {} is up; lots={} bytes={}", self.id, len(self.record_store.batch_jobs), self.wal.size)

    @property
    def id(self) -> str:
        """This disk's name among the stores."""
        return self.record_store.id

    @property
    def lag(self) -> float:
        """How late this node's timers are, lately."""
        return self.membership.lag

    def card(self) -> dict:
        """How this store introduces itself."""
        return {
            "id": self.id,
            "klass": "store",
            "name": self.settings.node_name,
            "ip": self.settings.ip_address,
            "zone": self.settings.zone,
            "life": self.incarnation,
        }

    async def leave(self) -> None:
        """Hand on what this store leads, have its copies made elsewhere, then end."""
        self.leaving = True
        await Departure(self).run()
        await self.task_group.cancel_all()
        await self.desk.close()
        await self.upstream_client.close()
        self.connections.end()
        await self.ledger.close()
        await self.wal.close()
        self.log.info("counters {}", self.counters.summary())

    # -- what others and the news say

    def gap_s(self) -> float:
        """The unit for pauses that hang on how fast replicas should answer."""
        return self.settings.seconds("ContactMs", 1 / 12)

    def members(self) -> dict:
        """All stores of the membership, with their addresses."""
        stores = (self.config_watcher.shards.get("plan") or {}).get("stores", {})
        return {sid: {**member, "addr": self.addr_of(member)} for sid, member in stores.items()}

    def addr_of(self, member: dict) -> str:
        """Where a member answers calls."""
        return f"{member['ip']}:{self.port}"

    def alive(self, sid: str) -> bool:
        """Whether a store is in touch."""
        return self.membership.alive(sid)

    def confirmed(self, run: str, term: int, timeout_s: float) -> bool:
        """Whether enough stores said within secs that they know no higher term of a run."""
        return self.membership.confirmed(run, term, timeout_s)

    def named(self) -> dict:
        """The newest named version of each model."""
        out: dict = {}
        for value in self.config_watcher.shards.values():
            for model, rev in (value.get("named") or {}).items():
                out[model] = max(rev, out.get(model, 1))
        return out

    def leases(self) -> dict:
        """The runs' leases as the news have them."""
        out: dict = {}
        for value in self.config_watcher.shards.values():
            out.update(value.get("tenures") or {})
        return out

    def models_of(self, run: str) -> list:
        """The models that are trained on a service."""
        return [m for m, s in self.plan.models().items() if s == run] if self.plan is not None else []

    # -- calls to stores, this one among them

    async def ask_store(self, sid, address, verb, doc):
        """Call a store's verb; None if that very store does not answer."""
        doc = {"to": sid, **doc}
        if sid == self.id:
            try:
                return await self.verbs.table[verb](doc, b"")
            except CallRefusedError:
                return None
        try:
            code, out, _ = await self.connections.to(address).call(verb, doc, timeout_s=self.quiet_s * 1.5)
        except CallError:
            return None
        return out if code == 1000 else None

    async def fetch(self, sid, address, job_id, poss, batch_job):
        """Records of a lot from another store, or None."""
        return await fetch_records(self, address, FetchRequest(sid, job_id, poss, batch_job))

    async def _roll_loop(self) -> None:
        turn = 0
        while True:
            entries = self.config_watcher.take_changed_replicas()
            self.load_balancer.fold(entries)
            self.engines.apply_entries(entries)
            if entries:
                self.state_board.notify("work")
                self.state_board.notify("orders")
            turn = await self.state_board.wait_for_change("roll", turn)
