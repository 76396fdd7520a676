"""A write-ahead log: an append-only file of checksummed records, synced before an append returns.

Each kind of failure has one rule.

- **A write fails** (a full disk, a short write): the file is truncated to its synced length, the append fails, and the
  next append writes over the place. The log stays in use; `is_healthy` is false until a write succeeds again.
- **That truncation fails, or a sync fails**: the generation is abandoned. A failed sync is never retried on the same
  pages, since the kernel may have dropped them. All appends fail, also those that wait, until a rewrite from the
  owner's `snapshot` into a new generation has succeeded; the log tries that by itself, with exponential backoff.
- **A rewrite fails**: the previous generation still holds every acknowledged record and stays in use, unless the
  closing frame may be on the disk and the new file's removal could not be synced. Then the previous one is abandoned
  too: the new file could count at the next start, without what was appended to the previous one since.
- **Opening fails** on the disk: `load` raises, and the process ends.

A rewrite makes a new file NAME.N, syncs its records, then writes a closing frame (their number and a checksum), syncs
it, syncs the directory, and only then removes the previous file. At a start the newest complete file counts; it and its
directory are synced before a record is returned, for a process that was killed may leave records that no sync covered.

A process may also die between a failed sync and the truncation after it. Its next start could take those records for
synced, so it writes the tail of the file again before its own sync. One case stays open: the failed write was longer
than that tail (4 MiB).
"""

from .errors import (
    LogBrokenError,
    LogClosedError,
    LogError,
    LogRewriteError,
    LogSyncError,
    LogTruncateError,
    LogWriteError,
)
from .files import LogFiles, OsFiles
from .generations import generation_number
from .log import WriteAheadLog
from .records import LogRecord, pack_record
from .scan import read_records
from .worker import ThreadWorker

__all__ = [
    "LogBrokenError",
    "LogClosedError",
    "LogError",
    "LogFiles",
    "LogRecord",
    "LogRewriteError",
    "LogSyncError",
    "LogTruncateError",
    "LogWriteError",
    "OsFiles",
    "ThreadWorker",
    "WriteAheadLog",
    "generation_number",
    "pack_record",
    "read_records",
]
