"""The answering side of a rpc: one task for each connection, one for each call that it carries."""
from __future__ import annotations

import asyncio

import orjson

from .framing import FrameFault, pack, read_frame, tune
from .messages import Envelope


class Refusal(Exception):
    """Raised by a handler to answer with a result code other than 'done'."""

    def __init__(self, code: int, doc: object = None):
        super().__init__(f"{code}")
        self.code, self.doc = code, doc


class Handlers:
    """Handlers by verb.

    >>> v = Handlers()
    >>> @v.on("ping")
    ... async def ping(doc, body): return {"pong": True}
    >>> sorted(v.table)
    ['ping']
    """

    def __init__(self):
        self.table: dict = {}

    def on(self, verb: str):
        def put(fn):
            self.table[verb] = fn
            return fn
        return put


class Server:
    """Listens on an address and runs the handlers of the verbs that arrive.

    >>> # desk = Server(verbs, log, counters); await desk.open("10.0.0.1:7380")
    """

    def __init__(self, verbs: Handlers, log, counters, identity=None):
        self.verbs, self.log, self.ctr = verbs, log, counters
        self._srv = None
        self._calls: set = set()
        self._conns: set = set()

    async def open(self, addr: str) -> None:
        host, port = addr.rsplit(":", 1)
        self._srv = await asyncio.start_server(self._serve, host, int(port), limit=1 << 20, backlog=256)

    def port(self) -> int:
        return self._srv.sockets[0].getsockname()[1]

    async def _serve(self, rd, wr) -> None:
        tune(wr)
        self._conns.add(wr)
        try:
            while True:
                env = await read_frame(rd)
                task = asyncio.get_running_loop().create_task(self._run(env, wr))
                self._calls.add(task)
                task.add_done_callback(self._calls.discard)
        except FrameFault as e:
            self.ctr.add("rpc.bad_frame")
            self.log.warning("a rpc sent no frame: {}", e)
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._conns.discard(wr)
            wr.transport.abort()

    async def _run(self, env: Envelope, wr) -> None:
        code, doc, body = 1000, None, b""
        fn = self.verbs.table.get(env.verb)
        try:
            if fn is None:
                raise Refusal(2009)
            out = await fn(orjson.loads(env.head) if env.head else None, env.body)
            doc, body = out if isinstance(out, tuple) else (out, b"")
        except Refusal as e:
            code, doc = e.code, e.doc
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as e:
            code, doc = 2001, repr(e)
            self.ctr.add("rpc.bad_call")
            self.log.opt(exception=e).warning("call {} could not be read", env.verb)
        except Exception as e:
            code, doc = 5001, repr(e)
            self.ctr.add("rpc.fault")
            self.log.opt(exception=e).error("call {} failed", env.verb)
        if not wr.is_closing():
            try:
                head = doc if isinstance(doc, bytes) else orjson.dumps(doc)   # a handler may bring them ready
                wr.write(pack(Envelope(call=env.call, code=code, head=head, body=body)))
                await wr.drain()
            except (OSError, RuntimeError):
                pass

    async def close(self) -> None:
        if self._srv is not None:
            self._srv.close()
        for wr in list(self._conns):
            wr.transport.abort()
        for t in list(self._calls):
            t.cancel()
        await asyncio.gather(*self._calls, return_exceptions=True)
