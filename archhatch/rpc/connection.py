"""Calls to one address, over a TCP connection that is opened when it is needed."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

import orjson

from ..exceptions import ArchhatchError
from ..runtime import Counters
from .channel import Channel, ChannelClosedError
from .framing import STREAM_LIMIT_BYTES, FrameError, pack_pieces, set_socket_options
from .messages import Envelope

MAX_WITHIN_MS = 0xFFFFFFFF  # of the envelope's field
CONNECT_TIMEOUT_S = 0.6
IDLE_TIMEOUT_S = 1.2  # a connection on which nothing arrived for so long, while a call waited, is replaced
MIN_CONCLUSIVE_RATIO = 0.2  # of the idle timeout: a shorter call's silence says nothing of the connection
ELAPSED_RATIO = 0.9  # of the waiting time must have passed: the loop's timer may fire a little early


class CallError(ArchhatchError):
    """A call that got no answer.

    Attributes:
        sent: Whether the other node may have read it.
    """

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        self.sent = sent


class CallResult(NamedTuple):
    """The answer to a call. A named tuple, as it is made once for each call and unpacked by most callers.

    Attributes:
        code: The result code (docs/codes.md).
        document: The decoded document.
        body: The bytes beside it.
    """

    code: int
    document: object
    body: bytes


class Connection:
    """Calls to one address; one TCP connection at a time, opened when first needed.

    Attributes:
        address: HOST:PORT.
        counters: Counts answers that cannot be used.
        connect_timeout_s: How long opening a connection may take.
        idle_timeout_s: After this time without a frame, while a call waited, the connection is replaced.
    """

    def __init__(
        self,
        address: str,
        counters: Counters,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        idle_timeout_s: float = IDLE_TIMEOUT_S,
    ) -> None:
        self.address = address
        self.counters = counters
        self.connect_timeout_s = connect_timeout_s
        self.idle_timeout_s = idle_timeout_s
        self._channel: Channel | None = None
        self._connect_lock = asyncio.Lock()

    async def _connect(self) -> Channel:
        """Returns the open TCP connection, or opens one."""
        async with self._connect_lock:
            if self._channel is not None and self._channel.is_open:
                return self._channel
            self.disconnect()
            host, port = self.address.rsplit(":", 1)
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(host, int(port), limit=STREAM_LIMIT_BYTES), self.connect_timeout_s
                )
            except (OSError, TimeoutError) as error:
                raise CallError(f"{self.address}: {error!r}", sent=False) from error
            set_socket_options(writer)
            self._channel = Channel(reader, writer, self.counters)
            return self._channel

    def disconnect(self) -> None:
        """Closes the TCP connection; calls that wait on it fail. The next call opens another one."""
        channel = self._channel
        self._channel = None
        if channel is not None:
            channel.close()

    async def call(
        self, verb: str, document: object = None, body: bytes = b"", timeout_s: float = 1.0, to: str = ""
    ) -> CallResult:
        """Sends a call and waits for its answer.

        Args:
            verb: What is called.
            document: Encoded as JSON.
            body: Bytes beside the document.
            timeout_s: How long to wait for the answer.
            to: The id of the node that is meant: another one at this address refuses with 2008 and runs nothing.

        Returns:
            The answer, whatever its code.

        Raises:
            CallError: No answer arrived.
        """
        channel = await self._connect()
        future: asyncio.Future[Envelope] = asyncio.get_running_loop().create_future()
        key = channel.register(future)
        within_ms = min(MAX_WITHIN_MS, max(1, int(timeout_s * 1000)))
        try:
            head = orjson.dumps(document)
            channel.write(pack_pieces(Envelope(call=key, verb=verb, head=head, body=body, to=to, within_ms=within_ms)))
            del body  # a long one does not stand here beside its frame while the answer is awaited
            answer = await self._wait(channel, future, verb, timeout_s)
        except FrameError as error:
            raise CallError(f"{self.address}: {verb}: {error}", sent=False) from error
        except (ChannelClosedError, OSError, RuntimeError) as error:
            raise CallError(f"{self.address}: {verb}: connection closed: {error!r}", sent=True) from error
        finally:
            channel.unregister(key)
        return CallResult(answer.code, self._decode(verb, answer), answer.body)

    async def _wait(self, channel: Channel, future: asyncio.Future[Envelope], verb: str, timeout_s: float) -> Envelope:
        """Waits for the answer; replaces the TCP connection if nothing at all arrived on it for long enough."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            return await asyncio.wait_for(future, timeout_s)
        except TimeoutError as error:
            waited_s = loop.time() - started_at
            is_conclusive = (
                timeout_s >= self.idle_timeout_s * MIN_CONCLUSIVE_RATIO
                and waited_s >= min(timeout_s, self.idle_timeout_s) * ELAPSED_RATIO
            )
            if is_conclusive and channel.last_frame_at < started_at and self._channel is channel:
                self.disconnect()
            raise CallError(f"{self.address}: {verb}: no answer in {timeout_s}s", sent=True) from error

    def _decode(self, verb: str, answer: Envelope) -> object:
        try:
            return orjson.loads(answer.head) if answer.head else None
        except orjson.JSONDecodeError as error:
            self.counters.add("rpc.bad_answer")
            raise CallError(f"{self.address}: {verb}: the answer cannot be decoded", sent=True) from error


class ConnectionPool:
    """The connections of a process, one for each address.

    >>> pool = ConnectionPool(Counters()); pool.to("10.0.0.1:7380") is pool.to("10.0.0.1:7380")
    True

    Attributes:
        counters: Counts answers that cannot be used.
    """

    def __init__(self, counters: Counters) -> None:
        self.counters = counters
        self._connections: dict[str, Connection] = {}

    def to(self, address: str) -> Connection:
        """Returns the connection to an address."""
        connection = self._connections.get(address)
        if connection is None:
            connection = self._connections[address] = Connection(address, self.counters)
        return connection

    def end(self) -> None:
        """Closes all of them."""
        for connection in self._connections.values():
            connection.disconnect()
