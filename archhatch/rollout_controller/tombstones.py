"""The ends of a run's forgotten jobs, kept until no store can bring the jobs back.

As in Cassandra, an end is a tombstone: it must not be dropped while a replica may hold what it deletes. A time alone
would not do, as a store may be away for longer. Here the leader brings each end to all members, and only then has all
of them drop it. A member that never returns keeps the ends until its membership ends: it is replaced, or others can
spare it, and its identity never becomes a member again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from ..jobs import Record, active_members
from ..jobs.record_state import RECORD_OVERHEAD
from .host import LeadershipHost

BURST = (1 << 18) // RECORD_OVERHEAD  # ends sent in one round: new records wait behind them


class Tombstones:
    """The tombstones of one leadership term.

    >>> # tombstones.add(job_id, end); await tombstones.round()
    """

    def __init__(self, host: LeadershipHost, run: str, term: int) -> None:
        self.host = host
        self.run = run
        self.term = term
        self._ends: dict[str, Record] = {}

    def __contains__(self, job_id: object) -> bool:
        return job_id in self._ends

    def __len__(self) -> int:
        return len(self._ends)

    def add(self, job_id: str, end: Record) -> None:
        """Keeps the end of a job that is served no more."""
        self._ends[job_id] = end

    def are_safe_on(self, stores: dict) -> bool:
        """Returns whether the copies of all ends on these stores are enough."""
        return all(self.host.quorum.has_enough_copies(end.held, stores) for end in self._ends.values())

    async def round(self) -> bool:
        """Brings ends to the members that lack them, and drops what all members have.

        Returns:
            False if a store knows a higher term.
        """
        members = self.host.members()
        known_by_all = [job_id for job_id, end in self._ends.items() if members.keys() <= end.held]
        lacking = [end for end in self._ends.values() if not members.keys() <= end.held]
        if not await self._spread(lacking[:BURST], members):
            return False
        return await self._drop(known_by_all, members)

    async def _spread(self, ends: Iterable[Record], members: dict) -> bool:
        """Sends ends to the members in touch that lack them; returns False if one knows a higher term."""
        in_touch = [sid for sid in active_members(members) if self.host.membership.stays(sid)]
        replicator = self.host.replicator
        sends = [
            replicator.send(sid, self.run, self.term, [end])
            for end in ends
            for sid in in_touch
            if sid not in end.held and replicator.takes(sid)
        ]
        self.host.counters.add("tombstone.sent", len(sends))
        return False not in await asyncio.gather(*sends)

    async def _drop(self, job_ids: list[str], members: dict) -> bool:
        """Has all members drop jobs; those that one did not drop stay. Returns False if one knows a higher term."""
        if not job_ids:
            return True
        verdicts = await asyncio.gather(
            *(self.host.replicator.calls.drop(sid, self.run, self.term, job_ids) for sid in members)
        )
        if False in verdicts:
            return False
        if all(verdicts):
            for job_id in job_ids:
                del self._ends[job_id]
            self.host.counters.add("tombstone.dropped", len(job_ids))
        return True
