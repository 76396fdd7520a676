"""Typed documents: the calls that a store answers, its reports to the control nodes, and the leases that it reads."""

from __future__ import annotations

from dataclasses import dataclass

from ..runtime.message import Message, wire


@dataclass(frozen=True, slots=True)
class RunLease(Message):
    """The lease of a run, as the control nodes keep it.

    Attributes:
        holder_id: The store that holds the lease.
        term: Grows with each grant of the run's lease.
        holder_incarnation: The process of the holder to which the lease was granted.
    """

    holder_id: str = wire("holder")
    term: int = wire("term")
    holder_incarnation: str = wire("life")


@dataclass(frozen=True, slots=True)
class LeaseTerm(Message):
    """What is needed of a lease where only its term matters."""

    term: int = wire("term")


@dataclass(frozen=True, slots=True)
class LeaseClaimRequest(Message):
    """Asks the control nodes to grant a run's lease, if its term is still the one that the claimant saw."""

    run: str = wire("run")
    holder_id: str = wire("holder")
    holder_incarnation: str = wire("life")
    seen_term: int = wire("seen")


@dataclass(frozen=True, slots=True)
class EvacuationReport(Message):
    """Tells the control nodes how far a run's leader is with an evacuation.

    Attributes:
        evacuation_id: The evacuation.
        run: The run that is moved.
        run_term: The leader's term.
        state: The evacuation's state that the report answers to.
        placed: Where the tenant's new requests went at that time.
        is_copied: Whether the region that needs them has enough copies of all open jobs.
        is_drained: Whether nothing of the run is at work any more in the region that it leaves.
    """

    evacuation_id: str = wire("id")
    run: str = wire("run")
    run_term: int = wire("run_term")
    state: str = wire("state")
    placed: str = wire("placed")
    is_copied: bool = wire("copied")
    is_drained: bool = wire("drained")


@dataclass(frozen=True, slots=True)
class PrepareRequest(Message):
    """Asks for the promise to take nothing from leaders of older terms of a run."""

    run: str = wire("run")
    term: int = wire("term")


@dataclass(frozen=True, slots=True)
class FetchRecordsRequest(Message):
    """Asks for records of a job: its results at some positions, and the job itself if it is wanted."""

    job_id: str = wire("lot")
    positions: list = wire("poss")
    wants_job: bool = wire("want_lot")


@dataclass(frozen=True, slots=True)
class AppendRequest(Message):
    """Says what the sender of records understands; the records themselves travel beside it.

    Attributes:
        reads_owners: Whether it understands the name of a run as an answer; earlier versions do not.
    """

    reads_owners: bool = wire("owners", default=False)


@dataclass(frozen=True, slots=True)
class ClaimJobRequest(Message):
    """Asks that a job be noted as a run's, without a copy of it.

    Attributes:
        job_id: The job.
        run: The run.
        term: The term of the run's leader.
        is_settled: Whether the run accepted the job, so that what another run left of it goes.
        is_withdrawn: Whether the run, which did not accept the job, gives it up.
    """

    job_id: str = wire("lot")
    run: str = wire("run")
    term: int = wire("term")
    is_settled: bool = wire("settled", default=False)
    is_withdrawn: bool = wire("withdrawn", default=False)


@dataclass(frozen=True, slots=True)
class ClaimJobAnswer(Message):
    """What a store makes of a claim on a job.

    Attributes:
        verdict: True if it stands on the disk, False if the run was promised to a higher term, the other run to which
            the job belongs; None if the disk takes nothing.
        is_free: Whether nothing of the job is there for another run, where the disk takes nothing.
    """

    verdict: bool | str | None = wire("verdict")
    is_free: bool = wire("free", default=False, optional=True)


@dataclass(frozen=True, slots=True)
class DropJobsRequest(Message):
    """Asks that jobs be dropped that all stores know to have ended.

    Attributes:
        run: The run.
        term: The term of the run's leader.
        job_ids: The jobs.
    """

    run: str = wire("run")
    term: int = wire("term")
    job_ids: list[str] = wire("lots")


@dataclass(frozen=True, slots=True)
class JobRequest(Message):
    """Names a job: asks whether it is missing here, or that it be ended."""

    job_id: str = wire("lot")


@dataclass(frozen=True, slots=True)
class MissingJobAnswer(Message):
    """Says whether a job is not on a store, and which stores may have it as far as this one knows.

    Attributes:
        store_id: The store that answers.
        is_missing: Whether the job is certainly not on this store.
        stores: The zone of each member, by its id.
    """

    store_id: str = wire("me")
    is_missing: bool = wire("lacks")
    stores: dict = wire("stores")


@dataclass(frozen=True, slots=True)
class ReserveJobRequest(Message):
    """Asks for room for the body of a large job, before it is sent.

    Attributes:
        job_id: The job.
        size: The length of its body in bytes.
        claim: Names the one submission that asks; whoever repeats it asks for the same room.
    """

    job_id: str = wire("lot")
    size: int = wire("size")
    claim: str = wire("claim", default="")


@dataclass(frozen=True, slots=True)
class SubmitJobRequest(Message):
    """Hands in a job. The leader reads further keys of the same document as the head of the job's record.

    Attributes:
        job_id: The job.
        run: The run that it belongs to.
        min_term: The term of the lease that the caller knows; a leader of an older one refuses.
    """

    job_id: str = wire("lot")
    run: str = wire("run")
    min_term: int = wire("term")


@dataclass(frozen=True, slots=True)
class ReadResultsRequest(Message):
    """Asks for a page of a job's results, and how long to wait for one.

    Attributes:
        job_id: The job.
        after: How many results the caller has already.
        hold_s: How long the answer may wait for further results.
    """

    job_id: str = wire("lot")
    after: int = wire("after")
    hold_s: float = wire("hold")


@dataclass(frozen=True, slots=True)
class ReadItemRequest(Message):
    """Asks for the payload of one item of a job."""

    job_id: str = wire("lot")
    item_id: str = wire("item")


@dataclass(frozen=True, slots=True)
class LeaderSignature(Message):
    """Says which leader gave an answer, so that another's answer is not taken for the lease holder's."""

    run: str = wire("run")
    store_id: str = wire("me")
    term: int = wire("term")


@dataclass(frozen=True, slots=True)
class SendRequest(Message):
    """Asks a store to send an idempotent request to a replica on behalf of an edge.

    Attributes:
        service: The service that the edge chose.
        host: The host that the request names.
        method: Its HTTP method.
        target: Its path and query.
        headers: Its headers, as pairs.
        request_id: The id that its sends share.
        tried: The replicas that were tried already.
        timeout_s: How long the send may take.
    """

    service: str = wire("service")
    host: str = wire("host")
    method: str = wire("method")
    target: str = wire("target")
    headers: list = wire("heads")
    request_id: str = wire("rid")
    tried: list = wire("tried")
    timeout_s: float = wire("secs")


@dataclass(frozen=True, slots=True)
class SendAnswer(Message):
    """What a send on behalf of an edge brought.

    Attributes:
        ran: Whether the replica ran the request: yes, no or maybe.
        status: The HTTP status of the replica's answer.
        headers: The answer's headers, as pairs.
        reason: Why there is no answer.
    """

    ran: str = wire("ran")
    status: int = wire("status")
    headers: list = wire("heads")
    reason: str = wire("why")
