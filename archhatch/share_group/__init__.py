"""Share groups (KIP-932) on the step log: the leader's window, the workers that draw from it, their state on disk."""

from .job_queue import JobQueue
from .leader import PartitionLeader
from .window import InvalidTransitionError, ShareEntry, EntryState, SharePartition
from .window_journal import WindowJournal
from .worker import Worker

__all__ = [
    "EntryState",
    "InvalidTransitionError",
    "JobQueue",
    "PartitionLeader",
    "ShareEntry",
    "SharePartition",
    "WindowJournal",
    "Worker",
]
