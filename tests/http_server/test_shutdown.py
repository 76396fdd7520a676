"""The end of an HTTP server: what was read is answered, and nothing is read that is not (review/2)."""

import asyncio

import pytest
from tests.http_server import rig
from aiohttp.web_response import StreamResponse

from archhatch.http_server import HttpServer
from archhatch.runtime import Counters, Result, open_logs

REQUEST = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok"
FAR_S = 60.0


class Served:
    """A server whose handler waits on a gate, and its clients."""

    def __init__(self, handler):
        self.gate, self.began = asyncio.Event(), asyncio.Event()
        self.bodies, self.writers = [], []
        self.handler = handler or Served.echo
        self.server = HttpServer(self.handle, open_logs("t", "CRITICAL"), Counters())

    async def handle(self, request, body):
        self.bodies.append(body)
        return await self.handler(self, request)

    async def echo(self, _request):
        self.began.set()
        await self.gate.wait()
        return Result(200, self.bodies[-1])

    async def client(self, raw=b""):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port())
        writer.write(raw)
        self.writers.append(writer)  # one that is dropped closes its connection
        return reader, writer

    async def resting_client(self):
        """A client whose first request is answered, and whose connection is kept."""
        self.gate.set()
        reader, writer = await self.client(REQUEST)
        assert (await read_answer(reader))[0] == 200
        self.gate.clear()
        self.began.clear()
        return reader, writer


async def read_answer(reader):
    """The status and the head of an answer; None if the connection ended before it was whole."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode().lower().split("\r\n")
        length = next(int(line.split(":")[1]) for line in lines if line.startswith("content-length"))
        await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return int(lines[0].split()[1]), lines


def play(run, scenario, handler=None):
    """Plays a scenario with a server of its own."""
    rig.play(run, Served(handler), scenario)


# What came on a resting connection in the last 0.2 s of an edge was read and thrown away.
def test_resting_connections_are_closed_unread_while_the_last_request_is_brought_to_an_end(run):
    async def go(it):
        resting, _ = await it.resting_client()
        connection = next(iter(it.server._server.connections))
        busy, _ = await it.client(REQUEST)
        await it.began.wait()
        closing = asyncio.ensure_future(it.server.close(0.0))
        for _ in range(3):
            await asyncio.sleep(0)
        assert connection.transport is None and not closing.done()
        assert await resting.read() == b"" and (await read_answer(busy))[0] == 504
        await closing
        assert len(it.bodies) == 2

    play(run, go)


# An edge that ended cut requests off that it had passed on; their clients could not know whether they ran.
def test_a_request_is_answered_at_the_end_of_the_time(run):
    async def go(it):
        reader, _ = await it.client(REQUEST)
        await it.began.wait()
        await it.server.close(0.0)
        status, lines = await read_answer(reader)
        assert status == 504 and "connection: close" in lines and it.server.counters.counts["http.time_up"] == 1

    play(run, go)


def test_an_answer_that_has_begun_is_cut_and_looks_so(run):
    async def begin(it, request):
        response = StreamResponse()
        response.enable_chunked_encoding()
        await response.prepare(request)
        await response.write(b"part")
        it.began.set()
        await it.gate.wait()

    async def go(it):
        reader, _ = await it.client(REQUEST)
        await it.began.wait()
        await it.server.close(0.0)
        raw = await reader.read()
        assert b"part" in raw and b"504" not in raw and not raw.endswith(b"0\r\n\r\n")

    play(run, go, begin)


@pytest.mark.parametrize("first, rest", [(b"", REQUEST), (REQUEST[:20], REQUEST[20:]), (REQUEST[:-1], REQUEST[-1:])])
def test_what_arrives_while_the_server_drains_is_served_and_its_connection_closed(run, first, rest):
    async def go(it):
        kept, writer = await it.resting_client()
        busy, _ = await it.client(REQUEST)
        await it.began.wait()
        writer.write(first)
        it.server.is_draining = True
        closing = asyncio.ensure_future(it.server.close(FAR_S))
        await asyncio.sleep(0)
        writer.write(rest)
        while len(it.bodies) < 3:
            await asyncio.sleep(0)
        it.gate.set()
        for reader in (busy, kept):
            status, lines = await read_answer(reader)
            assert status == 200 and "connection: close" in lines and await reader.read() == b""
        await closing

    play(run, go)


def test_a_request_whose_head_is_on_its_way_keeps_a_draining_server(run):
    async def go(it):
        reader, writer = await it.resting_client()
        it.gate.set()
        writer.write(REQUEST[:20])
        while next(iter(it.server._server.connections)).is_resting():
            await asyncio.sleep(0)
        closing = asyncio.ensure_future(it.server.close(FAR_S))
        await asyncio.sleep(0)
        writer.write(REQUEST[20:])
        assert (await read_answer(reader))[0] == 200
        writer.close()
        await closing

    play(run, go)


def test_requests_that_were_read_one_behind_the_other_are_all_answered(run):
    async def go(it):
        reader, _ = await it.client(REQUEST * 2)
        await it.began.wait()
        it.server.is_draining = True
        it.gate.set()
        assert [(await read_answer(reader))[0] for _ in range(2)] == [200, 200] and await reader.read() == b""
        await it.server.close(0.0)

    play(run, go)


def test_a_connection_that_was_accepted_as_the_server_closed_is_not_read(run):
    async def go(it):
        aiohttp_server = it.server._server
        await it.server.close(0.0)
        loop = asyncio.get_running_loop()
        late = await loop.create_server(aiohttp_server, "127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", late.sockets[0].getsockname()[1])
        writer.write(REQUEST)
        assert await read_answer(reader) is None and it.bodies == []
        late.close()

    play(run, go)
