"""What clients make a server hold: bounded, refused in time, and given back whatever way a request ends."""

import asyncio

import pytest
from tests.http_server import rig

from archhatch.http_server import BodyTerms, ClientMemory, HttpLimits, HttpServer
from archhatch.http_server.client_memory import CONNECTION_BYTES, SMALL_BODY_BYTES, ConnectionBounds
from archhatch.http_server.connection_choice import ConnectionState, Stage, choose_to_close
from archhatch.memory import MemoryShares
from archhatch.runtime import Counters, Result, open_logs

LARGE = 4 * SMALL_BODY_BYTES


def head(length, extra=b""):
    framing = b"Transfer-Encoding: chunked" if length is None else b"Content-Length: %d" % length
    return b"POST /x HTTP/1.1\r\nHost: h\r\n" + framing + b"\r\n" + extra + b"\r\n"


class Served:
    """A server with room for one large body and two connections more than a test opens, unless it says otherwise."""

    def __init__(self, connections=64, large_bytes=LARGE, wait_s=5.0, limits=None):
        self.gate, self.bodies = asyncio.Event(), []
        self.gate.set()
        self.counters = Counters()
        shares = MemoryShares(1 << 20, 1 << 20, large_bytes, 1 << 20)
        self.memory = ClientMemory(shares, ConnectionBounds(connections, 1 << 30), self.counters)
        self.server = HttpServer(
            self.handle,
            open_logs("t", "CRITICAL"),
            self.counters,
            limits or HttpLimits(),
            cancel_on_disconnect=True,
            memory=self.memory,
            screen=lambda request: BodyTerms(wait_s=wait_s),
        )
        self.writers = []

    async def handle(self, _request, body):
        self.bodies.append(len(body))
        await self.gate.wait()
        return Result(200, b"ok")

    async def client(self, raw=b""):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port())
        writer.write(raw)
        self.writers.append(writer)
        return reader, writer

    async def until(self, condition):
        while not condition():
            await asyncio.sleep(0.001)

    def held(self):
        table = self.server._server
        return self.memory.small_bodies.held_bytes, self.memory.large_bodies.held_bytes, table.held_bytes


def play(run, scenario, **options):
    rig.play(run, Served(**options), scenario)


ENDS = [
    "answered",
    "reset in the body",
    "reset at work",
    "too long",
    "malformed chunk",
    "gave way",
    "closed in the body",
]


