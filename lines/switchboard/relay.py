"""The way of a stream: events are passed on as they come; a resumable one goes on at another replica."""
from __future__ import annotations

import asyncio

import aiohttp
from aiohttp import web

from ..frame import Result, fault_result
from ..sends import AGAIN, DEADLINE, ECHO, NOT_RUN, ONCE, SEAL, Answer, Ran, StaleConnection, pass_on
from ..sends.events import EventReader
from ..sends.heads import LAST_ID


class Relay:
    """Runs one request of a streaming lane.

    >>> # result = await relay.run(request, lane, body)
    """

    def __init__(self, caller, picker, clock, ctr, live):
        self.caller, self.picker, self.clock, self.ctr, self.live = caller, picker, clock, ctr, live

    async def run(self, req, lane, body: bytes):
        try:
            allowed = float(req.headers.get(DEADLINE, "60000")) / 1000
        except ValueError:
            return fault_result(2001, DEADLINE)
        rid = req.headers.get(ECHO, "")
        if not rid:
            return fault_result(2001, f"{ECHO} is missing")
        end = self.clock.now() + min(allowed, lane.timeout_s)
        service = lane.pick()
        self.live.enter(service)
        try:
            return await self._relay(req, lane, body, rid, service, end)
        finally:
            self.live.leave(service)

    async def _relay(self, req, lane, body, rid, service, end):
        out, last, tried, ran = None, None, set(), False
        for _ in range(lane.sends):
            line = self.picker.pick(service, tried, self.clock.now(), lane, sure=not lane.resumable)
            left = end - self.clock.now()
            if line is None or left <= 0:
                break
            tried.add(line.iid)
            line.under_way += 1
            heads = [(k, v) for k, v in req.headers.items() if last is None or k.lower() != LAST_ID.lower()]
            if last is not None:
                heads.append((LAST_ID, last))
            try:
                async with self.caller.ask(line.addr, line.iid, req.method, req.raw_path, heads, body, left,
                                           AGAIN if lane.resumable else ONCE) as resp:
                    if NOT_RUN in resp.headers or resp.status == 421:
                        self.picker.judge(line, Answer(Ran.NO, resp.status), self.clock.now(), 0.0, 1.0)
                        continue
                    ran = True
                    if resp.headers.get(ECHO) != rid or (resp.status < 300 and SEAL not in resp.headers):
                        resp.close()
                        raise ValueError("answer of another request")
                    if resp.status >= 300:
                        data = await resp.read()
                        self.picker.note(line, "faulted" if resp.status >= 500 else "served", self.clock.now())
                        if out is not None:
                            break
                        return web_answer(resp, data)
                    if out is None:
                        out = web.StreamResponse(status=resp.status, headers=pass_on(resp.headers.items()))
                        out.enable_chunked_encoding()
                        await out.prepare(req)
                    rd = EventReader()
                    async for raw in resp.content.iter_any():
                        for ev in rd.feed(raw):
                            last = ev.id or last
                            await out.write(ev.raw)
                    if rd.rest:
                        raise ValueError("stream ended inside an event")
                    self.picker.note(line, "served", self.clock.now())
                    await out.write_eof()
                    return out
            except (aiohttp.ClientError, OSError, ValueError, asyncio.TimeoutError, TimeoutError) as e:
                if req.transport is None or req.transport.is_closing():
                    return out if out is not None else fault_result(4001)   # it is the client that left
                unreached = isinstance(e, (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError))
                ran = ran or not unreached
                if not isinstance(e, StaleConnection):
                    self.picker.note(line, "vanished" if unreached else "faulted", self.clock.now())
                if ran and not lane.resumable:
                    break
            finally:
                line.under_way -= 1
        if out is not None:
            if req.transport is not None:
                req.transport.abort()   # an answer that ends early must not look whole
            return out
        if ran:
            return fault_result(4001)
        return fault_result(self.picker.refusal(service, lane), after_s=min(0.25, lane.aim_s * 0.5))


def web_answer(resp, data: bytes) -> Result:
    """A whole answer as a Result."""
    return Result(resp.status, data, pass_on(resp.headers.items()))
