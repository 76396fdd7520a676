"""A server for HTTP/1.1: headers and bodies as they came, one place that writes all answers.

aiohttp.web as a whole also brings routing, files and websockets; a start takes a fifth less processor time without
them.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from functools import partial
from typing import TYPE_CHECKING, Any, cast

from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import HttpVersion11, RawRequestMessage
from aiohttp.streams import StreamReader
from aiohttp.web_exceptions import HTTPRequestEntityTooLarge
from aiohttp.web_protocol import RequestHandler, RequestPayloadError
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse

from ..memory import HELD_BODY, MemoryFullError
from ..runtime import Counters, Result, error_result
from .answer_writer import LARGE_ANSWER_BYTES, write_large_answer
from .body_reader import BodyReader
from .client_memory import BodyTerms, ClientMemory
from .connection import ClientConnection, ConnectionTable
from .limits import PARSER_HEADER_BYTES, HttpLimits
from .malformed import ErrorCounter
from .sweep import sweep_connections

if TYPE_CHECKING:
    from loguru import Logger

Handler = Callable[[BaseRequest, bytes], Awaitable[Result | StreamResponse]]
Screen = Callable[[BaseRequest], Result | BodyTerms]

HEADER_LINE_OVERHEAD = 4  # ": " and the end of the line
LISTEN_BACKLOG = 1024
ACCEPTED_AT_ONCE = 32  # connections, before the others have their turn
LINGERING_S = 1.0  # how long the rest of a body is read after an early answer
DRAIN_POLL_S = 0.05
SHUTDOWN_S = 0.2  # how long connections may take to end
UNLIMITED_FDS = 1 << 30  # of a server that is made without bounds
RETRY_AFTER_S = 0.5  # when a client may come back that was refused for lack of memory

FLUSH_S = 0.2  # how long the last answers may take to be written

MALFORMED_CODE = 2001
BODY_TOO_LARGE_CODE = 2012
TOO_SLOW_CODE = 2016
HEADERS_TOO_LARGE_CODE = 2017
NO_MEMORY_CODE = 3013
TIME_UP_CODE = 4002

_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class HttpServer:
    """Serves a handler on an address; it returns a Result, or a stream that it wrote itself.

    Attributes:
        is_draining: Whether connections are closed after their present request.
        in_flight: How many requests are being handled.
        limits: What it takes from clients; a change holds for the connections that are open as well.
    """

    def __init__(  # noqa: PLR0913, PLR0917 - what it uses, named one by one
        self,
        handler: Handler,
        log: Logger,
        counters: Counters,
        limits: HttpLimits | None = None,
        cancel_on_disconnect: bool = False,
        memory: ClientMemory | None = None,
        screen: Screen | None = None,
    ) -> None:
        """Prepares a server.

        Args:
            handler: Called with each request and its body.
            log: Where errors of handlers go.
            counters: Where refused connections and errors are counted.
            limits: What it takes from clients; the defaults if left out.
            cancel_on_disconnect: Whether a handler is cancelled when its client closes the connection.
            memory: What clients may make this process hold; without bounds if left out.
            screen: Called with a request whose body is not there yet: refuses it, or says on what terms it is read.
        """
        self._handler, self._log, self.counters = handler, log, counters
        self._cancel_on_disconnect = cancel_on_disconnect
        self._limits = HttpLimits() if limits is None else limits
        self.is_draining = False
        self.in_flight = 0
        self._memory = ClientMemory.of(0, UNLIMITED_FDS, counters) if memory is None else memory
        self._screen = screen
        self._body_reader = BodyReader(self._memory, lambda: self._limits.max_body_bytes)
        self._server: ConnectionTable | None = None
        self._listener: asyncio.Server | None = None
        self._sweeper: asyncio.Task[None] | None = None
        self._handlers: set[asyncio.Task[Any]] = set()
        self._is_time_up = False

    @property
    def limits(self) -> HttpLimits:
        """What it takes from clients."""
        return self._limits

    @limits.setter
    def limits(self, limits: HttpLimits) -> None:
        self._limits = limits
        if self._server is not None:
            self._server.apply_limits(limits)

    def held_bytes(self) -> dict[str, int]:
        """Returns how many bytes its clients make it hold, by kind."""
        table = self._server
        return {**self._memory.held_bytes(), "connections": table.total_bytes() if table is not None else 0}

    def kinds_at_their_bound(self) -> list[str]:
        """Returns the kinds of memory of which its clients would need more at the moment."""
        kinds = self._memory.pools_at_their_bound()
        return [*kinds, "connections"] if self._server is not None and self._server.is_full() else kinds

    async def open(self, address: str, sock: socket.socket | None = None) -> None:
        """Serves on an address, or on a socket that listens already."""
        loop = asyncio.get_running_loop()
        self._server = ConnectionTable(
            self._memory.connections,
            self.counters,
            cast(Any, self._serve),
            request_factory=self._make_request,
            handler_cancellation=self._cancel_on_disconnect,
            auto_decompress=False,
            access_log=None,
            logger=ErrorCounter(self.counters, self._log),
            keepalive_timeout=self.limits.idle_timeout_s,
            tcp_keepalive=False,
            max_line_size=PARSER_HEADER_BYTES,
            max_field_size=PARSER_HEADER_BYTES,
            lingering_time=LINGERING_S,
        )
        self._server.max_header_bytes = self.limits.max_header_bytes
        self._sweeper = loop.create_task(sweep_connections(self._server, lambda: self.limits, self.counters))
        if sock is None:
            host, port = address.rsplit(":", 1)
            sock = socket.create_server((host, int(port)), backlog=LISTEN_BACKLOG)
            sock.setblocking(False)
        # asyncio takes the backlog also for how many connections it accepts in one turn
        self._listener = await loop.create_server(self._server, backlog=ACCEPTED_AT_ONCE, sock=sock)
        sock.listen(LISTEN_BACKLOG)

    def port(self) -> int:
        """Returns the port that the server listens on."""
        return cast(asyncio.Server, self._listener).sockets[0].getsockname()[1]

    async def close(self, grace_s: float) -> None:
        """Lets the requests that are on their way finish, for `grace_s` at most, and ends.

        No request is read that is not answered: what is being handled at the end of the time is answered with an
        error, unless its answer has begun; connections on which nothing is under way are closed without being read.
        """
        server = cast(ConnectionTable, self._server)
        await self._wait_until_resting(grace_s)
        cast(asyncio.Task, self._sweeper).cancel()
        cast(asyncio.Server, self._listener).close()
        server.is_closed = True
        for connection in server.client_connections():
            if connection.is_resting():
                connection.force_close()
        self._is_time_up = True
        for handler in list(self._handlers):
            handler.cancel()
        await self._wait_until_resting(FLUSH_S)
        await server.shutdown(SHUTDOWN_S)

    async def _wait_until_resting(self, timeout_s: float) -> None:
        """Waits until all connections rest, but not longer than the timeout."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        server = cast(ConnectionTable, self._server)
        while loop.time() < deadline:
            if all(connection.is_resting() for connection in server.client_connections()):
                return
            await asyncio.sleep(DRAIN_POLL_S)

    def _make_request(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: RequestHandler,
        writer: AbstractStreamWriter,
        task: asyncio.Task[None],
    ) -> BaseRequest:
        loop = asyncio.get_running_loop()
        return BaseRequest(message, payload, protocol, writer, task, loop, client_max_size=self.limits.max_body_bytes)

    async def _serve(self, request: BaseRequest) -> StreamResponse:
        """Handles one request, from the end of its header section to its answer."""
        self.in_flight += 1
        connection = cast(ClientConnection, request.protocol)
        task = cast(asyncio.Task, asyncio.current_task())
        connection.begin_request(task)
        self._handlers.add(task)
        try:
            result = await self._result_of(request, connection, task)
            if isinstance(result, StreamResponse):
                return result
            is_last = result.close or (self.is_draining and not connection.has_queued_requests())
            if len(result.body) > LARGE_ANSWER_BYTES and request.method != "HEAD":
                return await write_large_answer(request, result, connection, is_last)
            return _small_response(result, is_last)
        finally:
            self.in_flight -= 1
            self._handlers.discard(task)
            connection.finish_request(is_read=request.content.is_eof())

    async def _result_of(
        self, request: BaseRequest, connection: ClientConnection, task: asyncio.Task[Any]
    ) -> Result | StreamResponse:
        """Returns what a request is answered, also where its handling failed or was ended."""
        try:
            return await self._handle(request, connection)
        except HTTPRequestEntityTooLarge:
            return _closing_error(BODY_TOO_LARGE_CODE)
        except MemoryFullError:
            return _closing_error(NO_MEMORY_CODE, RETRY_AFTER_S)
        except RequestPayloadError:
            self.counters.add("http.malformed.body")
            return _closing_error(MALFORMED_CODE)
        except ConnectionError:
            if connection.transport is not None:
                raise
            self.counters.add("http.client_left")
            return _closing_error(TIME_UP_CODE)  # nobody reads it
        except asyncio.CancelledError:
            code = self._code_of_end(request, connection)
            if code is None:
                raise
            task.uncancel()
            return _closing_error(code)

    def _code_of_end(self, request: BaseRequest, connection: ClientConnection) -> int | None:
        """Returns what the client of a request is told that was ended; None if nothing can be told any more."""
        if _has_begun_answer(request):
            return None
        if connection.end_reason is not None:
            self.counters.add(f"http.{connection.end_reason.value}")
            return TOO_SLOW_CODE
        if not self._is_time_up:
            return None
        self.counters.add("http.time_up")
        return TIME_UP_CODE

    async def _handle(self, request: BaseRequest, connection: ClientConnection) -> Result | StreamResponse:
        if _header_bytes(request) > self.limits.max_header_bytes:
            return _closing_error(HEADERS_TOO_LARGE_CODE)
        if request.content.is_eof():
            return await self._handler(request, self._arrived_body(request))
        return await self._handle_arriving(request, connection)

    def _arrived_body(self, request: BaseRequest) -> bytes:
        """Returns a body that came with its head; it is counted as read of its connection until its request ends.

        Raises:
            HTTPRequestEntityTooLarge: It is longer than is allowed.
        """
        body = request.content.read_nowait()
        max_bytes = self._limits.max_body_bytes
        if len(body) > max_bytes:
            raise HTTPRequestEntityTooLarge(max_bytes, len(body))
        return body

    async def _handle_arriving(self, request: BaseRequest, connection: ClientConnection) -> Result | StreamResponse:
        """Handles a request whose body is on its way."""
        terms = BodyTerms() if self._screen is None else self._screen(request)
        if isinstance(terms, Result):
            terms.close = True  # its body is not read
            return terms
        body = await self._body_reader.read(request, connection, terms, partial(_allow_body, request))
        HELD_BODY.set(body)  # each request is handled in a task, and so in a context, of its own
        try:
            return await self._handler(request, body.data)
        finally:
            body.release()


