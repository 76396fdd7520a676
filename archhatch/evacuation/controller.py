"""The duty of one control node at a time: it drives the evacuations from state to state.

The owner of the `plan` register takes the duty's lease; each step is a write under the lease's term, from the state
that was seen. A node that lost the lease, stood still or was cut off can therefore do no step, and any other goes on
from the record. A notice may be sent twice, with the same id.
"""

from __future__ import annotations

import asyncio

from ..region_policy import Placement
from ..jobs import active_members
from ..control.register_values import begun_term
from ..routing import RoutingTable
from .commands import ACKNOWLEDGED, DUTY, FAILED, NO_KEY, TERM_OVER
from .record import FINAL, Place, EvacuationState
from .target_capacity import Needs, lacks, unloaded

PATIENCE = 1.0  # of ContactMs: room that is lacking for so long is taken to be lacking for good
AGE_STEP_S = 10.0  # of a record's age that a change of holders may lose
MOVE, BACK, GIVEN_UP = "move", "return", "cancelled"  # kinds of notices


class EvacuationController:
    """run() drives records while there are any that are not over; without one it sleeps until the register changes.

    >>> # duty = EvacuationController(node, "plan"); task_group.run_forever("evacuation", duty.run)
    """

    def __init__(self, node, shard: str):
        self.node, self.shard = node, shard
        self.placement = Placement()
        self._term: int | None = None
        self._since: dict[tuple, float] = {}  # (evacuation, state, place) -> when this holder first saw it there
        self._sending: dict[tuple, asyncio.Task] = {}
        self._lacking_since: dict[str, float] = {}  # evacuation -> since when its target has lacked room
        self._ages: dict[str, tuple] = {}  # evacuation -> (its age, when that was so by the steady clock)

    # -- what is known

    def _val(self) -> dict:
        return (self.node.known.get(self.shard) or {"val": {}})["val"]

    def _open(self) -> dict:
        return {n: r for n, r in self._val().get("evacuations", {}).items() if r["state"] not in FINAL}

    def _named(self) -> dict:
        """The newest named version of each model."""
        out: dict = {}
        for state in self.node.known.values():
            for model, version in (state["val"].get("named") or {}).items():
                out[model] = max(version, out.get(model, 1))
        return out

    def _needs(self, rules: list) -> Needs:
        value = self._val()
        self.placement.update(value)
        return Needs.of(RoutingTable(value["plan"]), self.placement, rules)

    def lacks(self, plan: dict, rules: list) -> list:
        """What a plan's target lacks now, in words."""
        value, node = self._val(), self.node
        if "plan" not in value:
            return ["there is no configuration yet"]
        needs = self._needs(rules)
        members = active_members(value.get("stores", {}))
        return lacks(needs, plan, self.placement.region_of, list(node.registry.replicas.values()), members, node.quorum)

    # -- driving

    async def run(self) -> None:
        """Look at all records again and again while this node owns the register."""
        node = self.node
        while True:
            turn = node.state_board.version("plan")
            if not self._open():
                self._since.clear()
                await node.state_board.wait_for_change("plan", turn)
                continue
            if node.has_majority_contact() and node.owns(self.shard) and "plan" in self._val():
                await self.tend()
            else:
                self._term = None
            await node.state_board.wait_for_change("plan", turn, node.heartbeat_interval_s)

    async def tend(self) -> None:
        """One look at all records, under the duty's lease."""
        if not await self._hold():
            return
        for name, record in list(self._open().items()):
            key = (name, record["state"], record["placed"])
            self._since.setdefault(key, self.node.clock.now())
            await self._note_age(name, record)
            await self._drive(name, record, self.node.clock.now() - self._since[key])

    async def _hold(self) -> bool:
        """Take the duty's lease, unless this life of this node has it."""
        node = self.node
        lease = self._val().get("leases", {}).get(DUTY)
        if lease and (lease["holder"], lease["life"]) == (node.id, node.incarnation):
            self._term = lease["term"]
            return True
        args = {"duty": DUTY, "holder": node.id, "life": node.incarnation, "seen": lease["term"] if lease else 0}
        code, lease = await node.try_command(self.shard, "lease.claim", args)
        if code != 1000:
            return False
        self._term = lease["term"]
        self._since.clear()  # times count from what this holder saw itself,
        self._lacking_since.clear()
        self._ages.clear()  # ... or from what an earlier one wrote down
        node.log.info("evacuations: held under term {}", self._term)
        return True

    async def _drive(self, name: str, record: dict, here_s: float) -> None:
        step = {
            EvacuationState.PLANNED: self._planned,
            EvacuationState.ANNOUNCED: self._announced,
            EvacuationState.PREPARING: self._preparing,
            EvacuationState.MOVING: self._moving,
            EvacuationState.RETURNING: self._returning,
        }.get(EvacuationState(record["state"]))
        if step is not None:
            await step(name, record, here_s)

    async def _step(self, name: str, record: dict, to: EvacuationState, why: str) -> None:
        args = {
            "id": name,
            "term": self._term,
            "from": record["state"],
            "placed": record["placed"],
            "to": to,
            "why": why,
            "age_s": self._age(name, record),
        }
        code, _ = await self.node.try_command(self.shard, "evacuation.step", args)
        if code == 1000:
            self.node.counters.add(f"evacuation.{to}")
            self.node.log.info("evacuation {}: {} -> {}: {}", name, record["state"], to, why)

    def _age(self, name: str, record: dict) -> float:
        """Seconds since it was planned, as far as holders have counted them: a change of holders makes it younger by
        AGE_STEP_S and the time without a holder, so that nothing begins too soon."""
        age, at = self._ages.setdefault(name, (record["age_s"], self.node.clock.now()))
        return age + self.node.clock.now() - at

    async def _note_age(self, name: str, record: dict) -> None:
        age = self._age(name, record)
        if age - record["age_s"] >= AGE_STEP_S:
            args = {"id": name, "term": self._term, "age_s": age}
            await self.node.try_command(self.shard, "evacuation.age", args)

    def _late(self, name: str, record: dict) -> bool:
        """Whether its deadline has passed."""
        return self._age(name, record) > record["plan"]["DeadlineS"]

    async def _planned(self, name, record, here_s) -> None:
        if self._late(name, record):
            await self._step(name, record, EvacuationState.FAILED, "it was not started before its deadline")

    async def _announced(self, name, record, here_s) -> None:
        plan = record["plan"]
        if self._late(name, record):
            await self._step(
                name, record, EvacuationState.FAILED, f"its deadline passed; the notice: {record['notices']}"
            )
            return
        if not self._told(name, record, MOVE, here_s):
            return
        if self._age(name, record) < plan["StartAfterS"]:
            return
        if await self._lacks_room(name, record):
            return
        await self._step(name, record, EvacuationState.PREPARING, f"notice: {record['notices'][MOVE]}")

    async def _preparing(self, name, record, here_s) -> None:
        if self._late(name, record):
            await self._step(
                name, record, EvacuationState.FAILED, f"its deadline passed; {self._waits_for(record, 'copied')}"
            )
            return
        if await self._lacks_room(name, record):
            return
        needs = self._needs(record["rules"])
        replicas = list(self.node.registry.replicas.values())
        cold = unloaded(needs, record["plan"]["Target"], self.placement.region_of, replicas, self._named())
        if not cold and not self._missing(record, "copied"):
            await self._step(name, record, EvacuationState.MOVING, "copies and weights are in the target")

    async def _lacks_room(self, name: str, record: dict) -> bool:
        """Whether the target lacks room now; the evacuation fails once that has lasted.

        A holder that has just started knows few replicas yet, and heartbeats may come late: one look proves nothing.
        """
        missing, now = self.lacks(record["plan"], record["rules"]), self.node.clock.now()
        if not missing:
            self._lacking_since.pop(name, None)
            return False
        since = self._lacking_since.setdefault(name, now)
        if now - since >= self.node.settings.seconds("ContactMs", PATIENCE):
            await self._step(name, record, EvacuationState.FAILED, "; ".join(missing))
        return True

    async def _moving(self, name, record, here_s) -> None:
        if self._drained(record, here_s):
            await self._step(name, record, EvacuationState.MOVED, "nothing of it runs in the origin any more")

    async def _returning(self, name, record, here_s) -> None:
        given_up = record.get("outcome") == EvacuationState.CANCELLED
        if record["placed"] == Place.TARGET:
            told = self._told(name, record, GIVEN_UP if given_up else BACK, here_s)
            if (told or given_up) and not self._missing(record, "copied"):
                await self._step(name, record, EvacuationState.RETURNING, "copies are in the origin")
        elif self._drained(record, here_s):
            to = EvacuationState.CANCELLED if given_up else EvacuationState.RETURNED
            await self._step(name, record, to, "nothing of it runs in the target any more")

    # -- what it waits for

    def _missing(self, record: dict, what: str) -> list:
        """The tenant's runs whose present holder has not said that it is so far; a run that never began needs
        nothing."""
        value, reports = self._val(), record["reports"]
        needs = self._needs(record["rules"])
        return [
            run
            for run in sorted(needs.runs)
            if begun_term(value, run)
            and not (reports.get(run, {}).get(what) and reports[run]["term"] >= begun_term(value, run))
        ]

    def _waits_for(self, record: dict, what: str) -> str:
        return f"waiting for {', '.join(self._missing(record, what)) or 'nothing of the runs'}"

    def _drained(self, record: dict, here_s: float) -> bool:
        """Whether all that ran in the old place has ended: each node knows of the move within ConvergeMs, and what was
        sent before that ends within its time-out; of lots the runs' holders say so."""
        longest = self._needs(record["rules"]).longest_s
        live_s = self.node.settings.seconds("ConvergeMs") + min(longest, self.node.settings.seconds("StatusS"))
        return here_s >= live_s and not self._missing(record, "drained")

    def _told(self, name: str, record: dict, kind: str, here_s: float) -> bool:
        """Whether the tenant has been told, or the term of the notice has run out where the plan lets that do."""
        plan, word = record["plan"], record["notices"].get(kind)
        if word in (ACKNOWLEDGED, TERM_OVER):
            return True
        key = (name, kind)
        task = self._sending.get(key)
        if task is None or task.done():
            self._sending[key] = self.node.task_group.spawn("notice", self._send, name, plan, kind)
        if plan["NoticeWait"] == "term" and here_s >= plan["NoticeTermS"]:
            self.node.task_group.spawn("notice", self._note, name, kind, TERM_OVER)
        return False

    async def _send(self, name: str, plan: dict, kind: str) -> None:
        from .notices import NotAcknowledgedError, Notice  # a process that drives no evacuation needs no retry library

        node = self.node
        if not node.settings.notice_key:
            await self._note(name, kind, NO_KEY)
            await asyncio.sleep(node.quiet_s)
            return
        doc = {
            "Id": name,
            "Kind": kind,
            **{k: plan[k] for k in ("Tenant", "Origin", "Target", "Reason", "StartAfterS")},
        }
        notice = Notice(plan["NoticeUrl"], node.settings.notice_key, doc, first_pause_s=node.heartbeat_interval_s)
        try:
            await notice.send(max(node.quiet_s, plan["NoticeTermS"]))
        except NotAcknowledgedError as e:
            node.counters.add("notice.failed")
            node.log.warning("notice {} was not acknowledged: {}", notice.name, e)
            await self._note(name, kind, FAILED)
            return
        node.counters.add("notice.acknowledged")
        await self._note(name, kind, ACKNOWLEDGED)

    async def _note(self, name: str, kind: str, word: str) -> None:
        if self._term is None:
            return
        args = {"id": name, "term": self._term, "kind": kind, "word": word}
        await self.node.try_command(self.shard, "evacuation.notice", args)
