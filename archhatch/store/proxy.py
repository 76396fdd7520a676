"""Sends a request for an edge whose own requests are too rare to keep a connection to a replica warm."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ..rpc import CallRefusedError
from ..upstream import Delivery
from ..upstream.proxied_request import MAX_PROXIED_BYTES
from .messages import SendAnswer, SendRequest
from .result_codes import NO_REPLICA_FREE, NO_ROUTE, NOT_CERTAIN, NOT_TAKEN

if TYPE_CHECKING:
    from ..routing import Route, RoutingTable
    from ..runtime import Clock, Counters, StateBoard
    from ..upstream import LoadBalancer, UpstreamClient

PROXIED_KIND = "idempotent"  # the only kind of route whose requests a store may send
SLOW_TARGET_FRACTION = 0.3  # of a route's target time: an answer that takes longer counts against a replica


class RequestProxyHost(Protocol):
    """What the proxy uses of its store."""

    leaving: bool
    plan: RoutingTable | None
    clock: Clock
    counters: Counters
    state_board: StateBoard
    load_balancer: LoadBalancer
    upstream_client: UpstreamClient


class RequestProxy:
    """Makes one send to one replica that this store picks; the edge judges what follows from it."""

    def __init__(self, store: RequestProxyHost) -> None:
        self.store = store

    async def send(self, document: dict, body: bytes) -> tuple:
        """Sends an idempotent request once.

        Args:
            document: A SendRequest.
            body: The request's body.

        Returns:
            The document of a SendAnswer, and the answer's body.

        Raises:
            CallRefusedError: Nothing was sent.
        """
        store = self.store
        began = store.clock.now()
        if store.leaving:
            raise CallRefusedError(NOT_TAKEN)
        if store.plan is None:
            raise CallRefusedError(NOT_CERTAIN)
        request = SendRequest.from_document(document)
        route = _proxied_route(store.plan, request)
        endpoint = store.load_balancer.select_replica(request.service, set(request.tried), began, route)
        if endpoint is None:
            raise CallRefusedError(NO_REPLICA_FREE)
        end = began + request.timeout_s
        endpoint.in_flight += 1
        store.counters.add("proxy.send")
        try:
            answer = await store.upstream_client.send(
                endpoint.address,
                endpoint.instance_id,
                request.method,
                request.target,
                [tuple(header) for header in request.headers],
                body,
                request.request_id,
                request.timeout_s,
                Delivery.AT_LEAST_ONCE,
                lambda: store.clock.now() < end,
                MAX_PROXIED_BYTES,
            )
        finally:
            endpoint.in_flight -= 1
            store.state_board.notify("score")  # reward calls may wait for the slot
        now = store.clock.now()
        store.load_balancer.record_result(
            endpoint, answer, now, now - began, route.latency_target_s * SLOW_TARGET_FRACTION
        )
        headers = [list(header) for header in answer.headers]
        return SendAnswer(answer.execution.value, answer.status, headers, answer.reason).to_document(), answer.body


def _proxied_route(plan: RoutingTable, request: SendRequest) -> Route:
    """Finds a request's route; refuses one whose edge has another configuration than this store."""
    route = plan.find_route(request.host, request.target.split("?", 1)[0])
    if route is None or route.kind != PROXIED_KIND:
        raise CallRefusedError(NO_ROUTE)
    if request.service not in [name for name, _ in route.traffic_split]:
        raise CallRefusedError(NO_ROUTE)
    return route
