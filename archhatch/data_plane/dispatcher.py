"""The way of a request through an edge: its configuration, its admission, its route, and who runs it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import StreamResponse

from ..http_server import BODY_WAIT_S, BodyTerms
from ..routing import JOB_CLASSES, Route, RouteClass, RoutingTable
from ..runtime import Clock, Counters, Result, Settings, StateBoard, error_result
from ..runtime.request_target import has_dot_segment
from ..upstream import Headers
from ..upstream.headers import with_tenant
from .admission import Admission, Admitted
from .forward import RequestForwarder
from .job_handlers import JobHandlers
from .relay import StreamRelay
from .request_terms import RequestTerms, read_terms
from .shutdown_window import ShutdownWindow

INVALID_TARGET_CODE = 2001
NO_ROUTE_CODE = 2006
METHOD_NOT_ALLOWED_CODE = 2010
DOT_SEGMENT_REASON = "the path has a dot segment"
NO_CONFIGURATION_CODE = 3001
SHUTTING_DOWN_CODE = 3012

JOB_PATHS = ("/api/lots/", "/api/items/")
CONFIGURATION_WAIT_SHARE = 0.1  # of ContactMs: how long a request waits for an edge's first configuration
RETRY_AFTER_SHARE = 0.05  # of ContactMs: when a client may come back that was refused for lack of one

BODY_WAIT_SHARE = 1 / 3  # of a request's time: a client gives up what was not read by then
MAX_JOB_CALL_BYTES = 64 << 10  # of a call about a batch job, which needs no body
JOB_COST_RATIO = 3.0  # memory of a batch job until its store has it, to the bytes of its body


@dataclass(frozen=True, slots=True)
class _Destination:
    """Where a request goes.

    Attributes:
        path: Its path.
        route: Its route; None for a call about batch jobs.
        admitted: Its tenant.
    """

    path: str
    route: Route | None
    admitted: Admitted


class RequestDispatcher:
    """Dispatches clients' requests to the handlers of their route's class.

    Attributes:
        routing_table: The configuration in force; None before the first one came.
        shutdown_window: What may still be taken; None until the edge is told to end.
    """

    def __init__(  # noqa: PLR0913 - what it uses, named one by one
        self,
        *,
        settings: Settings,
        state_board: StateBoard,
        clock: Clock,
        counters: Counters,
        admission: Admission,
        job_handlers: JobHandlers,
        request_forwarder: RequestForwarder,
        stream_relay: StreamRelay,
    ) -> None:
        self._settings, self._state_board = settings, state_board
        self._clock, self._counters = clock, counters
        self._admission, self._job_handlers = admission, job_handlers
        self._request_forwarder, self._stream_relay = request_forwarder, stream_relay
        self.routing_table: RoutingTable | None = None
        self.shutdown_window: ShutdownWindow | None = None

    def screen(self, request: BaseRequest) -> Result | BodyTerms:
        """Refuses a request whose body is not there yet by its head alone, or says on what terms the body is read."""
        table = self.routing_table
        if table is None:
            return BodyTerms()
        destination = self._destination_of(request, table)
        if isinstance(destination, Result):
            return destination
        if destination.route is None:
            return BodyTerms(max_bytes=MAX_JOB_CALL_BYTES)
        return self._body_terms(request, destination.route)

    def _body_terms(self, request: BaseRequest, route: Route) -> Result | BodyTerms:
        if route.kind in JOB_CLASSES:
            if request.method != "POST":
                return error_result(METHOD_NOT_ALLOWED_CODE)
            return BodyTerms(cost_ratio=JOB_COST_RATIO)
        terms = read_terms(request, route)
        if isinstance(terms, Result):
            return terms
        if not self._has_time_for(request, route):
            return self._refuse_at_end()
        return BodyTerms(wait_s=min(BODY_WAIT_S, terms.timeout_s * BODY_WAIT_SHARE))

    async def dispatch(self, request: BaseRequest, body: bytes) -> Result | StreamResponse:
        """Answers one request."""
        if self.routing_table is None:  # just started: the configuration is a moment away
            await self._wait_for_configuration()
        table = self.routing_table
        if table is None:
            self._counters.add("front.no_configuration")
            return error_result(NO_CONFIGURATION_CODE, after_s=self._settings.seconds("ContactMs", RETRY_AFTER_SHARE))
        destination = self._destination_of(request, table)
        if isinstance(destination, Result):
            return destination
        if destination.route is None:
            return await self._job_handlers.handle(request, destination.path, request.raw_path)
        self._counters.add("front." + destination.route.kind)
        return await self._dispatch_to_route(request, table, destination.route, destination.admitted, body)

    def _destination_of(self, request: BaseRequest, table: RoutingTable) -> _Destination | Result:
        """Returns where a request goes, or why it is refused."""
        path = request.raw_path.split("?", 1)[0]
        if has_dot_segment(path):
            self._counters.add("front.dot_segment")
            return error_result(INVALID_TARGET_CODE, DOT_SEGMENT_REASON)
        host = request.headers.get("Host", "")
        route: Route | None = None
        if path.startswith(JOB_PATHS) and table.has_job_calls(host, path):
            allows_anonymous = table.allows_anonymous_jobs(host)
        else:
            route = table.find_route(host, path)
            if route is None:
                self._counters.add("front.no_route")
                return error_result(NO_ROUTE_CODE)
            allows_anonymous = route.allows_anonymous
        admitted = self._admission.check(table, request.headers, allows_anonymous)
        return _Destination(path, route, admitted) if isinstance(admitted, Admitted) else admitted

    async def _wait_for_configuration(self) -> None:
        await self._state_board.wait_for_change(
            "parts",
            self._state_board.version("parts"),
            self._settings.seconds("ContactMs", CONFIGURATION_WAIT_SHARE),
        )
        await asyncio.sleep(0)  # the edge's own waiter comes first

    async def _dispatch_to_route(
        self, request: BaseRequest, table: RoutingTable, route: Route, admitted: Admitted, body: bytes
    ) -> Result | StreamResponse:
        headers = list(request.headers.items())
        if table.has_tenants:
            headers = with_tenant(headers, admitted.tenant)
        if route.kind in JOB_CLASSES:
            if request.method != "POST":
                return error_result(METHOD_NOT_ALLOWED_CODE)
            return await self._job_handlers.submit(request, route, body, admitted.tenant)
        return await self._dispatch_to_replica(request, route, headers, body, admitted.tenant)

    async def _dispatch_to_replica(
        self, request: BaseRequest, route: Route, headers: Headers, body: bytes, tenant: str | None
    ) -> Result | StreamResponse:
        if not self._has_time_for(request, route):
            return self._refuse_at_end()
        if route.kind == RouteClass.STREAMING:
            return await self._stream_relay.relay(request, route, headers, body, tenant)
        return await self._request_forwarder.forward(request, route, headers, body, tenant)

    def _refuse_at_end(self) -> Result:
        self._counters.add("front.shutting_down")
        return error_result(SHUTTING_DOWN_CODE)

    def _has_time_for(self, request: BaseRequest, route: Route) -> bool:
        """Whether this edge lives long enough to answer a request, whatever its replica does."""
        window = self.shutdown_window
        if window is None:
            return True
        terms = read_terms(request, route)
        return not isinstance(terms, RequestTerms) or window.admits(self._clock.now(), terms.timeout_s)
