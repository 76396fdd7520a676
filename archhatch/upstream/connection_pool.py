"""The pooled connections to replicas, and how long one may idle before it is no longer trusted."""

from __future__ import annotations

import asyncio
import enum
import functools
import re
import select
import time
from collections.abc import Callable
from contextvars import ContextVar
from dataclasses import dataclass
from typing import Any, cast

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ClientRequest, ConnectionKey
from aiohttp.connector import Connection
from aiohttp.tracing import Trace

from ..runtime import Counters

READ_BYTES = 64 << 10  # of one connection, before the others have their turn
KEEP_ALIVE_SHARE = 0.8  # of the time in a replica's Keep-Alive header: its close may already be on the way
OBSERVATION_TTL_S = 30.0  # how long it counts that a connection served after some idle time, or was reset
MIN_FORGOTTEN_IDLE_S = 0.25  # a connection that idled for less was not forgotten by its replica
MAX_RESET_DELAY_S = 0.25  # a reset later than this after the request has another cause than a forgotten connection

_KEEP_ALIVE_SECONDS = re.compile(r"(?:timeout\s*=\s*)?(\d+)")


class Delivery(enum.Enum):
    """How often a request may run, which decides the connections that it may use."""

    UNSPECIFIED = ""  # any pooled connection; StaleConnectionError tells that the replica had forgotten it
    AT_LEAST_ONCE = "again"  # may be repeated: sent once more at once if the pooled connection was forgotten
    AT_MOST_ONCE = "once"  # a pooled connection only up to an idle time after which one served lately


@dataclass(slots=True)
class ConnectionUse:
    """One request's way to its connection.

    >>> ConnectionUse(Delivery.AT_MOST_ONCE).idle_s is None
    True

    Attributes:
        delivery: How often the request may run.
        idle_s: How long the connection had idled; None for a new one.
        acquired_at: When the request got its connection.
        may_send: Asked when the connection is there, right before the request is written.
        target: The request target, as it is to be written; None for that of the URL.
    """

    delivery: Delivery = Delivery.UNSPECIFIED
    idle_s: float | None = None
    acquired_at: float = 0.0
    may_send: Callable[[], bool] | None = None
    target: str | None = None


# aiohttp passes no argument of ours to its connector: a request's use goes there by its context.
CONNECTION_USE: ContextVar[ConnectionUse | None] = ContextVar("connection_use", default=None)


class NotSentError(aiohttp.ClientConnectionError):
    """The request may no longer be sent, and nothing of it was written."""


class PooledProtocol(ResponseHandler):
    """aiohttp's side of a connection, closed when bytes arrive while no request waits: they belong to none.

    Attributes:
        is_idle: Whether the connection is in the pool.
        idle_since: When it came into the pool.
    """

    is_idle = False
    idle_since = float("-inf")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes a connection."""
        cast(Any, transport).max_size = READ_BYTES  # of asyncio's transports over sockets: how much one read takes
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Takes bytes from the socket."""
        if self.is_idle and data:  # aiohttp calls it without data too
            self.close()
            return
        super().data_received(data)

    def is_usable(self) -> bool:
        """Whether a request may go on this pooled connection: it is open, and nothing waits on it to be read.

        The socket is looked at too: after the process stood still, the end of the connection or a surplus response may
        wait there unread.
        """
        if not self.is_connected() or self.should_close:
            return False
        poll = select.poll()
        poll.register(cast(Any, self.transport).get_extra_info("socket").fileno(), select.POLLIN)
        return not poll.poll(0)


@dataclass(slots=True)
class _AddressHistory:
    """What the pooled connections of one address showed.

    Attributes:
        keep_alive_s: What the replica's Keep-Alive header states.
        served_idle_s: The longest idle time after which a connection served, seen at `served_at`.
        reset_idle_s: The shortest idle time after which one was reset, seen at `reset_at`.
    """

    keep_alive_s: float = float("inf")
    served_idle_s: float = 0.0
    served_at: float = float("-inf")
    reset_idle_s: float = float("inf")
    reset_at: float = float("-inf")


