"""The kept connections to replicas, and how long one may idle before it is no longer trusted."""

from __future__ import annotations

import functools
import re
import select
import time
from collections.abc import Callable
from contextvars import ContextVar
from dataclasses import dataclass

import aiohttp
from aiohttp.client_proto import ResponseHandler

STATED = 0.8  # of the time that a replica's Keep-Alive states: its close may be on the way
PROVEN_S = 30.0  # how long it counts that a connection served after some idle time, or was reset
IDLED_S = 0.25  # a connection that idled for less was not forgotten,
AT_ONCE_S = 0.25  # ... nor one that broke later than this after the request: something else is wrong
AGAIN, ONCE = "again", "once"
USE: ContextVar["Use | None"] = ContextVar("use", default=None)


@dataclass(slots=True)
class Use:
    """One request's way to its connection: what it may do, and how long the connection idled (None: a new one).

    >>> Use(ONCE).idle is None
    True
    """

    mode: str = ""
    idle: float | None = None
    taken: float = 0.0  # when it got its connection
    may_send: Callable[[], bool] | None = None  # asked when the connection is there, right before the write


class NotSentError(aiohttp.ClientConnectionError):
    """The request may no longer be sent, and nothing of it was written."""


class PooledProtocol(ResponseHandler):
    """aiohttp's side of a connection, which ends when bytes come on it while no request waits: they belong to none."""

    resting = False

    def data_received(self, data: bytes) -> None:
        """Bytes came."""
        if self.resting and data:  # aiohttp calls it without data too
            self.close()
            return
        super().data_received(data)

    def usable(self) -> bool:
        """Whether a request may go on this kept connection: it is open, and nothing waits on it to be read.

        What the process did not read yet is looked at too: after a standstill, the end of the connection, or an answer
        too many, waits in the socket.
        """
        if not self.is_connected() or self.should_close:
            return False
        waiting = select.poll()
        waiting.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return not waiting.poll(0)


@dataclass(slots=True)
class _Seen:
    """What the kept connections of one address showed."""

    stated: float = float("inf")  # its Keep-Alive
    served: float = 0.0  # the longest idle time after which one served,
    served_at: float = float("-inf")
    reset: float = float("inf")  # ... and the shortest after which one was reset
    reset_at: float = float("-inf")


class PooledConnector(aiohttp.TCPConnector):
    """aiohttp's connector, which uses the connection that idled least, and none that idled too long for the request.

    A replica may forget an idle connection without notice, and resets whatever comes on it next. A request that may run
    only once (Use.mode ONCE) therefore takes a kept connection only up to an idle time after which one served lately.

    >>> # conn = PooledConnector(limit=0); conn.idle("10.0.0.9:8080")
    """

    def __init__(self, now=time.monotonic, counters=None, **kwargs):
        super().__init__(**kwargs)
        self._counters = counters
        self._factory = functools.partial(PooledProtocol, loop=self._loop)
        self._now = now
        self._keys: dict[str, tuple] = {}
        self._seen: dict[str, _Seen] = {}

    def idle(self, address: str) -> bool:
        """Whether a connection to an address is open, unused, and fit for a request that may be repeated."""
        kept = self._conns.get(self._keys.get(address))
        return bool(kept) and kept[-1][0].is_connected() and self._idled(kept[-1][0]) <= self._most(address, "")

    def served(self, address: str, use: Use, keep_alive: str) -> None:
        """An answer came on a connection."""
        seen, now = self._seen_at(address), self._now()
        stated = re.search(r"(?:timeout\s*=\s*)?(\d+)", keep_alive)
        if stated is not None:
            seen.stated = float(stated[1])
        if use.idle is not None and (use.idle >= seen.served or now - seen.served_at > PROVEN_S):
            seen.served, seen.served_at = use.idle, now

    def was_reset(self, address: str, use: Use) -> bool:
        """A connection broke before any answer; True if it was a kept one that must have been forgotten, which says
        nothing of the replica's health."""
        if use.idle is None or use.idle < IDLED_S or self._now() - use.taken > AT_ONCE_S:
            return False
        seen, now = self._seen_at(address), self._now()
        if use.idle <= seen.reset or now - seen.reset_at > PROVEN_S:
            seen.reset, seen.reset_at = use.idle, now
        if seen.served >= use.idle:
            seen.served = 0.0  # what served before does no more
        return True

    def _seen_at(self, address: str) -> _Seen:
        seen = self._seen.get(address)
        if seen is None:
            seen = self._seen[address] = _Seen()
        return seen

    def _idled(self, proto) -> float:
        return self._now() - getattr(proto, "idle_from", float("-inf"))

    def _most(self, address: str, mode: str) -> float:
        """The longest idle time after which a request may use a connection to an address."""
        seen, now = self._seen.get(address), self._now()
        if seen is None:
            return 0.0 if mode == ONCE else float("inf")
        most = STATED * seen.stated
        if now - seen.reset_at <= PROVEN_S:
            most = min(most, STATED * seen.reset)
        if mode == ONCE:
            most = min(most, seen.served if now - seen.served_at <= PROVEN_S else 0.0)
        return most

    async def connect(self, request, traces, timeout):
        key = request.connection_key
        self._keys[f"{key.host}:{key.port}"] = key
        conn, use = await super().connect(request, traces, timeout), USE.get()
        if use is not None and use.may_send is not None and not use.may_send():
            conn.release()
            raise NotSentError("its time was over when the connection was there")
        return conn

    async def _create_connection(self, request, traces, timeout):
        if self._counters is not None:
            self._counters.add("connect.new")  # dear to replicas
        return await super()._create_connection(request, traces, timeout)

    async def _get(self, key, traces):
        # aiohttp would take the one that idled longest, which keeps more of them open than are needed
        kept, use = self._conns.get(key), USE.get()
        while kept and not kept[-1][0].usable():
            kept.pop()[0].close()
        if not kept:
            self._conns.pop(key, None)
            return None
        idle, address = self._idled(kept[-1][0]), f"{key.host}:{key.port}"
        if idle > self._most(address, use.mode if use is not None else ""):
            if idle > self._most(address, ""):
                for proto, _ in self._conns.pop(key):  # those that idled longer are no better
                    proto.close()
            return None
        kept.rotate(1)
        conn = await super()._get(key, traces)
        if conn is not None:
            conn.protocol.resting = False
        if conn is not None and use is not None:
            use.idle, use.taken = idle, self._now()
        return conn

    def _release(self, key, protocol, *, should_close=False):
        protocol.idle_from, protocol.resting = self._now(), True
        super()._release(key, protocol, should_close=should_close)
