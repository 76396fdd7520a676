"""What may run only once is sent twice only on proof that it did not run, whatever becomes of its connection."""

import asyncio
import socket

import aiohttp
import pytest
from aiohttp import web
from tests.support.fakes import HandClock

from archhatch.routing import RoutingTable
from archhatch.runtime import StateBoard, Clock, Counters, Result
from archhatch.upstream import UpstreamClient, LoadBalancer, Execution, Delivery
from archhatch.data_plane.forward import RequestForwarder
from archhatch.data_plane.live_requests import LiveRequestTracker
from archhatch.data_plane.relay import StreamRelay

EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"


def head(status, *fields, body=b"", echo=b"r"):
    """The bytes of an answer; echo None: without an id."""
    rows = [b"HTTP/1.1 %d X" % status, *fields]
    if echo is not None:
        rows.append(b"X-Archhatch-Request-Id: " + echo)
    return b"\r\n".join(rows) + b"\r\n\r\n" + body


SEAL, NOT_RUN, END = b"X-Archhatch-Reply-Seal: s", b"X-Archhatch-Not-Executed: 1", b"Content-Length: 0"
GOOD = head(200, SEAL, b"Content-Length: %d" % len(EVENTS), body=EVENTS)
AWAY = head(503, NOT_RUN, END)
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
RESET, CLOSE, STAY = "reset", "close", "stay"


class Bare:
    """A replica that is a bare socket: answers all with the same bytes, then does as told to its connection."""

    def __init__(self, raw=GOOD, then=STAY, early=False):
        self.raw, self.then, self.early, self.ran, self.heads = raw, then, early, 0, []

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.listener.sockets[0].getsockname()[1]}"
        return self

    async def serve(self, reader, writer):
        try:
            while self.raw is not None:
                got = await reader.readuntil(b"\r\n\r\n")
                self.heads.append(got.decode().lower())
                size = int(self.heads[-1].split("content-length: ")[1].split("\r")[0])
                if not self.early:
                    await reader.readexactly(size)
                self.ran += 1
                writer.write(self.raw)
                if self.then != STAY:
                    break
            if self.then == CLOSE:
                writer.close()
            elif self.then == RESET:
                writer.transport.abort()
        except (asyncio.IncompleteReadError, OSError):
            writer.close()


class Front:
    """One lane to two replicas, the first of which is asked first, behind a web server."""

    def __init__(self, kind, first, second, **route):
        self.first, self.second = first, second
        self.plan = RoutingTable.from_document(
            {
                "Revision": 1,
                "ServiceTable": [{"Name": "s"}],
                "RouteTable": [
                    {
                        "Name": "r",
                        "HostName": "h",
                        "PathPrefix": "/q/",
                        "RouteClass": kind,
                        "TimeoutMs": 20000,
                        "TargetLatencyMs": 20000,
                        "Service": "s",
                        "MaxAttempts": 2,
                        **route,
                    }
                ],
            }
        )
        self.kind, self.counters = kind, Counters()

    async def start(self):
        self.upstream_client, self.load_balancer, clock = UpstreamClient(), LoadBalancer("z"), Clock()
        self.load_balancer.apply_updates(
            [
                {"id": f"i{n}", "addr": r.address, "service": "s", "zone": zone, "slots": 6, "state": "up"}
                for n, (r, zone) in enumerate([(self.first, "z"), (self.second, "far")])
            ]
        )
        live_requests = LiveRequestTracker(StateBoard(), clock, 1.0)
        uses = (self.upstream_client, self.load_balancer, clock, self.counters, live_requests)
        streams = self.kind == "streaming"
        self.way = StreamRelay(*uses).relay if streams else RequestForwarder(*uses).forward
        self.server = web.Server(self.serve, access_log=None)
        self.site = await asyncio.get_running_loop().create_server(self.server, "127.0.0.1", 0)
        return self

    async def serve(self, request):
        out = await self.way(
            request, self.plan.find_route("h", "/q/x"), list(request.headers.items()), await request.content.read()
        )
        return web.Response(status=out.status, body=out.body, headers=out.head) if isinstance(out, Result) else out

    async def ask(self, body=b"x", deadline_ms=20000):
        heads = {"X-Archhatch-Request-Id": "r", "X-Archhatch-Deadline-Ms": str(deadline_ms)}
        url = f"http://127.0.0.1:{self.site.sockets[0].getsockname()[1]}/q/x"
        async with aiohttp.ClientSession() as http, http.post(url, data=body, headers=heads) as response:
            return response.status, await response.read()

    async def end(self):
        self.site.close()
        await self.server.shutdown(0)
        await self.upstream_client.close()
        for replica in (self.first, self.second):
            replica.listener.close()


