"""Forwarding of requests with one whole answer: attempts at replicas, hedged requests, and the client's answer."""

from __future__ import annotations

import asyncio

from aiohttp.web_request import BaseRequest

from ..memory import HeldBody, retain_held_body
from ..routing import Route, RouteClass
from ..runtime import Clock, Counters, Result, error_result
from ..upstream import (
    NOT_EXECUTED_STATUSES,
    AttemptResult,
    Delivery,
    Execution,
    Headers,
    LoadBalancer,
    ReplicaEndpoint,
    UpstreamClient,
    end_to_end_headers,
)
from ..upstream.attempt_result import FIRST_SERVER_ERROR_STATUS
from ..upstream.proxied_request import MAX_PROXIED_BYTES, ProxiedRequest
from ..usage.counter import UsageSender
from .attempt import Attempt
from .live_requests import LiveRequestTracker
from .request_terms import RequestTerms, read_terms
from .store_proxies import Proxy, StoreProxies

MAY_HAVE_RUN_CODE = 4001
NO_ANSWER_IN_TIME_CODE = 4002

HEDGE_AFTER = 0.5  # of the latency target: a repeatable request still in flight then goes to a second replica too
MIN_HEDGE_DELAY_S = 0.02
TYPICAL_LATENCY_SHARE = 0.3  # of the latency target: how long a request of a route typically takes
MAX_RETRY_AFTER_S = 0.25
RETRY_AFTER_SHARE = 0.5  # of the latency target: when a refused client may come back


class RequestForwarder:
    """Forwards requests of idempotent and non-idempotent routes.

    Attributes:
        proxies: Sends rare requests by a store; None if this node sends all itself.
        outlived: Tasks that await attempts whose request was answered already; the event loop holds tasks only weakly.
    """

    def __init__(  # noqa: PLR0913 - what it uses, named one by one
        self,
        upstream_client: UpstreamClient,
        load_balancer: LoadBalancer,
        clock: Clock,
        counters: Counters,
        live_requests: LiveRequestTracker,
        *,
        proxies: StoreProxies | None = None,
        usage: UsageSender | None = None,
    ) -> None:
        self.upstream_client, self.load_balancer = upstream_client, load_balancer
        self.clock, self.counters = clock, counters
        self.live_requests = live_requests
        self.proxies, self.usage = proxies, usage
        self.outlived: set[asyncio.Task[None]] = set()

    async def forward(
        self, request: BaseRequest, route: Route, headers: Headers, body: bytes, tenant: str | None = None
    ) -> Result:
        """Forwards a request; returns what its client is to be answered.

        Args:
            request: The client's request.
            route: Its route.
            headers: The headers for the replica.
            body: Its body.
            tenant: The tenant that its usage counts for; None where no key is needed.
        """
        terms = read_terms(request, route)
        if isinstance(terms, Result):
            return terms
        forwarded = _ForwardedRequest(self, request, route, headers, body, terms, tenant)
        self.live_requests.begin(forwarded.service)
        try:
            return await forwarded.run()
        except asyncio.CancelledError:
            forwarded.abandon()
            raise
        finally:
            self.live_requests.finish(forwarded.service)


