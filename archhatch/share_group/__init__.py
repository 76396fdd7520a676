"""Share groups (KIP-932) on the step log: the leader's window, the workers that draw from it, their state on disk."""

from .window_journal import WindowJournal
from .leader import PartitionLeader
from .job_queue import JobQueue
from .window import InvalidTransitionError, ShareEntry, EntryState, SharePartition
from .worker import Worker

__all__ = ["BadMove", "Entry", "Leader", "LotQueue", "State", "Window", "WindowJournal", "Worker"]