CASES = {  # the first replica, what the client gets, whether the second was asked
    "its word": (Bare(AWAY), 200, True),
    "421": (Bare(head(421, END)), 200, True),
    "interim answers before its word": (Bare(INTERIM * 3 + AWAY), 200, True),
    "its word before all was sent": (Bare(AWAY, early=True), 200, True),
    "reset before anything": (Bare(None, RESET), 502, False),
    "close before anything": (Bare(None, CLOSE), 502, False),
    "reset after the request": (Bare(b"", RESET), 502, False),
    "close after the request": (Bare(b"", CLOSE), 502, False),
    "half an answer": (Bare(GOOD[:90], CLOSE), 502, False),
    "no answer": (Bare(b"\x00\xffno answer\r\n\r\n", CLOSE), 502, False),
    "its word without an id": (Bare(head(503, NOT_RUN, END, echo=None)), 502, False),
    "421 without an id": (Bare(head(421, END, echo=None)), 502, False),
    "400 without an id": (Bare(head(400, NOT_RUN, END, echo=None)), 502, False),
    "its word to another": (Bare(head(503, NOT_RUN, END, echo=b"other")), 502, False),
    "its word to two": (Bare(head(503, NOT_RUN, END, b"X-Archhatch-Request-Id: other")), 502, False),
    "half its word": (Bare(head(503, NOT_RUN, b"Content-Length: 9", body=b"half"), CLOSE), 502, False),
    "its word without an end": (Bare(head(503, NOT_RUN, body=b"half"), CLOSE), 502, False),
    "its word in an interim answer": (Bare(head(103, NOT_RUN), CLOSE), 502, False),
    "its word in a 101": (Bare(head(101, NOT_RUN, b"Upgrade: x", b"Connection: upgrade")), 502, False),
    "a success without a seal": (Bare(head(200, END)), 502, False),
    "a success without an end": (Bare(head(200, SEAL, body=EVENTS), CLOSE), 502, False),
    **{f"{n} without its word": (Bare(head(n, END, SEAL)), 502, False) for n in (408, 429, 503)},
    "a failure": (Bare(head(500, END)), 500, False),
}


@pytest.mark.parametrize("kind", ["non_idempotent", "streaming"])
@pytest.mark.parametrize("name", CASES)
def test_a_second_send_needs_proof(run, kind, name):
    async def go():
        case, status, asked = CASES[name]
        first = await Bare(case.raw, case.then, case.early).start()
        second = await Bare().start()
        front = await Front(kind, first, second).start()
        got = await front.ask(b"x" * (16 << 20) if first.early else b"x")
        assert got[0] == status and (got[1] == EVENTS) is (status == 200)
        assert (first.ran <= 1, second.ran) == (True, int(asked))
        await front.end()

    run(go())


@pytest.mark.parametrize("kind", ["non_idempotent", "streaming"])
@pytest.mark.parametrize("raw", [b"", GOOD[:90]])
def test_silence_is_no_refusal(run, kind, raw):
    async def go():
        front = await Front(kind, await Bare(raw).start(), await Bare().start()).start()
        assert (await front.ask(deadline_ms=150))[0] in (502, 504) and (front.first.ran, front.second.ran) == (1, 0)
        await front.end()

    run(go())


