"""Errors of a write-ahead log; the rule for each kind of failure is in the package's documentation."""

from __future__ import annotations

from ..exceptions import ArchhatchError


class LogError(ArchhatchError):
    """The records of this call are not acknowledged.

    Attributes:
        counter: The name under which this kind of failure is counted.
    """

    counter = "wal.failed"


class LogWriteError(LogError):
    """A write failed and was truncated away: nothing of it is left, and the next append may succeed."""

    counter = "wal.write_failed"


class LogTruncateError(LogError):
    """A write failed, and so did the truncation after it: the generation is abandoned."""

    counter = "wal.truncate_failed"


class LogSyncError(LogError):
    """A sync failed, so it is unknown what the disk holds of these pages: the generation is abandoned."""

    counter = "wal.sync_failed"


class LogRewriteError(LogError):
    """A new generation could not be written; the previous one still holds every acknowledged record."""

    counter = "wal.rewrite_failed"


class LogBrokenError(LogError):
    """The generation was abandoned, and no newer one has been written yet: all appends are refused."""

    counter = "wal.refused"


class LogClosedError(LogError):
    """The log was closed and takes no further calls."""

    counter = "wal.closed"
