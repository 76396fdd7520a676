"""Counts of requests by tenant and window, kept by an edge node and told to the stores that gather them.

An edge tells the sums of a window, not what was added: the same words may be told again, to the same store or to
another, and count once. What an edge that is killed had not told is lost: a second's requests at most.
"""

from __future__ import annotations

import asyncio
import random

from ..membership import rank
from ..rpc import CallError

NAMESPACE = "accounting"
WINDOWS_KEPT = 8  # windows whose sums an edge keeps
PAUSE_S = 0.7  # between two words of an edge that has something new to tell
CALL_S = 0.5  # how long a store may take to answer
REST_S = 3.0  # a store that did not answer is told last for so long
TARGETS = 2  # stores that are told: the holder of the duty, and the one that would follow it


class UsageCounter:
    """Sums of requests that replicas began, by window and tenant.

    >>> c = UsageCounter(5.0); c.began("t", 12.0); c.began("t", 14.9); c.began("t", 15.0); c.sums
    {2: {'t': 2}, 3: {'t': 1}}
    """

    def __init__(self, window_s: float):
        self.window_s = window_s
        self.sums: dict[int, dict[str, int]] = {}  # window's number -> tenant -> requests
        self.version = 0  # rises with each count

    def began(self, tenant: str, at: float) -> None:
        """A replica began a tenant's request at this agreed time of day."""
        window = int(at // self.window_s)
        sums = self.sums.get(window)
        if sums is None:
            sums = self.sums[window] = {}
            for old in sorted(self.sums)[:-WINDOWS_KEPT]:
                del self.sums[old]
        sums[tenant] = sums.get(tenant, 0) + 1
        self.version += 1


class UsageSender:
    """Counts an edge's requests and tells the sums.

    >>> # teller = UsageSender(edge); task_group.run_forever("usage", teller.run); teller.began("tenant", clock.now())
    """

    def __init__(self, settings, config_watcher, lines, clock, counters, incarnation: str):
        self.settings, self.config_watcher, self.connections, self.clock, self.counters = (
            settings,
            config_watcher,
            lines,
            clock,
            counters,
        )
        self.incarnation = incarnation
        self.counter = UsageCounter(settings.seconds("ReportWindowS"))
        self._told: dict[str, int] = {}  # store -> the counter's version that it has
        self._failed_at: dict[str, float] = {}  # store -> when it last did not answer
        self._holder: str | None = None  # the store that holds the duty, as one of them said

    def began(self, tenant: str, steady: float) -> None:
        """A replica began a tenant's request at this point of the steady clock."""
        at = self.config_watcher.agreed_time(steady)
        if at is None:
            self.counters.add("usage.no_time")
            return
        self.counter.began(tenant, at)

    async def run(self) -> None:
        """Tell what is new, for good."""
        while True:
            await asyncio.sleep(PAUSE_S * random.uniform(0.7, 1.3))
            await self.tell()

    async def tell(self) -> None:
        """Tell what is new, once; an edge that ends does so last."""
        await asyncio.gather(*(self._tell(sid, address) for sid, address in self._targets().items()))

    def _voters(self) -> dict:
        group = (self.config_watcher.shards.get("plan") or {}).get("ledger", {}).get(NAMESPACE)
        return group["voters"] if group else {}

    def _targets(self) -> dict:
        """The stores to tell that lack something: the duty's holder first, then by rendezvous."""
        voters = self._voters()
        now = self.clock.now()
        order = rank(NAMESPACE, voters)
        order.sort(key=lambda sid: (now - self._failed_at.get(sid, float("-inf")) < REST_S, sid != self._holder))
        return {sid: voters[sid] for sid in order[:TARGETS] if self._told.get(sid, 0) < self.counter.version}

    async def _tell(self, sid: str, address: str) -> None:
        version = self.counter.version
        doc = {
            "to": sid,
            "edge": self.settings.node_name,
            "life": self.incarnation,
            "version": version,
            "sums": {str(window): sums for window, sums in self.counter.sums.items()},
        }
        try:
            code, out, _ = await self.connections.to(address).call("usage.tell", doc, timeout_s=CALL_S)
        except CallError:
            code, out = 0, None
        if code != 1000:
            self.counters.add("usage.untold")
            self._failed_at[sid] = self.clock.now()
            return
        self._told[sid] = version
        if out["holder"] is not None:
            self._holder = out["holder"]
