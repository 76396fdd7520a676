"""The asking side of a register: runs commands on it under a ballot that is kept while nobody objects."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field


from .proposal_number import ZERO, ProposalNumber, new_incarnation
from .group import covers, members

TRIES = 3  # rounds under new ballots before the outcome is called unclear
GROUP_STEPS = 4  # changes of the group that a prepare follows
PAUSE = (0.02, 0.12)  # of the time for a round: the pause before a new ballot


class UnclearResultError(Exception):
    """No majority answered: what was asked may have been taken, or not."""


@dataclass(slots=True)
class _Job:
    """A command that waits for its result. After `end` it is not started any more."""

    name: str
    args: dict
    done: asyncio.Future
    end: float

    def wanted(self, now: float) -> bool:
        """Whether somebody still waits for it, and its time has not run out."""
        return not self.done.done() and now < self.end

    def fail(self, why: Exception) -> None:
        if not self.done.done():
            self.done.set_exception(why)


@dataclass(slots=True)
class _Heard:
    """What the acceptors of one prepare have told."""

    answers: dict = field(default_factory=dict)
    state: dict | None = None
    proposal_number: ProposalNumber = ZERO

    def add(self, got: dict) -> None:
        """Fold in answers; the state under the highest ballot counts, of one ballot the latest."""
        self.answers.update(got)
        for answer in got.values():
            state = answer["state"]
            if state is None:
                continue
            rank = (ProposalNumber.from_wire(answer["ballot"]), state["stamp"])
            if self.state is None or rank > (self.proposal_number, self.state["stamp"]):
                self.state, self.proposal_number = state, rank[0]


class Proposer:
    """Runs commands on one register, several at a time in one round.

    ask(addr, verb, doc) calls another node (or this one) and gives its answer, or None. base() gives the newest state
    that this node has seen, to know whom to ask; least() the version that is known to be chosen.

    >>> # code, doc = await proposer.execute("plan.get", {}); raises UnclearResultError
    """

    def __init__(
        self, shard, me, commands, ask, base, publish, counters, timeout_s=1.0, chosen_version=None, incarnation=None
    ):
        self.shard, self.me, self.commands = shard, me, commands
        self._ask, self._base, self._publish, self.counters = ask, base, publish, counters
        self._chosen_version = chosen_version or (lambda: 0)
        self.timeout_s = timeout_s
        self.incarnation = incarnation or new_incarnation()
        self.prepared_number: ProposalNumber | None = None
        self.state: dict | None = None
        self.is_committed = False
        self.highest_round = 0
        self._queue: list[_Job] = []
        self._busy = asyncio.Lock()
        self._runner: asyncio.Task | None = None
        self._late: set = set()

    async def execute(self, name: str, args: dict, within: float = float("inf")):
        """Run a command; its code and document once a majority stands behind them.

        A command that has not begun after `within` seconds, or whose caller has gone, is never begun.
        """
        loop = asyncio.get_running_loop()
        job = _Job(name, args, loop.create_future(), loop.time() + within)
        self._queue.append(job)
        if self._runner is None or self._runner.done():
            # a task of its own: a caller that is cancelled takes nobody else's command with it
            self._runner = loop.create_task(self._run())
        return await job.done

    async def reconfigure(self, voters: dict) -> bool:
        """Change the group, one step at a time, through a state that both groups must accept.

        A newcomer learns the whole state, synced, before the change begins, so that it never votes without it.
        """
        async with self._busy:
            if not await self._hold():
                return False
            if self.state["prev"] and not await self._accept(self._next({"prev": None})):
                return False
            if not voters or voters == self.state["voters"]:
                return self.is_committed or await self._accept(self.state)
            joiners = {k: v for k, v in voters.items() if k not in self.state["voters"]}
            if not await self._teach(joiners):
                return False
            step = self._next({"voters": voters, "prev": self.state["voters"]})
            return await self._accept(step, joiners) and await self._accept(self._next({"prev": None}), joiners)

    def _next(self, changes: dict) -> dict:
        return {**self.state, **changes, "stamp": self.state["stamp"] + 1}

    async def _teach(self, learners: dict) -> bool:
        if not learners:
            return True
        doc = {"ballot": self.prepared_number.to_wire(), "state": self.state}
        got = await self._poll(learners, "part.accept", doc, lambda g: set(g) >= set(learners))
        if all(k in got and got[k]["ok"] for k in learners):
            return True
        if any(not a["ok"] for a in got.values()):
            self.prepared_number, self.is_committed = (
                None,
                False,
            )  # it promised a higher ballot: the next try goes above it
        self.counters.add("part.learner_silent")
        return False

    async def _run(self) -> None:
        while self._queue:
            async with self._busy:
                jobs, self._queue = self._queue, []
                try:
                    await self._serve(jobs)
                except Exception as e:
                    self.counters.add("part.fault")
                    for job in jobs:
                        job.fail(UnclearResultError(f"{self.shard}: {e!r}"))

    async def _hold(self) -> bool:
        for _ in range(TRIES):
            if self.prepared_number is not None or await self._prepare():
                return True
            await asyncio.sleep(self.timeout_s * random.uniform(*PAUSE))
        return False

    async def _serve(self, jobs: list) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(TRIES):
            if not any(job.wanted(loop.time()) for job in jobs) or not await self._hold():
                break
            now = loop.time()
            live = [job for job in jobs if job.wanted(now)]
            value, results, changed = self._apply(live)
            if changed:
                ok = await self._accept(self._next({"val": value}))
            elif not self.is_committed:
                ok = await self._accept(self.state)
            else:
                ok = await self._confirm()
            if ok:
                for job, result in zip(live, results):
                    if not job.done.done():
                        job.done.set_result(result)
        for job in jobs:
            job.fail(UnclearResultError(self.shard))

    def _apply(self, jobs: list) -> tuple:
        """Run commands one behind the other: the value after them, the result of each, whether any changed it."""
        value, results, changed = self.state["val"], [], False
        for job in jobs:
            args = {**job.args, "at_version": self.state["stamp"]}
            code, doc, did, value = self.commands.run_isolated(value, job.name, args)
            results.append((code, doc))
            changed = changed or did
        return value, results, changed

    async def _poll(self, targets: dict, verb: str, doc: dict, enough) -> dict:
        """Ask all targets at once; the answers by id, as soon as there are enough or one refuses."""
        loop = asyncio.get_running_loop()
        tasks = {
            asyncio.ensure_future(self._ask(address, verb, {"part": self.shard, **doc})): vid
            for vid, address in targets.items()
        }
        got: dict = {}
        wait = set(tasks)
        end = loop.time() + self.timeout_s
        while wait and not enough(got) and loop.time() < end:
            done, wait = await asyncio.wait(wait, timeout=end - loop.time(), return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                self._note(tasks[task], task, got)
            if any(not a.get("ok") for a in got.values()):
                break
        for task in wait:
            self._late.add(task)
            task.add_done_callback(self._forget_late)
        return got

    def _note(self, vid: str, task: asyncio.Task, got: dict) -> None:
        """Fold one answer, if the very node that was meant gave it; a call that failed is no answer."""
        if task.exception() is not None:
            self.counters.add("part.ask_failed")
            return
        answer = task.result()
        if answer is None:
            return
        if answer.get("me") != vid:
            self.counters.add("part.other_life")
            return
        got[vid] = answer
        if not answer.get("ok"):
            self.highest_round = max(self.highest_round, answer["promised"][0])

    def _forget_late(self, task: asyncio.Task) -> None:
        self._late.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.counters.add("part.ask_failed")

    async def _prepare(self) -> bool:
        base = self._base()
        if base is None:
            return False
        self.highest_round += 1
        proposal_number = ProposalNumber(self.highest_round, self.me, self.incarnation)
        heard, group = _Heard(), base
        for _ in range(GROUP_STEPS):
            targets = {k: v for k, v in members(group).items() if k not in heard.answers}
            got = await self._poll(
                targets,
                "part.prepare",
                {"ballot": proposal_number.to_wire()},
                lambda g: covers(set(g) | set(heard.answers), group),
            )
            if any(not a["ok"] for a in got.values()):
                self.counters.add("part.lost_race")
                return False
            heard.add(got)
            if not covers(set(heard.answers), group):
                return False
            state = heard.state or base
            if covers(set(heard.answers), state):
                return self._take_lead(proposal_number, state)
            group = state
        return False

    def _take_lead(self, proposal_number: ProposalNumber, state: dict) -> bool:
        if state["stamp"] < self._chosen_version():
            self.counters.add("part.older_than_chosen")  # these voters were left behind by a change of the group
            return False
        self.prepared_number, self.state, self.is_committed = proposal_number, state, False
        self.counters.add("part.lead")
        return True

    async def _accept(self, state: dict, must=()) -> bool:
        """Have a state accepted by both groups that count, and by each of `must`."""
        before, proposal_number = self.state, self.prepared_number

        def chosen(ids) -> bool:
            return covers(ids, state) and covers(ids, before) and ids >= set(must)

        got = await self._poll(
            members(state) | members(before),
            "part.accept",
            {"ballot": proposal_number.to_wire(), "state": state},
            lambda g: chosen(set(g)),
        )
        if chosen({k for k, a in got.items() if a["ok"]}):
            self.state, self.is_committed = state, True
            self._publish(self.shard, state)
            return True
        self.prepared_number, self.is_committed = None, False
        self.counters.add("part.accept_failed")
        return False

    async def _confirm(self) -> bool:
        """Whether this ballot still is the highest that a majority has promised."""
        got = await self._poll(
            members(self.state),
            "part.confirm",
            {"ballot": self.prepared_number.to_wire()},
            lambda g: covers(set(g), self.state),
        )
        if covers({k for k, a in got.items() if a["ok"]}, self.state):
            return True
        self.prepared_number, self.is_committed = None, False
        return False
