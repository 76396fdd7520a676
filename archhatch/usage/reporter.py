"""Reports each window's usage to the platform, once: its counts are agreed in the register before they are first sent.

The platform ignores an exact repeat and has no call to read back, so there is nothing to observe there: a successor
sends exactly the counts that the register has, or, where it has none, those that the edges sent it.
"""

from __future__ import annotations

import asyncio
from typing import Any, Protocol

from ..runtime import EntryGuard
from ..platform_client import PlatformClient
from ..singleton_roles.effect import protect
from ..singleton_roles.errors import EffectFailedError, RoleCallError
from ..singleton_roles.keys import RoleKey, is_effect_key
from ..singleton_roles.lease import StandingLease
from ..singleton_roles.node import RoleNode
from ..singleton_roles.record import RoleState
from .collector import UsageCollector
from .counter import NAMESPACE
from .messages import UsageReport, UsageReportAnswer

DUTY = "accounting"  # the name in the settings, and the platform's path
CLOSE_AFTER = 0.35  # of UsageDelayS: so long after its end a window is closed, as edges have reported by then
ABANDON_AFTER = 3.0  # times UsageDelayS: a window that ended so long ago is not begun any more
CHECK_INTERVAL_S = 0.25  # between two checks for windows to report


class UsageNode(RoleNode, Protocol):
    """A store node, as the reporter sees it; its task group runs the reports."""

    task_group: Any


class UsageReporter:
    """Collects the edges' counts, and reports windows to the platform while this store holds the role's lease.

    Attributes:
        lease: The lease under which windows are reported.
        collector: The counts that edges have sent.
        platform: Calls the platform; None until the node has started, and without the platform's interface.
        window_s: The length of a window in seconds.
        delay_s: How late after its end a window may be reported, in seconds.
    """

    def __init__(self, node: UsageNode, platform: PlatformClient | None = None) -> None:
        settings = node.settings
        self.lease = StandingLease(node, NAMESPACE)
        self.collector = UsageCollector()
        self.platform = platform
        self.window_s: float = settings.seconds("ReportWindowS")
        self.delay_s: float = settings.seconds("UsageDelayS")
        self._node = node
        self._guard = EntryGuard("usage", node.log, node.counters, node.clock)
        self._reporting: dict[str, asyncio.Task] = {}  # by the window's key

    @property
    def enabled(self) -> bool:
        """Whether the platform takes usage reports here."""
        platform_api = self._node.settings.platform_api
        return platform_api is not None and DUTY in platform_api.duties

    async def receive_counts(self, document: dict, _body: bytes) -> dict:
        """Handles an edge's report; the answer names the store that holds the lease, as far as this one knows."""
        report = UsageReport.from_document(document)
        now = self._node.clock.now()
        self.collector.record_report(report.edge, report.incarnation, report.version, report.counts, now)
        return UsageReportAnswer(self._lease_holder_id()).to_document()

    def _lease_holder_id(self) -> str | None:
        name = self.lease.newest_known_holder()
        return next((store_id for store_id, member in self._node.members().items() if member["name"] == name), None)

    async def run(self) -> None:
        """Checks again and again for windows that are due, for good; ends at once if reports are not enabled."""
        if not self.enabled:
            return
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self.lease.may_act():
                self.report_due_windows()

    def report_due_windows(self) -> None:
        """Begins to report each window that is to be closed, and goes on with those that were begun."""
        now = self._node.config_watcher.agreed_time(self._node.clock.now())
        if now is None:
            return
        roles = self._node.ledger.roles(NAMESPACE)
        for key in self._begun_windows(roles) + self._due_windows(roles, now):
            with self._guard.entry(key):
                task = self._reporting.get(key)
                if task is None or task.done():
                    self._reporting[key] = self._node.task_group.spawn("usage", self._report, key)
        self._reporting = {key: task for key, task in self._reporting.items() if not task.done()}

    def _begun_windows(self, roles: dict[str, dict]) -> list[str]:
        """The keys of windows whose report was begun and not finished, the oldest first."""
        running: dict[int, str] = {}
        for key, role in roles.items():
            with self._guard.entry(key):
                if is_effect_key(key) and role["state"] == RoleState.RUNNING.value:
                    running[RoleKey.parse(key).number] = key
        return [running[number] for number in sorted(running)]

    def _due_windows(self, roles: dict[str, dict], now: float) -> list[str]:
        """The keys of windows with usage that ended long enough ago, and whose report was not begun."""
        newest = int((now - self.delay_s * CLOSE_AFTER) // self.window_s) - 1
        oldest = int((now - self.delay_s * ABANDON_AFTER) // self.window_s)
        keys = [f"{NAMESPACE}/window:{window}" for window in self.collector.windows() if oldest <= window <= newest]
        return [key for key in keys if key not in roles]

    async def _report(self, key: str) -> None:
        window = RoleKey.parse(key).number
        intent = {"WindowId": window, "Counts": self.collector.counts_in(window)}
        try:
            await protect(self.lease, key, intent, self._send)
        except RoleCallError as error:
            # the lease passed on, or no majority answered: this store or its successor goes on at the next check
            self._node.counters.add(f"usage.deferred.{error.code}")
        except EffectFailedError as error:
            # a refusal by the platform: a traceback would not explain it
            self._node.log.error("usage: report failed for good, window={} reason={!r}", window, str(error))  # noqa: TRY400 - see above

    async def _send(self, report: dict) -> str:
        assert self.platform is not None, "the node sets it at its start wherever reports are enabled"
        return await self.platform.deliver(f"/{DUTY}", report, self.lease)
