"""An edge node: its readiness, its news, and the way of a request through it."""

from __future__ import annotations

import asyncio
import random

from transitions import Machine

from ..http_server import HttpServer
from ..routing import RoutingTable
from ..membership import ConfigWatcher
from ..runtime import StateBoard, Clock, Counters, TaskGroup, Result, error_result
from ..upstream import UpstreamClient, LoadBalancer
from ..rpc import CallError, ConnectionPool
from ..upstream.headers import with_tenant
from ..usage.counter import NAMESPACE as USAGE_DUTY
from ..usage.counter import UsageSender
from .admission import Admission, Admitted
from .forward import Forward
from .live_requests import Live
from .job_handlers import JobHandlers
from .store_proxies import StoreProxies
from .relay import Relay

MOVES = [
    {"trigger": "learned", "source": "starting", "dest": "ready"},
    {"trigger": "learned", "source": "ready", "dest": "ready"},
    {"trigger": "learned", "source": "leaving", "dest": "leaving"},
    {"trigger": "told_to_go", "source": "*", "dest": "leaving"},
]


class Edge:
    """Everything an edge node does.

    >>> # edge = Edge(settings, log); await edge.start(); await edge.leave()
    """

    def __init__(self, settings, log, clock=None, sock=None):
        self.settings, self.log, self.sock = settings, log, sock
        self.clock = clock or Clock()
        self.counters = Counters()
        self.task_group = TaskGroup(log, self.counters)
        self.state_board = StateBoard()
        self.connections = ConnectionPool(self.counters)
        self.plan: RoutingTable | None = None
        self.limits: dict = {}
        card = {
            "id": settings.node_name,
            "klass": "edge",
            "name": settings.node_name,
            "ip": settings.ip_address,
            "zone": settings.zone,
        }
        self.config_watcher = ConfigWatcher(
            settings, card, self.connections, self.state_board, self.clock, self.counters
        )
        self.live = self.config_watcher.live = Live(self.state_board, self.clock, settings.seconds("ContactMs", 1 / 3))
        self.load_balancer = LoadBalancer(
            settings.zone, settings.node_name, rest_s=settings.seconds("ContactMs", 0.3), widen=0.5
        )
        self.placement, self.config_watcher.successes_by_zone = self.load_balancer.placement, self.load_balancer.proved
        self.admission = Admission(
            settings, self.config_watcher, self.clock, self.counters, settings.seconds("ContactMs", 0.25)
        )
        self.usage = None
        if settings.platform_api is not None and USAGE_DUTY in settings.platform_api.duties:
            process = f"{random.getrandbits(48):012x}"
            self.usage = UsageSender(
                settings, self.config_watcher, self.connections, self.clock, self.counters, process
            )
        self.incarnation = Machine(
            self, states=["starting", "ready", "leaving"], initial="starting", transitions=MOVES, auto_transitions=False
        )
        self.window = HttpServer(self._front, log, self.counters, self.limits, cancel_on_disconnect=True)
        self.door = HttpServer(self._readiness, log, self.counters)

    async def start(self) -> None:
        self.upstream_client = UpstreamClient(counters=self.counters)
        self.load_balancer.idle = self.upstream_client.idle
        store_port, rest_s = self.settings.internal_ports[0] + 1, self.settings.seconds("ContactMs", 0.3)
        proxies = StoreProxies(
            self.config_watcher, self.connections, store_port, self.settings.zone, rest_s, self.counters
        )
        self.forward = Forward(
            self.upstream_client, self.load_balancer, self.clock, self.counters, self.live, proxies, self.usage
        )
        self.relay = Relay(self.upstream_client, self.load_balancer, self.clock, self.counters, self.live, self.usage)
        self.batch_jobs = JobHandlers(self.settings, self.config_watcher, self.connections, self.counters, self.clock)
        await self.door.open(self.settings.bindings["Readiness"])
        await self.window.open(self.settings.bindings["FrontHttp"], self.sock)
        self.task_group.run_forever("news", self.config_watcher.run)
        self.task_group.run_forever("parts", self._parts_loop)
        self.task_group.run_forever("live", self._live_loop)
        if self.usage is not None:
            self.task_group.run_forever("usage", self.usage.run)
        self.task_group.run_forever("roll", self._roll_loop)

    async def leave(self) -> None:
        """Off the list at once; what comes meanwhile is served; then the end, before GraceS."""
        self.told_to_go()
        self.log.info("leaving; under way {}", self.window.under_way)
        self.window.leaving = True
        # the platform asks for readiness each second and wants two misses
        await asyncio.sleep(self.settings.seconds("GraceS", 0.32))
        await self.window.close(self.settings.seconds("GraceS", 0.5))
        await self.door.close(0.0)
        if self.usage is not None:
            await self.usage.send()
        await self.task_group.cancel_all()
        await self.upstream_client.close()
        self.connections.end()
        self.log.info("counters {}", self.counters.summary())

    async def _parts_loop(self) -> None:
        turn = 0
        while True:
            if self.placement.update(self.config_watcher.shards.get("plan")):
                self.log.info("placement policy: {}", self.placement)
            doc = (self.config_watcher.shards.get("plan") or {}).get("plan")
            if doc is not None and (self.plan is None or doc["Revision"] > self.plan.stamp):
                self.plan = self.config_watcher.plan = RoutingTable(doc)
                self.limits.update(self.plan.limits)
                self.log.info("configuration {} is in force", self.plan.stamp)
                self.learned()
            turn = await self.state_board.wait_for_change("parts", turn)

    async def _live_loop(self) -> None:
        """The first live request after a lull is told at once, not with the next question for news."""
        turn = 0
        while True:
            turn = await self.state_board.wait_for_change("live", turn)
            busy = {s: n for s, n in self.live.now.items() if n}
            if set(busy) <= set(self.config_watcher.live_totals):
                continue  # all know already
            for address in self.config_watcher.source_addresses()[:2]:
                try:
                    await self.config_watcher.call(address, "live", {"id": self.settings.node_name, "live": busy}, 0.3)
                    break
                except CallError:
                    self.counters.add("live.untold")

    async def _roll_loop(self) -> None:
        turn = 0
        while True:
            self.load_balancer.fold(self.config_watcher.take_changed_replicas())
            turn = await self.state_board.wait_for_change("roll", turn)

    async def _readiness(self, request, body):
        if request.raw_path.split("?")[0] != "/api/readiness":
            return error_result(2009)
        return Result(200 if self.state == "ready" else 503)

    async def _front(self, request, body):
        if self.plan is None:  # just started: the configuration is a moment away
            await self.state_board.wait_for_change(
                "parts", self.state_board.version("parts"), self.settings.seconds("ContactMs", 0.1)
            )
            await asyncio.sleep(0)
        plan = self.plan
        if plan is None:
            self.counters.add("front.no_plan")
            return error_result(3001, after_s=self.settings.seconds("ContactMs", 0.05))
        target = request.raw_path
        path = target.split("?", 1)[0]
        if path.startswith(("/api/lots/", "/api/items/")):
            admitted = self.admission.check(plan, request.headers, plan.open_to_lots(request.headers.get("Host", "")))
            return await self.batch_jobs.read(request, path, target) if isinstance(admitted, Admitted) else admitted
        route = plan.route(request.headers.get("Host", ""), path)
        if route is None:
            self.counters.add("front.no_lane")
            return error_result(2006)
        self.counters.add("front." + route.kind)
        admitted = self.admission.check(plan, request.headers, route.no_auth)
        if not isinstance(admitted, Admitted):
            return admitted
        heads = list(request.headers.items())
        if plan.has_tenants:
            heads = with_tenant(heads, admitted.tenant)
        if route.kind in ("rollout", "batch"):
            if request.method != "POST":
                return error_result(2010)
            return await self.batch_jobs.hand_in(request, route, body, admitted.tenant)
        if route.kind == "streaming":
            return await self.relay.run(request, route, heads, body, admitted.tenant)
        return await self.forward.run(request, route, heads, body, admitted.tenant)
