"""A client's connection, and the table of them: the one module that touches aiohttp's private parts (aiohttp 3.14).

Turns: a connection reads READ_BYTES at most before the others have their turn, and parses no more than
MAX_REQUESTS_AHEAD requests, or BUFFERED_BYTES of a body, beyond what is being served; the rest waits unread, so that
TCP slows its client down. What is read and not served yet, and what a client does not take, is counted against the
bounds of all connections; beyond them one gives way.
"""

from __future__ import annotations

import asyncio
import enum
from typing import Any, cast

from aiohttp import web_protocol
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler
from aiohttp.web_server import Server

from ..memory import Charge
from ..runtime import Counters
from .client_memory import CONNECTION_BYTES, ConnectionBounds
from .connection_choice import ConnectionState, Stage, choose_to_close
from .limits import HttpLimits

READ_BYTES = 16 << 10  # of one connection, before the others have their turn
BUFFERED_BYTES = 16 << 10  # of a body that is not being read yet, in 512 chunks at most
MAX_REQUESTS_AHEAD = 2  # parsed, beside the one that is being served
UNSENT_BYTES = 16 << 10  # of answers, from which on the next request of the connection waits

web_protocol.MAX_MSG_QUEUE_SIZE = MAX_REQUESTS_AHEAD

HEADER_TIMEOUT_RESPONSE = b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
HEADERS_TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)


class EndReason(enum.Enum):
    """Why the handling of a request is ended before its time."""

    BODY_GAVE_WAY = "body_gave_way"  # its body made no progress while others waited for memory
    BODY_STALLED = "body_stalled"  # nothing of its body came for too long


