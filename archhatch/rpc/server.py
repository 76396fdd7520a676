"""The answering side: one task for each connection, one for each call that arrives on it."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Collection
from typing import TYPE_CHECKING, TypeVar

import orjson

from ..exceptions import ArchhatchError
from ..runtime import Counters
from .framing import STREAM_LIMIT_BYTES, FrameError, pack, read_frame, set_socket_options
from .messages import Envelope

if TYPE_CHECKING:
    from loguru import Logger

# result codes: docs/codes.md
OK_CODE = 1000
MALFORMED_CODE = 2001
WRONG_NODE_CODE = 2008
UNKNOWN_VERB_CODE = 2009
INTERNAL_ERROR_CODE = 5001

MEANT_KEY = "Meant"  # in the document of a refusal: the node id that the call named
ACCEPT_BACKLOG = 256  # connections that wait to be accepted: all nodes may reconnect at once

# a function of (document, body) that returns the answer's document, or (document, body); may raise a CallRefusedError
Handler = Callable[[object, bytes], Awaitable[object]]
HandlerT = TypeVar("HandlerT", bound=Callable)
Identity = Callable[[], str | Collection[str]]


def is_misdirected(code: int, document: object) -> bool:
    """Returns whether an answer says that its call met another node than it meant; a handler's own 2008 does not.

    >>> is_misdirected(2008, {"Meant": "node-1"}), is_misdirected(2008, None)
    (True, False)
    """
    return code == WRONG_NODE_CODE and isinstance(document, dict) and MEANT_KEY in document


class CallRefusedError(ArchhatchError):
    """Raised by a handler to answer with another result code than 1000.

    Attributes:
        code: The result code.
        document: The answer's document.
    """

    code: int

    def __init__(self, code: int, document: object = None) -> None:
        super().__init__(f"{code}")
        self.code = code
        self.document = document


class Handlers:
    """Handlers by verb.

    >>> handlers = Handlers()
    >>> @handlers.on("ping")
    ... async def ping(document, body): return {"pong": True}
    >>> sorted(handlers.table)
    ['ping']

    Attributes:
        table: The handlers by verb.
    """

    def __init__(self) -> None:
        self.table: dict[str, Handler] = {}

    def on(self, verb: str) -> Callable[[HandlerT], HandlerT]:
        """Returns a decorator that makes a function the handler of a verb."""

        def register(function: HandlerT) -> HandlerT:
            self.table[verb] = function
            return function

        return register


class Server:
    """Listens on an address and runs the handlers of the calls that arrive.

    >>> from ..runtime import open_logs
    >>> from .connection import ConnectionPool
    >>> async def ping_over_tcp():
    ...     handlers, counters = Handlers(), Counters()
    ...     @handlers.on("ping")
    ...     async def ping(document, body): return {"pong": document}
    ...     server = Server(handlers, open_logs("doctest", "CRITICAL"), counters, lambda: "node-1")
    ...     await server.open("127.0.0.1:0")
    ...     pool = ConnectionPool(counters)
    ...     result = await pool.to(f"127.0.0.1:{server.port()}").call("ping", 1, to="node-1")
    ...     pool.end()
    ...     await server.close()
    ...     return result
    >>> asyncio.run(ping_over_tcp())
    CallResult(code=1000, document={'pong': 1}, body=b'')

    Attributes:
        handlers: The handlers by verb.
        log: Takes log lines.
        counters: Counts calls that were not run.
        identity: Returns the id of this node, or the set of its ids; a call that means another node is refused.
        now: The clock on which calls expire, in seconds.
    """

    def __init__(
        self,
        handlers: Handlers,
        log: Logger,
        counters: Counters,
        identity: Identity | None = None,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self.handlers = handlers
        self.log = log
        self.counters = counters
        self.identity = identity
        self.now = now
        self._server: asyncio.Server | None = None
        # keeps references to the tasks: the event loop holds only weak ones
        self._calls: set[asyncio.Task] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self, address: str) -> None:
        """Starts to listen on HOST:PORT."""
        host, port = address.rsplit(":", 1)
        self._server = await asyncio.start_server(
            self._serve_connection, host, int(port), limit=STREAM_LIMIT_BYTES, backlog=ACCEPT_BACKLOG
        )

    def port(self) -> int:
        """Returns the port on which it listens."""
        assert self._server is not None, "open() comes first"
        return self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Closes all connections and cancels all calls."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._calls):
            task.cancel()
        await asyncio.gather(*self._calls, return_exceptions=True)

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        set_socket_options(writer)
        self._writers.add(writer)
        try:
            while True:
                call = await read_frame(reader)
                task = asyncio.get_running_loop().create_task(self._run(call, writer, self.now()))
                self._calls.add(task)
                task.add_done_callback(self._calls.discard)
        except FrameError as error:
            self.counters.add("rpc.bad_frame")
            self.log.warning("rpc: connection closed, invalid frame, error={}", error)
        except (OSError, EOFError, asyncio.CancelledError):
            pass  # the other side closed, or this server does
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _run(self, call: Envelope, writer: asyncio.StreamWriter, arrived_at: float) -> None:
        """Runs one call and sends its answer."""
        if call.within_ms and self.now() - arrived_at > call.within_ms / 1000:
            self.counters.add("rpc.expired")  # its caller does not wait any more: it must not be carried out now
            return
        code, document, body = await self._answer(call)
        if writer.is_closing():
            return
        try:
            writer.write(self._pack(call, code, document, body))
            await writer.drain()
        except (OSError, RuntimeError):
            pass  # the connection closed meanwhile: the caller treats the call as unanswered

    def _pack(self, call: Envelope, code: int, document: object, body: bytes) -> bytes:
        head = document if isinstance(document, bytes) else orjson.dumps(document)  # a handler may return it encoded
        try:
            return pack(Envelope(call=call.call, code=code, head=head, body=body))
        except FrameError as error:
            self.counters.add("rpc.fault")
            self.log.error("rpc: answer too long, verb={} error={}", call.verb, error)  # noqa: TRY400 - no handler failed: a traceback says no more
            return pack(Envelope(call=call.call, code=INTERNAL_ERROR_CODE, head=orjson.dumps(str(error))))

    async def _answer(self, call: Envelope) -> tuple:
        """Runs the handler and returns (code, document, body).

        A plain tuple, as it is unpacked at once, for each call.
        """
        try:
            handler = self._find_handler(call)
            result = await handler(orjson.loads(call.head) if call.head else None, _take_body(call))
        except CallRefusedError as refusal:
            return refusal.code, refusal.document, b""
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as error:
            self.counters.add("rpc.bad_call")
            self.log.opt(exception=error).warning("rpc: malformed call, verb={}", call.verb)
            return MALFORMED_CODE, repr(error), b""
        except Exception as error:  # noqa: BLE001 - the top of a call's task: its caller gets an answer
            self.counters.add("rpc.fault")
            self.log.opt(exception=error).error("rpc: call failed, verb={}", call.verb)
            return INTERNAL_ERROR_CODE, repr(error), b""
        return (OK_CODE, *result) if isinstance(result, tuple) else (OK_CODE, result, b"")

    def _find_handler(self, call: Envelope) -> Handler:
        """Returns the handler of a call.

        Raises:
            CallRefusedError: The call means another node, or there is no such handler.
        """
        if call.to and not self._is_own_id(call.to):
            self.counters.add("rpc.other_node")
            raise CallRefusedError(WRONG_NODE_CODE, {MEANT_KEY: call.to})
        handler = self.handlers.table.get(call.verb)
        if handler is None:
            raise CallRefusedError(UNKNOWN_VERB_CODE)
        return handler

    def _is_own_id(self, node_id: str) -> bool:
        """Returns whether an id is one of this node's; a server that knows none has none."""
        own = self.identity() if self.identity is not None else ""
        return node_id == own if isinstance(own, str) else node_id in own


def _take_body(call: Envelope) -> bytes:
    """Takes the body out of a call, so that a long one lives no longer than its handler needs it."""
    body = call.body
    call.body = b""
    return body
