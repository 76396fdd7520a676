"""The proposing side of a register: runs commands on it under a proposal number that it keeps while nobody objects."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from ..exceptions import ArchhatchError
from ..runtime import Counters
from .commands import Commands
from .group import is_quorum
from .messages import ACCEPT, CONFIRM, PREPARE, AcceptRequest, ProposalRequest
from .proposal_number import ZERO, ProposalNumber, new_incarnation
from .register_state import RegisterState
from .voter_poll import Answers, AskNode, VoterPoll

MAX_ATTEMPTS = 3  # rounds under new numbers before the outcome is called unclear
MAX_GROUP_CHANGES = 4  # changes of the group that one prepare follows
RETRY_DELAY_RATIO = (0.02, 0.12)  # of the time for a round: the random delay before a new number, against races

CommandOutcome = tuple[int, object]  # result code, document


class UnclearResultError(ArchhatchError):
    """No majority answered: the command may have been carried out, or not."""


@dataclass(slots=True)
class _PendingCommand:
    """A command that waits for its result.

    Attributes:
        name: Its name among the commands.
        args: Its arguments.
        done: Gets its outcome.
        start_before: When it is not started any more, on the event loop's clock, in seconds.
    """

    name: str
    args: dict
    done: asyncio.Future
    start_before: float

    def is_wanted(self, now: float) -> bool:
        """Returns whether a caller still waits for it, and its time is not up."""
        return not self.done.done() and now < self.start_before

    def succeed(self, outcome: CommandOutcome) -> None:
        if not self.done.done():
            self.done.set_result(outcome)

    def fail(self, error: Exception) -> None:
        if not self.done.done():
            self.done.set_exception(error)


@dataclass(slots=True)
class _Promises:
    """What the voters answered to one prepare.

    Attributes:
        voter_ids: Those that promised.
        state: The newest state that any of them accepted.
        proposal_number: The number under which that was.
    """

    voter_ids: set[str] = field(default_factory=set)
    state: RegisterState | None = None
    proposal_number: ProposalNumber = ZERO

    def add(self, answers: Answers) -> None:
        """Adds answers; the state under the highest number counts, of one number the latest version."""
        self.voter_ids.update(answers)
        for answer in answers.values():
            if answer.state is None or answer.accepted_number is None:
                continue
            state = RegisterState(answer.state)
            rank = (answer.accepted_number, state.version)
            if self.state is None or rank > (self.proposal_number, self.state.version):
                self.state = state
                self.proposal_number = answer.accepted_number


@dataclass(frozen=True, slots=True)
class _BatchResult:
    """What commands made of a value."""

    value: dict
    outcomes: list[CommandOutcome]
    is_changed: bool


class Proposer:
    """Runs commands on one register, several at a time in one round.

    >>> from .acceptor import Acceptor
    >>> class MemoryLog:
    ...     async def append(self, *records): pass
    >>> async def set_and_get():
    ...     commands = Commands()
    ...     commands.on("set")(lambda value, args: (1000, value.update(x=args["x"]), True))
    ...     commands.on("get")(lambda value, args: (1000, value["x"], False))
    ...     voter = Acceptor("plan", MemoryLog(), Counters())
    ...     async def ask(address, verb, document):
    ...         parts = [document["state"]] if verb == ACCEPT else []
    ...         answer = await getattr(voter, verb.removeprefix("part."))(document["ballot"], *parts)
    ...         return {"me": "a", **answer}
    ...     base = {"stamp": 0, "val": {}, "voters": {"a": "10.0.0.1:1"}, "prev": None}
    ...     proposer = Proposer("plan", "a", commands, ask, lambda: base, lambda shard, state: None, Counters())
    ...     await proposer.execute("set", {"x": 5})
    ...     return await proposer.execute("get", {})
    >>> asyncio.run(set_and_get())
    (1000, 5)

    Args:
        shard: The name of the register.
        node_id: The node that proposes.
        commands: The commands by name.
        ask: Calls another node, or this one.
        base: Returns the document of the newest state that this node has seen, which names the voters to ask.
        publish: Takes the register's name and the document of a state that was chosen.
        counters: Counts what came of the rounds.
        timeout_s: How long one round may take.
        chosen_version: Returns the version that is known to be chosen; 0 by default.
        incarnation: Names this process; random by default.

    Attributes:
        shard: The name of the register.
        node_id: The node that proposes.
        commands: The commands by name.
        counters: Counts what came of the rounds.
        timeout_s: How long one round may take.
        incarnation: Names this process in proposal numbers.
        prepared_number: The number that a majority promised, or None before a prepare and after a refusal.
        state: The state that this proposer had accepted last, or found by its prepare.
        is_committed: Whether a majority is known to have accepted `state` under `prepared_number`.
        highest_round: The highest round that this proposer used or was refused with.
    """

    def __init__(  # noqa: PLR0913, PLR0917 - the owner hands in each of its parts
        self,
        shard: str,
        node_id: str,
        commands: Commands,
        ask: AskNode,
        base: Callable[[], dict | None],
        publish: Callable[[str, dict], object],
        counters: Counters,
        timeout_s: float = 1.0,
        chosen_version: Callable[[], int] | None = None,
        incarnation: str | None = None,
    ) -> None:
        self.shard = shard
        self.node_id = node_id
        self.commands = commands
        self.counters = counters
        self.timeout_s = timeout_s
        self.incarnation = incarnation or new_incarnation()
        self.prepared_number: ProposalNumber | None = None
        self.state: RegisterState | None = None
        self.is_committed = False
        self.highest_round = 0
        self._voters = VoterPoll(ask, counters, timeout_s)
        self._base = base
        self._publish = publish
        self._chosen_version = chosen_version or (lambda: 0)
        self._queue: list[_PendingCommand] = []
        self._round_lock = asyncio.Lock()
        self._runner: asyncio.Task | None = None

    # -- commands

    async def execute(self, name: str, args: dict, start_within_s: float = float("inf")) -> CommandOutcome:
        """Runs a command.

        Args:
            name: The name of the command.
            args: Its arguments.
            start_within_s: A command that has not begun by then, or whose caller was cancelled, is never begun.

        Returns:
            The command's code and document, once a majority has accepted its change or confirmed the value it read.

        Raises:
            UnclearResultError: No majority answered.
        """
        loop = asyncio.get_running_loop()
        command = _PendingCommand(name, args, loop.create_future(), loop.time() + start_within_s)
        self._queue.append(command)
        if self._runner is None or self._runner.done():
            # a task of its own: a caller that is cancelled takes nobody else's command with it
            self._runner = loop.create_task(self._run_queue())
        return await command.done

    async def _run_queue(self) -> None:
        while self._queue:
            async with self._round_lock:
                batch = self._queue
                self._queue = []
                try:
                    await self._run_batch(batch)
                except Exception as error:  # noqa: BLE001 - the top of a task: its callers must not wait for ever
                    self.counters.add("consensus.fault")
                    for command in batch:
                        command.fail(UnclearResultError(f"{self.shard}: {error!r}"))

    async def _run_batch(self, batch: list[_PendingCommand]) -> None:
        """Runs commands in one round, or in as many as it takes."""
        loop = asyncio.get_running_loop()
        for _ in range(MAX_ATTEMPTS):
            if not any(command.is_wanted(loop.time()) for command in batch):
                break
            if not await self._ensure_prepared():
                break
            now = loop.time()
            wanted = [command for command in batch if command.is_wanted(now)]
            result = self._apply(wanted)
            if await self._commit(result):
                for command, outcome in zip(wanted, result.outcomes, strict=True):
                    command.succeed(outcome)
        for command in batch:
            command.fail(UnclearResultError(self.shard))

    def _apply(self, batch: list[_PendingCommand]) -> _BatchResult:
        """Runs commands one after the other on the value of the state."""
        state = self._require_state()
        value = state.value
        outcomes: list[CommandOutcome] = []
        is_changed = False
        for command in batch:
            args = {**command.args, "at_version": state.version}
            result = self.commands.run_isolated(value, command.name, args)
            value = result.value
            outcomes.append((result.code, result.document))
            is_changed = is_changed or result.is_changed
        return _BatchResult(value, outcomes, is_changed)

    async def _commit(self, result: _BatchResult) -> bool:
        """Has a majority accept what the commands made, or confirm what they read."""
        state = self._require_state()
        if result.is_changed:
            return await self._accept(state.with_value(result.value))
        if not self.is_committed:
            return await self._accept(state)
        return await self._confirm()

    # -- changes of the group

    async def reconfigure(self, voters: dict[str, str]) -> bool:
        """Changes the group, one step at a time, through a state that both groups must accept.

        A joining voter receives the whole state, synced, before the change begins, so that it never votes without it.

        Args:
            voters: The new group: id -> address. If it is empty, a change that was begun is finished, and the newest
                state is committed and published, also if another proposer had it accepted.

        Returns:
            Whether the group is the one asked for, and its state committed.
        """
        async with self._round_lock:
            if self.is_committed and not voters:
                await self._confirm()  # another proposer may have gone above the held number
            if not await self._ensure_prepared():
                return False
            if self._require_state().previous_voters and not await self._end_group_change():
                return False
            state = self._require_state()
            if not voters or voters == state.voters:
                return self.is_committed or await self._accept(state)
            joining = {voter: address for voter, address in voters.items() if voter not in state.voters}
            if not await self._replicate_to(joining):
                return False
            return await self._accept(state.with_voters(voters), joining) and await self._end_group_change(joining)

    async def _end_group_change(self, required: Collection[str] = ()) -> bool:
        return await self._accept(self._require_state().without_previous_voters(), required)

    async def _replicate_to(self, joining: dict[str, str]) -> bool:
        """Has nodes that do not vote yet accept the present state; all of them must."""
        if not joining:
            return True
        request = AcceptRequest(self.shard, self._require_number(), self._require_state().document)
        answers = await self._poll(joining, ACCEPT, request.to_document(), lambda answers: set(answers) >= set(joining))
        if all(voter in answers and answers[voter].is_ok for voter in joining):
            return True
        if any(not answer.is_ok for answer in answers.values()):
            self._discard_preparation()  # a node promised a higher number: the next attempt goes above it
        self.counters.add("consensus.learner_unreachable")
        return False

    # -- rounds

    async def _ensure_prepared(self) -> bool:
        """Prepares a new number unless one is held; several attempts."""
        for _ in range(MAX_ATTEMPTS):
            if self.prepared_number is not None or await self._prepare():
                return True
            await asyncio.sleep(self.timeout_s * random.uniform(*RETRY_DELAY_RATIO))
        return False

    async def _prepare(self) -> bool:
        """Has a majority promise a new number, and takes over the newest state that they accepted.

        The voters may have been replaced since this node's base: whoever answers names the next group, which is asked
        too, until a majority of the newest one has promised.
        """
        base_document = self._base()
        if base_document is None:
            return False
        base = RegisterState(base_document)
        self.highest_round += 1
        number = ProposalNumber(self.highest_round, self.node_id, self.incarnation)
        promises = _Promises()
        group = base
        for _ in range(MAX_GROUP_CHANGES):
            if not await self._collect_promises(number, group, promises):
                return False
            newest = promises.state or base
            if is_quorum(promises.voter_ids, newest.document):
                return self._take_lead(number, newest)
            group = newest
        return False

    async def _collect_promises(self, number: ProposalNumber, group: RegisterState, promises: _Promises) -> bool:
        """Asks the voters of a group that have not promised yet; returns whether a quorum of the group has now."""
        targets = {voter: address for voter, address in group.all_voters().items() if voter not in promises.voter_ids}
        answers = await self._poll(
            targets,
            PREPARE,
            ProposalRequest(self.shard, number).to_document(),
            lambda answers: is_quorum(set(answers) | promises.voter_ids, group.document),
        )
        if any(not answer.is_ok for answer in answers.values()):
            self.counters.add("consensus.lost_race")
            return False
        promises.add(answers)
        return is_quorum(promises.voter_ids, group.document)

    def _take_lead(self, proposal_number: ProposalNumber, state: RegisterState) -> bool:
        """Keeps a number that was promised; refuses a state older than the one known to be chosen."""
        if state.version < self._chosen_version():
            self.counters.add("consensus.older_than_chosen")  # these voters were left behind by a change of the group
            return False
        self.prepared_number = proposal_number
        self.state = state
        self.is_committed = False
        self.counters.add("consensus.prepared")
        return True

    async def _accept(self, state: RegisterState, required: Collection[str] = ()) -> bool:
        """Has a state accepted by a quorum of its own group and of the present one, and by each required voter."""
        present = self._require_state()

        def is_chosen(voter_ids: set[str]) -> bool:
            return (
                is_quorum(voter_ids, state.document)
                and is_quorum(voter_ids, present.document)
                and voter_ids >= set(required)
            )

        answers = await self._poll(
            state.all_voters() | present.all_voters(),
            ACCEPT,
            AcceptRequest(self.shard, self._require_number(), state.document).to_document(),
            lambda answers: is_chosen(set(answers)),
        )
        if is_chosen(_voters_that_agreed(answers)):
            self.state = state
            self.is_committed = True
            self._publish(self.shard, state.document)
            return True
        self._discard_preparation()
        self.counters.add("consensus.accept_failed")
        return False

    async def _confirm(self) -> bool:
        """Returns whether the held number still is the highest that a majority has promised."""
        state = self._require_state()
        answers = await self._poll(
            state.all_voters(),
            CONFIRM,
            ProposalRequest(self.shard, self._require_number()).to_document(),
            lambda answers: is_quorum(set(answers), state.document),
        )
        if is_quorum(_voters_that_agreed(answers), state.document):
            return True
        self._discard_preparation()
        return False

    async def _poll(
        self, targets: dict[str, str], verb: str, document: dict, is_enough: Callable[[Answers], bool]
    ) -> Answers:
        """Asks voters at once, and notes the rounds of the numbers that refusals name."""
        answers = await self._voters.run(targets, verb, document, is_enough)
        for answer in answers.values():
            if not answer.is_ok:
                self.highest_round = max(self.highest_round, answer.promised_round)
        return answers

    def _discard_preparation(self) -> None:
        """Gives up the held number: the next round begins with a prepare."""
        self.prepared_number = None
        self.is_committed = False

    def _require_state(self) -> RegisterState:
        assert self.state is not None, "a round begins with a prepare"
        return self.state

    def _require_number(self) -> ProposalNumber:
        assert self.prepared_number is not None, "a round begins with a prepare"
        return self.prepared_number


def _voters_that_agreed(answers: Answers) -> set[str]:
    return {voter for voter, answer in answers.items() if answer.is_ok}
