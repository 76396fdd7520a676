"""What a leader knows of one service's partitions and of the workers that draw from them."""

from __future__ import annotations

from dataclasses import dataclass, field

from .run_times import RunTimes
from .window_journal import WindowJournal
from .job_queue import JobQueue
from .window import ShareEntry, SharePartition

RECALL = "recall"  # the worker is to give an entry back whose stream still takes a place; all else it just drops


@dataclass
class WorkerState:
    """A worker at this leader: one life of a store node."""

    worker: str
    incarnation: str
    zone: str = ""
    heard: float = 0.0
    lag: float = 0.0
    poll: int = 0  # the newest poll; older ones are answered at once
    cancellations: list = field(default_factory=list)  # (partition, offset, delivery, why): to be broken off
    batch: int = 0
    unconfirmed_batches: dict = field(default_factory=dict)  # batch -> (when, [entries]) until the worker says it came


class LedPartitions:
    """What this leader knows of one service's partitions, for as long as its reign lasts."""

    def __init__(self, leadership, now: float):
        self.leadership = leadership
        self.since = now
        self.windows: dict[str, SharePartition] = {}
        self.journals: dict[str, WindowJournal] = {}
        self.queues: dict[str, JobQueue] = {}  # lot -> its Available entries
        self.entries: dict[str, dict[str, ShareEntry]] = {}  # lot -> item -> entry that is not final
        self.workers: dict[str, WorkerState] = {}
        self.drivers: dict[str, str] = {}  # engine -> worker
        self.drivers_of: tuple = ()
        self.times = RunTimes()
