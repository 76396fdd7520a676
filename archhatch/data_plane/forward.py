"""The way of a request with one whole answer: sends, further sends, and what the client is told."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from ..runtime import Result, error_result
from ..runtime.numbers import read_decimal
from ..upstream import AGAIN, DEADLINE, ECHO, ONCE, PROMISES, Ran, pass_on

EARLY = 0.5  # of the aim: a repeatable request that is still out then goes to a second replica too (hedging)
SHORT = 0.9  # of the deadline: what a send may use, so that an answer gets back in time


@dataclass(frozen=True, slots=True)
class _Send:
    """A send that is out: to a replica, or by a store, which judges its replica itself."""

    at: float
    line: object = None
    proxy: object = None

    def end(self) -> None:
        """It is out no more."""
        if self.line is not None:
            self.line.under_way -= 1


class Forward:
    """Runs one request of an idempotent or a non-idempotent lane.

    >>> # result = await forward.run(request, route, heads, body)
    """

    def __init__(self, upstream_client, load_balancer, clock, counters, live, proxies=None, usage=None):
        self.upstream_client, self.load_balancer, self.clock, self.counters, self.live = (
            upstream_client,
            load_balancer,
            clock,
            counters,
            live,
        )
        self.proxies, self.usage = proxies, usage
        self.outlived: set = set()  # holds the sends whose request was answered by another

    async def run(self, request, route, heads: list, body: bytes, tenant: str | None = None) -> Result:
        """Send a tenant's request on with these headers; what its client is to be answered."""
        began = self.clock.now()
        allowed_ms = read_decimal(request.headers.get(DEADLINE, "60000"))
        if allowed_ms is None:
            return error_result(2001, DEADLINE)
        end = began + min(allowed_ms / 1000, route.timeout_s)
        rid = request.headers.get(ECHO, "")
        if not rid:
            return error_result(2001, f"{ECHO} is missing")
        job = _Job(self, request.method, request.raw_path, heads, body, rid, route, end, tenant)
        self.live.enter(job.service)
        try:
            return await job.run()
        except asyncio.CancelledError:
            job.client_left()
            raise
        finally:
            self.live.leave(job.service)


