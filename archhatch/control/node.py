"""A control node: agreement on the registers, the registry of replicas, and the feed for all others."""

from __future__ import annotations

import asyncio
import random

from ..region_policy.region_monitor import RegionMonitor
from ..jobs import Quorum
from ..http_server import HttpServer
from ..membership import LiveRequests, PeerSet, ReplicaRegistry
from ..membership.agreed_time import AgreedTime
from ..evacuation.controller import EvacuationController
from ..runtime import StateBoard, Clock, Counters, TaskGroup
from ..rpc import CallError, CallRefusedError, TcpNetwork
from ..wal import WriteAheadLog
from .admin_api import AdminApi
from .agreement import Registers
from .contact import MajorityContact, ServingGate
from .feed import ConfigFeed
from .handlers import register_handlers
from .peers import Peers
from .registers import SHARDS, PLAN
from .store_membership import StoreMembershipController

PING = 1 / 15  # of ContactMs: the pause between pings
SILENT = 0.25  # of ContactMs: a node silent for so long is not counted on; proofs of contact are no older
SETTLED_PINGS = 3  # pauses between pings after a start until the silence of others says something
HURRY = 0.2  # of the usual pause between looks, while some register is still unknown
SWEEP_PINGS = 2  # pauses between pings from one look at silent replicas to the next
SILENT_BEATS = 2.5  # heartbeats that a replica may miss
STORE_STEP = 0.5  # pauses between pings: a store's signs of life that come closer are not each told to other nodes
LEAVE = 0.25  # of GraceS: how long a node that ends waits for its place in the groups to be taken