class ClientConnection(RequestHandler):
    """One client's connection.

    Attributes:
        opened_at: When it was opened; None once it brought a request.
        header_started_at: Since when a request's header section is on its way; None while there is none.
        awaits_request: Whether no request of it is being handled.
        rested_at: When its last request ended, or when it was opened.
        body_charge: What it holds for a body that is being read; None while none is.
        waits_for_memory_since: Since when its request waits for memory; None while it does not.
        unserved_bytes: What was read and not served yet, beside bodies that hold memory of their own.
        unsent_bytes: What its client did not take when that was more than UNSENT_BYTES.
        unsent_since: Since when; None while its client takes what it is sent.
        is_giving_way: Whether it is about to end for the sake of others.
        is_discarding: Whether the rest of a refused body is on its way, which is read and let go.
        end_reason: Why its request is being ended; None while it is not.
    """

    __slots__ = (
        "opened_at",
        "header_started_at",
        "awaits_request",
        "rested_at",
        "body_charge",
        "waits_for_memory_since",
        "unserved_bytes",
        "unsent_bytes",
        "unsent_since",
        "is_giving_way",
        "is_discarding",
        "end_reason",
        "_header_bytes",
        "_serving_task",
    )

    def __init__(self, *args: Any, **options: Any) -> None:  # noqa: ANN401 - those of aiohttp's RequestHandler
        super().__init__(*args, **options)
        now = asyncio.get_running_loop().time()
        self.opened_at: float | None = now
        self.header_started_at: float | None = None
        self.awaits_request = True
        self.rested_at = now
        self.body_charge: Charge | None = None
        self.waits_for_memory_since: float | None = None
        self.unserved_bytes = 0
        self.unsent_bytes = 0
        self.unsent_since: float | None = None
        self.is_giving_way = False
        self.is_discarding = False
        self.end_reason: EndReason | None = None
        self._header_bytes = 0  # of the header section that is on its way
        self._serving_task: asyncio.Task[Any] | None = None

    @property
    def _table(self) -> ConnectionTable:
        return cast(ConnectionTable, self._manager)

    @property
    def has_ended(self) -> bool:
        """Whether it is closed; its request may still be worked on, and it stays in the table until that ends."""
        return self._manager is None

    @property
    def peer(self) -> str:
        """The address of the client."""
        name = self.peername
        return str(name[0]) if name else ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes a connection; one that was accepted just before the server closed is left unread."""
        cast(Any, transport).max_size = READ_BYTES  # of asyncio's transports over sockets: how much one read takes
        cast(asyncio.Transport, transport).set_write_buffer_limits(high=UNSENT_BYTES)
        super().connection_made(transport)
        table = self._table
        if table.is_closed:
            self.force_close()
        else:
            table.make_room(newcomer=self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Lets go at once of what was read: the objects of a connection refer to each other, and are freed late."""
        table = self._manager
        if table is None:
            return
        self.take_unserved()
        self._take_unsent()
        cast(ConnectionTable, table).giving_way_count -= self.is_giving_way
        messages = list(self._messages)
        self._messages.clear()
        super().connection_lost(exc)
        for _, payload in messages:
            payload.set_exception(ConnectionResetError("Connection lost"))
            discard_buffered(payload)

    # -- what it is at

    def has_queued_requests(self) -> bool:
        """Returns whether further requests have been read on it."""
        return bool(self._messages)

    def is_resting(self) -> bool:
        """Returns whether nothing of a request has arrived that is not answered yet."""
        waiter = self._waiter
        return waiter is not None and not waiter.done() and self.header_started_at is None

    def state(self, key: int) -> ConnectionState:
        """Returns what it is at, for the choice of one that gives way."""
        held_bytes = self.unserved_bytes + self.unsent_bytes
        if self.unsent_since is not None:
            return ConnectionState(key, Stage.UNSENT, self.unsent_since, held_bytes)
        if self.body_charge is not None:
            return ConnectionState(key, Stage.ARRIVING, self.body_charge.progress_at, held_bytes)
        if self.waits_for_memory_since is not None:
            return ConnectionState(key, Stage.ARRIVING, self.waits_for_memory_since, held_bytes)
        if not self.awaits_request:
            return ConnectionState(key, Stage.SERVED, self.rested_at, held_bytes)
        if self.header_started_at is not None:
            return ConnectionState(key, Stage.ARRIVING, self.header_started_at, held_bytes)
        return ConnectionState(key, Stage.RESTING, self.rested_at, held_bytes)

    # -- what is read

    def data_received(self, data: bytes) -> None:
        """Takes bytes from the socket."""
        if self.awaits_request and self.header_started_at is None:
            self.header_started_at = asyncio.get_running_loop().time()
            self._header_bytes = 0
        if self.body_charge is None and not self.is_discarding:
            self._note_unserved(len(data))
        requests_before = self._request_count
        super().data_received(data)
        if self._request_count > requests_before:
            self.awaits_request = False
        elif self.awaits_request:
            self._check_unfinished_header(len(data))

    def _note_unserved(self, count: int) -> None:
        if self._manager is None:
            return
        self.unserved_bytes += count
        table = self._table
        table.held_bytes += count
        if count and table.are_bounds_passed():
            table.make_room()

    def take_unserved(self, left_bytes: int = 0) -> None:
        """Notes that what was read has been served, or counts elsewhere, but for so many bytes."""
        count = self.unserved_bytes - left_bytes
        if count <= 0:
            return
        self.unserved_bytes = left_bytes
        if self._manager is not None:
            self._table.held_bytes -= count

    def _check_unfinished_header(self, received: int) -> None:
        """Ends a connection whose header section is too long before it is complete."""
        self._header_bytes += received
        if self.transport is not None and self._header_bytes > self._table.max_header_bytes:
            self.transport.write(HEADERS_TOO_LARGE_RESPONSE)
            self.transport.close()

    # -- what is written

    def pause_writing(self) -> None:
        """Notes that its client does not take what it is sent."""
        super().pause_writing()
        if self.transport is None or self._manager is None:
            return
        self.unsent_since = asyncio.get_running_loop().time()
        self.unsent_bytes = self.transport.get_write_buffer_size()
        self._table.held_bytes += self.unsent_bytes
        if self._table.are_bounds_passed():
            self._table.make_room()

    def resume_writing(self) -> None:
        """Notes that its client took most of what it was sent."""
        self._take_unsent()
        super().resume_writing()

    def _take_unsent(self) -> None:
        if self._manager is not None:
            self._table.held_bytes -= self.unsent_bytes
        self.unsent_bytes = 0
        self.unsent_since = None

    # -- its requests, and their end

    def begin_request(self, task: asyncio.Task[Any]) -> None:
        """Notes that a request is being handled."""
        self._serving_task = task
        self.awaits_request = self.is_discarding = False
        self.header_started_at = self.opened_at = None

    def finish_body(self) -> None:
        """Notes that a body is read, or will not be; what comes next is read in small parts again."""
        self.body_charge = None
        self.waits_for_memory_since = None
        if self.transport is not None:
            cast(Any, self.transport).max_size = READ_BYTES

    def finish_request(self, is_read: bool) -> None:
        """Notes that it is handled.

        Args:
            is_read: Whether nothing of it is on its way any more.
        """
        # of requests that were read ahead no more than a read and a buffer is left
        self.take_unserved(READ_BYTES + BUFFERED_BYTES if self._messages else 0)
        self._serving_task = None
        self.is_discarding = not is_read
        self.awaits_request = is_read and not self._messages
        self.rested_at = asyncio.get_running_loop().time()

    def end_request(self, reason: EndReason) -> None:
        """Ends the handling of its request; what the client is told follows from the reason."""
        if self._serving_task is not None and self.end_reason is None:
            self.end_reason = reason
            self._serving_task.cancel()

    def give_way(self) -> None:
        """Ends the connection for the sake of others; a request whose body is on its way is answered before.

        One that has ended already has nothing to give.
        """
        if self.has_ended:
            return
        self.is_giving_way = True
        self._table.giving_way_count += 1
        if self.body_charge is not None or self.waits_for_memory_since is not None:
            self.end_request(EndReason.BODY_GAVE_WAY)
        elif self.transport is not None:
            self.transport.abort()

    def abort(self) -> None:
        """Ends the connection at once."""
        if self.transport is not None:
            self.transport.abort()


