"""How a store divides the memory of its machine among what grows with the batch jobs that it holds."""

from __future__ import annotations

import sys
from dataclasses import dataclass

from .shares import BYTES_PER_MB

BODY_CACHE_SHARE = 0.12  # of the process's memory: bodies of jobs beyond it are on the disk
# Of the process's memory: open jobs that this store leads. A takeover cannot be refused, so there is room for as many
# once more, beside the cache, the program itself and the reading of one body.
OPEN_JOBS_SHARE = 0.25
ARRIVING_JOBS_SHARE = 0.1  # of the process's memory: bodies of large jobs on their way to it
ARRIVING_COPIES_SHARE = 0.05  # of the process's memory: large copies from other stores on their way to it
PARSED_RATIO = 2.2  # memory of a job's items to the bytes of its body, before it is read


@dataclass(frozen=True, slots=True)
class StoreShares:
    """The bounds that follow from a process's memory.

    >>> shares = StoreShares(memory_mb=100)
    >>> shares.admits(0, 10_000_000), shares.admits(10_000_000, 10_000_000)
    (True, False)

    Attributes:
        memory_mb: What the process may use; 0 for no limit.
    """

    memory_mb: int

    @property
    def body_cache_bytes(self) -> int:
        """How many bytes of jobs' bodies stay in memory."""
        return int(self.memory_mb * BYTES_PER_MB * BODY_CACHE_SHARE) or sys.maxsize

    @property
    def arriving_job_bytes(self) -> int:
        """How many bytes of large jobs' bodies may be on their way at once."""
        return int(self.memory_mb * BYTES_PER_MB * ARRIVING_JOBS_SHARE) or sys.maxsize

    @property
    def arriving_copy_bytes(self) -> int:
        """How many bytes of large copies may be on their way at once."""
        return int(self.memory_mb * BYTES_PER_MB * ARRIVING_COPIES_SHARE) or sys.maxsize

    def admits(self, open_job_bytes: int, body_bytes: int) -> bool:
        """Returns whether a further job may be opened.

        Args:
            open_job_bytes: The memory of the jobs that are open.
            body_bytes: The length of the further job's body.
        """
        if not self.memory_mb:
            return True
        return open_job_bytes + body_bytes * PARSED_RATIO <= self.memory_mb * BYTES_PER_MB * OPEN_JOBS_SHARE
