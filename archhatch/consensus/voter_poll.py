"""Asks the voters of a register the same question at once, and collects their answers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from ..runtime import Counters
from .messages import VoterAnswer

# calls a node: (address, verb, document) -> its answer, or None if there is none
AskNode = Callable[[str, str, dict], Awaitable[dict | None]]
Answers = dict[str, VoterAnswer]  # by the voter's id


class VoterPoll:
    """Sends calls to voters.

    Attributes:
        ask: Calls one node, this one included.
        counters: Counts calls that failed.
        timeout_s: How long one round may take.
    """

    def __init__(self, ask: AskNode, counters: Counters, timeout_s: float) -> None:
        self.ask = ask
        self.counters = counters
        self.timeout_s = timeout_s
        self._late: set[asyncio.Task] = set()  # keeps references: the event loop holds only weak ones

    async def run(
        self, targets: dict[str, str], verb: str, document: dict, is_enough: Callable[[Answers], bool]
    ) -> Answers:
        """Asks all targets at once.

        Args:
            targets: Voters: id -> address.
            verb: The verb of the call.
            document: Its document.
            is_enough: Whether the answers so far suffice.

        Returns:
            The answers by voter, as soon as they suffice or one refuses, or when the time is up. Calls that are still
            under way run to their end: what they ask for may still take effect.
        """
        loop = asyncio.get_running_loop()
        tasks = {
            asyncio.ensure_future(self.ask(address, verb, document)): voter_id for voter_id, address in targets.items()
        }
        answers: Answers = {}
        pending = set(tasks)
        deadline = loop.time() + self.timeout_s
        while pending and not is_enough(answers) and loop.time() < deadline:
            done, pending = await asyncio.wait(
                pending, timeout=deadline - loop.time(), return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                self._collect(tasks[task], task, answers)
            if any(not answer.is_ok for answer in answers.values()):
                break
        for task in pending:
            self._late.add(task)
            task.add_done_callback(self._discard_late)
        return answers

    def _collect(self, voter_id: str, task: asyncio.Task, answers: Answers) -> None:
        """Adds one answer, if the very node that was meant gave it; a call that failed is no answer."""
        if task.exception() is not None:
            self.counters.add("consensus.ask_failed")
            return
        document = task.result()
        if document is None:
            return
        answer = VoterAnswer.from_document(document)
        if answer.voter_id != voter_id:
            self.counters.add("consensus.other_incarnation")  # another node took over the voter's address
            return
        answers[voter_id] = answer

    def _discard_late(self, task: asyncio.Task) -> None:
        self._late.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.counters.add("consensus.ask_failed")
