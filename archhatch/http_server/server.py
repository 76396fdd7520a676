"""A server for HTTP/1.1: headers and bodies as they came, one place that writes all answers.

aiohttp.web as a whole also brings routing, files and websockets; a start takes a fifth less processor time without
them.
"""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, cast

from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import HttpProcessingError, HttpVersion11, RawRequestMessage
from aiohttp.streams import StreamReader
from aiohttp.web_exceptions import HTTPRequestEntityTooLarge
from aiohttp.web_protocol import RequestHandler
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from aiohttp.web_server import Server
from ..runtime import Counters, Result, error_result
from ..runtime.logs import LineLimit
from .limits import PARSER_HEADER_BYTES, HttpLimits

if TYPE_CHECKING:
    from loguru import Logger

Handler = Callable[[BaseRequest, bytes], Awaitable[Result | StreamResponse]]

SWEEPS_PER_HEADER_TIMEOUT = 4  # how often connections are looked at
MAX_MALFORMED_LINES_PER_S = 5  # log lines on requests that cannot be read
MAX_MESSAGE_CHARS = 200  # of what the parser says
HEADER_LINE_OVERHEAD = 4  # ": " and the end of the line
LISTEN_BACKLOG = 1024
LINGERING_S = 1.0  # how long the rest of a body is read after an early answer
DRAIN_POLL_S = 0.05
SHUTDOWN_S = 0.2  # how long connections may take to end

FLUSH_S = 0.2  # how long the last answers may take to be written

BODY_TOO_LARGE_CODE = 2012
HEADERS_TOO_LARGE_CODE = 2017
TIME_UP_CODE = 4002

