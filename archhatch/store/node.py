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
from ..rpc import CallError, ConnectionPool, Handlers, Refusal, Server
from ..upstream import UpstreamClient, LoadBalancer
from ..rollout_controller import Engines, WeightOrders, LeadershipTerm
from ..rollout_controller.leadership_term import fetch_over
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

    >>> # store = StoreNode(boot, log); await store.start(); await store.leave()
    """

    def __init__(self, boot, log, clock=None):
        self.boot, self.log = boot, log
        self.clock = clock or Clock()
        self.ctr = Counters()
        self.crew = TaskGroup(log, self.ctr)
        self.board = StateBoard()
        self.lines = ConnectionPool(self.ctr)
        self.port = boot.ports[0] + 1
        self.life = f"{random.getrandbits(48):012x}"
        self.beat_s = boot.secs("ContactMs", 1 / 15)
        self.quiet_s = boot.secs("ContactMs", 0.25)
        self.quorum = Quorum.of(boot)
        self.engines = Engines()
        self.picker = LoadBalancer(boot.zone, boot.node, rest_s=boot.secs("ContactMs", 0.2), widen=0.5)
        self.placement = self.picker.placement
        self.plan: RoutingTable | None = None
        self.reigns: dict[str, LeadershipTerm] = {}
        self.live_services: set = set()
        self.ready = False  # it is a member, and knows all terms that were granted before it was one
        self.leaving = False
        self.disk = DiskState(self.clock, boot.secs("ContactMs"), self.ctr)
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
        self.desk = Server(self.verbs, log, self.ctr, lambda: self.id)

    async def start(self) -> None:
        """Load the log, open the port and begin all duties."""
        self.book = WriteAheadLog(
            self.boot.data_dir or "/tmp/archhatch",
            "store",
            self.log,
            clock=self.clock,
            counters=self.ctr,
            limit_bytes=self.boot.disk_mb * 1_000_000,
        )
        self.shelf = RecordStore(self.book, self.clock, self.ctr)
        self.shelf.load(self.book.load())
        self.book.start()
        if not self.shelf.id:
            await self.shelf.take_id(f"s-{random.getrandbits(64):016x}")
        self.ledger.load()
        self.caller = UpstreamClient(counters=self.ctr)
        self.picker.idle = self.caller.idle
        if self.boot.cloud is not None:
            platform = PlatformClient(self.boot.cloud, self.boot.node, self.caller, self.clock, self.ctr)
            self.usage.platform = self.capacity.platform = platform
        self.news = ConfigWatcher(self.boot, self.card(), self.lines, self.board, self.clock, self.ctr)
        self.news.proved = self.picker.proved
        self.copier = Replicator(
            self.id,
            self.shelf,
            self.lines,
            self.members,
            self.alive,
            self.crew,
            self.ctr,
            secs=self.quiet_s * 1.5,
            quorum=self.quorum,
            takes=self.membership.takes,
            watch=self.disk.watch,
            prefers=self.evacuation.preferred,
        )
        self.leader = PartitionLeader(self, self.boot.share_lock_s, self.boot.share_locks)
        self.worker = Worker(self)
        self.orders = WeightOrders(self)
        await self.desk.open(f"{self.boot.ip}:{self.port}")
        duties = {
            "news": self.news.run,
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
            self.crew.keep(name, duty)
        self.log.info("store {} is up; lots={} bytes={}", self.id, len(self.shelf.lots), self.book.size)

    @property
    def id(self) -> str:
        """This disk's name among the stores."""
        return self.shelf.id

    @property
    def lag(self) -> float:
        """How late this node's timers are, lately."""
        return self.membership.lag

    def card(self) -> dict:
        """How this store introduces itself."""
        return {
            "id": self.id,
            "klass": "store",
            "name": self.boot.node,
            "ip": self.boot.ip,
            "zone": self.boot.zone,
            "life": self.life,
        }

    async def leave(self) -> None:
        """Hand on what this store leads, have its copies made elsewhere, then end."""
        self.leaving = True
        await Departure(self).run()
        await self.crew.end()
        await self.desk.close()
        await self.caller.close()
        self.lines.end()
        await self.ledger.close()
        await self.book.close()
        self.log.info("counters {}", self.ctr.line())

    # -- what others and the news say

    def gap_s(self) -> float:
        """The unit for pauses that hang on how fast replicas should answer."""
        return self.boot.secs("ContactMs", 1 / 12)

    def members(self) -> dict:
        """All stores of the membership, with their addresses."""
        stores = (self.news.parts.get("plan") or {}).get("stores", {})
        return {sid: {**member, "addr": self.addr_of(member)} for sid, member in stores.items()}

    def addr_of(self, member: dict) -> str:
        """Where a member answers calls."""
        return f"{member['ip']}:{self.port}"

    def alive(self, sid: str) -> bool:
        """Whether a store is in touch."""
        return self.membership.alive(sid)

    def confirmed(self, run: str, term: int, secs: float) -> bool:
        """Whether enough stores said within secs that they know no higher term of a run."""
        return self.membership.confirmed(run, term, secs)

    def named(self) -> dict:
        """The newest named version of each model."""
        out: dict = {}
        for val in self.news.parts.values():
            for model, rev in (val.get("named") or {}).items():
                out[model] = max(rev, out.get(model, 1))
        return out

    def leases(self) -> dict:
        """The runs' leases as the news have them."""
        out: dict = {}
        for val in self.news.parts.values():
            out.update(val.get("tenures") or {})
        return out

    tenures = leases  # the name that the share groups' workers use

    def models_of(self, run: str) -> list:
        """The models that are trained on a service."""
        return [m for m, s in self.plan.models().items() if s == run] if self.plan is not None else []

    # -- calls to stores, this one among them

    async def ask_store(self, sid, addr, verb, doc):
        """Call a store's verb; None if that very store does not answer."""
        doc = {"to": sid, **doc}
        if sid == self.id:
            try:
                return await self.verbs.table[verb](doc, b"")
            except Refusal:
                return None
        try:
            code, out, _ = await self.lines.to(addr).call(verb, doc, secs=self.quiet_s * 1.5)
        except CallError:
            return None
        return out if code == 1000 else None

    async def fetch(self, sid, addr, lid, poss, lot):
        """Records of a lot from another store, or None."""
        return await fetch_over(self, sid, addr, lid, poss, lot)

    async def _roll_loop(self) -> None:
        turn = 0
        while True:
            entries = self.news.take_roll()
            self.picker.fold(entries)
            self.engines.fold(entries)
            if entries:
                self.board.touch("work")
                self.board.touch("orders")
            turn = await self.board.news("roll", turn)
