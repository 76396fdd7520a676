"""A store's share in the evacuation of a tenant.

Copies of open jobs come to the region that needs them, the lease of the tenant's run goes to a store there, and the
run's leader reports how far it is.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator
from typing import TYPE_CHECKING, Any, Protocol

from ..evacuation.record import EvacuationState, Move, Place
from ..jobs import BatchJob, Record, active_members
from ..rollout_controller.repair import BURST
from .messages import EvacuationReport
from .result_codes import DONE

if TYPE_CHECKING:
    from ..jobs import Quorum, Replicator
    from ..membership import ConfigWatcher
    from ..region_policy import Placement
    from ..rollout_controller import LeadershipTerm
    from ..routing import RoutingTable
    from ..runtime import Counters, Settings, StateBoard
    from ..share_group import PartitionLeader
    from .membership import Membership

JOB_ROUTE_KINDS = ("rollout", "batch")


class EvacuationHost(Protocol):
    """What the evacuations use of their store."""

    settings: Settings
    counters: Counters
    state_board: StateBoard
    heartbeat_interval_s: float
    quorum: Quorum
    config_watcher: ConfigWatcher
    placement: Placement
    plan: RoutingTable | None
    leaderships: dict[str, LeadershipTerm]
    replicator: Replicator
    leader: PartitionLeader
    membership: Membership

    @property
    def id(self) -> str:
        """The store's id."""

    def members(self) -> dict:
        """All stores of the membership."""


