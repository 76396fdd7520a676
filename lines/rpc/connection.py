"""A line to one neighbour: calls go out, answers come back, matched through a slab."""
from __future__ import annotations

import asyncio

import orjson

from .framing import FrameFault, pack, read_frame, tune
from .messages import Envelope
from .pending import PendingCalls


class CallError(Exception):
    """A call that got no answer. sent says whether the neighbour may have read it."""

    def __init__(self, why: str, sent: bool):
        super().__init__(why)
        self.sent = sent


class Connection:
    """One connection to one address, dialled when first needed.

    >>> # code, head, body = await line.call("ping", {"a": 1}, secs=0.5)
    """

    def __init__(self, addr: str, ctr, dial_s: float = 0.6, idle_s: float = 1.2):
        self.addr, self.ctr = addr, ctr
        self.dial_s, self.idle_s = dial_s, idle_s
        self._slab = PendingCalls()
        self._wr: asyncio.StreamWriter | None = None
        self._task: asyncio.Task | None = None
        self._dial = asyncio.Lock()
        self.heard = float("-inf")

    async def _open(self) -> asyncio.StreamWriter:
        async with self._dial:
            if self._wr is not None and not self._wr.is_closing():
                return self._wr
            host, port = self.addr.rsplit(":", 1)
            try:
                rd, wr = await asyncio.wait_for(asyncio.open_connection(host, int(port), limit=1 << 20), self.dial_s)
            except (OSError, asyncio.TimeoutError, TimeoutError) as e:
                raise CallError(f"{self.addr}: {e!r}", sent=False) from e
            tune(wr)
            self._wr = wr
            self._task = asyncio.get_running_loop().create_task(self._read(rd, wr))
            return wr

    async def _read(self, rd, wr) -> None:
        try:
            while True:
                env = await read_frame(rd)
                self.heard = asyncio.get_running_loop().time()
                fut = self._slab.take(env.call)
                if fut is None or fut.done():
                    self.ctr.add("rpc.late_answer")   # nobody waits for it any more, or it came twice
                    continue
                fut.set_result(env)
        except (OSError, EOFError, FrameFault, asyncio.IncompleteReadError):
            pass
        finally:
            if self._wr is wr:
                self.hang_up()
            else:
                wr.close()

    def hang_up(self) -> None:
        """End the connection; whoever waits on it is told so. The next call dials again."""
        wr, self._wr = self._wr, None
        if wr is not None:
            wr.transport.abort()
        for fut in self._slab.drain():
            if not fut.done():
                fut.set_exception(CallError(f"{self.addr}: broke off", sent=True))

    async def call(self, verb: str, doc: object = None, body: bytes = b"", secs: float = 1.0, to: str = ""):
        """Send a call and wait for its answer: (code, document, body). CallError if none comes."""
        wr = await self._open()
        loop = asyncio.get_running_loop()
        fut = loop.create_future()
        key = self._slab.put(fut)
        began = loop.time()
        try:
            wr.write(pack(Envelope(call=key, verb=verb, head=orjson.dumps(doc), body=body)))
            env = await asyncio.wait_for(fut, secs)
        except (asyncio.TimeoutError, TimeoutError) as e:
            if self._wr is wr and secs >= self.idle_s * 0.2 and self.heard < began and loop.time() - began >= min(
                    secs, self.idle_s) * 0.9:
                self.hang_up()
            raise CallError(f"{self.addr}: {verb}: no answer in {secs}s", sent=True) from e
        except (OSError, RuntimeError) as e:
            raise CallError(f"{self.addr}: {e!r}", sent=True) from e
        finally:
            self._slab.take(key)
        return env.code, orjson.loads(env.head) if env.head else None, env.body


class ConnectionPool:
    """The lines of a process, one for each address.

    >>> lines = ConnectionPool(Counters()); lines.to("10.0.0.1:7380") is lines.to("10.0.0.1:7380")
    True
    """

    def __init__(self, ctr):
        self.ctr = ctr
        self._all: dict[str, Connection] = {}

    def to(self, addr: str) -> Connection:
        line = self._all.get(addr)
        if line is None:
            line = self._all[addr] = Connection(addr, self.ctr)
        return line

    def end(self) -> None:
        for line in self._all.values():
            line.hang_up()
            if line._task is not None:
                line._task.cancel()
