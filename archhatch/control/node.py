"""A control node: agreement on the registers, the registry of replicas, and the feed for all others."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

from ..evacuation.controller import EvacuationController
from ..http_server import ClientMemory, HttpServer
from ..jobs import Quorum
from ..membership import LiveRequests, NodeCard, PeerSet, ReplicaRegistry
from ..membership.agreed_time import AgreedTime
from ..region_policy.region_monitor import RegionMonitor
from ..routing import ConfigurationFollower
from ..rpc import CallError, CallRefusedError, TcpNetwork
from ..runtime import Clock, Counters, Settings, StateBoard, TaskGroup
from ..runtime.build_info import build_info
from ..wal import WriteAheadLog
from . import topics
from .admin_api import AdminApi
from .agreement import Registers
from .configuration_fallback import ConfigurationFallback
from .contact import MajorityContact, ServingGate
from .feed import ConfigFeed
from .group_maintenance import GroupMaintainer
from .handlers import register_handlers
from .peers import Peers
from .registers import PLAN, SHARDS
from .result_codes import DONE, NO_MAJORITY
from .store_membership import StoreMembershipController

if TYPE_CHECKING:
    from ..rpc.network import Network

DEFAULT_DATA_DIR = "/tmp/archhatch"
LOG_NAME = "core"  # of the write-ahead log's files
BYTES_PER_MB = 1_000_000
INCARNATION_BITS = 48
NODE_ID_BITS = 64
MS_PER_S = 1000

PING_INTERVAL_SHARE = 1 / 15  # of ContactMs: the pause between pings
UNREACHABLE_SHARE = 0.25  # of ContactMs: a node silent for so long is not counted on; proofs of contact are no older
LIVE_REQUESTS_SHARE = 2 / 3  # of ContactMs: for so long reported live requests count
LEAVE_SHARE = 0.25  # of GraceS: how long a node that ends waits for its place in the groups to be taken

# in pauses between pings
SETTLE_PINGS = 3  # after a start, until the silence of others says something
SWEEP_PINGS = 2  # from one look at silent replicas to the next
STORE_SIGHTING_PINGS = 0.5  # sightings of a store that come closer are not each reported to other nodes

MAINTENANCE_JITTER = (1.0, 1.6)  # of the pause between looks at the registers, so that nodes do not run in step
UNKNOWN_REGISTER_HURRY = 0.2  # of that pause, while some register is still unknown, as after a start
MISSED_HEARTBEATS = 2.5  # heartbeats that a replica may miss


class ControlNode:
    """Everything a control node does, put together.

    Attributes:
        id: The node's id; empty until start() has read or made it.
        incarnation: Identifies this life of the process.
        address: Where it takes calls of other nodes, IP:PORT.
        heartbeat_interval_s: The interval between pings of other control nodes.
        quiet_s: After this many seconds without an answer a node counts as unreachable.
        started: When the node started, or last stood still, on the steady clock.
        leaving: Whether it is about to end.
        cores: The other control nodes.
        stores: The stores that it or another control node has heard.
        live: Live requests by service, as reported by edges.
        configuration: Follows the configuration in force.
    """

    def __init__(  # noqa: PLR0913 - the simulation brings its own clock, network and disk
        self,
        settings: Settings,
        log: Any,  # noqa: ANN401 - loguru's logger, or a stand-in
        clock: Clock | None = None,
        network: Network | None = None,
        files: Any = None,  # noqa: ANN401 - wal's files
        disk_worker: Any = None,  # noqa: ANN401 - wal's worker
    ) -> None:
        self.settings, self.log = settings, log
        self.clock = clock or Clock()
        self.counters = Counters()
        self.task_group = TaskGroup(log, self.counters)
        self.state_board = StateBoard()
        network = network or TcpNetwork()
        self.connections = network.pool(self.counters)
        self.wal = WriteAheadLog(
            settings.data_dir or DEFAULT_DATA_DIR,
            LOG_NAME,
            log,
            files,
            clock=self.clock,
            counters=self.counters,
            worker=disk_worker,
            limit_bytes=settings.disk_mb * BYTES_PER_MB,
        )
        self.id = ""
        self.incarnation = f"{random.getrandbits(INCARNATION_BITS):012x}"
        self.address = f"{settings.ip_address}:{settings.internal_ports[0]}"
        self.heartbeat_interval_s = settings.seconds("ContactMs", PING_INTERVAL_SHARE)
        self.quiet_s = settings.seconds("ContactMs", UNREACHABLE_SHARE)
        self.started = self.clock.now()
        self.leaving = False
        self.registry = ReplicaRegistry()
        self.cores = PeerSet()
        self.stores = PeerSet(step_s=self.heartbeat_interval_s * STORE_SIGHTING_PINGS)
        self.live = LiveRequests(settings.seconds("ContactMs", LIVE_REQUESTS_SHARE))
        self.quorum = Quorum.from_settings(settings)
        self.agreed_time = AgreedTime()
        self.contact = MajorityContact(self.quiet_s)
        self.gate = ServingGate(self.quiet_s)
        self.registers = Registers(self)
        self.groups = GroupMaintainer(self, self.registers)
        self.peers = Peers(self)
        self.feed = ConfigFeed(self)
        self.store_membership = StoreMembershipController(self)
        self.configuration = ConfigurationFollower(log, self.counters)
        self.configuration_fallback = ConfigurationFallback(self)
        self.regions = RegionMonitor(self, PLAN)
        self.evacuations = EvacuationController(self, PLAN)
        self.admin_api = AdminApi(self)
        self.verbs = register_handlers(self)
        self.rpc_server = network.server(self.verbs, log, self.counters, lambda: self.id)
        self.http_server = HttpServer(
            self.admin_api.answer,
            log,
            self.counters,
            memory=ClientMemory.of(settings.memory_mb, settings.max_fds, self.counters),
            screen=self.admin_api.screen,
        )

    # -- start and end

    async def start(self) -> None:
        """Reads the log, founds or joins the group, and listens."""
        self.wal.snapshot = self.registers.snapshot
        self.registers.load(self.wal, self.wal.load())
        self.wal.start()
        if not self.id:
            await self._make_identity()
        self.registers.start()
        await self.rpc_server.open(self.address)
        await self.http_server.open(self.settings.bindings["ControlPlane"])
        self.peers.start()
        self.task_group.run_forever("sweep", self._sweep_loop)
        self.task_group.run_forever("maintenance", self._maintenance_loop)
        self.task_group.run_forever("rewrite", self._rewrite_loop)
        self.task_group.run_forever("configuration", self.configuration_fallback.run)
        self.task_group.run_forever("regions", self.regions.run)
        self.task_group.run_forever("evacuation", self.evacuations.run)
        is_founder = bool(self.registers.founders)
        self.log.info("control node {} is up: founder={} log_bytes={}", self.id, is_founder, self.wal.size)

    async def _make_identity(self) -> None:
        """Gives the node its id on a first start on an empty disk.

        The seeds found the group under ids that all of them know; any other node takes a random id and joins.
        """
        settings = self.settings
        seed_ips = [seed.rsplit(":", 1)[0] for seed in settings.seed_peers]
        if settings.is_bootstrap and settings.ip_address in seed_ips:
            self.id = f"f-{settings.ip_address}"
            self.registers.founders = {f"f-{ip}": f"{ip}:{settings.internal_ports[0]}" for ip in seed_ips}
        else:
            self.id = f"n-{random.getrandbits(NODE_ID_BITS):016x}"
        await self.wal.append(self.registers.identity())

    async def leave(self) -> None:
        """Ends in order: another node takes this one's work and, where a spare stands by, its place in the groups."""
        self.leaving = True
        self.http_server.is_draining = True
        self.state_board.notify(topics.FEED)  # whoever waits for the feed is sent on to another node
        self.peers.announce()
        end = self.clock.now() + self.settings.seconds("GraceS", LEAVE_SHARE)
        await asyncio.sleep(self.heartbeat_interval_s)
        while self.clock.now() < end and self.groups.is_needed_for_leaving():
            await asyncio.sleep(self.heartbeat_interval_s)
        await self.http_server.close(self.settings.seconds("GraceS", LEAVE_SHARE))
        await self.task_group.cancel_all()
        await self.rpc_server.close()
        self.connections.end()
        await self.wal.close()
        self.log.info("counters {}", self.counters.summary())

    # -- what is known

    @property
    def known(self) -> dict[str, dict]:
        """The newest state of each register that is known to be chosen."""
        return self.registers.known

    def card(self) -> NodeCard:
        """Returns what others keep of this node."""
        return {
            "id": self.id,
            "ip": self.settings.ip_address,
            "addr": self.address,
            "zone": self.settings.zone,
            "name": self.settings.node_name,
        }

    def alive(self, node_id: str) -> bool:
        """Returns whether a control node was heard lately."""
        return node_id == self.id or self.cores.silence_s(node_id, self.clock.now()) < self.quiet_s

    def available(self, node_id: str) -> bool:
        """Returns whether a control node is up and about to stay."""
        if node_id == self.id:
            return not self.leaving
        return self.alive(node_id) and node_id not in self.peers.leaving

    def is_disk_healthy(self) -> bool:
        """Returns whether this node's log takes records: the last write succeeded, and none has waited for long."""
        return self.wal.is_healthy and self.wal.oldest_write_age_s(self.clock.now()) < self.quiet_s

    def has_majority_contact(self) -> bool:
        """Returns whether a majority of the plan register's group answered this node within the bound."""
        group = self.registers.group(PLAN)
        return group is not None and self.contact.has_majority(self.id, group, self.clock.now())

    def check_serving(self) -> bool:
        """Moves the serving gate by what is known now.

        Returns:
            Whether this node may answer callers: in contact with a majority, and as new as what that majority holds.
        """
        return self.gate.update(self.has_majority_contact(), self.registers.behind(), self.clock.now())

    def condition(self) -> dict:
        """Returns what the doctor asks for."""
        now, group = self.clock.now(), self.registers.group(PLAN)
        voters = group["voters"] if group else {}
        silent_s = {
            replica_id: now - self.registry.last_heard[replica_id]
            for replica_id, entry in self.registry.replicas.items()
            if entry.get("silent") and entry["state"] != "gone" and not entry.get("superseded")
        }
        return {
            "id": self.id,
            "in_touch": self.has_majority_contact(),
            "serving": self.check_serving(),
            "voters": len(voters),
            "least_voters": self.groups.size.minimum,
            "up": sum(1 for voter in voters if voter == self.id or self.contact.has_contact(voter, now)),
            "damaged": self.wal.is_damaged,
            "stamps": self.registers.chosen_versions(),
            "silent": silent_s,
            "unreadable": self._unreadable_configuration(),
            "at_bound": self.http_server.kinds_at_their_bound(),
            "sources": build_info().sources,
        }

    def _unreadable_configuration(self) -> str:
        """Returns which configuration cannot be read and why; empty if the newest one can."""
        fallback = self.configuration_fallback
        fallback.update()
        if fallback.unreadable is None:
            return ""
        revision, why = fallback.unreadable.revision, fallback.unreadable.why
        return f"revision {revision} cannot be read, {fallback.readable_revision()} is in force: {why}"

    # -- calls to other control nodes

    async def call(
        self,
        address: str,
        verb: str,
        document: dict,
        timeout_s: float | None = None,
        to: str | None = None,
    ) -> Any:  # noqa: ANN401 - any JSON
        """Calls another node.

        Args:
            address: Where it takes calls.
            verb: The call.
            document: Its JSON object.
            timeout_s: How long to wait for the answer; quiet_s if left out.
            to: The id of the node that is meant; another one at the address refuses.

        Returns:
            The document of the answer; None if there is none, or a refusal.
        """
        try:
            code, answer, _ = await self.connections.to(address).call(
                verb, document, timeout_s=timeout_s or self.quiet_s, to=to or ""
            )
        except CallError:
            return None
        return answer if code == DONE else None

    async def ask(self, address: str, verb: str, document: dict) -> Any:  # noqa: ANN401 - any JSON
        """Puts a proposer's question to a voter, this node among them."""
        if address == self.address:
            return await self.verbs.table[verb](document, b"")
        return await self.call(address, verb, document)

    async def try_command(self, shard: str, name: str, args: dict) -> tuple[int, Any]:
        """Runs a command of a background task, which comes round again if no majority answers now.

        Returns:
            The code and the document; NO_MAJORITY if the outcome is unclear.
        """
        try:
            return await self.registers.run(shard, name, args)
        except CallRefusedError:
            self.counters.add("background_command.deferred")
            return NO_MAJORITY, None

    def owns(self, shard: str) -> bool:
        """Returns whether this node is the one to run a register's commands, as far as it knows."""
        return self.registers.owns(shard)

    # -- loops

    async def _sweep_loop(self) -> None:
        silent_after_s = self.settings.heartbeat_interval_ms / MS_PER_S * MISSED_HEARTBEATS
        while True:
            await asyncio.sleep(self.heartbeat_interval_s * SWEEP_PINGS)
            if self.registry.sweep(self.clock.now(), silent_after_s):
                self.state_board.notify(topics.FEED)

    async def _rewrite_loop(self) -> None:
        while True:
            await asyncio.sleep(self.quiet_s)
            await self.registers.rewrite_if_long()

    async def _maintenance_loop(self) -> None:
        version = 0
        while True:
            before = self.clock.now()
            # while a register is still unknown, as after a start, each moment counts
            hurry = 1.0 if len(self.known) == len(SHARDS) else UNKNOWN_REGISTER_HURRY
            pause_s = self.heartbeat_interval_s * random.uniform(*MAINTENANCE_JITTER) * hurry
            version = await self.state_board.wait_for_change(topics.MAINTENANCE, version, pause_s)
            if self.clock.now() - before > self.quiet_s:
                # this node stood still: what it heard before that says nothing about the others
                self.started = self.clock.now()
                self.counters.add("node.stood_still")
            self.peers.note_disk_health(self.id, self.is_disk_healthy())
            if self.has_majority_contact():
                await self._maintain()

    async def _maintain(self) -> None:
        """Looks at all registers and stores once."""
        can_judge_peers = self.clock.now() - self.started >= self.heartbeat_interval_s * SETTLE_PINGS
        for shard in SHARDS:
            if self.owns(shard) or self.groups.update_overdue(shard):
                await self.groups.maintain(shard, can_judge_peers)
        if can_judge_peers and self.check_serving():
            await self.store_membership.update()
