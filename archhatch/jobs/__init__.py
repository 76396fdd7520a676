"""Lots and their results, as stores keep them."""

from .batch_job import InvalidJobError, Item, BatchJob, check_job, read_job
from .record import Record, pack, unpack
from .record_store import RecordStore
from .quorum import Quorum, active
from .replicator import Replicator, DeposedError

__all__ = [
    "BadLot",
    "Item",
    "Lot",
    "check_lot",
    "read_lot",
    "Record",
    "pack",
    "unpack",
    "RecordStore",
    "Replicator",
    "Deposed",
    "Quorum",
    "active",
]
