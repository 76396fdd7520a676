"""What edges do: picking replicas, and requests and streams on their way through the real window."""

from __future__ import annotations

import time

from ..needs import need
from ..probe import probe
from .made import Quiet, beat_body, settings, entry, plan
from .peers import Peers


def load_balancer(n: int, service: str | None = None):
    """A picker that knows n replicas, of one service if it is named."""
    one = need("upstream", "LoadBalancer", "apply_updates", "select_replica")("zone-00", "edge-00", busy_share=0.5)
    one.apply_updates([{**entry(i), "service": service or entry(i)["service"]} for i in range(n)])
    return one


@probe("picker.new", "cpu", "fold one replica that is new among those known", "replicas known", (500, 1000, 2000))
async def _new(n):
    one = load_balancer(n)
    fresh = [entry(n + i) for i in range(100)]
    yield (lambda: one.apply_updates(fresh)), 100


@probe("picker.again", "cpu", "fold changed entries of known replicas", "entries", (500, 1000, 2000))
async def _again(n):
    one = load_balancer(n)
    same = [entry(i, 2) for i in range(n)]
    yield (lambda: one.apply_updates(same)), 1


@probe("picker.pick", "cpu", "pick a replica among those of its service", "replicas of the service", (50, 200, 800))
async def _pick(n):
    one = load_balancer(n, "s")

    def function():
        for _ in range(20):
            one.select_replica("s", set(), 1.0)

    yield function, 20


@probe("picker.memory", "memory", "a picker", "replicas", (500, 1500))
async def _memory(n):
    yield (lambda: load_balancer(n)), 1


class Through:
    """An edge's window with the ways of a request behind it, and peers on both sides."""

    async def open(self):
        made_by = ("_make_dispatcher", "_make_http_server")
        self.edge = one = need("data_plane.edge", "Edge", *made_by)(settings(), Quiet())
        self.peers = Peers()
        port = self.peers.start()
        one.upstream_client = need("upstream", "UpstreamClient", "request")()
        args = (one.upstream_client, one.load_balancer, one.clock, one.counters, one.live_requests)
        one.request_forwarder = need("data_plane.forward", "RequestForwarder", "forward")(*args)
        need("data_plane.relay", "StreamRelay", "relay")
        one.dispatcher = one._make_dispatcher()
        one.dispatcher.routing_table = need("routing", "RoutingTable", "from_document").from_document(plan(4))
        one.http_server = one._make_http_server()
        one.load_balancer.apply_updates([{**entry(i), "addr": f"127.0.0.1:{port}", "id": f"i-{i}"} for i in (0, 2)][:1])
        one.load_balancer.apply_updates([{**entry(2), "addr": f"localhost:{port}", "id": "i-1"}])
        await one.http_server.open("127.0.0.1:0")
        return self

    async def go(self, count: int, stream: bool) -> float:
        """The seconds of this thread's processor time that it took."""
        began = time.thread_time()
        await self.peers.go(self.edge.http_server.port(), count, stream)
        return time.thread_time() - began

    async def close(self):
        await self.edge.http_server.close(0)
        await self.edge.upstream_client.close()
        self.peers.end()


async def _through(n: int, stream: bool):
    one = await Through().open()
    await one.go(20, stream)
    yield (lambda: one.go(n, stream)), 1
    await one.close()


@probe("edge.request", "thread", "requests with one answer of 600 bytes through an edge", "requests", (100, 200, 400))
async def _request(n):
    async for got in _through(n, False):
        yield got


@probe("edge.event", "thread", "events of one stream, each come alone, through an edge", "events", (300, 600, 1200))
async def _event(n):
    async for got in _through(n, True):
        yield got


class BeatPeer:
    """Sends beats over one connection from a thread of its own."""

    def __init__(self, port: int, count: int):
        self.port, self.count = port, count

    def __call__(self):
        import socket

        with socket.create_connection(("127.0.0.1", self.port), 5) as sock:
            for i in range(self.count):
                body = beat_body(i, int(time.monotonic_ns()))
                sock.sendall(
                    b"PUT /api/instances/%s HTTP/1.1\r\nHost: c\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%s" % (entry(i)["id"].encode(), len(body), body)
                )
                got = b""
                while b"\r\n\r\n" not in got:
                    got += sock.recv(65536)
                if not got.startswith(b"HTTP/1.1 200"):
                    raise ValueError(f"a beat is answered {got[:40]!r}")


@probe("beat.http", "thread", "beats over HTTP at a control node", "beats", (200, 400, 800))
async def _beats(n):
    import asyncio

    from .control import core

    one = core(n)
    need("control.admin_api", "AdminApi", "answer")
    await one.http_server.open("127.0.0.1:0")

    async def function():
        began = time.thread_time()
        await asyncio.to_thread(BeatPeer(one.http_server.port(), n))
        return time.thread_time() - began

    yield function, 1
    await one.http_server.close(0)