class EvacuationSupport:
    """What the evacuations of the feed ask of the runs that this store leads."""

    def __init__(self, store: EvacuationHost) -> None:
        self.store = store
        self._acknowledged: dict[tuple[str, str], EvacuationReport] = {}  # (evacuation, run) -> the newest report

    # -- what is asked

    def move_of(self, run: str) -> Move | None:
        """Returns the evacuation that moves the jobs of a run."""
        return next((move for move in self._moves(run) if move is not None), None)

    def _moves(self, run: str) -> list[Move | None]:
        """For each route of jobs that leads to a run, the evacuation that moves it."""
        placement = self.store.placement
        plan = self.store.plan
        if plan is None or not placement.moves.all:
            return []
        moves: list[Move | None] = []
        for route in plan.routes():
            if route.kind in JOB_ROUTE_KINDS and any(service == run for service, _ in route.traffic_split):
                rule = placement.rule(route)
                moves.append(None if rule is None else placement.moves.of_rule(rule.name))
        return moves

    def leading_region(self, run: str) -> str | None:
        """Returns the region where a run should be led now; None if any will do, as when others' jobs share it."""
        moves = self._moves(run)
        move = moves[0] if moves else None
        if move is None or any(other is not move for other in moves):
            return None
        is_decided = move.placed is Place.TARGET or move.state is EvacuationState.RETURNING
        return move.serving_region if is_decided else None

    def leads_elsewhere(self, run: str) -> bool:
        """Returns whether another store should lead a run because of where this one stands."""
        region = self.leading_region(run)
        if region is None or self._region(self.store.settings.zone) == region:
            return False
        fit = self.store.membership.fit_to_lead()
        return any(store_id in self._stores_in(region) for store_id in fit if store_id != self.store.id)

    def order_candidates(self, run: str, store_ids: list[str]) -> list[str]:
        """Returns these stores, those that stand where a run should be led before the others."""
        region = self.leading_region(run)
        if region is None:
            return store_ids
        inside = self._stores_in(region)
        return [i for i in store_ids if i in inside] + [i for i in store_ids if i not in inside]

    def preferred_stores(self, run: str) -> frozenset[str]:
        """Returns the stores that should hold copies of a run's records before others do."""
        move = self.move_of(run)
        if move is None or move.copies_region is None:
            return frozenset()
        return frozenset(self._stores_in(move.copies_region))

    def _region(self, zone: str) -> str | None:
        return self.store.placement.region_of.get(zone)

    def _stores_in(self, region: str) -> dict[str, dict]:
        members = active_members(self.store.members())
        return {store_id: member for store_id, member in members.items() if self._region(member["zone"]) == region}

    # -- rounds

    async def run(self) -> None:
        """Runs one round after the other while there is an evacuation."""
        store = self.store
        turn = 0
        while True:
            if not store.placement.moves.all:
                self._acknowledged.clear()
                turn = await store.state_board.wait_for_change("parts", turn)
                continue
            await self.run_round()
            turn = await store.state_board.wait_for_change("parts", turn, store.heartbeat_interval_s)

    async def run_round(self) -> None:
        """Brings copies where they are needed, and reports, for each run that this store leads."""
        for run, leadership in list(self.store.leaderships.items()):
            move = self.move_of(run)
            if move is None or move.copies_region is None or not leadership.is_confirmed():
                continue
            has_copies = await self._copy(leadership, self._stores_in(move.copies_region))
            await self._report(
                move, leadership, has_copies and not leadership.pending_jobs, self._is_drained(run, move)
            )

    async def _copy(self, leadership: LeadershipTerm, goal: dict[str, dict]) -> bool:
        """Copies the records of open jobs of which the goal's stores have too few copies.

        Args:
            leadership: The run's leadership; it ends if a newer term is met.
            goal: The stores that need copies.

        Returns:
            Whether they have enough of every open job now.
        """
        store = self.store
        if not store.quorum.has_enough_copies(goal, goal):
            return False
        outside = [store_id for store_id in store.members() if store_id not in goal]
        lacking = [
            (batch_job, record)
            for batch_job in list(leadership.batch_jobs.values())
            if not batch_job.is_ended
            for record in batch_job.records
            if not store.quorum.has_enough_copies(record.held, goal)
        ]
        for burst in _bursts(lacking):
            sends = [
                store.replicator.send(store_id, leadership.run, leadership.term, [record])
                for batch_job, record in burst
                for store_id in self._targets(batch_job, record, goal, outside)
            ]
            store.counters.add("evacuation.copies", len(sends))
            for send in sends:
                if await send is False:
                    leadership.step_down()
                    return False
        return all(store.quorum.has_enough_copies(record.held, goal) for _, record in lacking)

    def _targets(
        self, batch_job: BatchJob, record: Record, goal: dict[str, dict], outside: Collection[str]
    ) -> list[str]:
        return self.store.replicator.targets(
            batch_job.job_id, record.held & goal.keys(), avoid=outside, allow_unreachable=False
        )

    def _is_drained(self, run: str, move: Move) -> bool:
        """Whether nothing of the run is at work, and it is not led, where it should not be any more."""
        if not move.is_settling or self.leads_elsewhere(run):
            return False
        partitions = self.store.leader.runs.get(run)
        if partitions is None:
            return False
        locked: list[Any] = [entry for window in partitions.windows.values() for entry in window.locked.values()]
        return not any(
            entry.engine is not None
            and self._region(entry.engine.zone) == move.left_region
            and self._is_moved(entry.batch_job, move)
            for entry in locked
        )

    def _is_moved(self, batch_job: BatchJob, move: Move) -> bool:
        plan = self.store.plan
        route = None if plan is None else plan.find_route(batch_job.host, batch_job.path.split("?", 1)[0])
        rule = None if route is None else self.store.placement.rule(route)
        return rule is not None and rule.name in move.rules

    async def _report(self, move: Move, leadership: LeadershipTerm, is_copied: bool, is_drained: bool) -> None:
        """Reports to the control nodes what they have not acknowledged yet."""
        report = EvacuationReport(
            evacuation_id=move.name,
            run=leadership.run,
            run_term=leadership.term,
            state=move.state,
            placed=move.placed,
            is_copied=is_copied,
            is_drained=is_drained,
        )
        key = (move.name, leadership.run)
        if self._acknowledged.get(key) == report:
            return
        code, _ = await self.store.config_watcher.run_command("plan", "evacuation.report", report.to_document())
        self.store.counters.add(f"evacuation.report.{code}")
        if code == DONE:
            self._acknowledged[key] = report


def _bursts(rows: list[tuple[BatchJob, Record]]) -> Iterator[list[tuple[BatchJob, Record]]]:
    """Splits records into bursts of a bounded number of bytes, as new records wait behind what is under way."""
    burst: list[tuple[BatchJob, Record]] = []
    size = 0
    for batch_job, record in rows:
        burst.append((batch_job, record))
        size += len(record.body)
        if size > BURST:
            yield burst
            burst, size = [], 0
    if burst:
        yield burst
