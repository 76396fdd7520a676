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

    >>> # edge = Edge(boot, log); await edge.start(); await edge.leave()
    """

    def __init__(self, boot, log, clock=None, sock=None):
        self.boot, self.log, self.sock = boot, log, sock
        self.clock = clock or Clock()
        self.ctr = Counters()
        self.crew = TaskGroup(log, self.ctr)
        self.board = StateBoard()
        self.lines = ConnectionPool(self.ctr)
        self.plan: RoutingTable | None = None
        self.limits: dict = {}
        card = {"id": boot.node, "klass": "edge", "name": boot.node, "ip": boot.ip, "zone": boot.zone}
        self.news = ConfigWatcher(boot, card, self.lines, self.board, self.clock, self.ctr)
        self.live = self.news.live = Live(self.board, self.clock, boot.secs("ContactMs", 1 / 3))
        self.picker = LoadBalancer(boot.zone, boot.node, rest_s=boot.secs("ContactMs", 0.3), widen=0.5)
        self.placement, self.news.proved = self.picker.placement, self.picker.proved
        self.admission = Admission(boot, self.news, self.clock, self.ctr, boot.secs("ContactMs", 0.25))
        self.usage = None
        if boot.cloud is not None and USAGE_DUTY in boot.cloud.duties:
            process = f"{random.getrandbits(48):012x}"
            self.usage = UsageSender(boot, self.news, self.lines, self.clock, self.ctr, process)
        self.life = Machine(
            self, states=["starting", "ready", "leaving"], initial="starting", transitions=MOVES, auto_transitions=False
        )
        self.window = HttpServer(self._front, log, self.ctr, self.limits, cancel_on_disconnect=True)
        self.door = HttpServer(self._readiness, log, self.ctr)

    async def start(self) -> None:
        self.caller = UpstreamClient(counters=self.ctr)
        self.picker.idle = self.caller.idle
        store_port, rest_s = self.boot.ports[0] + 1, self.boot.secs("ContactMs", 0.3)
        proxies = StoreProxies(self.news, self.lines, store_port, self.boot.zone, rest_s, self.ctr)
        self.forward = Forward(self.caller, self.picker, self.clock, self.ctr, self.live, proxies, self.usage)
        self.relay = Relay(self.caller, self.picker, self.clock, self.ctr, self.live, self.usage)
        self.lots = JobHandlers(self.boot, self.news, self.lines, self.ctr, self.clock)
        await self.door.open(self.boot.listen["Readiness"])
        await self.window.open(self.boot.listen["FrontHttp"], self.sock)
        self.crew.keep("news", self.news.run)
        self.crew.keep("parts", self._parts_loop)
        self.crew.keep("live", self._live_loop)
        if self.usage is not None:
            self.crew.keep("usage", self.usage.run)
        self.crew.keep("roll", self._roll_loop)

    async def leave(self) -> None:
        """Off the list at once; what comes meanwhile is served; then the end, before GraceS."""
        self.told_to_go()
        self.log.info("leaving; under way {}", self.window.under_way)
        self.window.leaving = True
        # the platform asks for readiness each second and wants two misses
        await asyncio.sleep(self.boot.secs("GraceS", 0.32))
        await self.window.close(self.boot.secs("GraceS", 0.5))
        await self.door.close(0.0)
        if self.usage is not None:
            await self.usage.tell()
        await self.crew.end()
        await self.caller.close()
        self.lines.end()
        self.log.info("counters {}", self.ctr.line())

    async def _parts_loop(self) -> None:
        turn = 0
        while True:
            if self.placement.fold(self.news.parts.get("plan")):
                self.log.info("placement policy: {}", self.placement)
            doc = (self.news.parts.get("plan") or {}).get("plan")
            if doc is not None and (self.plan is None or doc["Revision"] > self.plan.stamp):
                self.plan = self.news.plan = RoutingTable(doc)
                self.limits.update(self.plan.limits)
                self.log.info("configuration {} is in force", self.plan.stamp)
                self.learned()
            turn = await self.board.news("parts", turn)

    async def _live_loop(self) -> None:
        """The first live request after a lull is told at once, not with the next question for news."""
        turn = 0
        while True:
            turn = await self.board.news("live", turn)
            busy = {s: n for s, n in self.live.now.items() if n}
            if set(busy) <= set(self.news.busy):
                continue  # all know already
            for addr in self.news.candidates()[:2]:
                try:
                    await self.news.call(addr, "live", {"id": self.boot.node, "live": busy}, 0.3)
                    break
                except CallError:
                    self.ctr.add("live.untold")

    async def _roll_loop(self) -> None:
        turn = 0
        while True:
            self.picker.fold(self.news.take_roll())
            turn = await self.board.news("roll", turn)

    async def _readiness(self, req, body):
        if req.raw_path.split("?")[0] != "/api/readiness":
            return error_result(2009)
        return Result(200 if self.state == "ready" else 503)

    async def _front(self, req, body):
        if self.plan is None:  # just started: the configuration is a moment away
            await self.board.news("parts", self.board.turn("parts"), self.boot.secs("ContactMs", 0.1))
            await asyncio.sleep(0)
        plan = self.plan
        if plan is None:
            self.ctr.add("front.no_plan")
            return error_result(3001, after_s=self.boot.secs("ContactMs", 0.05))
        target = req.raw_path
        path = target.split("?", 1)[0]
        if path.startswith(("/api/lots/", "/api/items/")):
            admitted = self.admission.check(plan, req.headers, plan.open_to_lots(req.headers.get("Host", "")))
            return await self.lots.read(req, path, target) if isinstance(admitted, Admitted) else admitted
        lane = plan.lane(req.headers.get("Host", ""), path)
        if lane is None:
            self.ctr.add("front.no_lane")
            return error_result(2006)
        self.ctr.add("front." + lane.kind)
        admitted = self.admission.check(plan, req.headers, lane.no_auth)
        if not isinstance(admitted, Admitted):
            return admitted
        heads = list(req.headers.items())
        if plan.has_tenants:
            heads = with_tenant(heads, admitted.tenant)
        if lane.kind in ("rollout", "batch"):
            if req.method != "POST":
                return error_result(2010)
            return await self.lots.hand_in(req, lane, body, admitted.tenant)
        if lane.kind == "streaming":
            return await self.relay.run(req, lane, heads, body, admitted.tenant)
        return await self.forward.run(req, lane, heads, body, admitted.tenant)