class _ForwardedRequest:
    """One request on its way, and its attempts."""

    __slots__ = (
        "_forwarder",
        "_request",
        "_route",
        "_headers",
        "_body",
        "_terms",
        "_tenant",
        "_deadline",
        "_is_repeatable",
        "_attempts",
        "_tried",
        "_may_use_proxy",
        "_next_attempt_at",
        "_last_result",
        "_may_have_run",
        "_has_client",
        "_is_usage_counted",
        "service",
    )

    def __init__(  # noqa: PLR0913, PLR0917 - the parts of one request
        self,
        forwarder: RequestForwarder,
        request: BaseRequest,
        route: Route,
        headers: Headers,
        body: bytes,
        terms: RequestTerms,
        tenant: str | None,
    ) -> None:
        self._forwarder = forwarder
        self._request, self._headers, self._body = request, headers, body
        self._route, self._terms, self._tenant = route, terms, tenant
        self._deadline = forwarder.clock.now() + terms.timeout_s
        self._is_repeatable = route.kind == RouteClass.IDEMPOTENT
        self._attempts: dict[asyncio.Task[AttemptResult], Attempt] = {}
        self._tried: set[str] = set()
        self._may_use_proxy = True  # at the first attempt alone
        self._next_attempt_at = 0.0
        self._last_result: AttemptResult | None = None
        self._may_have_run = False
        self._has_client = True
        self._is_usage_counted = False
        self.service = route.choose_service()

    async def run(self) -> Result:
        """Sends attempts until one answers the client or no further one is allowed."""
        while True:
            now = self._forwarder.clock.now()
            if now >= self._deadline:
                break
            self._start_due_attempt(now)
            if not self._attempts:
                break
            answer = await self._await_attempts(now)
            if answer is not None:
                return answer
        return self._give_up()

    def _start_due_attempt(self, now: float) -> None:
        """Sends to one more replica, if it is time and a replica will do."""
        if not self._is_attempt_due(now):
            return
        route = self._route
        replica = self._forwarder.load_balancer.select_replica(
            self.service, self._tried, now, route, runs_once=not self._is_repeatable, is_hedge=bool(self._attempts)
        )
        if replica is None:
            self._next_attempt_at = self._deadline
            return
        self._start_attempt(replica, now)
        self._next_attempt_at = now + max(MIN_HEDGE_DELAY_S, HEDGE_AFTER * route.latency_target_s)

    def _is_attempt_due(self, now: float) -> bool:
        if len(self._tried) >= self._route.max_attempts or now < self._next_attempt_at:
            return False
        return self._is_repeatable or not self._attempts

    async def _await_attempts(self, now: float) -> Result | None:
        """Waits until an attempt ends or the next one is due; returns the client's answer once it is certain."""
        may_hedge = self._is_repeatable and len(self._tried) < self._route.max_attempts
        until = min(self._deadline, self._next_attempt_at) if may_hedge else self._deadline
        done, _ = await asyncio.wait(self._attempts, timeout=max(0.0, until - now), return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            answer = self._take_result(task)
            if answer is not None:
                self._let_attempts_end()
                return answer
            self._next_attempt_at = 0.0  # a failed attempt is repeated at once
            if self._may_have_run and not self._is_repeatable:
                return self._answer_of_last()
        return None

    def _answer_of_last(self) -> Result:
        last = self._last_result
        if last is not None and last.execution is Execution.EXECUTED:
            return self._pass_on(last)
        return error_result(MAY_HAVE_RUN_CODE)

    def _give_up(self) -> Result:
        """The answer when the time is over or no replica is left."""
        is_in_flight = bool(self._attempts)
        self._cancel_attempts()
        last = self._last_result
        if last is not None and last.execution is Execution.EXECUTED:
            return self._pass_on(last)
        if is_in_flight:
            return error_result(NO_ANSWER_IN_TIME_CODE)
        if self._may_have_run:
            return error_result(MAY_HAVE_RUN_CODE)
        self._forwarder.counters.add("front.refused")
        return error_result(
            self._forwarder.load_balancer.refusal_code(self.service, self._route),
            after_s=min(MAX_RETRY_AFTER_S, self._route.latency_target_s * RETRY_AFTER_SHARE),
        )

    def _start_attempt(self, replica: ReplicaEndpoint, now: float) -> None:
        """Sends to a replica; a rare request for which no connection is warm goes by a store, once."""
        is_first, self._may_use_proxy = self._may_use_proxy, False
        self._tried.add(replica.instance_id)
        self._forwarder.counters.add("send")
        if self._attempts:
            self._forwarder.counters.add("send.hedged")
            self._suspend_slow_proxies(now)
        proxy = self._choose_proxy(replica, now) if is_first else None
        if proxy is not None:
            by_store = asyncio.ensure_future(self._send_by_store(proxy, now))
            self._attempts[by_store] = Attempt(now, proxy=proxy, intended_id=replica.instance_id)
            return
        replica.in_flight += 1
        task = asyncio.ensure_future(self._send(replica, now))
        self._attempts[task] = Attempt(now, replica)

    def _suspend_slow_proxies(self, now: float) -> None:
        """Leaves a store alone for a while that has not answered by now, as its process may stand still."""
        for attempt in self._attempts.values():
            if attempt.proxy is not None and self._forwarder.proxies is not None:
                self._forwarder.proxies.suspend(attempt.proxy, now)

    def _choose_proxy(self, replica: ReplicaEndpoint, now: float) -> Proxy | None:
        """Returns the store that sends this request, or None if this node does so itself."""
        proxies = self._forwarder.proxies
        if proxies is None or not self._is_repeatable or not proxies.record_request(self.service, now):
            return None
        if self._forwarder.upstream_client.has_idle_connection(replica.address):
            return None
        if len(self._body) > MAX_PROXIED_BYTES:
            return None
        if not all((name + value).isascii() for name, value in self._headers):  # JSON cannot carry their bytes
            return None
        return proxies.choose(self.service, now)

    async def _send_by_store(self, proxy: Proxy, now: float) -> AttemptResult:
        request = ProxiedRequest(
            store_id=proxy.store_id,
            service=self.service,
            host=next((value for name, value in self._headers if name.lower() == "host"), ""),
            method=self._request.method,
            target=self._request.raw_path,
            headers=self._headers,
            request_id=self._terms.request_id,
            tried=[],
            timeout_s=self._deadline - now,
        )
        proxies = self._forwarder.proxies
        assert proxies is not None  # it chose the store
        return await proxies.send(proxy, request, self._body, self._forwarder.clock.now)

    async def _send(self, replica: ReplicaEndpoint, now: float) -> AttemptResult:
        return await self._forwarder.upstream_client.send(
            replica.address,
            replica.instance_id,
            self._request.method,
            self._request.raw_path,
            self._headers,
            self._body,
            self._terms.request_id,
            self._deadline - now,
            Delivery.AT_LEAST_ONCE if self._is_repeatable else Delivery.AT_MOST_ONCE,
            self._may_send,
        )

    def _may_send(self) -> bool:
        """Whether an attempt that waited for its connection may still be written."""
        return self._has_client and self._forwarder.clock.now() < self._deadline

    def _take_result(self, task: asyncio.Task[AttemptResult]) -> Result | None:
        """Takes an attempt that ended; returns the client's answer if it is one."""
        attempt = self._attempts.pop(task)
        attempt.release()
        now, result = self._forwarder.clock.now(), task.result()
        self._record(attempt, result, now)
        if attempt.is_refused_by_store(result):
            self._tried.discard(attempt.intended_id)  # nothing was sent there: it may know of no replica yet
        is_executed = result.execution is Execution.EXECUTED
        if is_executed and result.status < FIRST_SERVER_ERROR_STATUS and result.status not in NOT_EXECUTED_STATUSES:
            return self._pass_on(result)
        self._forwarder.counters.add(f"send.{result.execution.value}.{result.status}")
        if result.execution is not Execution.NOT_EXECUTED:
            self._may_have_run = True
        if self._last_result is None or is_executed:
            self._last_result = result
        return None

    def _record(self, attempt: Attempt, result: AttemptResult, now: float) -> None:
        """Records what an attempt showed of its replica, and counts the request for its tenant's usage."""
        self._count_usage(attempt, result)
        if attempt.replica is not None:
            self._forwarder.load_balancer.record_result(
                attempt.replica, result, now, now - attempt.started_at, self._typical_latency_s()
            )

    def _typical_latency_s(self) -> float:
        return self._route.latency_target_s * TYPICAL_LATENCY_SHARE

    def _count_usage(self, attempt: Attempt, result: AttemptResult) -> None:
        """Counts a request's first run. Nobody can say whether an attempt without an answer ran."""
        usage = self._forwarder.usage
        if usage is None or self._tenant is None or self._is_usage_counted:
            return
        if result.execution is not Execution.EXECUTED:
            return
        self._is_usage_counted = True
        usage.record_request(self._tenant, attempt.started_at)

    def abandon(self) -> None:
        """Takes note that the client closed its connection: nothing new is sent.

        What may be repeated is broken off, as nobody waits for it; what may run only once goes on, so that it is not
        left half done.
        """
        self._has_client = False
        self._forwarder.counters.add("front.client_left")
        if not self._is_repeatable:
            self._let_attempts_end()
            return
        for task, attempt in self._attempts.items():
            task.cancel()
            attempt.release()
        self._attempts.clear()

    def _let_attempts_end(self) -> None:
        """Awaits attempts that nobody needs any more.

        Each keeps its connection and shows how its replica does; breaking it off would cost a new connection, and its
        replica has done most of the work.
        """
        for task, attempt in self._attempts.items():
            outlived = asyncio.ensure_future(self._outlive(task, attempt, retain_held_body()))
            self._forwarder.outlived.add(outlived)
            outlived.add_done_callback(self._forwarder.outlived.discard)
        self._attempts = {}

    async def _outlive(self, task: asyncio.Task[AttemptResult], attempt: Attempt, held_body: HeldBody | None) -> None:
        try:
            result = await task
        finally:
            attempt.release()
            if held_body is not None:
                held_body.release()
        self._record(attempt, result, self._forwarder.clock.now())

    def _cancel_attempts(self) -> None:
        """Breaks off what is still in flight when the time is over."""
        now = self._forwarder.clock.now()
        for task, attempt in self._attempts.items():
            task.cancel()
            attempt.release()
            if attempt.replica is None:
                continue
            took_s = now - attempt.started_at
            # a short time proves no more than that the replica was late
            outcome = "late" if took_s < self._route.latency_target_s else "faulted"
            self._forwarder.load_balancer.record_outcome(
                attempt.replica, outcome, now, took_s, self._typical_latency_s()
            )
        self._attempts.clear()

    def _pass_on(self, result: AttemptResult) -> Result:
        """A replica's answer for the client; a refusal without proof would be a promise, and is not passed on."""
        if result.status in NOT_EXECUTED_STATUSES:
            self._forwarder.counters.add("front.no_proof")
            return error_result(MAY_HAVE_RUN_CODE)
        return Result(result.status, result.body, end_to_end_headers(result.headers), charge=result.charge)
