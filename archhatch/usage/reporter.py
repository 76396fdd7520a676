"""Reports each window's usage to the platform, once: its counts are agreed in the ledger before they are first sent.

The platform ignores an exact repeat and has no call to read back, so there is nothing to observe there: a successor
sends exactly the counts that the ledger has, or, where it has none, those that the edges told it.
"""

from __future__ import annotations

import asyncio

from ..platform_client import PlatformClient
from ..singleton_roles.commands import split_key
from ..singleton_roles.effect import EffectFailedError, protect
from ..singleton_roles.lease import RoleCallError, StandingLease
from ..singleton_roles.record import RoleState
from .collector import UsageCollector
from .counter import NAMESPACE

DUTY = "accounting"  # the name in the settings, and the platform's path
CLOSE = 0.35  # of UsageDelayS: so long after its end a window is closed; edges have told by then
LATE = 3.0  # times UsageDelayS: a window that ended so long ago is not begun any more
LOOK_S = 0.25  # between looks for a window to report


class UsageReporter:
    """run() reports windows while this store holds the duty's lease; tell() takes the edges' words all the time.

    >>> # reporter = UsageReporter(store); task_group.run_forever("usage", reporter.run)
    """

    def __init__(self, store, platform: PlatformClient | None = None):
        self.store = store
        self.lease = StandingLease(store, NAMESPACE)
        self.collector = UsageCollector()
        self.platform = platform
        settings = store.settings
        self.window_s, self.delay_s = settings.seconds("ReportWindowS"), settings.seconds("UsageDelayS")
        self._sending: dict[str, asyncio.Task] = {}

    @property
    def enabled(self) -> bool:
        """Whether the platform takes usage reports here."""
        platform_api = self.store.settings.platform_api
        return platform_api is not None and DUTY in platform_api.duties

    async def tell(self, doc, body) -> dict:
        """An edge's word; the answer names the store that holds the duty, as far as this one knows."""
        sums = {int(window): counts for window, counts in doc["sums"].items()}
        self.collector.tell(doc["edge"], doc["life"], doc["version"], sums, self.store.clock.now())
        return {"holder": self._holder_id()}

    def _holder_id(self) -> str | None:
        name = self.lease.holder_hint()
        return next((sid for sid, member in self.store.members().items() if member["name"] == name), None)

    async def run(self) -> None:
        """Look for what is due, for good."""
        if not self.enabled:
            return
        while True:
            await asyncio.sleep(LOOK_S)
            if self.lease.may_act():
                self.look()

    def look(self) -> None:
        """Begin to report each window that is to be closed, and go on with those that were begun."""
        now = self.store.config_watcher.agreed_time(self.store.clock.now())
        if now is None:
            return
        duties = self.store.ledger.duties(NAMESPACE)
        for key in self._open(duties) + self._due(duties, now):
            task = self._sending.get(key)
            if task is None or task.done():
                self._sending[key] = self.store.task_group.spawn("usage", self._report, key)
        self._sending = {key: task for key, task in self._sending.items() if not task.done()}

    def _open(self, duties: dict) -> list:
        """Windows that were begun and not finished."""
        running = [key for key, duty in duties.items() if "/" in key and duty["state"] == RoleState.RUNNING.value]
        return sorted(running, key=lambda key: split_key(key)[2])

    def _due(self, duties: dict, now: float) -> list:
        """Windows with usage that ended long enough ago, and were not begun."""
        newest = int((now - self.delay_s * CLOSE) // self.window_s) - 1
        oldest = int((now - self.delay_s * LATE) // self.window_s)
        keys = [f"{NAMESPACE}/window:{window}" for window in self.collector.windows() if oldest <= window <= newest]
        return [key for key in keys if key not in duties]

    async def _report(self, key: str) -> None:
        window = split_key(key)[2]
        intent = {"WindowId": window, "Counts": self.collector.counts(window)}
        try:
            await protect(self.lease, key, intent, self._send)
        except RoleCallError as e:
            self.store.counters.add(f"usage.put_off.{e.code}")
        except EffectFailedError as e:
            self.store.log.error("usage of window {}: {}", window, e)

    async def _send(self, report: dict) -> str:
        return await self.platform.deliver(f"/{DUTY}", report, self.lease)
