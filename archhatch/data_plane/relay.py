"""Relaying of streams: events are passed on as they come; a resumable stream goes on at another replica."""

from __future__ import annotations

import enum

import aiohttp
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import StreamResponse

from ..exceptions import ArchhatchError
from ..memory import Charge, MemoryFullError
from ..routing import Route
from ..runtime import Clock, Counters, Result, error_result
from ..upstream import (
    NOT_EXECUTED_STATUSES,
    REPLY_SEAL_HEADER,
    AttemptResult,
    Delivery,
    Execution,
    Headers,
    LoadBalancer,
    NotSentError,
    ReplicaEndpoint,
    StaleConnectionError,
    UpstreamClient,
    declares_not_executed,
    end_to_end_headers,
    has_body_framing,
    is_response_to,
)
from ..upstream.answer_body import read_answer
from ..upstream.attempt_result import FIRST_REDIRECT_STATUS, FIRST_SERVER_ERROR_STATUS
from ..upstream.event_stream import EventReader, is_next_event
from ..upstream.headers import LAST_EVENT_ID_HEADER
from ..usage.counter import UsageSender
from .forward import MAX_RETRY_AFTER_S, MAY_HAVE_RUN_CODE, RETRY_AFTER_SHARE
from .live_requests import LiveRequestTracker
from .request_terms import RequestTerms, read_terms

_LAST_EVENT_ID_LOWER = LAST_EVENT_ID_HEADER.lower()


class InvalidResponseError(ArchhatchError, ValueError):
    """What came is not the response to this request, or not all of it."""


class StreamRelocatedError(ArchhatchError, ValueError):
    """A planned move takes the stream elsewhere: it goes on there after the last event that was passed on."""


class _AfterAttempt(enum.Enum):
    """What follows an attempt."""

    DONE = "done"  # the client has its answer, or will get it now
    NEXT = "next"  # another replica may be asked
    STOP = "stop"  # no other may


