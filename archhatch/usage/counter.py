"""Counts of requests by tenant and window, kept by an edge and sent to the stores that collect them.

An edge sends the sums of a window, not what was added: the same report may be sent again, to the same store or to
another, and counts once. What an edge that is killed had not sent is lost: a second's requests at most.
"""

from __future__ import annotations

import asyncio
import random
from typing import Any, Protocol

from ..membership import rank
from ..rpc import CallError
from ..runtime import Clock, Counters, Settings
from .messages import UsageReport, UsageReportAnswer

NAMESPACE = "accounting"
DONE = 1000
MAX_WINDOWS = 8  # windows whose sums an edge keeps; bounds the size of a report
SEND_INTERVAL_S = 0.7  # between two reports of an edge that has something new; bounds what its death loses
SEND_JITTER = (0.7, 1.3)  # of SEND_INTERVAL_S: spreads the edges' reports over time
CALL_TIMEOUT_S = 0.5  # how long a store may take to answer
RETRY_REST_S = 3.0  # a store that did not answer comes last for so long
STORES_SENT_TO = 2  # the lease holder, and the store that would follow it


class UsageCounter:
    """Sums of requests that replicas began, by window and tenant.

    >>> counter = UsageCounter(5.0)
    >>> for at in (12.0, 14.9, 15.0): counter.record_request("t", at)
    >>> counter.counts
    {2: {'t': 2}, 3: {'t': 1}}

    Attributes:
        window_s: The length of a window in seconds.
        counts: Requests by window's number and tenant.
        version: Rises with each count.
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.counts: dict[int, dict[str, int]] = {}
        self.version = 0

    def record_request(self, tenant: str, at: float) -> None:
        """Counts a tenant's request that a replica began at this agreed time of day, in seconds."""
        window = int(at // self.window_s)
        tenants = self.counts.get(window)
        if tenants is None:
            tenants = self.counts[window] = {}
            for old_window in sorted(self.counts)[:-MAX_WINDOWS]:
                del self.counts[old_window]
        tenants[tenant] = tenants.get(tenant, 0) + 1
        self.version += 1


class AgreedClock(Protocol):
    """What the sender uses of the configuration watcher.

    Attributes:
        shards: The newest configuration by shard; `plan` names the voters of the role registers.
    """

    shards: dict[str, Any]

    def agreed_time(self, steady: float) -> float | None:
        """The agreed time of day at a point of the steady clock; None while there is none."""


class UsageSender:
    """Counts an edge's requests and sends the counts to the stores.

    Attributes:
        incarnation: This process.
        counter: The counts.
    """

    def __init__(  # noqa: PLR0913, PLR0917 - what it uses of the edge, each given by itself
        self,
        settings: Settings,
        config_watcher: AgreedClock,
        connections: Any,  # noqa: ANN401 - the connection pool
        clock: Clock,
        counters: Counters,
        incarnation: str,
    ) -> None:
        self.incarnation = incarnation
        self.counter = UsageCounter(settings.seconds("ReportWindowS"))
        self._edge: str = settings.node_name
        self._config_watcher = config_watcher
        self._connections = connections
        self._clock = clock
        self._counters = counters
        self._sent_versions: dict[str, int] = {}  # store id -> the counter's version that it has
        self._failed_at: dict[str, float] = {}  # store id -> when it last did not answer, steady clock
        self._lease_holder: str | None = None  # the store that holds the role's lease, as one of them said

    def record_request(self, tenant: str, steady: float) -> None:
        """Counts a tenant's request that a replica began at this point of the steady clock."""
        at = self._config_watcher.agreed_time(steady)
        if at is None:
            self._counters.add("usage.clock_unknown")
            return
        self.counter.record_request(tenant, at)

    async def run(self) -> None:
        """Sends what is new again and again, for good."""
        while True:
            await asyncio.sleep(SEND_INTERVAL_S * random.uniform(*SEND_JITTER))
            await self.send()

    async def send(self) -> None:
        """Sends once what is new; an edge that ends does so last."""
        await asyncio.gather(*(self._send_to(store_id, address) for store_id, address in self._targets().items()))

    def _voters(self) -> dict[str, str]:
        """The addresses of the stores that hold the role's register, by id."""
        plan_shard = self._config_watcher.shards.get("plan") or {}
        group = plan_shard.get("ledger", {}).get(NAMESPACE)
        return group["voters"] if group else {}

    def _targets(self) -> dict[str, str]:
        """The stores to send to that lack something: the lease holder first, then in rendezvous order."""
        voters = self._voters()
        now = self._clock.now()

        def preference(store_id: str) -> tuple[bool, bool]:
            has_just_failed = now - self._failed_at.get(store_id, float("-inf")) < RETRY_REST_S
            return has_just_failed, store_id != self._lease_holder

        order = sorted(rank(NAMESPACE, voters), key=preference)
        return {
            store_id: voters[store_id]
            for store_id in order[:STORES_SENT_TO]
            if self._sent_versions.get(store_id, 0) < self.counter.version
        }

    async def _send_to(self, store_id: str, address: str) -> None:
        version = self.counter.version
        report = UsageReport(store_id, self._edge, self.incarnation, version, self.counter.counts)
        try:
            code, document, _ = await self._connections.to(address).call(
                "usage.tell", report.to_document(), timeout_s=CALL_TIMEOUT_S
            )
        except CallError:
            code, document = 0, None
        if code != DONE:
            self._counters.add("usage.send_failed")
            self._failed_at[store_id] = self._clock.now()
            return
        self._sent_versions[store_id] = version
        lease_holder = UsageReportAnswer.from_document(document).lease_holder
        if lease_holder is not None:
            self._lease_holder = lease_holder