def _small_response(result: Result, is_last: bool) -> Response:
    """Returns an answer for aiohttp to write at once."""
    response = Response(status=result.status, body=result.body, headers=result.head)
    if is_last:
        response.force_close()
        response.headers["Connection"] = "close"
    return response


def _header_bytes(request: BaseRequest) -> int:
    fields = sum(len(name) + len(value) + HEADER_LINE_OVERHEAD for name, value in request.raw_headers)
    return fields + len(request.raw_path)


def _expects_continue(request: BaseRequest) -> bool:
    """Whether the client waits for leave to send the body."""
    return request.headers.get("Expect", "").lower() == "100-continue" and request.version >= HttpVersion11


async def _allow_body(request: BaseRequest) -> None:
    """Tells a client that waits for leave to send the body that it may."""
    if _expects_continue(request):
        await request.writer.write(_CONTINUE_RESPONSE)  # type: ignore[attr-defined] # a StreamWriter


def _has_begun_answer(request: BaseRequest) -> bool:
    """Whether part of an answer is on its way to the client, so that another would look like its rest."""
    sent_before = len(_CONTINUE_RESPONSE) if _expects_continue(request) else 0
    return request.transport is None or request.writer.output_size > sent_before  # type: ignore[attr-defined] # a StreamWriter


def _closing_error(code: int, after_s: float | None = None) -> Result:
    """A refusal after which the rest of the request is not read."""
    result = error_result(code, after_s=after_s)
    result.close = True
    return result