@pytest.mark.parametrize("length", [10, LARGE, None])
@pytest.mark.parametrize("end", ENDS)
def test_all_is_given_back_whatever_way_a_request_ends(run, end, length):
    async def go(it):
        size = length or 3 * SMALL_BODY_BYTES
        raw = b"b" * size if length else b"%x\r\n" % size + b"b" * size + b"\r\n"
        if end == "reset at work":
            it.gate.clear()
        reader, writer = await it.client(head(length) + raw[: len(raw) // 2])
        await it.until(lambda: any(it.held()[:2]))
        if end in ("answered", "reset at work"):
            writer.write(raw[len(raw) // 2 :] + (b"" if length else b"0\r\n\r\n"))
            await it.until(lambda: it.bodies)
        if end == "answered":
            assert (await reader.readline()).split()[1] == b"200"
        elif end.startswith("reset"):
            writer.transport.abort()
        elif end == "too long":
            it.server.limits = HttpLimits(max_body_bytes=1)
            writer.write(raw[len(raw) // 2 :] + (b"" if length else b"1\r\nb\r\n"))
        elif end == "malformed chunk":
            writer.write(raw[len(raw) // 2 :] + b"no chunk\r\n")
        elif end == "gave way":
            for connection in it.server._server.client_connections():
                connection.give_way()
            assert (await reader.readline()).split()[1] == b"408"
        elif end == "closed in the body":
            writer.close()
        if end != "the server ends":
            await it.until(lambda: it.server.in_flight == 0)
        await it.server.close(0.0)
        assert it.held() == (0, 0, 0)

    play(run, go)


def test_a_request_for_which_there_is_no_memory_is_refused_unread_with_a_time_to_come_back(run):
    async def go(it):
        it.gate.clear()
        await it.client(head(LARGE) + b"b" * LARGE)
        await it.until(lambda: it.bodies)
        reader, _ = await it.client(head(LARGE) + b"b" * 10)
        await it.until(lambda: it.server.kinds_at_their_bound() == ["large_bodies"])
        assert it.server.held_bytes()["large_bodies"] == LARGE
        answer = await reader.read()
        assert b" 503 " in answer.split(b"\r\n")[0] and b"Retry-After: " in answer and b"Connection: close" in answer
        assert b'"Error":3013' in answer and len(it.bodies) == 1

    play(run, go, wait_s=0.2)


def test_small_bodies_are_served_beside_a_crowd_of_large_ones(run):
    async def go(it):
        for _ in range(10):
            await it.client(head(LARGE) + b"b" * (LARGE - 1))
        reader, _ = await it.client(head(2) + b"ok")
        assert (await reader.readline()).split()[1] == b"200"

    play(run, go)


def test_two_bodies_that_do_not_fit_together_take_turns(run):
    async def go(it):
        clients = [await it.client(head(LARGE) + b"b" * LARGE) for _ in range(3)]
        assert [(await reader.readline()).split()[1] for reader, _ in clients] == [b"200"] * 3
        assert it.counters.counts["memory.large_bodies.refused"] == 0

    play(run, go)


def test_the_longest_resting_connection_gives_way_to_a_new_one(run):
    async def go(it):
        first, _ = await it.client()
        await it.until(lambda: len(it.server._server.connections) == 1)
        for _ in range(2):
            await it.client()
        reader, _ = await it.client(head(2) + b"ok")
        assert (await reader.readline()).split()[1] == b"200"
        assert await first.read() == b""

    play(run, go, connections=3)


def test_a_connection_that_is_served_never_gives_way(run):
    async def go(it):
        it.gate.clear()
        clients = [await it.client(head(2) + b"ok") for _ in range(3)]
        await it.until(lambda: len(it.bodies) == 3)
        newest, _ = await it.client(head(2) + b"ok")
        assert await read_all(newest) == b""
        it.gate.set()
        assert [(await reader.readline()).split()[1] for reader, _ in clients] == [b"200"] * 3

    play(run, go, connections=3)


def test_the_rest_of_a_refused_body_is_not_held_and_closes_no_one_else(run):
    """Guards against counting what is read and let go: it closed connections that were being served (soak, seed 3)."""

    async def go(it):
        it.gate.clear()
        served, _ = await it.client(head(2) + b"ok")
        await it.until(lambda: it.bodies)
        it.memory.connections = it.server._server._bounds = ConnectionBounds(64, 2 * CONNECTION_BYTES + LARGE)
        it.server.limits = HttpLimits(max_body_bytes=5)
        refused, writer = await it.client(head(100 * LARGE))
        assert (await refused.readline()).split()[1] == b"413"
        sent = 0
        while sent < 20 * LARGE and not writer.transport.is_closing():
            writer.write(b"b" * SMALL_BODY_BYTES)
            sent += SMALL_BODY_BYTES
            await writer.drain()
            assert it.held()[2] <= LARGE
        it.gate.set()
        assert (await served.readline()).split()[1] == b"200"

    play(run, go)


async def read_all(reader):
    try:
        return await reader.read()
    except ConnectionError:
        return b""


STATES = [
    ([], None),
    ([(Stage.SERVED, 0.0, 9)], None),
    ([(Stage.SERVED, 0.0, 9), (Stage.ARRIVING, 5.0, 0)], 1),
    ([(Stage.ARRIVING, 1.0, 999), (Stage.RESTING, 5.0, 0)], 1),  # an idle one loses nothing
    ([(Stage.RESTING, 5.0, 0), (Stage.RESTING, 4.0, 0)], 1),
    ([(Stage.ARRIVING, 1.0, 10), (Stage.UNSENT, 5.0, 999)], 1),
]


@pytest.mark.parametrize("states, chosen", STATES)
def test_who_gives_way(states, chosen):
    assert choose_to_close([ConnectionState(key, *state) for key, state in enumerate(states)], 10.0) == chosen


@pytest.mark.parametrize("max_fds", [64, 512, 4100, 1 << 20])
def test_the_bounds_of_connections_stay_within_the_descriptors_and_the_memory(max_fds):
    shares = MemoryShares.of(160)
    bounds = ConnectionBounds.of(shares, max_fds)
    assert bounds.count <= max(16, max_fds - 200)
    assert not bounds.are_passed(1, 0)
    assert bounds.are_passed(shares.connections // CONNECTION_BYTES + 1, 0) and bounds.are_passed(1, shares.connections)
