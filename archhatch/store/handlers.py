"""The calls that a store answers. Each names the store that it means; another than that one refuses it."""

from __future__ import annotations

import contextlib
from collections.abc import Awaitable, Callable, Iterator
from typing import TYPE_CHECKING, Any, Protocol

from ..jobs import LARGE_JOB_BYTES, DeposedError, JobOwnedElsewhereError, Record
from ..jobs.record import claim_head, pack_many, unpack_many
from ..memory import StoreShares
from ..rpc import CallRefusedError, Handlers
from ..wal import LogError
from .heartbeat import read_card
from .job_reservations import JobReservations
from .messages import (
    AppendRequest,
    ClaimJobAnswer,
    ClaimJobRequest,
    DropJobsRequest,
    FetchRecordsRequest,
    JobRequest,
    LeaderSignature,
    MissingJobAnswer,
    PrepareRequest,
    ReadItemRequest,
    ReadResultsRequest,
    ReserveJobRequest,
    SubmitJobRequest,
)
from .result_codes import (
    DISK_FAILED,
    NO_MEMORY,
    NO_ROOM,
    NOT_CERTAIN,
    NOT_TAKEN,
    OTHER_INCARNATION,
    OTHER_RUN,
    UNKNOWN_JOB,
)

if TYPE_CHECKING:
    from ..jobs import RecordStore, Replicator
    from ..rollout_controller import LeadershipTerm
    from ..runtime import Clock, Counters, Settings
    from ..share_group import PartitionLeader
    from ..usage.reporter import UsageReporter
    from .disk import DiskState
    from .membership import Membership
    from .proxy import RequestProxy

Handler = Callable[[dict, bytes], Awaitable[Any]]


class JobHolder(Protocol):
    """What is asked to tell whether a job is, or may come to be, on a store."""

    ready: bool
    leaderships: dict[str, LeadershipTerm]
    record_store: RecordStore

    @property
    def id(self) -> str:
        """The store's id."""

    def members(self) -> dict:
        """All stores of the membership."""


class StoreHandlersHost(JobHolder, Protocol):
    """What the handlers use of their store."""

    settings: Settings
    clock: Clock
    counters: Counters
    leaving: bool
    leader: PartitionLeader
    disk: DiskState
    membership: Membership
    proxy: RequestProxy
    replicator: Replicator
    usage: UsageReporter


