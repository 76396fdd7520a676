"""Messages between an edge and the stores about batch jobs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, ClassVar

from ..runtime.message import Message, wire


@dataclass(frozen=True, slots=True)
class ReserveJobRequest(Message):
    """Asks the leader of a run for room for the body of a large job, before it is sent.

    Attributes:
        store_id: The store that is asked.
        job_id: The job.
        size: The length of its body in bytes.
        claim: Names the one submission that it asks for: asked again, it claims the same room.
    """

    store_id: str = wire("to")
    job_id: str = wire("lot")
    size: int = wire("size")
    claim: str = wire("claim")


@dataclass(frozen=True, slots=True)
class SubmitJobRequest(Message):
    """Asks the leader of a run to take a job; its body travels beside it.

    Attributes:
        store_id: The store that is asked.
        term: The term of the lease under which it leads the run.
        job_id: The job.
        run_id: The run.
        host: The host that the client named.
        path: The request target, as it came.
        tenant: The tenant that the job counts for; None where no key is needed.
    """

    store_id: str = wire("to")
    term: int = wire("term")
    job_id: str = wire("lot")
    run_id: str = wire("run")
    host: str = wire("host")
    path: str = wire("path")
    tenant: str | None = wire("tenant", default=None, optional=True)


@dataclass(frozen=True, slots=True)
class SubmitJobResponse(Message):
    """The leader's acknowledgement.

    Attributes:
        store_id: The store that took the job.
    """

    store_id: str = wire("me")


@dataclass(frozen=True, slots=True)
class JobQuery(Message):
    """A question about a job, for the leader of its run.

    Attributes:
        verb: The call's verb.
        content_type: What the answer's body is.
        store_id: The store that is asked.
        job_id: The job.
    """

    verb: ClassVar[str]
    content_type: ClassVar[str] = "application/json"

    store_id: str = wire("to")
    job_id: str = wire("lot")


@dataclass(frozen=True, slots=True)
class ReadJobRequest(JobQuery):
    """Asks for a job's results.

    Attributes:
        start_after: How many results the client has.
        hold_s: How long to wait for more, in seconds.
    """

    verb: ClassVar[str] = "lot.read"

    start_after: int = wire("after")
    hold_s: float = wire("hold")


@dataclass(frozen=True, slots=True)
class ReadItemRequest(JobQuery):
    """Asks for one item's text.

    Attributes:
        item_id: The item.
    """

    verb: ClassVar[str] = "lot.item"
    content_type: ClassVar[str] = "application/octet-stream"

    item_id: str = wire("item")


@dataclass(frozen=True, slots=True)
class EndJobRequest(JobQuery):
    """Ends a job."""

    verb: ClassVar[str] = "lot.end"


@dataclass(frozen=True, slots=True)
class JobQueryResponse(Message):
    """Who answers a question about a job; the answer itself travels beside it.

    Attributes:
        store_id: The store that answers.
        term: The term of the lease under which it leads the run.
        run_id: The run that the job belongs to.
    """

    store_id: str = wire("me")
    term: int = wire("term")
    run_id: str = wire("run")


@dataclass(frozen=True, slots=True)
class JobAbsenceRequest(Message):
    """Asks a store whether it lacks every record of a job.

    Attributes:
        store_id: The store that is asked.
        job_id: The job.
    """

    store_id: str = wire("to")
    job_id: str = wire("lot")


@dataclass(frozen=True, slots=True)
class JobAbsenceResponse(Message):
    """What a store knows of a job.

    Attributes:
        store_id: The store that answers.
        is_absent: Whether it has no record of the job.
        stores: The stores that it knows of, by id.
    """

    store_id: str = wire("me")
    is_absent: bool = wire("lacks")
    stores: dict[str, dict[str, Any]] = wire("stores")