class ControlNode:
    """Everything a control node does, put together.

    >>> # node = ControlNode(settings, log); await node.start(); await node.leave()
    """

    def __init__(self, settings, log, clock=None, network=None, files=None, disk_worker=None):
        self.settings, self.log = settings, log
        self.clock = clock or Clock()
        self.counters = Counters()
        self.task_group = TaskGroup(log, self.counters)
        self.state_board = StateBoard()
        network = network or TcpNetwork()
        self.connections = network.pool(self.counters)
        self.wal = WriteAheadLog(
            settings.data_dir or "/tmp/archhatch",
            "core",
            log,
            files,
            clock=self.clock,
            counters=self.counters,
            worker=disk_worker,
            limit_bytes=settings.disk_mb * 1_000_000,
        )
        self.id = ""
        self.incarnation = f"{random.getrandbits(48):012x}"
        self.address = f"{settings.ip_address}:{settings.internal_ports[0]}"
        self.heartbeat_interval_s = settings.seconds("ContactMs", PING)
        self.quiet_s = settings.seconds("ContactMs", SILENT)
        self.started = self.clock.now()
        self.leaving = False
        self.registry = ReplicaRegistry()
        self.cores = PeerSet()
        self.stores = PeerSet(step_s=self.heartbeat_interval_s * STORE_STEP)
        self.live = LiveRequests(settings.seconds("ContactMs", 2 / 3))
        self.quorum = Quorum.from_settings(settings)
        self.agreed_time = AgreedTime()
        self.contact = MajorityContact(self.quiet_s)
        self.gate = ServingGate(self.quiet_s)
        self.registers = Registers(self)
        self.peers = Peers(self)
        self.feed = ConfigFeed(self)
        self.store_membership = StoreMembershipController(self)
        self.regions = RegionMonitor(self, PLAN)
        self.evacuations = EvacuationController(self, PLAN)
        self.admin_api = AdminApi(self)
        self.verbs = register_handlers(self)
        self.desk = network.server(self.verbs, log, self.counters, lambda: self.id)
        self.window = HttpServer(self.admin_api.answer, log, self.counters)

    # -- life

    async def start(self) -> None:
        """Read the log, found or join the group, and listen."""
        self.wal.snapshot = self.registers.snapshot
        self.registers.load(self.wal, self.wal.load())
        self.wal.start()
        if not self.id:
            await self._found()
        self.registers.start()
        await self.desk.open(self.address)
        await self.window.open(self.settings.bindings["ControlPlane"])
        self.peers.start()
        self.task_group.run_forever("sweep", self._sweep_loop)
        self.task_group.run_forever("tend", self._tend_loop)
        self.task_group.run_forever("rewrite", self._rewrite_loop)
        self.task_group.run_forever("regions", self.regions.run)
        self.task_group.run_forever("evacuation", self.evacuations.run)
        founder = bool(self.registers.founders)
        self.log.info("control node {} is up; founder={} records={}", self.id, founder, self.wal.size)

    async def _found(self) -> None:
        """A first start on an empty disk: the seeds found the group, others get an id by chance and join."""
        ips = [s.rsplit(":", 1)[0] for s in self.settings.seed_peers]
        if self.settings.is_bootstrap and self.settings.ip_address in ips:
            self.id = f"f-{self.settings.ip_address}"
            self.registers.founders = {f"f-{ip}": f"{ip}:{self.settings.internal_ports[0]}" for ip in ips}
        else:
            self.id = f"n-{random.getrandbits(64):016x}"
        await self.wal.append(self.registers.identity())

    async def leave(self) -> None:
        """End in order: another takes this node's work and, where one stands by, its place in the groups."""
        self.leaving = True
        self.state_board.notify("news")  # who waits for news is sent on to another node
        self.peers.announce()
        end = self.clock.now() + self.settings.seconds("GraceS", LEAVE)
        await asyncio.sleep(self.heartbeat_interval_s)
        while self.clock.now() < end and self.registers.needed_for_leaving():
            await asyncio.sleep(self.heartbeat_interval_s)
        self.window.leaving = True
        await self.window.close(self.settings.seconds("GraceS", LEAVE))
        await self.task_group.cancel_all()
        await self.desk.close()
        self.connections.end()
        await self.wal.close()
        self.log.info("counters {}", self.counters.summary())

    # -- what is seen

    @property
    def known(self) -> dict:
        """The newest state of each register that is known to be chosen."""
        return self.registers.known

    def card(self) -> dict:
        """What others keep of this node."""
        return {
            "id": self.id,
            "ip": self.settings.ip_address,
            "addr": self.address,
            "zone": self.settings.zone,
            "name": self.settings.node_name,
        }

    def alive(self, node_id: str) -> bool:
        """Whether a control node was heard lately."""
        return node_id == self.id or self.cores.silence_s(node_id, self.clock.now()) < self.quiet_s

    def available(self, node_id: str) -> bool:
        """Whether a control node is up and about to stay."""
        if node_id == self.id:
            return not self.leaving
        return self.alive(node_id) and node_id not in self.peers.leaving

    def disk_takes(self) -> bool:
        """Whether this node's log takes records: the last write went through, and none has waited for long."""
        return self.wal.is_healthy and self.wal.oldest_write_age_s(self.clock.now()) < self.quiet_s

    def has_majority_contact(self) -> bool:
        """Whether a majority of the configuration's group answered this node within the bound."""
        group = self.registers.group(PLAN)
        return group is not None and self.contact.has_majority(self.id, group, self.clock.now())

    def check_serving(self) -> bool:
        """Whether this node may answer callers: in touch, and as new as what that majority holds."""
        return self.gate.update(self.has_majority_contact(), self.registers.behind(), self.clock.now())

    def condition(self) -> dict:
        """What the doctor asks for."""
        now, base = self.clock.now(), self.registers.group(PLAN)
        voters = base["voters"] if base else {}
        silent = {
            r: now - self.registry.last_heard[r]
            for r, e in self.registry.replicas.items()
            if e.get("silent") and e["state"] != "gone"
        }
        return {
            "id": self.id,
            "in_touch": self.has_majority_contact(),
            "serving": self.check_serving(),
            "voters": len(voters),
            "least_voters": self.registers.size.minimum,
            "up": sum(1 for v in voters if v == self.id or self.contact.has_contact(v, now)),
            "damaged": self.wal.is_damaged,
            "stamps": self.registers.versions(),
            "silent": silent,
        }

    # -- calls to other control nodes

    async def call(self, address, verb, doc, timeout_s=None, to=None):
        """The document of an answer; None if there is none, or a refusal."""
        try:
            code, out, _ = await self.connections.to(address).call(
                verb, doc, timeout_s=timeout_s or self.quiet_s, to=to or ""
            )
        except CallError:
            return None
        return out if code == 1000 else None

    async def ask(self, address, verb, doc):
        """A proposer's question to a voter, this node among them."""
        if address == self.address:
            return await self.verbs.table[verb](doc, b"")
        return await self.call(address, verb, doc)

    async def run_command(self, shard: str, name: str, args: dict):
        """Run a command on a register: (code, document). CallRefusedError 3003 if the outcome is unclear."""
        return await self.registers.run(shard, name, args)

    async def try_command(self, shard: str, name: str, args: dict):
        """Run a command of a duty, which comes round again if no majority answers now: (code, document)."""
        try:
            return await self.registers.run(shard, name, args)
        except CallRefusedError:
            self.counters.add("duty.put_off")
            return 3003, None

    def owns(self, shard: str) -> bool:
        """Whether this node is the one to run a register's commands, as far as it knows."""
        return self.registers.owns(shard)

    # -- loops

    async def _sweep_loop(self) -> None:
        while True:
            await asyncio.sleep(self.heartbeat_interval_s * SWEEP_PINGS)
            if self.registry.sweep(self.clock.now(), self.settings.heartbeat_interval_ms / 1000 * SILENT_BEATS):
                self.state_board.notify("news")

    async def _rewrite_loop(self) -> None:
        while True:
            await asyncio.sleep(self.quiet_s)
            await self.registers.rewrite_if_long()

    async def _tend_loop(self) -> None:
        turn = 0
        while True:
            before = self.clock.now()
            # while a register is still unknown, as after a start, each moment counts
            hurry = 1.0 if len(self.known) == len(SHARDS) else HURRY
            turn = await self.state_board.wait_for_change(
                "tend", turn, self.heartbeat_interval_s * random.uniform(1.0, 1.6) * hurry
            )
            if self.clock.now() - before > self.quiet_s:
                self.started = self.clock.now()  # this node stood still: what it heard long ago says nothing
                self.counters.add("woke")
            self.peers.note_disk_health(self.id, self.disk_takes())
            if not self.has_majority_contact():
                continue
            settled = self.clock.now() - self.started >= self.heartbeat_interval_s * SETTLED_PINGS
            for shard in SHARDS:
                if self.owns(shard) or self.registers.overdue(shard):
                    await self.registers.tend(shard, settled)
            if settled and self.check_serving():
                await self.store_membership.tend()
