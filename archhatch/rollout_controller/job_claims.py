"""Makes a run the owner of a job, so that no other run can accept it too.

A job belongs to the run whose claim stands at so many stores that any enough copies must meet them; its copies are
claims as well. A store takes the claim of the run that came first. Were a job accepted by two runs, the copies of one
and the claims of the other would meet at a store, which refused the later of them. Copies of an accepted job are kept
enough while members come and go, so this holds for a claim made at any later time.

A store whose disk takes nothing cannot keep a claim. Once the copies stand it is enough that it has nothing of the job
for another run: of two runs that look only after their copies stand, the later one finds the other's.
"""

from __future__ import annotations

import asyncio
from collections.abc import Collection

from ..jobs import DeposedError, JobOwnedElsewhereError, Record, active_members
from ..jobs.ownership_contest import OwnershipContest
from .host import LeadershipHost

CLAIM_PAUSE_HEARTBEATS = 0.5  # before stores that did not answer a claim are asked again


class JobClaims:
    """The claims that one leadership term makes.

    >>> # claims = JobClaims(host, "service", 3); await claims.accept(record)
    """

    def __init__(self, host: LeadershipHost, run: str, term: int) -> None:
        self.host = host
        self.run = run
        self.term = term

    def is_owner(self, held: set[str], claimed: set[str]) -> bool:
        """Returns whether the run has a job.

        Args:
            held: The stores with a copy of the job.
            claimed: Stores with a claim of this run, beside those.
        """
        members = self.host.members()
        quorum = self.host.quorum
        return quorum.has_enough_copies(held, active_members(members)) and quorum.has_heard_enough(
            held | claimed, members
        )

    async def accept(self, record: Record, claimed: Collection[str] = ()) -> None:
        """Has a job copied and claimed; returns when this run has it.

        Args:
            record: The job.
            claimed: Stores known to have a claim of this run.

        Raises:
            DeposedError: A store knows a higher term.
            JobOwnedElsewhereError: Another run has it, or may have it. This run has given it up.
        """
        claims = set(claimed)
        contest = self.host.replicator.contest(self.run)
        copying = asyncio.ensure_future(self.host.replicator.replicate(self.run, self.term, [record], contest))
        claiming = asyncio.ensure_future(self._claim_early(record, claims))
        try:
            await asyncio.gather(copying, claiming)
            await self._claim_rest(record, claims, contest)
        except JobOwnedElsewhereError:
            claiming.cancel()
            await self.withdraw(record.head["lot"])
            raise
        finally:
            copying.cancel()
            claiming.cancel()

    async def _claim_early(self, record: Record, claims: set[str]) -> None:
        """Claims a job beside the copying where copies alone will not do: where stores are many."""
        job_id = record.head["lot"]
        replicator = self.host.replicator
        expected = record.held | claims
        expected |= set(replicator.targets(job_id, record.held, preferred=replicator.prefers(self.run)))
        members = self.host.members()
        if not self.host.quorum.has_heard_enough(expected, members):
            await self._claim_at(job_id, expected, claims)

    async def _claim_rest(self, record: Record, claims: set[str], contest: OwnershipContest) -> None:
        """Claims a job at further stores until that is enough."""
        host = self.host
        while not self.is_owner(record.held, claims):
            free: set[str] = set()
            contest.owners.update(await self._claim_at(record.head["lot"], record.held | claims, claims, free))
            if self.is_owner(record.held, claims | free):
                return
            await contest.settle()
            await host.replicator.replicate(self.run, self.term, [record], contest)  # where a store left meanwhile
            await asyncio.sleep(host.heartbeat_interval_s * CLAIM_PAUSE_HEARTBEATS)

    async def _claim_at(
        self, job_id: str, expected: set[str], claims: set[str], free: set[str] | None = None
    ) -> dict[str, str]:
        """Claims a job at the members that are not expected to have it; returns once these together are enough.

        A store that does not answer holds nobody up while others do.

        Args:
            job_id: The job.
            expected: Stores that have a copy or a claim, or are about to.
            claims: Stores with a claim; those that take one are added.
            free: Where stores are added that cannot keep a claim, and have nothing of the job for another run. These
                count once the copies stand; left out before.

        Returns:
            The other runs that have it, by store.

        Raises:
            DeposedError: A store knows a higher term.
        """
        members = self.host.members()
        replicator = self.host.replicator
        found_free: set[str] = set() if free is None else free
        tasks = {
            asyncio.ensure_future(replicator.calls.claim(sid, self.run, self.term, job_id)): sid
            for sid in members
            if sid not in expected
        }
        waiting = set(tasks)
        owners: dict[str, str] = {}
        try:
            while waiting and not self.host.quorum.has_heard_enough(expected | claims | found_free, members):
                done, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
                for task in done:
                    verdict, is_free = task.result()
                    if verdict is False:
                        raise DeposedError(self.run)
                    if verdict is True:
                        claims.add(tasks[task])
                    elif verdict is not None:
                        owners[tasks[task]] = verdict
                    elif is_free and free is not None:
                        free.add(tasks[task])
        finally:
            for task in waiting:
                task.cancel()
        return owners

    async def withdraw(self, job_id: str) -> None:
        """Gives a job up at all stores; what one keeps that does not answer, this run claims or gives up later."""
        replicator = self.host.replicator
        self.host.counters.add("claim.withdrawn")
        await asyncio.gather(
            *(
                replicator.calls.claim(sid, self.run, self.term, job_id, is_withdrawn=True)
                for sid in self.host.members()
            )
        )
