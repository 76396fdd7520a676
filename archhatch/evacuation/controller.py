"""Drives the evacuations from state to state, on one control node at a time.

The owner of the plan register takes a lease; each step is a write under the lease's term, from the state that was seen.
A node that lost the lease, stood still or was cut off can therefore do no step, and any other goes on from the record.
A notice may be sent twice, with the same id.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

from ..runtime import EntryGuard
from ..control.register_values import task_leases_of
from ..control.result_codes import DONE
from .commands import LEASE_NAME
from .decisions import (
    CapacityCheck,
    NoticeKind,
    NoticeOutcome,
    Report,
    Step,
    decide,
    is_notice_term_over,
    notice_due,
)
from .notice_sender import NoticeHost, NoticeSender
from .readiness import Readiness, ReadinessHost

if TYPE_CHECKING:
    from ..runtime import Clock, Counters, StateBoard

GAP_PATIENCE = 1.0  # of ContactMs: capacity that is lacking for so long is taken to be lacking for good
AGE_STEP_S = 10.0  # of a record's age that a change of holders may lose


class EvacuationHost(ReadinessHost, NoticeHost, Protocol):
    """What the controller uses of its control node.

    Attributes:
        id: The node's id.
        incarnation: Identifies this run of its process.
        clock: Its clock.
        state_board: Wakes those who wait for a register to change.
    """

    id: str
    incarnation: str
    clock: Clock
    counters: Counters
    log: Any
    state_board: StateBoard

    def has_majority_contact(self) -> bool:
        """Returns whether a majority of the plan register's group answered lately."""

    def owns(self, shard: str) -> bool:
        """Returns whether this node runs the register's commands."""

    async def try_command(self, shard: str, name: str, args: dict) -> tuple[int, Any]:
        """Runs a command; returns its code and document."""


@dataclass(frozen=True, slots=True)
class _Situation:
    """One evacuation as the controller sees it now; see decisions.Situation."""

    controller: EvacuationController
    name: str
    record: dict
    age_s: float
    in_state_s: float

    def check_capacity(self) -> CapacityCheck:
        return self.controller.check_capacity(self.name, self.record)

    def cold_models(self) -> list[str]:
        return self.controller.readiness.cold_models(self.record)

    def missing_reports(self, report: Report) -> list[str]:
        return self.controller.readiness.missing_reports(self.record, report)

    def is_drained(self) -> bool:
        return self.controller.readiness.is_drained(self.record, self.in_state_s)


