"""A rig for evacuations over loopback: two regions with whole programs, clients of each kind, a trainer, the tenant's
address, and a checker that knows only what clients, replicas and the tenant saw."""

import asyncio
import collections
import dataclasses
import time
from dataclasses import dataclass, field

import aiohttp
import orjson
from aiohttp import web
from tests.support.standins import LOG, plan
from tests.region_policy.test_regions_system import ZONES, Day

from archhatch.evacuation.notices import ID_HEADER, SIGNATURE_HEADER, sign
from archhatch.rpc import CallError
from archhatch.store.node import StoreNode

KEY = b"0123456789abcdef"
POLICY = """version = 1

[[rule]]
name = "live"
routes = ["q", "n", "s"]
regions = ["attica", "thessaly"]
tenant = "yards"

[[rule]]
name = "rollouts"
class = "rollout"
regions = ["attica", "thessaly"]
tenant = "yards"
"""
STORE_ZONES = ["z1", "z1", "z2", "z2"]
PLAN = {"Id": "e1", "Tenant": "yards", "Origin": "attica", "Target": "thessaly", "Reason": "maintenance"}


@dataclass
class Notice:
    """One call at the tenant's address."""

    at: float
    name: str
    signature: str
    body: bytes

    @property
    def document(self):
        return orjson.loads(self.body)


class TenantAddress:
    """Where the tenant is notified. mood: well, refusing (status 500) or silent (it never answers)."""

    def __init__(self, ip):
        self.ip, self.mood, self.notices, self.acknowledged = ip, "well", [], []
        self.open = asyncio.Event()

    async def start(self):
        self.server = web.Server(self.serve, access_log=None)
        self.site = await asyncio.get_running_loop().create_server(self.server, self.ip, 0)
        self.url = f"http://{self.ip}:{self.site.sockets[0].getsockname()[1]}/notice"
        return self

    async def serve(self, request):
        body = await request.read()
        notice = Notice(time.monotonic(), request.headers[ID_HEADER], request.headers[SIGNATURE_HEADER], body)
        self.notices.append(notice)
        if self.mood == "silent":
            await self.open.wait()
        if self.mood == "refusing":
            return web.Response(status=500)
        self.acknowledged.append(notice)
        return web.Response(status=204)

    async def stop(self):
        self.open.set()
        self.site.close()
        await self.server.shutdown(0.01)


class EvacuationDay(Day):
    """Two edges, stores and replicas in two regions, and replicas in a third where the tenant may not run.

    A move that is under way does not end before a test waits for its end: its middle would else be over, on a busy
    machine, before the test has looked.
    """

    moves_may_end = False
    deadline_ms = 20_000  # a request is held in its middle for as long as the machine takes to move its tenant

    async def add_core(self, i, first=True):
        await super().add_core(i, first)
        readiness = self.cores[i].evacuations.readiness
        is_drained = readiness.is_drained
        readiness.is_drained = lambda *args: self.moves_may_end and is_drained(*args)

    async def add_store(self, i, first=True):
        settings = dataclasses.replace(self.node_settings("store", f"{self.net}.2.{i}", first), zone=STORE_ZONES[i - 1])
        self.stores[i] = StoreNode(settings, LOG)
        await self.stores[i].start()

    async def begin(self):
        self.tenant = await TenantAddress("127.0.0.1").start()
        await super().begin()
        assert await self.put_plan(plan(rev=2), 1) == 200
        assert (await self.put_policy(POLICY, 0))[0] == 200
        for node in self.nodes():
            await self.until(
                node.state_board, "parts", lambda n=node: n.plan.revision == 2 and n.placement.policy is not None
            )
        for store in self.stores.values():
            await self.until(store.state_board, "parts", lambda s=store: len(s.members()) == len(STORE_ZONES))
        return self

    async def finish(self):
        await super().finish()
        await self.tenant.stop()

    # -- the operator

    async def evacuate(self, order="", doc=None, method="POST"):
        return await self.call(method, f"/api/evacuations{order}", doc)

    async def planned(self, **change):
        return await self.evacuate(doc={**PLAN, "NoticeUrl": self.tenant.url, **change})

    async def record(self, name="e1"):
        return (await self.evacuate(f"/{name}", method="GET"))[1]

    async def reach(self, *states, name="e1", placed=None):
        """Wait until an evacuation is in one of these states."""
        self.moves_may_end = bool({"moved", "returned", "cancelled", "failed"} & set(states))
        while True:
            got = await self.record(name)
            if got["OperState"] in states and placed in (None, got["Placed"]):
                return got
            assert got["OperState"] != "failed", got  # it never gets where it is waited for
            await self.edge.state_board.wait_for_change("nothing", 0, 0.05)

    async def all_place(self, region):
        """All edges and stores send the tenant's requests to a region."""
        for node in self.nodes():
            await self.until(
                node.state_board,
                "parts",
                lambda n=node: all(
                    n.placement.order(route)[0] == region for route in n.plan.routes() if route.name in "qnsl"
                ),
            )

    async def kill_holder(self):
        """Kill the control node that holds the lease, and start it again with its disk."""
        index = next(i for i, c in self.cores.items() if c.evacuations.term is not None and c.owns("plan"))
        await self.kill(self.cores.pop(index))
        await self.add_core(index, first=False)