class ConnectionTable(Server):
    """The connections of a server.

    Attributes:
        is_closed: Whether connections are not read any more.
        max_header_bytes: Of a request's header section.
        held_bytes: What its connections hold beside their own objects.
        giving_way_count: How many of them are about to end.
    """

    is_closed = False
    max_header_bytes = HttpLimits().max_header_bytes

    def __init__(self, bounds: ConnectionBounds, counters: Counters, handler: Any, **options: Any) -> None:  # noqa: ANN401 - those of aiohttp's Server
        super().__init__(handler, **options)
        self.held_bytes = 0
        self.giving_way_count = 0
        self._bounds, self._counters = bounds, counters

    def __call__(self) -> ClientConnection:
        """Returns the protocol for a new connection."""
        return ClientConnection(self, loop=self._loop, read_bufsize=BUFFERED_BYTES // 2, **self._kwargs)

    def client_connections(self) -> list[ClientConnection]:
        """Returns the open connections."""
        return cast(list[ClientConnection], list(self.connections))

    def apply_limits(self, limits: HttpLimits) -> None:
        """Puts limits in force for the connections that are open and for later ones."""
        self.max_header_bytes = limits.max_header_bytes
        self._kwargs["keepalive_timeout"] = limits.idle_timeout_s
        for connection in self.connections:
            connection._keepalive_timeout = limits.idle_timeout_s  # noqa: SLF001 - aiohttp has no public way

    def are_bounds_passed(self) -> bool:
        """Whether there are too many connections, or they hold too much."""
        return self._bounds.are_passed(len(self._connections) - self.giving_way_count, self.held_bytes)

    def is_full(self) -> bool:
        """Whether one connection more would be too many."""
        return self._bounds.are_passed(len(self._connections) - self.giving_way_count + 1, self.held_bytes)

    def total_bytes(self) -> int:
        """Returns about what its connections take."""
        return len(self._connections) * CONNECTION_BYTES + self.held_bytes

    def make_room(self, newcomer: ClientConnection | None = None) -> None:
        """Closes a connection if there are too many; one that is being served never is.

        Args:
            newcomer: A connection that was just made, which goes if all others are being served.
        """
        if not self.are_bounds_passed():
            return
        connections = [
            connection
            for connection in self.client_connections()
            if not connection.is_giving_way and not connection.has_ended
        ]
        states = [connection.state(key) for key, connection in enumerate(connections)]
        chosen = choose_to_close(states, self._loop.time())
        giving_way = newcomer if chosen is None else connections[chosen]
        if giving_way is not None:
            self._counters.add("http.gave_way")
            giving_way.give_way()


def set_read_bytes(connection: ClientConnection, content: StreamReader, count: int) -> None:
    """Sets how much is read at once of a body that memory is held for."""
    content.set_read_chunk_size(count)
    if connection.transport is not None:
        cast(Any, connection.transport).max_size = count


def discard_buffered(content: StreamReader) -> None:
    """Lets go of what was read of a body."""
    buffer = getattr(content, "_buffer", None)
    if buffer:
        buffer.clear()


__all__ = [
    "HEADER_TIMEOUT_RESPONSE",
    "ClientConnection",
    "ConnectionTable",
    "EndReason",
    "discard_buffered",
    "set_read_bytes",
]