class StreamRelay:
    """Relays requests of streaming routes."""

    def __init__(
        self,
        upstream_client: UpstreamClient,
        load_balancer: LoadBalancer,
        clock: Clock,
        counters: Counters,
        live_requests: LiveRequestTracker,
        usage: UsageSender | None = None,
    ) -> None:
        self.upstream_client, self.load_balancer = upstream_client, load_balancer
        self.clock, self.counters = clock, counters
        self.live_requests, self.usage = live_requests, usage

    async def relay(
        self, request: BaseRequest, route: Route, headers: Headers, body: bytes, tenant: str | None = None
    ) -> Result | StreamResponse:
        """Relays a stream; returns what its client is to be sent or, after the first event, was sent.

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
        stream = _RelayedStream(self, request, route, headers, body, terms, tenant)
        self.live_requests.begin(stream.service)
        try:
            return await stream.run()
        finally:
            self.live_requests.finish(stream.service)


class _RelayedStream:
    """One request's stream, over the replicas that make it."""

    __slots__ = (
        "_relay",
        "_request",
        "_route",
        "_headers",
        "_body",
        "_terms",
        "_tenant",
        "_deadline",
        "_delivery",
        "_client_stream",
        "_whole_answer",
        "_last_event_id",
        "_event_count",
        "_may_have_run",
        "_attempts_left",
        "_is_usage_counted",
        "service",
    )

    def __init__(  # noqa: PLR0913, PLR0917 - the parts of one request
        self,
        relay: StreamRelay,
        request: BaseRequest,
        route: Route,
        headers: Headers,
        body: bytes,
        terms: RequestTerms,
        tenant: str | None,
    ) -> None:
        self._relay = relay
        self._request, self._headers, self._body = request, headers, body
        self._route, self._terms, self._tenant = route, terms, tenant
        self._deadline = relay.clock.now() + terms.timeout_s
        self._delivery = Delivery.AT_LEAST_ONCE if route.is_resumable else Delivery.AT_MOST_ONCE
        self._client_stream: StreamResponse | None = None  # from the first response's headers on
        self._whole_answer: Result | None = None  # an answer that is no stream
        self._last_event_id: str | None = None  # of the last event that was passed on
        self._event_count = 0
        self._may_have_run = False
        self._attempts_left = route.max_attempts
        self._is_usage_counted = False
        self.service = route.choose_service()

    async def run(self) -> Result | StreamResponse:
        """Asks one replica after the other, as far as that is allowed."""
        route = self._route
        tried: set[str] = set()
        while self._attempts_left:
            self._attempts_left -= 1
            now = self._relay.clock.now()
            replica = self._relay.load_balancer.select_replica(
                self.service, tried, now, route, runs_once=not route.is_resumable
            )
            if replica is None or now >= self._deadline:
                break
            tried.add(replica.instance_id)
            replica.in_flight += 1
            try:
                after = await self._attempt(replica)
            finally:
                replica.in_flight -= 1
            if after is _AfterAttempt.DONE:
                return self._answer()
            if after is _AfterAttempt.STOP:
                break
        return self._give_up()

    def _answer(self) -> Result | StreamResponse:
        answer = self._client_stream if self._client_stream is not None else self._whole_answer
        assert answer is not None  # an attempt that is DONE left one of them
        return answer

    def _give_up(self) -> Result | StreamResponse:
        if self._client_stream is not None:
            if self._request.transport is not None:
                self._request.transport.abort()  # an answer that ends early must not look whole
            return self._client_stream
        if self._may_have_run:
            return error_result(MAY_HAVE_RUN_CODE)
        return error_result(
            self._relay.load_balancer.refusal_code(self.service, self._route),
            after_s=min(MAX_RETRY_AFTER_S, self._route.latency_target_s * RETRY_AFTER_SHARE),
        )

    async def _attempt(self, replica: ReplicaEndpoint) -> _AfterAttempt:
        try:
            async with self._relay.upstream_client.request(
                replica.address,
                replica.instance_id,
                self._request.method,
                self._request.raw_path,
                self._headers_for_attempt(),
                self._body,
                self._deadline - self._relay.clock.now(),
                self._delivery,
                self._may_send,
            ) as response:
                return await self._take_response(replica, response)
        except (aiohttp.ClientError, OSError, ValueError, TimeoutError, MemoryFullError) as error:
            return self._take_failure(replica, error)

    def _headers_for_attempt(self) -> Headers:
        """The client's headers; after events were passed on, with the last of their ids in place of the client's."""
        if self._last_event_id is None:
            return self._headers
        headers = [(name, value) for name, value in self._headers if name.lower() != _LAST_EVENT_ID_LOWER]
        headers.append((LAST_EVENT_ID_HEADER, self._last_event_id))
        return headers

    def _may_send(self) -> bool:
        """Whether an attempt that waited for its connection may still be written."""
        return self._relay.clock.now() < self._deadline

    async def _take_response(self, replica: ReplicaEndpoint, response: aiohttp.ClientResponse) -> _AfterAttempt:
        if not is_response_to(response, self._terms.request_id, self._delivery):
            response.close()
            raise InvalidResponseError("answer of another request")
        if response.status >= FIRST_REDIRECT_STATUS:
            return await self._take_whole(replica, response)
        self._may_have_run = True
        if not _is_sealed_stream(response):
            response.close()
            raise InvalidResponseError("no seal, an encoding, or nothing that tells where it ends")
        client_stream = self._client_stream
        if client_stream is None:
            client_stream = await self._open_client_stream(response)
        await self._pass_events(replica, response, client_stream)
        self._relay.load_balancer.record_outcome(replica, "served", self._relay.clock.now())
        await client_stream.write_eof()
        return _AfterAttempt.DONE

    async def _open_client_stream(self, response: aiohttp.ClientResponse) -> StreamResponse:
        """Begins the client's answer with the headers of the first response."""
        stream = StreamResponse(status=response.status, headers=end_to_end_headers(response.headers.items()))
        self._client_stream = stream
        stream.enable_chunked_encoding()
        await stream.prepare(self._request)
        return stream

    async def _pass_events(
        self, replica: ReplicaEndpoint, response: aiohttp.ClientResponse, client_stream: StreamResponse
    ) -> None:
        reader = EventReader()
        is_resumed = self._event_count > 0
        async for chunk in response.content.iter_any():
            for event in reader.feed(chunk):
                if is_resumed and not is_next_event(self._last_event_id, event.id):
                    raise InvalidResponseError("a stream that was resumed gives an event again")
                self._last_event_id = event.id or self._last_event_id
                self._event_count += 1
                self._count_usage()
                await client_stream.write(event.raw)
                if self._should_relocate(replica):
                    raise StreamRelocatedError(replica.zone)
        if reader.remainder:
            raise InvalidResponseError("stream ended inside an event")

    def _count_usage(self) -> None:
        """Counts the request for its tenant's usage, at its first event."""
        if self._is_usage_counted or self._tenant is None or self._relay.usage is None:
            return
        self._is_usage_counted = True
        self._relay.usage.record_request(self._tenant, self._relay.clock.now())

    def _should_relocate(self, replica: ReplicaEndpoint) -> bool:
        """Whether a planned move takes the stream away from its replica, and it can go on at another."""
        route, load_balancer = self._route, self._relay.load_balancer
        if not (route.is_resumable and self._attempts_left and load_balancer.placement.is_leaving(route, replica.zone)):
            return False
        return load_balancer.has_alternative(self.service, replica.instance_id, route)

    async def _take_whole(self, replica: ReplicaEndpoint, response: aiohttp.ClientResponse) -> _AfterAttempt:
        """Takes a response that is no stream; only once it is whole, it proves what it says."""
        is_turned_away = declares_not_executed(response)
        self._may_have_run = self._may_have_run or not is_turned_away
        wait_s = max(0.0, self._deadline - self._relay.clock.now())
        body, charge = await read_answer(response, self._relay.upstream_client.answer_memory, wait_s)
        if not has_body_framing(response):
            raise InvalidResponseError("nothing tells where its body ends")
        now = self._relay.clock.now()
        if is_turned_away:
            result = AttemptResult(Execution.NOT_EXECUTED, response.status)
            self._relay.load_balancer.record_result(replica, result, now, 0.0, 1.0)
            return _AfterAttempt.NEXT
        outcome = "faulted" if response.status >= FIRST_SERVER_ERROR_STATUS else "served"
        self._relay.load_balancer.record_outcome(replica, outcome, now)
        if self._client_stream is not None:
            return _AfterAttempt.STOP
        self._whole_answer = self._pass_on(response, body, charge)
        return _AfterAttempt.DONE

    def _pass_on(self, response: aiohttp.ClientResponse, body: bytes, charge: Charge | None) -> Result:
        """A replica's answer for the client; a refusal without proof would be a promise, and is not passed on."""
        if response.status in NOT_EXECUTED_STATUSES:
            self._relay.counters.add("front.no_proof")
            return error_result(MAY_HAVE_RUN_CODE)
        return Result(response.status, body, end_to_end_headers(response.headers.items()), charge=charge)

    def _take_failure(self, replica: ReplicaEndpoint, error: Exception) -> _AfterAttempt:
        """Takes an attempt that ended without a whole response."""
        if self._request.transport is None or self._request.transport.is_closing():
            self._whole_answer = error_result(MAY_HAVE_RUN_CODE)  # it is the client that left
            return _AfterAttempt.DONE
        is_unreached = isinstance(error, (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError))
        if not is_unreached and not isinstance(error, NotSentError):
            self._may_have_run = True
        if isinstance(error, StreamRelocatedError):
            self._relay.counters.add("stream.moved_on")
            return _AfterAttempt.NEXT
        if not isinstance(error, (StaleConnectionError, NotSentError)):  # these say nothing of the replica's health
            outcome = "vanished" if is_unreached else "faulted"
            self._relay.load_balancer.record_outcome(replica, outcome, self._relay.clock.now())
        if self._may_have_run and not self._route.is_resumable:
            return _AfterAttempt.STOP
        if self._event_count and self._last_event_id is None:  # nothing says where the stream would go on
            return _AfterAttempt.STOP
        return _AfterAttempt.NEXT


def _is_sealed_stream(response: aiohttp.ClientResponse) -> bool:
    """Whether a success bears the engine's seal, as it made it, and states where it ends."""
    return (
        REPLY_SEAL_HEADER in response.headers
        and "Content-Encoding" not in response.headers
        and has_body_framing(response)
    )