@dataclass
class Seen:
    """What the outside saw: nothing here comes from the nodes themselves."""

    tries: dict  # request -> how often its client tried
    unclear: list  # (request, status): requests without a clear answer
    runs: list = field(default_factory=list)  # (request, kind, region) in the order of each replica
    notices: list = field(default_factory=list)  # (name, when), acknowledged ones
    moved_at: float = float("inf")  # when a replica of the target first ran a request of the tenant

    def faults(self, must_be_notified=True) -> list:
        """Broken promises, in words; nothing if there are none."""
        out = []
        ran = collections.Counter(request for request, kind, _ in self.runs if kind == "n")
        unclear = {request for request, _ in self.unclear}
        for request in self.tries:
            if request.split(".")[1] != "n":
                continue
            if ran[request] > 1:
                out.append(f"{request} ran {ran[request]} times")
            if not ran[request] and request not in unclear:
                out.append(f"{request} was answered and never ran")
        out += [f"{request} had no clear answer: {status}" for request, status in self.unclear]
        notified_at = min((at for name, at in self.notices if name.endswith(".move")), default=float("inf"))
        if must_be_notified and self.moved_at < notified_at:
            out.append("requests ran in the target before the tenant was notified")
        out += [f"{request} ran in crete" for request, _, region in self.runs if region == "crete"]
        return out


def seen_of(day) -> Seen:
    """What clients, replicas and the tenant of a day saw."""
    seen = Seen(day.tries, day.odd)
    for replica in day.replicas:
        for _, path, _, rid, _ in replica.seen:
            name = rid if rid.startswith("c-") else rid.rsplit(".", 1)[0]
            seen.runs.append((name, path.split("/")[1], ZONES[replica.zone]))
        if ZONES[replica.zone] == "thessaly":
            seen.moved_at = min([seen.moved_at, *getattr(replica, "times", ())])
    seen.notices = [(notice.name, notice.at) for notice in day.tenant.acknowledged]
    return seen


def sound(notice) -> bool:
    """Whether a notice bears the signature of its body."""
    return notice.signature == sign(KEY, notice.body)


class Parting:
    """Cuts the nodes and replicas of one region off from all others, and joins them again."""

    def __init__(self, day, zone):
        self.day, self.zone = day, zone
        self.cut = False
        replicas = {replica.address: replica.zone for replica in day.replicas}
        self.zones = {
            **replicas,
            **{node.settings.ip_address: node.settings.zone for node in [*day.nodes(), *day.cores.values()]},
        }
        for node in day.nodes():
            self._watch(node)

    def _parted(self, node, address) -> bool:
        zone = self.zones.get(address) or self.zones.get(address.rsplit(":", 1)[0])
        return self.cut and (node.settings.zone == self.zone) != (zone == self.zone)

    def _watch(self, node) -> None:
        to, ask = node.connections.to, node.upstream_client.request

        def guarded_to(address):
            if self._parted(node, address):
                return _NoWay()
            return to(address)

        def guarded_ask(address, *args, **kwargs):
            if self._parted(node, address):
                raise aiohttp.ConnectionTimeoutError("parted")
            return ask(address, *args, **kwargs)

        node.connections.to, node.upstream_client.request = guarded_to, guarded_ask

    def begin(self) -> None:
        """Part them: nodes there are not heard any more, and neither are replicas."""
        self.cut = True
        self.away = {replica for replica in self.day.up if replica.zone == self.zone}
        self.day.up -= self.away

    def end(self) -> None:
        """Join them."""
        self.cut = False
        self.day.up |= self.away


class _NoWay:
    """In place of a connection over the cut."""

    async def call(self, *args, **kwargs):
        raise CallError("parted", sent=False)
