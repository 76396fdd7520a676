"""What a store tells a run's new holder: which records of the run are here, in the answer to `shelf.prepare`."""

from __future__ import annotations

from dataclasses import dataclass

from ..runtime.message import Message, wire


@dataclass(frozen=True, slots=True)
class HeldJob(Message):
    """What a store holds of one job.

    Attributes:
        has_job: Whether the record of the job itself is there.
        has_end: Whether the record of its end is there.
        results: Rows [position, term, item]; they stay lists, because a store tells of very many.
        has_claim: Whether nothing of the job is there but that it belongs to the run.
    """

    has_job: bool = wire("lot")
    has_end: bool = wire("end")
    results: list = wire("results")
    has_claim: bool = wire("claim", default=False, optional=True)


def _read_jobs(document: dict) -> dict[str, HeldJob]:
    return {job_id: HeldJob.from_document(held) for job_id, held in document.items()}


def _write_jobs(jobs: dict[str, HeldJob]) -> dict:
    return {job_id: held.to_document() for job_id, held in jobs.items()}


@dataclass(frozen=True, slots=True)
class RunReport(Message):
    """What a store holds of a run.

    Attributes:
        jobs: What it holds of each job, by id.
        windows: Records of the partitions' windows as [head, body].
        order_ages_s: Seconds since it synced the last intent to order from a replica, or since its start.
        order_times: The (term, seconds of that term) at which that intent was written, where it is known.
        newest_time: The newest (term, seconds of that term) that a record there bears.

    >>> RunReport.from_document({"orders": {"i": 2.0}}).order_ages_s
    {'i': 2.0}
    """

    jobs: dict[str, HeldJob] = wire("lots", default_factory=dict, encode=_write_jobs, decode=_read_jobs)
    windows: list = wire("windows", default_factory=list)
    order_ages_s: dict[str, float] = wire("orders", default_factory=dict)
    order_times: dict[str, tuple] = wire("noted", default_factory=dict)
    newest_time: tuple | None = wire("tick", default=None)
