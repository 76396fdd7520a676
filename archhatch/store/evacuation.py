"""A store's part in the evacuation of a tenant: copies of open lots come to the region that needs them, the lease of
the tenant's run goes to a store there, and the run's holder reports how far it is."""

from __future__ import annotations

from ..jobs import BatchJob, active
from ..evacuation.record import Move, Place, EvacuationState
from ..rollout_controller.repair import BURST

ROLLOUTS = ("rollout", "batch")


class EvacuationSupport:
    """What the evacuations of the feed ask of the runs that this store leads.

    >>> # support = EvacuationSupport(store); crew.keep("evacuation", support.run); support.leads_elsewhere("service")
    """

    def __init__(self, store):
        self.st = store
        self._reported: dict[tuple, tuple] = {}  # (evacuation, run) -> what was last reported and acknowledged

    # -- what is asked

    def move_of(self, run: str) -> Move | None:
        """The evacuation that moves the lots of a run."""
        return next((move for move in self._moves(run) if move is not None), None)

    def _moves(self, run: str) -> list:
        """For each lane of lots that leads to a run, the evacuation that moves it."""
        st = self.st
        if st.plan is None or not st.placement.moves.all:
            return []
        out = []
        for lane in st.plan.lanes():
            if lane.kind in ROLLOUTS and any(service == run for service, _ in lane.split):
                rule = st.placement.rule(lane)
                out.append(None if rule is None else st.placement.moves.of(rule.name))
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
        if region is None or self._region(self.st.boot.zone) == region:
            return False
        fit = self.st.membership.fit_to_lead()
        return any(sid in self._stores_in(region) for sid in fit if sid != self.st.id)

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
        return self.st.placement.region_of.get(zone)

    def _stores_in(self, region: str) -> dict:
        return {sid: m for sid, m in active(self.st.members()).items() if self._region(m["zone"]) == region}

    # -- rounds

    async def run(self) -> None:
        """One round after the other while there is an evacuation."""
        st, turn = self.st, 0
        while True:
            if not st.placement.moves.all:
                self._reported.clear()
                turn = await st.board.news("parts", turn)
                continue
            await self.round()
            turn = await st.board.news("parts", turn, st.beat_s)

    async def round(self) -> None:
        """Bring copies where they are needed, and report, for each run that this store leads."""
        for run, reign in list(self.st.reigns.items()):
            move = self.move_of(run)
            if move is None or move.copies_in is None or not reign.fresh():
                continue
            copied = await self._copy(reign, self._stores_in(move.copies_in)) and not reign.pending
            await self._report(move, reign, copied, self._drained(run, move))

    async def _copy(self, reign, goal: dict) -> bool:
        """Copy what the goal's stores have too little of; whether they have enough of every open lot now."""
        st = self.st
        if not st.quorum.enough(goal, goal):
            return False
        elsewhere = [sid for sid in st.members() if sid not in goal]
        lacking = [
            (lot, rec)
            for lot in list(reign.lots.values())
            if not lot.ended
            for rec in lot.recs
            if not st.quorum.enough(rec.held, goal)
        ]
        for part in _parts(lacking):
            sends = [
                st.copier.send(sid, reign.run, reign.term, [rec])
                for lot, rec in part
                for sid in st.copier.targets(lot.lid, rec.held & goal.keys(), avoid=elsewhere, silent=False)
            ]
            st.ctr.add("evacuation.copies", len(sends))
            for send in sends:
                if await send is False:
                    reign.over()
                    return False
        return all(st.quorum.enough(rec.held, goal) for _, rec in lacking)

    def _drained(self, run: str, move: Move) -> bool:
        """Whether nothing of the run is at work, and it is not led, where it should not be any more."""
        st = self.st
        if not move.settling or self.leads_elsewhere(run):
            return False
        led = st.leader.runs.get(run)
        if led is None:
            return False
        locked = [entry for window in led.windows.values() for entry in window.locked.values()]
        return not any(
            entry.engine is not None
            and self._region(entry.engine.zone) == move.left
            and self._is_moved(entry.lot, move)
            for entry in locked
        )

    def _is_moved(self, lot: BatchJob, move: Move) -> bool:
        lane = self.st.plan.lane(lot.host, lot.path.split("?", 1)[0])
        rule = None if lane is None else self.st.placement.rule(lane)
        return rule is not None and rule.name in move.rules

    async def _report(self, move: Move, reign, copied: bool, drained: bool) -> None:
        row = (reign.term, move.state, move.placed, copied, drained)
        if self._reported.get((move.name, reign.run)) == row:
            return
        args = {
            "id": move.name,
            "run": reign.run,
            "run_term": reign.term,
            "state": move.state,
            "placed": move.placed,
            "copied": copied,
            "drained": drained,
        }
        code, _ = await self.st.news.do("plan", "evacuation.report", args)
        self.st.ctr.add(f"evacuation.report.{code}")
        if code == 1000:
            self._reported[move.name, reign.run] = row


def _parts(rows: list):
    """Records with their lots in parts of a bounded number of bytes: new records wait behind what is under way."""
    part, size = [], 0
    for lot, rec in rows:
        part.append((lot, rec))
        size += len(rec.body)
        if size > BURST:
            yield part
            part, size = [], 0
    if part:
        yield part
