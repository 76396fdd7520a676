"""The way of a stream: events are passed on as they come; a resumable one goes on at another replica."""

from __future__ import annotations

import asyncio
import enum

import aiohttp
from aiohttp.web_response import StreamResponse

from ..runtime import Result, error_result
from ..runtime.numbers import read_decimal
from ..upstream import (
    AGAIN,
    DEADLINE,
    ECHO,
    ONCE,
    PROMISES,
    SEAL,
    Answer,
    NotSentError,
    Ran,
    StaleConnectionError,
    belongs,
    has_end,
    pass_on,
    says_not_run,
)
from ..upstream.event_stream import EventReader, follows
from ..upstream.headers import LAST_ID


class InvalidAnswerError(ValueError):
    """What came is not the answer of this request, or not all of it."""


class Relocated(ValueError):
    """A planned move takes the stream elsewhere: it goes on there after the last event that was passed on."""


class _After(enum.Enum):
    """What follows a send."""

    DONE = "done"  # the client has its answer, or will get it now
    NEXT = "next"  # another replica may be asked
    STOP = "stop"  # nobody else may


class Relay:
    """Runs one request of a streaming lane.

    >>> # result = await relay.run(request, route, heads, body)
    """

    def __init__(self, upstream_client, load_balancer, clock, counters, live, usage=None):
        self.usage = usage
        self.upstream_client, self.load_balancer, self.clock, self.counters, self.live = (
            upstream_client,
            load_balancer,
            clock,
            counters,
            live,
        )

    async def run(self, request, route, heads: list, body: bytes, tenant: str | None = None):
        """Pass a stream on; what the client's connection is to send or, after the first event, has sent."""
        allowed_ms = read_decimal(request.headers.get(DEADLINE, "60000"))
        if allowed_ms is None:
            return error_result(2001, DEADLINE)
        rid = request.headers.get(ECHO, "")
        if not rid:
            return error_result(2001, f"{ECHO} is missing")
        end = self.clock.now() + min(allowed_ms / 1000, route.timeout_s)
        stream = _Stream(self, request, route, heads, body, rid, end, tenant)
        self.live.enter(stream.service)
        try:
            return await stream.run()
        finally:
            self.live.leave(stream.service)