_HEADER_TIMEOUT_RESPONSE = b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
_HEADERS_TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)
_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class _ClientConnection(RequestHandler):
    """One client's connection.

    Attributes:
        opened_at: When it was opened; None once it brought a request.
        header_started_at: Since when a request's header section is on its way; None while there is none.
        awaits_request: Whether no request of it is being handled.
    """

    __slots__ = ("opened_at", "header_started_at", "awaits_request", "_header_bytes")

    def __init__(self, *args: Any, **options: Any) -> None:  # noqa: ANN401 - those of aiohttp's RequestHandler
        super().__init__(*args, **options)
        self.opened_at: float | None = asyncio.get_running_loop().time()
        self.header_started_at: float | None = None
        self.awaits_request = True
        self._header_bytes = 0  # of the header section that is on its way

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes a connection; one that was accepted just before the server closed is left unread."""
        manager = cast(_Server, self._manager)
        super().connection_made(transport)
        if manager.is_closed:
            self.force_close()

    def has_queued_requests(self) -> bool:
        """Returns whether further requests have been read on it."""
        return bool(self._messages)

    def is_resting(self) -> bool:
        """Returns whether nothing of a request has arrived that is not answered yet."""
        waiter = self._waiter
        return waiter is not None and not waiter.done() and self.header_started_at is None

    def data_received(self, data: bytes) -> None:
        """Takes bytes from the socket."""
        if self.awaits_request and self.header_started_at is None:
            self.header_started_at = asyncio.get_running_loop().time()
            self._header_bytes = 0
        requests_before = self._request_count
        super().data_received(data)
        if self._request_count > requests_before:
            self.awaits_request = False
        elif self.awaits_request:
            self._check_unfinished_header(len(data))

    def _check_unfinished_header(self, received: int) -> None:
        """Ends a connection whose header section is too long before it is complete."""
        self._header_bytes += received
        transport = self.transport
        if self._header_bytes > cast(_Server, self._manager).max_header_bytes and transport is not None:
            cast(asyncio.Transport, transport).write(_HEADERS_TOO_LARGE_RESPONSE)
            transport.close()


class _Server(Server):
    is_closed = False  # whether connections are not read any more
    max_header_bytes = HttpLimits().max_header_bytes

    def apply_limits(self, limits: HttpLimits) -> None:
        """Puts limits in force for the connections that are open and for later ones."""
        self.max_header_bytes = limits.max_header_bytes
        self._kwargs["keepalive_timeout"] = limits.idle_timeout_s
        for connection in self.connections:
            connection._keepalive_timeout = limits.idle_timeout_s  # noqa: SLF001 - aiohttp has no public way

    def __call__(self) -> _ClientConnection:
        """Returns the protocol for a new connection."""
        return _ClientConnection(self, loop=self._loop, **self._kwargs)


class HttpServer:
    """Serves a handler on an address; it returns a Result, or a stream that it wrote itself.

    Attributes:
        is_draining: Whether connections are closed after their present request.
        in_flight: How many requests are being handled.
        limits: What it takes from clients; a change holds for the connections that are open as well.
    """

    def __init__(
        self,
        handler: Handler,
        log: Logger,
        counters: Counters,
        limits: HttpLimits | None = None,
        cancel_on_disconnect: bool = False,
    ) -> None:
        """Prepares a server.

        Args:
            handler: Called with each request and its body.
            log: Where errors of handlers go.
            counters: Where refused connections and errors are counted.
            limits: What it takes from clients; the defaults if left out.
            cancel_on_disconnect: Whether a handler is cancelled when its client closes the connection.
        """
        self._handler, self._log, self.counters = handler, log, counters
        self._cancel_on_disconnect = cancel_on_disconnect
        self._limits = HttpLimits() if limits is None else limits
        self.is_draining = False
        self.in_flight = 0
        self._server: _Server | None = None
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

    async def open(self, address: str, sock: socket.socket | None = None) -> None:
        """Serves on an address, or on a socket that listens already."""
        loop = asyncio.get_running_loop()
        self._server = _Server(
            cast(Any, self._serve),
            request_factory=self._make_request,
            handler_cancellation=self._cancel_on_disconnect,
            auto_decompress=False,
            access_log=None,
            logger=_ErrorCounter(self.counters, self._log),
            keepalive_timeout=self.limits.idle_timeout_s,
            tcp_keepalive=False,
            max_line_size=PARSER_HEADER_BYTES,
            max_field_size=PARSER_HEADER_BYTES,
            lingering_time=LINGERING_S,
        )
        self._server.max_header_bytes = self.limits.max_header_bytes
        self._sweeper = loop.create_task(self._sweep_connections(self._server))
        if sock is not None:
            self._listener = await loop.create_server(self._server, backlog=LISTEN_BACKLOG, sock=sock)
            return
        host, port = address.rsplit(":", 1)
        self._listener = await loop.create_server(
            self._server, backlog=LISTEN_BACKLOG, host=host, port=int(port), reuse_address=True
        )

    def port(self) -> int:
        """Returns the port that the server listens on."""
        return cast(asyncio.Server, self._listener).sockets[0].getsockname()[1]

    async def close(self, grace_s: float) -> None:
        """Lets the requests that are on their way finish, for `grace_s` at most, and ends.

        No request is read that is not answered: what is being handled at the end of the time is answered with an
        error, unless its answer has begun; connections on which nothing is under way are closed without being read.
        """
        server = cast(_Server, self._server)
        await self._wait_until_resting(grace_s)
        cast(asyncio.Task, self._sweeper).cancel()
        cast(asyncio.Server, self._listener).close()
        server.is_closed = True
        for connection in list(server.connections):
            if cast(_ClientConnection, connection).is_resting():
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
        server = cast(_Server, self._server)
        while loop.time() < deadline:
            if all(cast(_ClientConnection, connection).is_resting() for connection in server.connections):
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

    async def _sweep_connections(self, server: _Server) -> None:
        """Ends connections whose header section takes longer than HeaderTimeoutMs, and those that never send one."""
        loop = asyncio.get_running_loop()
        while True:
            header_timeout_s = self.limits.header_timeout_s
            await asyncio.sleep(header_timeout_s / SWEEPS_PER_HEADER_TIMEOUT)
            idle_timeout_s = self.limits.idle_timeout_s
            now = loop.time()
            for connection in server.connections:
                self._sweep(cast(_ClientConnection, connection), now, header_timeout_s, idle_timeout_s)

    def _sweep(self, connection: _ClientConnection, now: float, header_timeout_s: float, idle_timeout_s: float) -> None:
        transport = connection.transport
        if not connection.awaits_request or transport is None:
            return
        if connection.header_started_at is not None:
            if now - connection.header_started_at > header_timeout_s:
                self.counters.add("http.slow_header")
                cast(asyncio.Transport, transport).write(_HEADER_TIMEOUT_RESPONSE)
                transport.close()
        elif connection.opened_at is not None and now - connection.opened_at > idle_timeout_s:
            self.counters.add("http.idle")
            transport.close()

    async def _serve(self, request: BaseRequest) -> StreamResponse:
        """Handles one request, from the end of its header section to its answer."""
        self.in_flight += 1
        connection = cast(_ClientConnection, request.protocol)
        connection.awaits_request = False
        connection.header_started_at = connection.opened_at = None
        task = cast(asyncio.Task, asyncio.current_task())
        self._handlers.add(task)
        try:
            try:
                result = await self._handle(request)
            except HTTPRequestEntityTooLarge:
                result = _closing_error(BODY_TOO_LARGE_CODE)
            except asyncio.CancelledError:
                if not self._is_time_up or _has_begun_answer(request):
                    raise
                task.uncancel()
                self.counters.add("http.time_up")
                result = _closing_error(TIME_UP_CODE)
            return result if isinstance(result, StreamResponse) else self._response(result, connection)
        finally:
            self.in_flight -= 1
            self._handlers.discard(task)
            # not while the rest of a refused body is on its way, or a further request has been read
            connection.awaits_request = request.content.is_eof() and not connection.has_queued_requests()

    async def _handle(self, request: BaseRequest) -> Result | StreamResponse:
        if _expects_continue(request):
            await request.writer.write(_CONTINUE_RESPONSE)  # type: ignore[attr-defined] # a StreamWriter
        if _header_bytes(request) > self.limits.max_header_bytes:
            return _closing_error(HEADERS_TOO_LARGE_CODE)
        return await self._handler(request, await self._read_body(request))

    async def _read_body(self, request: BaseRequest) -> bytes:
        if not request.body_exists:
            return b""
        max_bytes = self.limits.max_body_bytes
        if request.content_length is not None and request.content_length > max_bytes:
            raise HTTPRequestEntityTooLarge(max_bytes, request.content_length)
        return await request.read()

    def _response(self, result: Result, connection: _ClientConnection) -> Response:
        response = Response(status=result.status, body=result.body, headers=result.head)
        is_last = self.is_draining and not connection.has_queued_requests()
        if is_last or result.close:
            response.force_close()
            response.headers["Connection"] = "close"
        return response


def _header_bytes(request: BaseRequest) -> int:
    fields = sum(len(name) + len(value) + HEADER_LINE_OVERHEAD for name, value in request.raw_headers)
    return fields + len(request.raw_path)


def _expects_continue(request: BaseRequest) -> bool:
    """Whether the client waits for leave to send the body."""
    return request.headers.get("Expect", "").lower() == "100-continue" and request.version >= HttpVersion11


def _has_begun_answer(request: BaseRequest) -> bool:
    """Whether part of an answer is on its way to the client, so that another would look like its rest."""
    sent_before = len(_CONTINUE_RESPONSE) if _expects_continue(request) else 0
    return request.transport is None or request.writer.output_size > sent_before  # type: ignore[attr-defined] # a StreamWriter


def _closing_error(code: int) -> Result:
    """A refusal after which the rest of the request is not read."""
    result = error_result(code)
    result.close = True
    return result


class _ErrorCounter:
    """Takes the place of aiohttp's logger: malformed requests are counted, faults of handlers are logged too."""

    def __init__(self, counters: Counters, log: Logger) -> None:
        self.counters, self._log = counters, log
        self._line_limit = LineLimit(MAX_MALFORMED_LINES_PER_S)

    def _note_malformed(self, error: HttpProcessingError) -> None:
        """Counts a request that cannot be read by its reason; clients must not fill the log."""
        reason = type(error).__name__
        self.counters.add(f"http.malformed.{reason}")
        if self._line_limit.admits(time.monotonic()):
            self._log.info("http: malformed request, reason={} message={!r}", reason, error.message[:MAX_MESSAGE_CHARS])

    def debug(self, *_args: object, exc_info: object = None, **_options: object) -> None:
        """Notes a request that cannot be read; drops the rest."""
        if isinstance(exc_info, HttpProcessingError):
            self._note_malformed(exc_info)

    info = debug

    def error(self, *_args: object, **_options: object) -> None:
        """Counts a malformed request."""
        self.counters.add("http.error")

    warning = error

    def exception(self, message: str, *args: object, exc_info: Any = None, **_options: object) -> None:  # noqa: ANN401 - as in logging
        """Counts and logs a fault of a handler, or a request that cannot be read."""
        error = exc_info if isinstance(exc_info, BaseException) else sys.exc_info()[1]
        if isinstance(error, HttpProcessingError):
            self._note_malformed(error)
            return
        self.counters.add("http.fault")
        self._log.opt(exception=exc_info or True).error("http: {}", message % args if args else message)