class EvacuationController:
    """Drives records while there are any that are not over; without one it sleeps until the register changes.

    Attributes:
        readiness: What the node knows of the evacuations' progress.
        term: The term of the lease that this node holds, or None.
    """

    def __init__(self, node: EvacuationHost, shard: str) -> None:
        """Creates a controller.

        Args:
            node: The control node.
            shard: The name of the plan register.
        """
        self._node = node
        self._shard = shard
        self.readiness = Readiness(node, shard)
        self._guard = EntryGuard("evacuation", node.log, node.counters, node.clock)
        self._notices = NoticeSender(node, self._record_notice)
        self.term: int | None = None
        # (evacuation, state, place) -> when this holder first saw it there
        self._since: dict[tuple[str, str, str], float] = {}
        self._lacking_since: dict[str, float] = {}  # evacuation -> since when its target has lacked capacity
        self._ages: dict[str, tuple[float, float]] = {}  # evacuation -> (its age, when that was so)

    def capacity_gaps(self, plan: dict, rules: list[str]) -> list[str]:
        """Returns what the target of a plan lacks now, in words."""
        return self.readiness.capacity_gaps(plan, rules)

    async def run(self) -> None:
        """Looks at all records again and again while this node owns the register, for ever."""
        node = self._node
        while True:
            version = node.state_board.version("plan")
            if not self.readiness.open_records():
                self._since.clear()
                await node.state_board.wait_for_change("plan", version)
                continue
            if node.has_majority_contact() and node.owns(self._shard) and self.readiness.has_configuration():
                await self.drive_all()
            else:
                self.term = None
            await node.state_board.wait_for_change("plan", version, node.heartbeat_interval_s)

    async def drive_all(self) -> None:
        """Looks at all records once, under the lease."""
        if not await self._acquire_lease():
            return
        clock = self._node.clock
        for name, record in list(self.readiness.open_records().items()):
            with self._guard.entry(name):
                key = (name, record["state"], record["placed"])
                self._since.setdefault(key, clock.now())
                await self._record_age(name, record)
                in_state_s = clock.now() - self._since[key]
                await self._drive(_Situation(self, name, record, self._age_s(name, record), in_state_s))

    async def _acquire_lease(self) -> bool:
        """Takes the lease, unless this process has it; returns whether it has it now."""
        node = self._node
        lease = task_leases_of(self.readiness.value()).get(LEASE_NAME)
        if lease and (lease["holder"], lease["life"]) == (node.id, node.incarnation):
            self.term = lease["term"]
            return True
        seen_term = lease["term"] if lease else 0
        args = {"duty": LEASE_NAME, "holder": node.id, "life": node.incarnation, "seen": seen_term}
        code, granted = await node.try_command(self._shard, "lease.claim", args)
        if code != DONE:
            return False
        self.term = granted["term"]
        # times count from what this holder sees itself, or from what an earlier one has written down
        self._since.clear()
        self._lacking_since.clear()
        self._ages.clear()
        node.log.info("evacuation lease acquired: term={}", self.term)
        return True

    async def _drive(self, situation: _Situation) -> None:
        """Sends the notice that is due, and takes the next step if there is one."""
        kind = notice_due(situation)
        if kind is not None:
            plan = situation.record["plan"]
            self._notices.ensure_sending(situation.name, plan, kind)
            if is_notice_term_over(plan, situation.in_state_s):
                self._notices.end_term(situation.name, kind)
        step = decide(situation)
        if step is not None:
            await self._take_step(situation.name, situation.record, step)

    async def _take_step(self, name: str, record: dict, step: Step) -> None:
        args = {
            "id": name,
            "term": self.term,
            "from": record["state"],
            "placed": record["placed"],
            "to": step.to,
            "why": step.reason,
            "age_s": self._age_s(name, record),
        }
        node = self._node
        code, _ = await node.try_command(self._shard, "evacuation.step", args)
        if code == DONE:
            node.counters.add(f"evacuation.{step.to}")
            node.log.info("evacuation step: id={} from={} to={} reason={}", name, record["state"], step.to, step.reason)

    def _age_s(self, name: str, record: dict) -> float:
        """Returns the seconds since an evacuation was planned, as far as holders have counted them.

        A change of holders makes it younger by AGE_STEP_S and the time without a holder, so that nothing begins too
        soon.
        """
        now = self._node.clock.now()
        age_s, counted_at = self._ages.setdefault(name, (record["age_s"], now))
        return age_s + now - counted_at

    async def _record_age(self, name: str, record: dict) -> None:
        age_s = self._age_s(name, record)
        if age_s - record["age_s"] >= AGE_STEP_S:
            args = {"id": name, "term": self.term, "age_s": age_s}
            await self._node.try_command(self._shard, "evacuation.age", args)

    def check_capacity(self, name: str, record: dict) -> CapacityCheck:
        """Returns what the target of an evacuation lacks, and whether that has lasted.

        A holder that has just started knows few replicas yet, and heartbeats may come late: one look proves nothing.
        """
        gaps = self.capacity_gaps(record["plan"], record["rules"])
        now = self._node.clock.now()
        if not gaps:
            self._lacking_since.pop(name, None)
            return CapacityCheck(gaps, is_lasting=False)
        since = self._lacking_since.setdefault(name, now)
        patience_s = self._node.settings.seconds("ContactMs", GAP_PATIENCE)
        return CapacityCheck(gaps, is_lasting=now - since >= patience_s)

    async def _record_notice(self, name: str, kind: NoticeKind, outcome: NoticeOutcome) -> None:
        if self.term is None:
            return
        args = {"id": name, "term": self.term, "kind": kind.value, "word": outcome.value}
        await self._node.try_command(self._shard, "evacuation.notice", args)
