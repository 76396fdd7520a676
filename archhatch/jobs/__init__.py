"""Batch jobs and their results, as stores keep them."""

from .batch_job import LARGE_JOB_BYTES, BatchJob, Item, check_job, read_job
from .body_cache import BodyCache
from .errors import DeposedError, InvalidJobError, JobOwnedElsewhereError
from .quorum import Quorum, active_members
from .record import Record, pack, unpack
from .record_store import RecordStore
from .replicator import Replicator

__all__ = [
    "LARGE_JOB_BYTES",
    "BatchJob",
    "BodyCache",
    "DeposedError",
    "InvalidJobError",
    "Item",
    "JobOwnedElsewhereError",
    "Quorum",
    "Record",
    "RecordStore",
    "Replicator",
    "active_members",
    "check_job",
    "pack",
    "read_job",
    "unpack",
]
