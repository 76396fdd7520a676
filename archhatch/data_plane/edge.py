"""An edge node: wires its parts, follows the configuration, and shows its readiness."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, cast

import orjson
from aiohttp.web_request import BaseRequest
from transitions import Machine

from ..http_server import ClientMemory, HttpLimits, HttpServer
from ..memory import MemoryPool, MemoryShares
from ..membership import ConfigWatcher, NodeCard
from ..routing import ConfigurationFollower, RoutingTable
from ..routing.configuration import ClientLimits
from ..rpc import CallError, ConnectionPool
from ..runtime import Clock, Counters, Result, Settings, StateBoard, TaskGroup, error_result
from ..runtime.build_info import build_info
from ..runtime.result_codes import JSON_HEADER
from ..upstream import LoadBalancer, UpstreamClient
from ..usage.counter import NAMESPACE as USAGE_DUTY
from ..usage.counter import UsageSender
from .admission import Admission
from .dispatcher import RequestDispatcher
from .forward import RequestForwarder
from .job_handlers import JobHandlers
from .lifecycle import READY, STARTING, STATES, TRANSITIONS
from .live_requests import LiveRequestTracker
from .relay import StreamRelay
from .shutdown_window import ShutdownWindow
from .store_proxies import StoreProxies

if TYPE_CHECKING:
    from loguru import Logger

NOT_FOUND_CODE = 2009
READINESS_PATH = "/api/readiness"

# Shares of ContactMs, the longest time for which nodes may be out of touch unnoticed.
REPLICA_REST_SHARE = 0.3  # how long a replica that failed rests at first, and a store is not asked
CONTACT_PROOF_SHARE = 0.25  # how old a control node's proof of contact may be
QUIET_SHARE = 1 / 3  # how long a service must be without requests before its next one is reported at once

# Shares of GraceS, within which the platform expects a node to end.
READINESS_SHARE = 0.32  # the platform asks for readiness each second and wants two misses
LAST_ANSWER_SHARE = 0.85  # when the last answers are sent; what follows takes a tenth

BUSY_SHARE = 0.5  # of a replica's slots in use, from which on an edge looks at further replicas
LIVE_REPORT_TARGETS = 2  # control nodes that are told of new live requests, one after the other
LIVE_REPORT_S = 0.3
PROCESS_ID_BITS = 48
MS_PER_S = 1000.0


class Edge:
    """Everything that an edge node does.

    Attributes:
        state: "starting", "ready" or "leaving" (`lifecycle`).
        http_server: Serves clients; there from start() on.
        readiness_server: Serves the platform's readiness checks.
        configuration: Follows the configuration in force.
        load_balancer: Knows the replicas.
        placement: Where the placement policy lets routes run.
        usage: Counts requests for the tenants' usage; None where no usage is reported.
        client_memory: What clients may make this process hold.
    """

    state: str
    configuration_arrived: Callable[[], bool]  # triggers of the state machine
    shutdown_ordered: Callable[[], bool]

    def __init__(
        self, settings: Settings, log: Logger, clock: Clock | None = None, sock: socket.socket | None = None
    ) -> None:
        """Makes the parts that need no event loop.

        Args:
            settings: The node's settings.
            log: Where it logs.
            clock: The steady clock.
            sock: A socket that listens for clients already; one is opened if it is left out.
        """
        self.settings, self.log, self._socket = settings, log, sock
        self.clock = clock or Clock()
        self.counters = Counters()
        self.task_group = TaskGroup(log, self.counters)
        self.state_board = StateBoard()
        self.connections = ConnectionPool(self.counters)
        self.configuration = ConfigurationFollower(log, self.counters)
        self._lifecycle = Machine(
            self, states=STATES, initial=STARTING, transitions=TRANSITIONS, auto_transitions=False
        )
        self.load_balancer = LoadBalancer(
            settings.zone, settings.node_name, rest_s=self._contact_s(REPLICA_REST_SHARE), busy_share=BUSY_SHARE
        )
        self.placement = self.load_balancer.placement
        self.live_requests = LiveRequestTracker(self.state_board, self.clock, self._contact_s(QUIET_SHARE))
        self.config_watcher = self._make_config_watcher()
        self.usage = self._make_usage_sender()
        self.client_memory = ClientMemory.of(settings.memory_mb, settings.max_fds, self.counters)
        self.readiness_server = self._make_readiness_server()

    def _contact_s(self, share: float) -> float:
        return self.settings.seconds("ContactMs", share)

    def _make_config_watcher(self) -> ConfigWatcher:
        settings = self.settings
        card: NodeCard = {
            "id": settings.node_name,
            "klass": "edge",
            "name": settings.node_name,
            "ip": settings.ip_address,
            "zone": settings.zone,
        }
        watcher = ConfigWatcher(settings, card, self.connections, self.state_board, self.clock, self.counters)
        watcher.live = self.live_requests
        watcher.successes = self.load_balancer
        return watcher

    def _make_usage_sender(self) -> UsageSender | None:
        platform = self.settings.platform_api
        if platform is None or USAGE_DUTY not in platform.duties:
            return None
        process_id = f"{random.getrandbits(PROCESS_ID_BITS):012x}"
        return UsageSender(self.settings, self.config_watcher, self.connections, self.clock, self.counters, process_id)

    async def start(self) -> None:
        """Makes the parts that need the event loop, and serves."""
        answer_bytes = MemoryShares.of(self.settings.memory_mb).large_answers
        answer_memory = MemoryPool("large_answers", answer_bytes, self.counters, self.clock.now)
        self.upstream_client = UpstreamClient(counters=self.counters, answer_memory=answer_memory)
        self.load_balancer.use_connections_of(self.upstream_client.has_idle_connection)
        self.request_forwarder = self._make_forwarder()
        self.dispatcher = self._make_dispatcher()
        self.http_server = self._make_http_server()
        await self.readiness_server.open(self.settings.bindings["Readiness"])
        await self.http_server.open(self.settings.bindings["FrontHttp"], self._socket)
        self.task_group.run_forever("config_watcher", self.config_watcher.run)
        self.task_group.run_forever("configuration", self._follow_configuration)
        self.task_group.run_forever("live_requests", self._report_live_requests)
        if self.usage is not None:
            self.task_group.run_forever("usage", self.usage.run)
        self.task_group.run_forever("replicas", self._follow_replicas)

    def _make_forwarder(self) -> RequestForwarder:
        proxies = StoreProxies(
            self.config_watcher,
            self.connections,
            self.settings.internal_ports[0] + 1,
            self.settings.zone,
            self._contact_s(REPLICA_REST_SHARE),
            self.counters,
        )
        return RequestForwarder(
            self.upstream_client,
            self.load_balancer,
            self.clock,
            self.counters,
            self.live_requests,
            proxies=proxies,
            usage=self.usage,
        )

    def _make_dispatcher(self) -> RequestDispatcher:
        admission = Admission(
            self.settings, self.config_watcher, self.clock, self.counters, self._contact_s(CONTACT_PROOF_SHARE)
        )
        job_handlers = JobHandlers(self.settings, self.config_watcher, self.connections, self.counters, self.clock)
        stream_relay = StreamRelay(
            self.upstream_client, self.load_balancer, self.clock, self.counters, self.live_requests, self.usage
        )
        return RequestDispatcher(
            settings=self.settings,
            state_board=self.state_board,
            clock=self.clock,
            counters=self.counters,
            admission=admission,
            job_handlers=job_handlers,
            request_forwarder=self.request_forwarder,
            stream_relay=stream_relay,
        )

    def _make_http_server(self) -> HttpServer:
        return HttpServer(
            self.dispatcher.dispatch,
            self.log,
            self.counters,
            cancel_on_disconnect=True,
            memory=self.client_memory,
            screen=self.dispatcher.screen,
        )

    def _make_readiness_server(self) -> HttpServer:
        """Makes the server of an address that nobody needs to send a body to."""
        return HttpServer(
            self._answer_readiness,
            self.log,
            self.counters,
            HttpLimits(max_body_bytes=0),
            memory=ClientMemory.of_probes(self.counters),
        )

    @property
    def plan(self) -> RoutingTable | None:
        """The configuration in force; None before the first one came."""
        return self.dispatcher.routing_table

    async def leave(self) -> None:
        """Ends the node within GraceS: shows that it is not ready, serves what it has the time for, and closes."""
        self.shutdown_ordered()
        self.log.info("edge: shutting down, in_flight={}", self.http_server.in_flight)
        self.http_server.is_draining = self.readiness_server.is_draining = True
        now = self.clock.now()
        window = ShutdownWindow(
            certain_from=now + self.settings.seconds("GraceS", READINESS_SHARE),
            ends_at=now + self.settings.seconds("GraceS", LAST_ANSWER_SHARE),
        )
        self.dispatcher.shutdown_window = window
        await asyncio.sleep(window.certain_from - now)
        await self.http_server.close(window.ends_at - self.clock.now())
        await self.readiness_server.close(0.0)
        if self.usage is not None:
            await self.usage.send()
        await self.task_group.cancel_all()
        await self.upstream_client.close()
        self.connections.end()
        self.log.info("counters {}", self.counters.summary())

    async def _follow_configuration(self) -> None:
        """Puts each newer configuration and placement policy in force."""
        turn = 0
        while True:
            shard = self.config_watcher.shards.get("plan")
            if self.placement.update(shard):
                self.log.info("edge: placement policy applied, policy={}", self.placement)
            if self.configuration.update(shard or {}):
                self._apply_configuration(cast(RoutingTable, self.configuration.table))
            turn = await self.state_board.wait_for_change("parts", turn)

    def _apply_configuration(self, table: RoutingTable) -> None:
        self.dispatcher.routing_table = self.config_watcher.plan = table
        self.http_server.limits = http_limits(table.limits)
        self.log.info("edge: configuration applied, revision={}", table.revision)
        self.configuration_arrived()

    async def _report_live_requests(self) -> None:
        """Reports a service's first live request after a pause at once, not with the next question to a control node.

        The stores give slots back to live requests, and must know of them in time.
        """
        turn = 0
        while True:
            turn = await self.state_board.wait_for_change("live", turn)
            in_flight = {service: count for service, count in self.live_requests.in_flight.items() if count}
            if not set(in_flight) <= set(self.config_watcher.live_totals):
                await self._report_in_flight(in_flight)

    async def _report_in_flight(self, in_flight: dict[str, int]) -> None:
        for address in self.config_watcher.source_addresses()[:LIVE_REPORT_TARGETS]:
            try:
                await self.config_watcher.call(
                    address, "live", {"id": self.settings.node_name, "live": in_flight}, LIVE_REPORT_S
                )
            except CallError:
                self.counters.add("live.unreported")
            else:
                return

    async def _follow_replicas(self) -> None:
        """Hands changes of the replica registry to the load balancer."""
        turn = 0
        while True:
            self.load_balancer.apply_updates(self.config_watcher.take_changed_replicas())
            turn = await self.state_board.wait_for_change("roll", turn)

    async def _answer_readiness(self, request: BaseRequest, _body: bytes) -> Result:
        if request.raw_path.split("?")[0] != READINESS_PATH:
            return error_result(NOT_FOUND_CODE)
        return Result(200 if self.state == READY else 503, orjson.dumps(self._condition()), [JSON_HEADER])

    def _condition(self) -> dict[str, object]:
        """Returns what a readiness answer says beside its status."""
        table, unreadable = self.configuration.table, self.configuration.unreadable
        condition: dict[str, object] = {
            "OperState": self.state,
            "Revision": table.revision if table else 0,
            "Version": build_info().version,
            "Sources": build_info().sources,
            "HeldBytes": self.http_server.held_bytes(),
            "AtBound": self.http_server.kinds_at_their_bound(),
        }
        if unreadable is not None:
            condition["UnreadableRevision"] = unreadable.revision
            condition["Why"] = unreadable.why
        return condition


def http_limits(limits: ClientLimits) -> HttpLimits:
    """Returns the limits of a configuration as the HTTP server takes them; what it leaves out has the defaults."""
    defaults = HttpLimits()
    header_ms, idle_ms = limits.header_timeout_ms, limits.idle_timeout_ms
    return HttpLimits(
        max_header_bytes=defaults.max_header_bytes if limits.max_header_bytes is None else limits.max_header_bytes,
        max_body_bytes=defaults.max_body_bytes if limits.max_body_bytes is None else limits.max_body_bytes,
        header_timeout_s=defaults.header_timeout_s if header_ms is None else header_ms / MS_PER_S,
        idle_timeout_s=defaults.idle_timeout_s if idle_ms is None else idle_ms / MS_PER_S,
    )
