"""Rare requests go by a store of this zone, on a connection to a replica that the store keeps anyway.

A new connection is costly for replicas, and one that is used once in a while is closed before its next use. Stores send
reward calls all the time, so theirs are warm; calls between nodes are cheap. A node whose own requests come often
enough to keep a connection warm sends them itself: what a store may be asked for is bounded by each edge's own rate.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

from ..jobs import active_members
from ..membership import rank
from ..rpc import CallError, ConnectionPool
from ..runtime import Counters
from ..upstream import AttemptResult, Execution
from ..upstream.proxied_request import ProxiedRequest, ProxiedResponse
from .store_directory import ShardSource, lease_holders, registered_stores

DONE_CODE = 1000
NO_REPLICA_CODE = 3002
# Refusals of a store that sent nothing.
NOT_SENT_CODES = frozenset({2006, 2008, 2009, 3002, 3004, 3005, 3101})

FREQUENT_REQUESTS = 12.0  # decayed count of a service's requests from which this node keeps connections of its own
HALF_LIFE_S = 4.0  # after so long a request counts half


@dataclass(frozen=True, slots=True)
class Proxy:
    """A store that may send a request.

    Attributes:
        store_id: Its id.
        address: Its address for calls between nodes.
    """

    store_id: str
    address: str


@dataclass(slots=True)
class _RequestRate:
    """A count of requests that decays exponentially."""

    count: float = 0.0
    counted_at: float = float("-inf")

    def add(self, now: float) -> float:
        """Counts one more; returns the count, this one included."""
        self.count = self.count * 0.5 ** ((now - self.counted_at) / HALF_LIFE_S) + 1.0
        self.counted_at = now
        return self.count


class StoreProxies:
    """Chooses a store for a rare request, and has it sent."""

    def __init__(
        self,
        shard_source: ShardSource,
        connections: ConnectionPool,
        port: int,
        zone: str,
        rest_s: float,
        counters: Counters,
    ) -> None:
        """Starts without requests.

        Args:
            shard_source: Names the stores and which of them lead runs.
            connections: Connections for calls between nodes.
            port: The stores' port for calls between nodes.
            zone: This node's zone.
            rest_s: For how long a store that failed is not asked, in seconds.
            counters: Where requests and refusals are counted.
        """
        self._shard_source, self._connections = shard_source, connections
        self._port, self._zone, self._rest_s = port, zone, rest_s
        self._counters = counters
        self._rates: dict[str, _RequestRate] = {}
        self._suspended_until: dict[str, float] = {}  # by store

    def record_request(self, service: str, now: float) -> bool:
        """Counts a request of a service; returns whether they come too rarely to keep a connection for them."""
        return self._rates.setdefault(service, _RequestRate()).add(now) < FREQUENT_REQUESTS

    def choose(self, service: str, now: float) -> Proxy | None:
        """Returns the store of this zone for a service, the same for all edges of the zone.

        A store that leads runs has other work.
        """
        shards = self._shard_source.shards
        leaders = lease_holders(shards)
        candidates = {
            store_id: store
            for store_id, store in active_members(registered_stores(shards)).items()
            if store["zone"] == self._zone
            and store_id not in leaders
            and self._suspended_until.get(store_id, now) <= now
        }
        if not candidates:
            return None
        store_id = rank(service, list(candidates))[0]
        return Proxy(store_id, f"{candidates[store_id]['ip']}:{self._port}")

    def suspend(self, proxy: Proxy, now: float) -> None:
        """Does not ask a store for a while."""
        self._suspended_until[proxy.store_id] = now + self._rest_s

    async def send(self, proxy: Proxy, request: ProxiedRequest, body: bytes, now: Callable[[], float]) -> AttemptResult:
        """Has a store send a request; returns what its replica answered.

        Args:
            proxy: The store.
            request: The request.
            body: Its body.
            now: The steady clock.
        """
        self._counters.add("send.by_store")
        try:
            code, document, response_body = await self._connections.to(proxy.address).call(
                "request.send", request.to_document(), body, timeout_s=request.timeout_s
            )
        except CallError as error:
            self.suspend(proxy, now())
            execution = Execution.UNKNOWN if error.sent else Execution.NOT_EXECUTED
            return AttemptResult(execution, reason=str(error))
        if code == DONE_CODE:
            response = ProxiedResponse.from_document(cast(dict, document))
            return AttemptResult(response.execution, response.status, response.headers, response_body, response.reason)
        self._counters.add(f"send.by_store.{code}")
        if code != NO_REPLICA_CODE:  # with that one the store is well, and its replicas are full
            self.suspend(proxy, now())
        execution = Execution.NOT_EXECUTED if code in NOT_SENT_CODES else Execution.UNKNOWN
        return AttemptResult(execution, reason=f"store refused: {code}")
