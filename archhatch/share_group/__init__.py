"""Share groups (KIP-932) on the step log.

A leader for each run acquires entries for workers (leader, led_runs, acquisition, fetch, acknowledgements), the
workers run them at replicas (worker, entry_fetcher, item_runner, acknowledgement_sender), and the window of each share
partition is kept on disk (window, window_journal).
"""

from .job_queue import JobQueue
from .leader import PartitionLeader
from .window import EntryState, InvalidTransitionError, ShareEntry, SharePartition
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
