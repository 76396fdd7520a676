"""Sends the notices of evacuations in tasks, and records their outcomes."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, Protocol

from .decisions import NoticeKind, NoticeOutcome

if TYPE_CHECKING:
    from ..runtime import Counters, Settings, TaskGroup

PLAN_KEYS = ("Tenant", "Origin", "Target", "Reason", "StartAfterS")  # of the plan, what a tenant is told

RecordOutcome = Callable[[str, NoticeKind, NoticeOutcome], Awaitable[None]]  # of an evacuation's notice


class NoticeHost(Protocol):
    """What is used of the control node."""

    settings: Settings
    counters: Counters
    task_group: TaskGroup
    log: Any
    heartbeat_interval_s: float
    quiet_s: float


class NoticeSender:
    """Has at most one task at work for each notice."""

    def __init__(self, host: NoticeHost, record_outcome: RecordOutcome) -> None:
        self._host = host
        self._record_outcome = record_outcome
        self._tasks: dict[tuple[str, NoticeKind], asyncio.Task] = {}

    def ensure_sending(self, name: str, plan: dict, kind: NoticeKind) -> None:
        """Begins to send a notice, unless a task is at it."""
        task = self._tasks.get((name, kind))
        if task is None or task.done():
            self._tasks[name, kind] = self._host.task_group.spawn("notice", self._send, name, plan, kind)

    def end_term(self, name: str, kind: NoticeKind) -> None:
        """Records that the term of a notice is over."""
        self._host.task_group.spawn("notice", self._record_outcome, name, kind, NoticeOutcome.TERM_OVER)

    async def _send(self, name: str, plan: dict, kind: NoticeKind) -> None:
        from .notices import NotAcknowledgedError, Notice  # a process that drives no evacuation needs no retry library

        host = self._host
        key = host.settings.notice_key
        if not key:
            await self._record_outcome(name, kind, NoticeOutcome.NO_KEY)
            await asyncio.sleep(host.quiet_s)  # the next look would begin again at once
            return
        document = {"Id": name, "Kind": kind.value, **{field: plan[field] for field in PLAN_KEYS}}
        notice = Notice(plan["NoticeUrl"], key, document, first_pause_s=host.heartbeat_interval_s)
        try:
            await notice.send(max(host.quiet_s, plan["NoticeTermS"]))
        except NotAcknowledgedError as error:
            host.counters.add("notice.failed")
            host.log.warning("notice not acknowledged: notice={} reason={}", notice.name, error)
            await self._record_outcome(name, kind, NoticeOutcome.FAILED)
            return
        host.counters.add("notice.acknowledged")
        await self._record_outcome(name, kind, NoticeOutcome.ACKNOWLEDGED)