@pytest.mark.parametrize("kind", ["non_idempotent", "streaming"])
def test_a_dead_port_is_proof_enough(run, kind):
    async def go():
        first, second = await Bare().start(), await Bare().start()
        first.listener.close()
        await first.listener.wait_closed()
        front = await Front(kind, first, second).start()
        assert await front.ask() == (200, EVENTS) and second.ran == 1
        await front.end()

    run(go())


RESUMED = [  # what the first replica gives before it breaks off, what the second gives, whether the client gets all
    (EVENTS, b"id: 3\ndata: c\n\n", True),
    (EVENTS, b"id: 2\ndata: b\n\n", False),  # an event twice
    (EVENTS, b"id: 1\ndata: a\n\nid: 3\ndata: c\n\n", False),
    (b"data: a\n\n", b"data: b\n\n", False),  # nothing says where it went on
    (b"", EVENTS, True),
]


@pytest.mark.parametrize("before, after, whole", RESUMED)
def test_a_stream_goes_on_where_it_broke_off_or_not_at_all(run, before, after, whole):
    async def go():
        first = await Bare(head(200, SEAL, b"Content-Length: 999", body=before), CLOSE).start()
        second = await Bare(head(200, SEAL, b"Content-Length: %d" % len(after), body=after)).start()
        front = await Front("streaming", first, second, Resumable=True).start()
        if whole:
            assert await front.ask() == (200, before + after)
            assert ("last-event-id: 2" in second.heads[0]) is bool(before)
        else:
            with pytest.raises(aiohttp.ClientError):
                await front.ask()
        await front.end()

    run(go())


async def accept(loop, listener):
    """The next connection and its first request."""
    sock, _ = await loop.sock_accept(listener)
    await loop.sock_recv(sock, 65536)
    return sock


def reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
    sock.close()


@pytest.mark.parametrize("seen", [True, False], ids=["read", "unread"])
@pytest.mark.parametrize(
    "trouble",
    [lambda s: s.send(GOOD), lambda s: s.send(b"x"), lambda s: s.send(AWAY), lambda s: s.close(), reset],
    ids=["an answer too many", "a byte", "a refusal too many", "an end", "a reset"],
)
def test_a_kept_connection_on_which_anything_waits_is_not_used(run, trouble, seen):
    async def go():
        loop, upstream_client = asyncio.get_running_loop(), UpstreamClient(now=HandClock().now)
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.setblocking(False)
            address = f"127.0.0.1:{listener.getsockname()[1]}"

            def send():
                return asyncio.ensure_future(
                    upstream_client.send(
                        address,
                        "i",
                        "POST",
                        "/",
                        [("X-Archhatch-Request-Id", "r")],
                        b"",
                        "r",
                        30.0,
                        Delivery.AT_MOST_ONCE,
                    )
                )

            first = send()
            sock = await accept(loop, listener)
            sock.send(GOOD)
            assert (await first).execution is Execution.EXECUTED and upstream_client.connector.has_idle_connection(
                address
            )
            trouble(sock)
            if seen:  # else the process stood still, and did not read it yet
                while upstream_client.connector.has_idle_connection(address):
                    await asyncio.sleep(0)
            again = send()
            fresh = await accept(loop, listener)
            fresh.send(GOOD)
            assert (await again).execution is Execution.EXECUTED
            await upstream_client.close()
            sock.close()
            fresh.close()

    run(go())


def test_what_may_no_longer_be_sent_is_not_written(run):
    async def go():
        replica, upstream_client, may = await Bare().start(), UpstreamClient(), []

        async def send(allowed):
            return await upstream_client.send(
                replica.address,
                "i",
                "POST",
                "/",
                [("X-Archhatch-Request-Id", "r")],
                b"x",
                "r",
                30.0,
                Delivery.AT_MOST_ONCE,
                lambda: may.append(allowed) or allowed,
            )

        for allowed in (False, True, False, True):
            answer = await send(allowed)
            assert (
                answer.execution is (Execution.EXECUTED if allowed else Execution.NOT_EXECUTED)
                and not answer.is_unresponsive
            )
        assert replica.ran == 2 and may == [False, True, False, True]
        await upstream_client.close()
        replica.listener.close()

    run(go())
