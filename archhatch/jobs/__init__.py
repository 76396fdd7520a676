"""Lots and their results, as stores keep them."""

from .batch_job import InvalidJobError, Item, BatchJob, check_job, read_job
from .quorum import Quorum, active_members
from .record import Record, pack, unpack
from .record_store import RecordStore
from .replicator import Replicator, DeposedError

__all__ = [
    "BatchJob",
    "DeposedError",
    "InvalidJobError",
    "Item",
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
