"""What can go wrong with a write-ahead log; the rule for each kind stands in the package's documentation."""

from __future__ import annotations


class LogError(Exception):
    """The records of this call are not acknowledged; `counter` names the kind of failure among the counters."""

    counter = "wal.failed"


class LogWriteError(LogError):
    """A write failed and the length was set back: nothing of it is left, and the next append may go through."""

    counter = "wal.write_failed"


class LogSetBackError(LogError):
    """A write failed, and so did setting the length back: the generation is given up."""

    counter = "wal.set_back_failed"


class LogSyncError(LogError):
    """A sync failed, so nobody knows what the disk has of these pages: the generation is given up."""

    counter = "wal.sync_failed"


class LogRewriteError(LogError):
    """A new generation could not be written; the one before it still holds every acknowledged record."""

    counter = "wal.rewrite_failed"


class LogBrokenError(LogError):
    """The generation was given up, and no newer one has been written yet: all appends are refused."""

    counter = "wal.refused"


class LogClosedError(LogError):
    """The log takes nothing any more."""

    counter = "wal.closed"
