"""What a run makes of stores at which a job that it wants belongs to another run."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from .errors import JobOwnedElsewhereError
from .quorum import Quorum

MAX_PAUSES = 3  # in which another run may give the job up
PAUSE_S = 0.1


class OwnershipContest:
    """Decides when a run gives up a job that it has not accepted.

    It goes on while enough stores are left for it. Two runs may hold too many stores for each other; then the one whose
    name sorts last gives up at once, and the other waits a little for that.

    Attributes:
        owners: The other runs by store.
    """

    def __init__(self, run: str, quorum: Quorum, members: Callable[[], dict], alive: Callable[[str], bool]) -> None:
        """Makes the contest for one job.

        Args:
            run: The run that wants the job.
            quorum: What makes copies enough.
            members: Returns all stores of the membership.
            alive: Says whether a store is in touch.
        """
        self.owners: dict[str, str] = {}
        self._run = run
        self._quorum = quorum
        self._members = members
        self._alive = alive
        self._pauses = 0

    async def settle(self) -> None:
        """Returns if the job may still be had, after a pause if another run has to give it up first.

        Raises:
            JobOwnedElsewhereError: It may not.
        """
        if not self.owners or not self._is_held_up():
            return
        owner = min(self.owners.values())
        if owner < self._run or self._pauses == MAX_PAUSES:
            raise JobOwnedElsewhereError(owner)
        self._pauses += 1
        await asyncio.sleep(PAUSE_S)
        self.owners.clear()  # they are asked again

    def _is_held_up(self) -> bool:
        """Whether the stores in touch that are left do not make the job this run's."""
        members = self._members()
        left = [sid for sid in members if sid not in self.owners and self._alive(sid)]
        return not self._quorum.has_heard_enough(left, members)