class _Job:
    def __init__(self, fwd, method, target, heads, body, rid, route, end, tenant):
        self.fwd, self.method, self.target = fwd, method, target
        self.heads, self.body, self.rid, self.route, self.end = heads, body, rid, route, end
        self.tenant, self.counted = tenant, False
        self.tried: set = set()
        self.out: dict[asyncio.Task, _Send] = {}
        self.again = route.kind == "idempotent"
        self.may_have_run = False
        self.last = None
        self.client_is_there = True
        self.service = route.pick()

    async def run(self) -> Result:
        clock, route = self.fwd.clock, self.route
        next_at = 0.0
        while True:
            now = clock.now()
            if now >= self.end:
                break
            sent = len(self.tried)
            if sent < route.sends and now >= next_at and (not self.out or self.again):
                line = self.fwd.load_balancer.pick(
                    self.service, self.tried, now, route, sure=not self.again, early=bool(self.out)
                )
                if line is not None:
                    self._send(line, now)
                    next_at = now + max(0.02, EARLY * route.aim_s)
                elif not self.out:
                    break
                else:
                    next_at = self.end
            elif not self.out:
                break
            wait = min(self.end, next_at if len(self.tried) < route.sends and self.again else self.end) - now
            done, _ = await asyncio.wait(self.out, timeout=max(0.0, wait), return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                res = self._judge(task)
                if res is not None:
                    self._let_end()
                    return res
                next_at = 0.0
                if self.may_have_run and not self.again:
                    return self._pass(self.last) if self.last.ran is Ran.YES else error_result(4001)
        had = bool(self.out)
        self._drop()
        if self.last is not None and self.last.ran is Ran.YES:
            return self._pass(self.last)
        if had or self.may_have_run:
            return error_result(4002 if had else 4001)
        self.fwd.counters.add("front.refused")
        return error_result(self.fwd.load_balancer.refusal(self.service, route), after_s=min(0.25, route.aim_s * 0.5))

    def _send(self, line, now) -> None:
        """Send to a replica; a rare request for which no connection is warm goes by a store, once."""
        first = not self.tried
        self.tried.add(line.iid)
        self.fwd.counters.add("send")
        if self.out:
            self.fwd.counters.add("send.early")
            self._note_slow_proxies(now)
        proxy = self._proxy(line, now) if first else None
        if proxy is not None:
            self.out[asyncio.ensure_future(self._send_by(proxy, now))] = _Send(now, proxy=proxy)
            return
        line.under_way += 1
        task = asyncio.ensure_future(self._send_to(line, now))
        self.out[task] = _Send(now, line)

    def _note_slow_proxies(self, now) -> None:
        """A store that has not answered by now, as one that stands still, is left alone for a while."""
        for send in self.out.values():
            if send.proxy is not None:
                self.fwd.proxies.rest(send.proxy, now)

    def _proxy(self, line, now):
        """The store that sends this request; None if this node does so itself."""
        proxies = self.fwd.proxies
        if proxies is None or not self.again or not proxies.rare(self.service, now):
            return None
        if self.fwd.upstream_client.idle(line.address) or not all((k + v).isascii() for k, v in self.heads):
            return None
        return proxies.choose(self.service, now)

    async def _send_by(self, proxy, now):
        doc = {
            "service": self.service,
            "host": next((v for k, v in self.heads if k.lower() == "host"), ""),
            "method": self.method,
            "target": self.target,
            "heads": self.heads,
            "rid": self.rid,
            "tried": [],
            "secs": self.end - now,
        }
        return await self.fwd.proxies.send(proxy, doc, self.body, self.end - now, self.fwd.clock.now)

    async def _send_to(self, line, now):
        return await self.fwd.upstream_client.send(
            line.address,
            line.iid,
            self.method,
            self.target,
            self.heads,
            self.body,
            self.rid,
            self.end - now,
            AGAIN if self.again else ONCE,
            lambda: self.client_is_there and self.fwd.clock.now() < self.end,
        )

    def _judge(self, task) -> Result | None:
        send = self.out.pop(task)
        send.end()
        now, answer = self.fwd.clock.now(), task.result()
        self._count(send, answer)
        if send.line is not None:
            self.fwd.load_balancer.judge(send.line, answer, now, now - send.at, self.route.aim_s * 0.3)
        if answer.ran is Ran.YES and answer.status < 500 and answer.status not in PROMISES:
            return self._pass(answer)
        self.fwd.counters.add(f"send.{answer.ran.value}.{answer.status}")
        if answer.ran is not Ran.NO:
            self.may_have_run = True
        if self.last is None or answer.ran is Ran.YES:
            self.last = answer
        return None

    def _count(self, send: _Send, answer) -> None:
        """Count a request's first run for its tenant's usage. Nobody can say whether a send without an answer ran."""
        if self.counted or self.tenant is None or self.fwd.usage is None or answer.ran is not Ran.YES:
            return
        self.counted = True
        self.fwd.usage.record_request(self.tenant, send.at)

    def client_left(self) -> None:
        """The client closed its connection: nothing new is sent. What may be repeated is broken off, as nobody waits
        for it; what may run only once goes on, so that it is not left half done."""
        self.client_is_there = False
        self.fwd.counters.add("front.client_left")
        if not self.again:
            self._let_end()
            return
        for task, send in self.out.items():
            task.cancel()
            send.end()
        self.out.clear()

    def _let_end(self) -> None:
        """The answer is given, or not wanted. What is still out keeps its connection and shows how its replica does;
        breaking it off would cost a new connection, and its replica has done most of the work."""
        for task, send in self.out.items():
            rest = asyncio.ensure_future(self._outlive(task, send))
            self.fwd.outlived.add(rest)
            rest.add_done_callback(self.fwd.outlived.discard)
        self.out = {}

    async def _outlive(self, task, send: _Send) -> None:
        try:
            answer = await task
        finally:
            send.end()
        self._count(send, answer)
        now = self.fwd.clock.now()
        if send.line is not None:
            self.fwd.load_balancer.judge(send.line, answer, now, now - send.at, self.route.aim_s * 0.3)

    def _drop(self) -> None:
        """The time is over: break off what is still under way."""
        now = self.fwd.clock.now()
        for task, send in self.out.items():
            task.cancel()
            send.end()
            soon = now - send.at < self.route.aim_s  # its time was too short to prove more than that
            if send.line is not None:
                self.fwd.load_balancer.note(
                    send.line, "late" if soon else "faulted", now, now - send.at, self.route.aim_s * 0.3
                )
        self.out.clear()

    def _pass(self, answer) -> Result:
        """A replica's answer to the client; a refusal without proof is not passed on, as it would be a promise."""
        if answer.status in PROMISES:
            self.fwd.counters.add("front.no_proof")
            return error_result(4001)
        return Result(answer.status, answer.body, pass_on(answer.heads))
