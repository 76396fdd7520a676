"""A store's part in the evacuation of a tenant: copies of open lots come to the region that needs them, the lease of
the tenant's run goes to a store there, and the run's holder reports how far it is."""

from __future__ import annotations

from ..jobs import BatchJob, active_members
from ..evacuation.record import Move, Place, EvacuationState
from ..rollout_controller.repair import BURST

ROLLOUTS = ("rollout", "batch")


class EvacuationSupport:
    """What the evacuations of the feed ask of the runs that this store leads.

    >>> # support = EvacuationSupport(store); task_group.run_forever("evacuation", support.run)
    >>> # support.leads_elsewhere("service")
    """

    def __init__(self, store):
        self.store = store
        self._reported: dict[tuple, tuple] = {}  # (evacuation, run) -> what was last reported and acknowledged

    # -- what is asked

    def move_of(self, run: str) -> Move | None:
        """The evacuation that moves the lots of a run."""
        return next((move for move in self._moves(run) if move is not None), None)

    def _moves(self, run: str) -> list:
        """For each lane of lots that leads to a run, the evacuation that moves it."""
        store = self.store
        if store.plan is None or not store.placement.moves.all:
            return []
        out = []
        for route in store.plan.routes():
            if route.kind in ROLLOUTS and any(service == run for service, _ in route.split):
                rule = store.placement.rule(route)
                out.append(None if rule is None else store.placement.moves.of(rule.name))
        return out

    def leading_region(self, run: str) -> str | None:
        """The region where a run should be led now; None if any will do, as when others' lots share it."""
        moves = self._moves(run)
        if not moves or moves[0] is None or any(move is not moves[0] for move in moves):
            return None
        move = moves[0]
        decided = move.placed is Place.TARGET or move.state is EvacuationState.RETURNING
        return move.here if decided else None

    def leads_elsewhere(self, run: str) -> bool:
        """Whether another store should lead a run because of where this one stands."""
        region = self.leading_region(run)
        if region is None or self._region(self.store.settings.zone) == region:
            return False
        fit = self.store.membership.fit_to_lead()
        return any(sid in self._stores_in(region) for sid in fit if sid != self.store.id)

    def candidates(self, run: str, names: list) -> list:
        """These stores, those that stand where a run should be led before the others."""
        region = self.leading_region(run)
        if region is None:
            return names
        there = self._stores_in(region)
        return [sid for sid in names if sid in there] + [sid for sid in names if sid not in there]

    def preferred(self, run: str) -> frozenset:
        """The stores that should hold copies of a run's records before others do."""
        move = self.move_of(run)
        if move is None or move.copies_in is None:
            return frozenset()
        return frozenset(self._stores_in(move.copies_in))

    def _region(self, zone: str) -> str | None:
        return self.store.placement.region_of.get(zone)

    def _stores_in(self, region: str) -> dict:
        return {sid: m for sid, m in active_members(self.store.members()).items() if self._region(m["zone"]) == region}

    # -- rounds

    async def run(self) -> None:
        """One round after the other while there is an evacuation."""
        store, turn = self.store, 0
        while True:
            if not store.placement.moves.all:
                self._reported.clear()
                turn = await store.state_board.wait_for_change("parts", turn)
                continue
            await self.round()
            turn = await store.state_board.wait_for_change("parts", turn, store.heartbeat_interval_s)

    async def round(self) -> None:
        """Bring copies where they are needed, and report, for each run that this store leads."""
        for run, leadership in list(self.store.leaderships.items()):
            move = self.move_of(run)
            if move is None or move.copies_in is None or not leadership.is_confirmed():
                continue
            copied = await self._copy(leadership, self._stores_in(move.copies_in)) and not leadership.pending_jobs
            await self._report(move, leadership, copied, self._drained(run, move))

    async def _copy(self, leadership, goal: dict) -> bool:
        """Copy what the goal's stores have too little of; whether they have enough of every open lot now."""
        store = self.store
        if not store.quorum.has_enough_copies(goal, goal):
            return False
        elsewhere = [sid for sid in store.members() if sid not in goal]
        lacking = [
            (batch_job, record)
            for batch_job in list(leadership.batch_jobs.values())
            if not batch_job.is_ended
            for record in batch_job.records
            if not store.quorum.has_enough_copies(record.held, goal)
        ]
        for shard in _parts(lacking):
            sends = [
                store.replicator.send(sid, leadership.run, leadership.term, [record])
                for batch_job, record in shard
                for sid in store.replicator.targets(
                    batch_job.job_id, record.held & goal.keys(), avoid=elsewhere, allow_unreachable=False
                )
            ]
            store.counters.add("evacuation.copies", len(sends))
            for send in sends:
                if await send is False:
                    leadership.step_down()
                    return False
        return all(store.quorum.has_enough_copies(record.held, goal) for _, record in lacking)

    def _drained(self, run: str, move: Move) -> bool:
        """Whether nothing of the run is at work, and it is not led, where it should not be any more."""
        store = self.store
        if not move.settling or self.leads_elsewhere(run):
            return False
        led = store.leader.runs.get(run)
        if led is None:
            return False
        locked = [entry for window in led.windows.values() for entry in window.locked.values()]
        return not any(
            entry.engine is not None
            and self._region(entry.engine.zone) == move.left
            and self._is_moved(entry.batch_job, move)
            for entry in locked
        )

    def _is_moved(self, batch_job: BatchJob, move: Move) -> bool:
        route = self.store.plan.route(batch_job.host, batch_job.path.split("?", 1)[0])
        rule = None if route is None else self.store.placement.rule(route)
        return rule is not None and rule.name in move.rules

    async def _report(self, move: Move, leadership, copied: bool, drained: bool) -> None:
        row = (leadership.term, move.state, move.placed, copied, drained)
        if self._reported.get((move.name, leadership.run)) == row:
            return
        args = {
            "id": move.name,
            "run": leadership.run,
            "run_term": leadership.term,
            "state": move.state,
            "placed": move.placed,
            "copied": copied,
            "drained": drained,
        }
        code, _ = await self.store.config_watcher.run_command("plan", "evacuation.report", args)
        self.store.counters.add(f"evacuation.report.{code}")
        if code == 1000:
            self._reported[move.name, leadership.run] = row


def _parts(rows: list):
    """Records with their lots in parts of a bounded number of bytes: new records wait behind what is under way."""
    shard, size = [], 0
    for batch_job, record in rows:
        shard.append((batch_job, record))
        size += len(record.body)
        if size > BURST:
            yield shard
            shard, size = [], 0
    if shard:
        yield shard
