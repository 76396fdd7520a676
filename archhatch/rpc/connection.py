"""Calls to one address, over a TCP connection that is opened when it is needed."""

from __future__ import annotations

import asyncio

import orjson

from .channel import Channel, ChannelClosedError
from .framing import FrameError, pack, tune
from .messages import Envelope

MOST_WITHIN_MS = 0xFFFFFFFF


class CallError(Exception):
    """A call that got no answer. sent says whether the other node may have read it."""

    def __init__(self, why: str, sent: bool):
        super().__init__(why)
        self.sent = sent


class Connection:
    """The way to one address; one TCP connection at a time, opened when first needed.

    >>> # code, doc, body = await connection.call("ping", {"a": 1}, timeout_s=0.5, to="node-1")
    """

    def __init__(self, address: str, counters, dial_s: float = 0.6, idle_s: float = 1.2):
        self.address, self.counters = address, counters
        self.dial_s, self.idle_s = dial_s, idle_s
        self._channel: Channel | None = None
        self._dialling = asyncio.Lock()

    async def _open(self) -> Channel:
        async with self._dialling:
            if self._channel is not None and self._channel.open:
                return self._channel
            self.disconnect()
            host, port = self.address.rsplit(":", 1)
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(host, int(port), limit=1 << 20), self.dial_s
                )
            except (OSError, TimeoutError) as e:
                raise CallError(f"{self.address}: {e!r}", sent=False) from e
            tune(writer)
            self._channel = Channel(reader, writer, self.counters)
            return self._channel

    def disconnect(self) -> None:
        """End the connection; whoever waits on it is told so. The next call dials again."""
        channel, self._channel = self._channel, None
        if channel is not None:
            channel.end()

    async def call(self, verb: str, doc: object = None, body: bytes = b"", timeout_s: float = 1.0, to: str = ""):
        """Send a call and wait for its answer: (code, document, body). CallError if none comes.

        to names the node that is meant: another one at this address refuses with 2008 and runs nothing.
        """
        channel = await self._open()
        future = asyncio.get_running_loop().create_future()
        key = channel.put(future)
        within_ms = min(MOST_WITHIN_MS, max(1, int(timeout_s * 1000)))
        try:
            frame = pack(Envelope(call=key, verb=verb, head=orjson.dumps(doc), body=body, to=to, within_ms=within_ms))
            channel.write(frame)
            answer = await self._wait(channel, future, verb, timeout_s)
        except FrameError as e:
            raise CallError(f"{self.address}: {verb}: {e}", sent=False) from e
        except (ChannelClosedError, OSError, RuntimeError) as e:
            raise CallError(f"{self.address}: {verb}: broke off: {e!r}", sent=True) from e
        finally:
            channel.forget(key)
        return answer.code, self._document(verb, answer), answer.body

    async def _wait(self, channel: Channel, future: asyncio.Future, verb: str, timeout_s: float) -> Envelope:
        """The answer; when nothing at all was heard on the connection for long enough, it is given up."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            return await asyncio.wait_for(future, timeout_s)
        except TimeoutError as e:
            long_enough = timeout_s >= self.idle_s * 0.2 and loop.time() - began >= min(timeout_s, self.idle_s) * 0.9
            if long_enough and channel.heard < began and self._channel is channel:
                self.disconnect()
            raise CallError(f"{self.address}: {verb}: no answer in {timeout_s}s", sent=True) from e

    def _document(self, verb: str, answer: Envelope) -> object:
        try:
            return orjson.loads(answer.head) if answer.head else None
        except orjson.JSONDecodeError as e:
            self.counters.add("rpc.bad_answer")
            raise CallError(f"{self.address}: {verb}: the answer cannot be read", sent=True) from e


class ConnectionPool:
    """The connections of a process, one for each address.

    >>> from ..runtime import Counters
    >>> pool = ConnectionPool(Counters()); pool.to("10.0.0.1:7380") is pool.to("10.0.0.1:7380")
    True
    """

    def __init__(self, counters):
        self.counters = counters
        self._all: dict[str, Connection] = {}

    def to(self, address: str) -> Connection:
        """The way to an address."""
        connection = self._all.get(address)
        if connection is None:
            connection = self._all[address] = Connection(address, self.counters)
        return connection

    def end(self) -> None:
        """Close all of them."""
        for connection in self._all.values():
            connection.disconnect()
