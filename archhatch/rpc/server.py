"""The answering side: one task for each connection, one for each call that it carries."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import orjson

from .framing import FrameError, pack, read_frame, tune
from .messages import Envelope

OK, BAD_CALL, NOT_THIS_NODE, NO_SUCH_CALL, FAULT = 1000, 2001, 2008, 2009, 5001

MEANT = "Meant"  # in the document of a refusal: the id that the call named


def is_misdirected(code: int, doc: object) -> bool:
    """Whether an answer says that its call met another node than it meant. A handler's own 2008 is none.

    >>> is_misdirected(2008, {"Meant": "node-1"}), is_misdirected(2008, None)
    (True, False)
    """
    return code == NOT_THIS_NODE and isinstance(doc, dict) and MEANT in doc


class CallRefusedError(Exception):
    """Raised by a handler to answer with a result code other than 'done'."""

    def __init__(self, code: int, doc: object = None):
        super().__init__(f"{code}")
        self.code, self.document = code, doc


class Handlers:
    """Handlers by verb.

    >>> handlers = Handlers()
    >>> @handlers.on("ping")
    ... async def ping(doc, body): return {"pong": True}
    >>> sorted(handlers.table)
    ['ping']
    """

    def __init__(self):
        self.table: dict = {}

    def on(self, verb: str):
        """A decorator that makes a function the handler of a verb."""

        def put(function):
            self.table[verb] = function
            return function

        return put


class Server:
    """Listens on an address and runs the handlers of the calls that arrive.

    identity() gives the id of this node, or the set of its ids; a call that means another node is refused.

    >>> # server = Server(handlers, log, counters, lambda: "node-1"); await server.open("10.0.0.1:7380")
    """

    def __init__(
        self,
        handlers: Handlers,
        log,
        counters,
        identity: Callable | None = None,
        now: Callable[[], float] = time.monotonic,
    ):
        self.handlers, self.log, self.counters = handlers, log, counters
        self.identity, self.now = identity, now
        self._server = None
        self._calls: set = set()
        self._writers: set = set()

    async def open(self, address: str) -> None:
        """Start to listen."""
        host, port = address.rsplit(":", 1)
        self._server = await asyncio.start_server(self._serve, host, int(port), limit=1 << 20, backlog=256)

    def port(self) -> int:
        """The port on which it listens."""
        return self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """End all connections and all calls."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._calls):
            task.cancel()
        await asyncio.gather(*self._calls, return_exceptions=True)

    async def _serve(self, reader, writer) -> None:
        tune(writer)
        self._writers.add(writer)
        try:
            while True:
                call = await read_frame(reader)
                task = asyncio.get_running_loop().create_task(self._run(call, writer, self.now()))
                self._calls.add(task)
                task.add_done_callback(self._calls.discard)
        except FrameError as e:
            self.counters.add("rpc.bad_frame")
            self.log.warning("a connection between nodes brought no frame: {}", e)
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _run(self, call: Envelope, writer, arrived: float) -> None:
        if call.within_ms and self.now() - arrived > call.within_ms / 1000:
            self.counters.add("rpc.expired")  # its caller waits no more: it must not be carried out now
            return
        code, doc, body = await self._answer(call)
        if writer.is_closing():
            return
        try:
            writer.write(self._pack(call, code, doc, body))
            await writer.drain()
        except (OSError, RuntimeError):
            pass

    def _pack(self, call: Envelope, code: int, doc, body: bytes) -> bytes:
        head = doc if isinstance(doc, bytes) else orjson.dumps(doc)  # a handler may bring them ready
        try:
            return pack(Envelope(call=call.call, code=code, head=head, body=body))
        except FrameError as e:
            self.counters.add("rpc.fault")
            self.log.error("the answer to {} is too long: {}", call.verb, e)
            return pack(Envelope(call=call.call, code=FAULT, head=orjson.dumps(str(e))))

    async def _answer(self, call: Envelope) -> tuple:
        """Run the handler: (code, document, body)."""
        try:
            function = self._handler(call)
            out = await function(orjson.loads(call.head) if call.head else None, call.body)
            return (OK, *out) if isinstance(out, tuple) else (OK, out, b"")
        except CallRefusedError as e:
            return e.code, e.document, b""
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as e:
            self.counters.add("rpc.bad_call")
            self.log.opt(exception=e).warning("call {} could not be read", call.verb)
            return BAD_CALL, repr(e), b""
        except Exception as e:
            self.counters.add("rpc.fault")
            self.log.opt(exception=e).error("call {} failed", call.verb)
            return FAULT, repr(e), b""

    def _handler(self, call: Envelope):
        """The handler of a call; CallRefusedError if the call means another node, or none such exists."""
        if call.to and not self._is_me(call.to):
            self.counters.add("rpc.other_node")
            raise CallRefusedError(NOT_THIS_NODE, {MEANT: call.to})
        function = self.handlers.table.get(call.verb)
        if function is None:
            raise CallRefusedError(NO_SUCH_CALL)
        return function

    def _is_me(self, node: str) -> bool:
        """Whether an id is one of this node's; a server that knows none answers to none."""
        mine = self.identity() if self.identity is not None else ""
        return node == mine if isinstance(mine, str) else node in mine