class StoreHandlers:
    """Registers the handlers of one store."""

    def __init__(self, store: StoreHandlersHost) -> None:
        self.store = store
        shares = StoreShares(store.settings.memory_mb)
        self._reservations = JobReservations(shares.arriving_job_bytes)
        self._copy_reservations = JobReservations(shares.arriving_copy_bytes)

    def register(self, handlers: Handlers) -> None:
        """Puts all verbs into a table of handlers."""
        verbs: dict[str, Handler] = {
            "store.ping": self._ping,
            "shelf.prepare": self._prepare,
            "shelf.append": self._append,
            "shelf.reserve": self._reserve_copy,
            "shelf.fetch": self._fetch_records,
            "shelf.lacks": self._check_missing,
            "shelf.claim": self._claim_job,
            "shelf.drop": self._drop_jobs,
            "share.fetch": self._acquire_entries,
            "share.commit": self._acknowledge_entries,
            "lot.reserve": self._reserve_job,
            "lot.put": self._submit_job,
            "lot.read": self._read_results,
            "lot.item": self._read_item,
            "lot.end": self._end_job,
            "request.send": self.store.proxy.send,
            "usage.tell": self.store.usage.receive_counts,
        }
        for verb, handler in verbs.items():
            handlers.on(verb)(self._addressed(handler))

    def _addressed(self, handler: Handler) -> Handler:
        """Wraps a handler so that it serves calls meant for this store only, and refuses when the disk fails."""

        async def checked(document: dict, body: bytes) -> object:
            # each call passes here: the key is read as it is, the handler decodes the rest
            if document["to"] != self.store.id:
                self.store.counters.add("call.other_incarnation")
                raise CallRefusedError(OTHER_INCARNATION)
            answering = handler(document, body)
            del body  # the handler's alone: it lets a long one go as soon as it can
            try:
                return await answering
            except LogError:
                raise CallRefusedError(DISK_FAILED) from None

        return checked

    # -- between stores

    async def _ping(self, document: dict, _body: bytes) -> dict:
        self.store.membership.cards.record_contact(read_card(document.get("card")), self.store.clock.now())
        return self.store.membership.status().to_document()

    async def _prepare(self, document: dict, _body: bytes) -> dict:
        store = self.store
        request = PrepareRequest.from_document(document)
        answer = await store.disk.watch(store.record_store.prepare(request.run, request.term))
        leadership = store.leaderships.get(request.run)
        if answer["ok"] and leadership is not None and leadership.term < request.term:
            leadership.step_down()
        return answer

    async def _append(self, document: dict, body: bytes) -> list:
        if not self.store.ready:
            raise CallRefusedError(NOT_CERTAIN)
        records = unpack_many(body)
        del body  # the records have their own bytes
        large = next((record for record in records if len(record.body) > LARGE_JOB_BYTES), None)
        with contextlib.ExitStack() as stack:
            if large is not None:
                size = sum(len(record.body) for record in records)
                stack.enter_context(self._room_for_copy(large.head["lot"], size))
            verdicts = await self.store.disk.watch(self.store.record_store.append(records))
        if not AppendRequest.from_document(document).reads_owners:
            return [None if isinstance(verdict, str) else verdict for verdict in verdicts]
        return verdicts

    async def _fetch_records(self, document: dict, _body: bytes) -> tuple[None, bytes]:
        request = FetchRecordsRequest.from_document(document)
        records = self.store.record_store.fetch(request.job_id, request.positions, request.wants_job)
        return None, pack_many(records)

    async def _check_missing(self, document: dict, _body: bytes) -> dict:
        return check_missing(self.store, JobRequest.from_document(document).job_id).to_document()

    async def _reserve_copy(self, document: dict, _body: bytes) -> None:
        request = ReserveJobRequest.from_document(document)
        now = self.store.clock.now()
        is_beside = self._reservations.leaves_room_for(request.size, now)
        if not is_beside or not self._copy_reservations.reserve(request.job_id, request.size, now, request.claim):
            self.store.counters.add("copy.waits_for_memory")
            raise CallRefusedError(NO_MEMORY)

    @contextlib.contextmanager
    def _room_for_copy(self, job_id: str, size: int) -> Iterator[None]:
        """Keeps room for a large copy while it is written; refuses if there is none for it any more."""
        reservation = self._copy_reservations.begin(job_id, size, self.store.clock.now())
        if reservation is None:
            self.store.counters.add("copy.waits_for_memory")
            raise CallRefusedError(NO_MEMORY)
        try:
            yield
        finally:
            self._copy_reservations.release(reservation)

    async def _claim_job(self, document: dict, _body: bytes) -> dict:
        store = self.store
        if not store.ready:
            raise CallRefusedError(NOT_CERTAIN)
        request = ClaimJobRequest.from_document(document)
        head = claim_head(request.job_id, request.run, is_settled=request.is_settled, is_withdrawn=request.is_withdrawn)
        claim = Record({**head, "by": request.term})
        try:
            (verdict,) = await store.disk.watch(store.record_store.append([claim]))
        except LogError:
            is_free = store.record_store.owner_of(request.job_id) in (None, request.run)
            return ClaimJobAnswer(None, is_free).to_document()
        return ClaimJobAnswer(verdict).to_document()

    async def _drop_jobs(self, document: dict, _body: bytes) -> bool:
        if not self.store.ready:
            raise CallRefusedError(NOT_CERTAIN)
        request = DropJobsRequest.from_document(document)
        return self.store.record_store.drop(request.run, request.term, request.job_ids)

    # -- share groups

    async def _acquire_entries(self, document: dict, _body: bytes) -> object:
        return await self.store.leader.fetch(document)

    async def _acknowledge_entries(self, document: dict, body: bytes) -> object:
        return await self.store.leader.commit(document, body)

    # -- batches of work, for edges

    def _leadership_of(self, job_id: str) -> LeadershipTerm:
        """Finds the leadership that serves a job; refuses if there is none, or if that is not certain yet."""
        return self._leaderships_of(job_id)[0]

    def _leaderships_of(self, job_id: str) -> list[LeadershipTerm]:
        """Finds all leaderships that serve a job; only earlier versions accepted a job for more than one run."""
        leaderships = self.store.leaderships.values()
        holding = [leadership for leadership in leaderships if leadership.state == "holding"]
        serving = [leadership for leadership in holding if job_id in leadership.batch_jobs]
        if serving:
            return serving
        if any(job_id in leadership.pending_jobs for leadership in holding):
            raise CallRefusedError(NOT_CERTAIN)
        if any(leadership.state == "reading" for leadership in leaderships):
            raise CallRefusedError(NOT_CERTAIN)
        raise CallRefusedError(UNKNOWN_JOB)

    def _sign(self, leadership: LeadershipTerm) -> dict:
        return LeaderSignature(leadership.run, self.store.id, leadership.term).to_document()

    async def _reserve_job(self, document: dict, _body: bytes) -> None:
        request = ReserveJobRequest.from_document(document)
        if not is_known(self.store, request.job_id) and not self.store.membership.can_admit(
            request.job_id, request.size
        ):
            raise CallRefusedError(NO_ROOM)
        now = self.store.clock.now()
        is_beside = self._copy_reservations.leaves_room_for(request.size, now)
        has_room = is_beside and self._reservations.reserve(request.job_id, request.size, now, request.claim)
        if has_room and not await self._reserve_copies(request):
            self._reservations.cancel(request.claim)
            has_room = False
        if not has_room:
            self.store.counters.add("job.waits_for_memory")
            raise CallRefusedError(NO_MEMORY)

    async def _reserve_copies(self, request: ReserveJobRequest) -> bool:
        """Whether the stores that are to copy a large job have room, so that none has its own and another's at once.

        They are asked before the body comes, and all of them at once: stores that hold room of their own while they
        wait for that of others could wait for each other.
        """
        leadership = next((term for term in self.store.leaderships.values() if term.state == "holding"), None)
        if leadership is None:
            return True  # the body will be refused
        return await self.store.replicator.reserve_copies(leadership.run, request.job_id, request.size)

    async def _submit_job(self, document: dict, body: bytes) -> dict:
        request = SubmitJobRequest.from_document(document)
        with self._room_for(request, len(body)):
            leadership = self._submission_leadership(request, len(body))
            await self._accept_job(leadership, document, body)
        return self._sign(leadership)

    @contextlib.contextmanager
    def _room_for(self, request: SubmitJobRequest, size: int) -> Iterator[None]:
        """Keeps room for the body of a large job while it is taken; refuses if there is none for it any more."""
        if size <= LARGE_JOB_BYTES:
            yield
            return
        reservation = self._reservations.begin(request.job_id, size, self.store.clock.now())
        if reservation is None:
            self.store.counters.add("job.waits_for_memory")
            raise CallRefusedError(self._refusal_for_lack(request))
        try:
            yield
        finally:
            self._reservations.release(reservation)

    async def _accept_job(self, leadership: LeadershipTerm, document: dict, body: bytes) -> None:
        try:
            await leadership.accept_job(document, body)
        except JobOwnedElsewhereError as error:
            raise CallRefusedError(OTHER_RUN, error.owner) from None
        except DeposedError:
            leadership.step_down()
            raise CallRefusedError(NOT_CERTAIN) from None

    def _submission_leadership(self, request: SubmitJobRequest, size: int) -> LeadershipTerm:
        """Finds the leadership that may take a job of so many bytes now; refuses if there is none."""
        store = self.store
        leadership = store.leaderships.get(request.run)
        is_leading = leadership is not None and leadership.state == "holding" and leadership.term >= request.min_term
        if leadership is None or not is_leading or store.leaving:
            raise CallRefusedError(NOT_CERTAIN if may_be_taken(store, request.run, request.job_id) else NOT_TAKEN)
        if request.job_id in leadership.pending_jobs:
            raise CallRefusedError(NOT_CERTAIN)
        is_known = request.job_id in leadership.batch_jobs
        if not is_known and not store.membership.can_admit(request.job_id, size):
            raise CallRefusedError(self._refusal_for_lack(request))
        return leadership

    def _refusal_for_lack(self, request: SubmitJobRequest) -> int:
        """Returns the code that refuses a job for lack of room."""
        return NOT_CERTAIN if may_be_taken(self.store, request.run, request.job_id) else NO_ROOM

    async def _read_results(self, document: dict, _body: bytes) -> tuple[dict, bytes]:
        request = ReadResultsRequest.from_document(document)
        leadership = self._leadership_of(request.job_id)
        page = await leadership.read_results(request.job_id, request.after, request.hold_s)
        if page is None:
            raise CallRefusedError(NOT_CERTAIN)
        return self._sign(leadership), page

    async def _read_item(self, document: dict, _body: bytes) -> tuple[dict, bytes]:
        request = ReadItemRequest.from_document(document)
        leadership = self._leadership_of(request.job_id)
        if not leadership.is_confirmed():
            raise CallRefusedError(NOT_CERTAIN)
        payload = leadership.item_payload(request.job_id, request.item_id)
        if payload is None:
            raise CallRefusedError(UNKNOWN_JOB, "item")
        return self._sign(leadership), payload

    async def _end_job(self, document: dict, _body: bytes) -> dict:
        job_id = JobRequest.from_document(document).job_id
        leaderships = self._leaderships_of(job_id)
        for leadership in leaderships:
            try:
                await leadership.end_job(job_id)
            except DeposedError:
                leadership.step_down()
                raise CallRefusedError(NOT_CERTAIN) from None
        return self._sign(leaderships[0])


def check_missing(store: JobHolder, job_id: str) -> MissingJobAnswer:
    """Returns whether a job is not here, and who else may have it as far as this store knows."""
    return MissingJobAnswer(
        store_id=store.id,
        is_missing=store.ready and store.record_store.lacks(job_id),
        stores={store_id: {"zone": member["zone"]} for store_id, member in store.members().items()},
    )


def may_be_taken(store: JobHolder, run: str, job_id: str) -> bool:
    """Returns whether an earlier copy of a call that hands in this job may have been taken, or may still be.

    That is as far as this store can know; if so, a refusal must not promise that the job was not taken.
    """
    if is_known(store, job_id):
        return True
    leadership = store.leaderships.get(run)
    return leadership is not None and leadership.state == "reading"


def is_known(store: JobHolder, job_id: str) -> bool:
    """Returns whether a job is kept here, or was handed in to a term that this store leads or led."""
    if job_id in store.record_store.batch_jobs or job_id in store.record_store.claims:
        return True
    return any(job_id in term.offered_jobs or job_id in term.batch_jobs for term in store.leaderships.values())