class _Stream:
    """One request's stream, over the replicas that make it."""

    def __init__(self, relay, request, route, heads, body, rid, end, tenant):
        self.tenant, self.counted = tenant, False
        self.relay, self.request, self.route, self.heads, self.body = relay, request, route, heads, body
        self.rid, self.end, self.service = rid, end, route.pick()
        self.mode = AGAIN if route.resumable else ONCE
        self.out: StreamResponse | None = None  # the answer, from its first head on
        self.answer: Result | None = None  # an answer that is no stream
        self.last: str | None = None  # the id of the last event that was passed on
        self.events = 0
        self.may_have_run = False
        self.sends_left = route.sends

    async def run(self):
        """Ask one replica after the other, as far as that is allowed."""
        route, tried = self.route, set()
        while self.sends_left:
            self.sends_left -= 1
            now = self.relay.clock.now()
            line = self.relay.load_balancer.pick(self.service, tried, now, route, sure=not route.resumable)
            if line is None or now >= self.end:
                break
            tried.add(line.iid)
            line.under_way += 1
            try:
                after = await self._send(line)
            finally:
                line.under_way -= 1
            if after is _After.DONE:
                return self.out if self.out is not None else self.answer
            if after is _After.STOP:
                break
        return self._give_up()

    def _give_up(self):
        if self.out is not None:
            if self.request.transport is not None:
                self.request.transport.abort()  # an answer that ends early must not look whole
            return self.out
        if self.may_have_run:
            return error_result(4001)
        return error_result(
            self.relay.load_balancer.refusal(self.service, self.route), after_s=min(0.25, self.route.aim_s * 0.5)
        )

    async def _send(self, line) -> _After:
        heads = [(k, v) for k, v in self.heads if self.last is None or k.lower() != LAST_ID.lower()]
        if self.last is not None:
            heads.append((LAST_ID, self.last))
        clock = self.relay.clock
        try:
            async with self.relay.upstream_client.ask(
                line.address,
                line.iid,
                self.request.method,
                self.request.raw_path,
                heads,
                self.body,
                self.end - clock.now(),
                self.mode,
                lambda: clock.now() < self.end,
            ) as response:
                return await self._take(line, response)
        except (aiohttp.ClientError, OSError, ValueError, asyncio.TimeoutError) as e:
            return self._broke_off(line, e)

    async def _take(self, line, response) -> _After:
        """Take up what one replica answers."""
        if not belongs(response, self.rid, self.mode):
            response.close()
            raise InvalidAnswerError("answer of another request")
        if response.status >= 300:
            return await self._take_whole(line, response)
        self.may_have_run = True
        if SEAL not in response.headers or "Content-Encoding" in response.headers or not has_end(response):
            response.close()
            raise InvalidAnswerError("no seal, an encoding, or nothing that tells where it ends")
        if self.out is None:
            self.out = StreamResponse(status=response.status, headers=pass_on(response.headers.items()))
            self.out.enable_chunked_encoding()
            await self.out.prepare(self.request)
        await self._pass_events(line, response)
        self.relay.load_balancer.note(line, "served", self.relay.clock.now())
        await self.out.write_eof()
        return _After.DONE

    async def _pass_events(self, line, response) -> None:
        reader, resumed = EventReader(), self.events > 0
        async for raw in response.content.iter_any():
            for event in reader.feed(raw):
                if resumed and not follows(self.last, event.id):
                    raise InvalidAnswerError("a stream that was resumed gives an event again")
                self.last = event.id or self.last
                self.events += 1
                self._count()
                await self.out.write(event.raw)
                if self._is_to_move(line):
                    raise Relocated(line.zone)
        if reader.rest:
            raise InvalidAnswerError("stream ended inside an event")

    def _count(self) -> None:
        """Count the request for its tenant's usage, at its first event."""
        if not self.counted and self.tenant is not None and self.relay.usage is not None:
            self.counted = True
            self.relay.usage.record_request(self.tenant, self.relay.clock.now())

    def _is_to_move(self, line) -> bool:
        """Whether a planned move takes the stream away from its replica, and it can go on at another."""
        route, load_balancer = self.route, self.relay.load_balancer
        if not (route.resumable and self.sends_left and load_balancer.placement.is_leaving(route, line.zone)):
            return False
        return load_balancer.has_other(self.service, line.iid, route)

    async def _take_whole(self, line, response) -> _After:
        """An answer that is no stream; only once it is whole, it proves what it says."""
        turned_away = says_not_run(response)
        self.may_have_run = self.may_have_run or not turned_away
        data = await response.read()
        if not has_end(response):
            raise InvalidAnswerError("nothing tells where its body ends")
        now = self.relay.clock.now()
        if turned_away:
            self.relay.load_balancer.judge(line, Answer(Ran.NO, response.status), now, 0.0, 1.0)
            return _After.NEXT
        self.relay.load_balancer.note(line, "faulted" if response.status >= 500 else "served", now)
        if self.out is not None:
            return _After.STOP
        self.answer = self._whole_answer(response, data)
        return _After.DONE

    def _whole_answer(self, response, data: bytes) -> Result:
        if response.status in PROMISES:  # it bears no proof, and passed on it would be a promise
            self.relay.counters.add("front.no_proof")
            return error_result(4001)
        return Result(response.status, data, pass_on(response.headers.items()))

    def _broke_off(self, line, fault: Exception) -> _After:
        """What a send that ended without a whole answer leaves."""
        if self.request.transport is None or self.request.transport.is_closing():
            self.answer = error_result(4001)  # it is the client that left
            return _After.DONE
        unreached = isinstance(fault, (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError))
        if not unreached and not isinstance(fault, NotSentError):
            self.may_have_run = True
        if isinstance(fault, Relocated):
            self.relay.counters.add("stream.moved_on")
            return _After.NEXT
        if not isinstance(fault, (StaleConnectionError, NotSentError)):
            self.relay.load_balancer.note(line, "vanished" if unreached else "faulted", self.relay.clock.now())
        if self.may_have_run and not self.route.resumable:
            return _After.STOP
        return _After.NEXT if self.last is not None or not self.events else _After.STOP