class PooledConnector(aiohttp.TCPConnector):
    """aiohttp's connector, which uses the connection that idled least, and none that idled too long for the request.

    A replica may forget an idle connection without notice, and resets it at the next request. A request that may run
    only once (Delivery.AT_MOST_ONCE) therefore takes a pooled connection only up to an idle time after which one served
    lately.
    """

    def __init__(
        self,
        now: Callable[[], float] = time.monotonic,
        counters: Counters | None = None,
        **options: Any,  # noqa: ANN401 - those of aiohttp.TCPConnector
    ) -> None:
        super().__init__(**options)
        self._counters = counters
        self._factory = cast(Any, functools.partial(PooledProtocol, loop=self._loop))
        self._now = now
        self._key_by_address: dict[str, ConnectionKey] = {}
        self._history: dict[str, _AddressHistory] = {}

    def has_idle_connection(self, address: str) -> bool:
        """Whether a connection to an address is open, unused, and fit for a request that may be repeated."""
        pooled = self._conns.get(self._key_by_address.get(address))  # type: ignore[arg-type] # None is in no pool
        if not pooled:
            return False
        newest = pooled[-1][0]
        return newest.is_connected() and self._idle_time(newest) <= self._max_idle(address, Delivery.UNSPECIFIED)

    def record_response(self, address: str, use: ConnectionUse, keep_alive: str) -> None:
        """Records that a response came on a connection, with its Keep-Alive header."""
        history, now = self._history_of(address), self._now()
        stated = _KEEP_ALIVE_SECONDS.search(keep_alive)
        if stated is not None:
            history.keep_alive_s = float(stated[1])
        if use.idle_s is None:
            return
        if use.idle_s >= history.served_idle_s or now - history.served_at > OBSERVATION_TTL_S:
            history.served_idle_s, history.served_at = use.idle_s, now

    def record_reset(self, address: str, use: ConnectionUse) -> bool:
        """Records that a connection broke before any response.

        Returns:
            Whether it was a pooled one that the replica must have forgotten, which says nothing of its health.
        """
        if use.idle_s is None or use.idle_s < MIN_FORGOTTEN_IDLE_S:
            return False
        if self._now() - use.acquired_at > MAX_RESET_DELAY_S:
            return False
        history, now = self._history_of(address), self._now()
        if use.idle_s <= history.reset_idle_s or now - history.reset_at > OBSERVATION_TTL_S:
            history.reset_idle_s, history.reset_at = use.idle_s, now
        if history.served_idle_s >= use.idle_s:
            history.served_idle_s = 0.0  # the replica forgets sooner than it did before
        return True

    def _history_of(self, address: str) -> _AddressHistory:
        history = self._history.get(address)
        if history is None:
            history = self._history[address] = _AddressHistory()
        return history

    def _idle_time(self, protocol: ResponseHandler) -> float:
        return self._now() - protocol.idle_since  # type: ignore[attr-defined] # all are made by self._factory

    def _max_idle(self, address: str, delivery: Delivery) -> float:
        """The longest idle time, in seconds, after which a request may use a connection to an address."""
        history, now = self._history.get(address), self._now()
        if history is None:
            return 0.0 if delivery is Delivery.AT_MOST_ONCE else float("inf")
        longest = KEEP_ALIVE_SHARE * history.keep_alive_s
        if now - history.reset_at <= OBSERVATION_TTL_S:
            longest = min(longest, KEEP_ALIVE_SHARE * history.reset_idle_s)
        if delivery is Delivery.AT_MOST_ONCE:
            proven = history.served_idle_s if now - history.served_at <= OBSERVATION_TTL_S else 0.0
            longest = min(longest, proven)
        return longest

    async def connect(self, request: ClientRequest, traces: list[Trace], timeout: aiohttp.ClientTimeout) -> Connection:
        """Returns a connection for a request.

        Raises:
            NotSentError: The request's `may_send` forbids it by now.
        """
        key = request.connection_key
        self._key_by_address[f"{key.host}:{key.port}"] = key
        connection, use = await super().connect(request, traces, timeout), CONNECTION_USE.get()
        if use is not None and use.may_send is not None and not use.may_send():
            connection.release()
            raise NotSentError("its time was over when the connection was there")
        return connection

    async def _create_connection(
        self, request: ClientRequest, traces: list[Trace], timeout: aiohttp.ClientTimeout
    ) -> ResponseHandler:
        if self._counters is not None:
            self._counters.add("connect.new")  # new connections are costly for replicas
        return await super()._create_connection(request, traces, timeout)

    async def _get(self, key: ConnectionKey, traces: list[Trace]) -> Connection | None:
        # aiohttp would take the one that idled longest, which keeps more of them open than are needed
        pooled, use = self._conns.get(key), CONNECTION_USE.get()
        while pooled and not pooled[-1][0].is_usable():  # type: ignore[attr-defined] # a PooledProtocol
            pooled.pop()[0].close()
        if not pooled:
            self._conns.pop(key, None)
            return None
        idle_s, address = self._idle_time(pooled[-1][0]), f"{key.host}:{key.port}"
        if idle_s > self._max_idle(address, use.delivery if use is not None else Delivery.UNSPECIFIED):
            if idle_s > self._max_idle(address, Delivery.UNSPECIFIED):
                self._close_pooled(key)
            return None
        pooled.rotate(1)
        connection = await super()._get(key, traces)
        if connection is None:
            return None
        connection.protocol.is_idle = False  # type: ignore[union-attr] # a PooledProtocol
        if use is not None:
            use.idle_s, use.acquired_at = idle_s, self._now()
        return connection

    def _close_pooled(self, key: ConnectionKey) -> None:
        """Closes an address's pooled connections: when the newest idled too long, the others did too."""
        for protocol, _ in self._conns.pop(key):
            protocol.close()

    def _release(self, key: ConnectionKey, protocol: ResponseHandler, *, should_close: bool = False) -> None:
        protocol.idle_since, protocol.is_idle = self._now(), True  # type: ignore[attr-defined] # a PooledProtocol
        super()._release(key, protocol, should_close=should_close)
