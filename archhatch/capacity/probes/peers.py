"""Clients and a replica on loopback in a thread of their own, so that an edge's processor time is its own."""

from __future__ import annotations

import asyncio
import threading

HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Archhatch-Request-Id: r1\r\nX-Archhatch-Instance-Id: i-1\r\n"
    b"X-Archhatch-Reply-Seal: s\r\n"
    b"X-Archhatch-Instance-Load: 1,0,12\r\n"
)
ASK = b"GET /path0/x HTTP/1.1\r\nHost: host0.example\r\nX-Archhatch-Request-Id: r1\r\n\r\n"
STREAM = b"GET /path2/x HTTP/1.1\r\nHost: host2.example\r\nX-Archhatch-Request-Id: r1\r\n\r\n"
EVENT = b"id: %d\ndata: token%d\n\n"


class _Replica(asyncio.Protocol):
    def __init__(self, peers):
        self.peers = peers

    def connection_made(self, transport):
        self.tr = transport

    def data_received(self, data):
        if b"/path2/" in data:
            self.peers.at, self.peers.replica = 0, self
            self.tr.write(HEAD + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.more()
        else:
            self.tr.write(HEAD + b"Content-Length: 600\r\n\r\n" + b"x" * 600)

    def more(self):
        """The next event, alone in its chunk; the end behind the last."""
        p = self.peers
        if p.at == p.count:
            self.tr.write(b"0\r\n\r\n")
            return
        p.at += 1
        raw = EVENT % (p.at, p.at)
        self.tr.write(b"%x\r\n%s\r\n" % (len(raw), raw))


class _Client(asyncio.Protocol):
    def __init__(self, peers, stream: bool):
        self.peers, self.stream = peers, stream
        self.rest, self.left = b"", 0

    def connection_made(self, transport):
        self.tr = transport
        self.done = asyncio.get_running_loop().create_future()

    def ask(self, count: int):
        self.left = count
        self.tr.write(STREAM if self.stream else ASK)

    def data_received(self, data):
        self.rest += data
        if self.stream:
            if self.rest.endswith(b"0\r\n\r\n"):
                self.done.set_result(None)
            elif self.rest.endswith(b"\n\n\r\n"):  # one more event came through
                self.rest = b""
                self.peers.replica.more()
        elif self.rest.endswith(b"x" * 600):
            self.rest, self.left = b"", self.left - 1
            if self.left:
                self.tr.write(ASK)
            else:
                self.done.set_result(None)

    def connection_lost(self, exc):
        if not self.done.done():
            self.done.set_exception(ConnectionError("the edge broke off"))


class Peers:
    """start() gives the replica's port; go(port, count, stream) sends so many requests, or a stream of so many events.

    >>> # peers = Peers(); port = peers.start(); fut = peers.go(edge_port, 100, False); peers.end()
    """

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.count = self.at = 0
        self.replica = None

    def start(self) -> int:
        self.thread.start()
        make = self.loop.create_server(lambda: _Replica(self), "127.0.0.1", 0)
        self.site = asyncio.run_coroutine_threadsafe(make, self.loop).result(5)
        return self.site.sockets[0].getsockname()[1]

    def go(self, port: int, count: int, stream: bool):
        return asyncio.wrap_future(asyncio.run_coroutine_threadsafe(self._go(port, count, stream), self.loop))

    async def _go(self, port, count, stream):
        self.count = count
        tr, one = await self.loop.create_connection(lambda: _Client(self, stream), "127.0.0.1", port)
        one.ask(count)
        await one.done
        tr.close()

    def end(self) -> None:
        self.loop.call_soon_threadsafe(self.site.close)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)
        self.loop.close()
