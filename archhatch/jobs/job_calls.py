"""Calls to a store about a job as a whole: whose it is, that it is over, that a large copy of it is to come."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from ..rpc import CallError, ConnectionPool
from ..runtime import Counters
from ..wal import LogError
from .record import Record, claim_head
from .record_store import RecordStore, Verdict

DONE_CODE = 1000  # the result code of a call that was carried out
NO_MEMORY_CODE = 3013  # the result code of a call that would need more memory than there is now
UNKNOWN_CALL_CODE = 2009  # the result code of a call that a store of an earlier version does not know
ROOM_CODES = (DONE_CODE, UNKNOWN_CALL_CODE)  # a store of an earlier version keeps no room, and takes what comes


class ClaimAnswer(NamedTuple):
    """What a store says to a claim on a job.

    Attributes:
        verdict: See RecordStore.append; None as well if the store does not answer, or cannot keep the claim.
        is_free: Whether the store, which cannot keep the claim, has nothing of the job for another run.
    """

    verdict: Verdict
    is_free: bool = False


class JobCalls:
    """The calls of one store to the others, itself among them.

    >>> # answer = await job_calls.claim("s-2", "run", 3, "job")
    """

    def __init__(  # noqa: PLR0913, PLR0917 - each is a part of the store
        self,
        store_id: Callable[[], str],
        record_store: RecordStore,
        connections: ConnectionPool,
        members: Callable[[], dict],
        counters: Counters,
        timeout_s: float,
        watch: Callable[[Awaitable], Awaitable],
    ) -> None:
        """Makes the calls of a store.

        Args:
            store_id: Returns the id of this store.
            record_store: What this store keeps.
            connections: Connections to the others.
            members: Returns all stores of the membership.
            counters: Counts what calls meet.
            timeout_s: How long a store may take to answer.
            watch: Waits for a write to this store's disk, and judges the disk by it.
        """
        self.store_id = store_id
        self.record_store = record_store
        self.connections = connections
        self.members = members
        self.counters = counters
        self.timeout_s = timeout_s
        self.watch = watch

    async def claim(  # noqa: PLR0913 - the fields of the call
        self,
        sid: str,
        run: str,
        term: int,
        job_id: str,
        *,
        is_settled: bool = False,
        is_withdrawn: bool = False,
    ) -> ClaimAnswer:
        """Has a store note that a job belongs to a run, or does not any more.

        Args:
            sid: The store.
            run: The run.
            term: The term of its leader.
            job_id: The job.
            is_settled: Whether the run accepted the job, so that what another run left of it goes.
            is_withdrawn: Whether the run gives the job up.
        """
        head = claim_head(job_id, run, is_settled=is_settled, is_withdrawn=is_withdrawn)
        if sid == self.store_id():
            verdict = await self._append_here(Record({**head, "by": term}))
            return ClaimAnswer(verdict, verdict is None and self.record_store.owner_of(job_id) in (None, run))
        member = self.members().get(sid)
        if member is None:
            return ClaimAnswer(None)
        request = {"to": sid, **head, "term": term}
        try:
            code, answer, _ = await self.connections.to(member["addr"]).call(
                "shelf.claim", request, timeout_s=self.timeout_s
            )
            if code == UNKNOWN_CALL_CODE:
                return ClaimAnswer(None, await self._lacks(sid, member["addr"], job_id))
        except CallError:
            self.counters.add("claim.unanswered")
            return ClaimAnswer(None)
        if code != DONE_CODE or not isinstance(answer, dict):
            return ClaimAnswer(None)
        return ClaimAnswer(answer.get("verdict"), answer.get("free") is True)

    async def _lacks(self, sid: str, address: str, job_id: str) -> bool:
        """Returns whether a store of an earlier version, which keeps no claims, has nothing of a job."""
        _, answer, _ = await self.connections.to(address).call(
            "shelf.lacks", {"to": sid, "lot": job_id}, timeout_s=self.timeout_s
        )
        return isinstance(answer, dict) and answer.get("lacks") is True

    async def _append_here(self, claim: Record) -> Verdict:
        try:
            (verdict,) = await self.watch(self.record_store.append([claim]))
        except LogError:
            self.counters.add("copy.own_disk")
            return None
        return verdict

    async def drop(self, sid: str, run: str, term: int, job_ids: list[str]) -> bool | None:
        """Has a store drop jobs of a run that all stores know to have ended.

        Args:
            sid: The store.
            run: The run.
            term: The term of its leader.
            job_ids: The jobs.

        Returns:
            True if that is done, False if the store knows a higher term, None if it does not answer.
        """
        if sid == self.store_id():
            return self.record_store.drop(run, term, job_ids)
        member = self.members().get(sid)
        if member is None:
            return None
        request = {"to": sid, "run": run, "term": term, "lots": job_ids}
        try:
            code, answer, _ = await self.connections.to(member["addr"]).call(
                "shelf.drop", request, timeout_s=self.timeout_s
            )
        except CallError:
            return None
        if code == UNKNOWN_CALL_CODE:
            return True  # a store of an earlier version drops what ended by its own clock
        return answer if code == DONE_CODE and isinstance(answer, bool) else None

    async def reserve(self, sid: str, job_id: str, size: int, timeout_s: float) -> int | None:
        """Asks a store for room for a large copy; the result code, None if it does not answer."""
        member = self.members().get(sid)
        if member is None:
            return None
        request = {"to": sid, "lot": job_id, "size": size, "claim": job_id}
        try:
            code, _, _ = await self.connections.to(member["addr"]).call("shelf.reserve", request, timeout_s=timeout_s)
        except CallError:
            self.counters.add("copy.unanswered")
            return None
        return code
