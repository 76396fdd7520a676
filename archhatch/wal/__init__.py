"""The append-only file: checksummed records, synced before anyone is told.

Each kind of failure has one rule.

- **A write fails** (a full disk, a short write): the length is set back, nobody is told ok, and the next append
  writes over the place. The log stays in use; `healthy` is false until a write goes through again.
- **Setting the length back fails, or a sync fails**: the generation is given up. A failed sync is never tried again
  on the same pages, since the system may have dropped them. All appends fail, also those that wait, until a rewrite
  from the owner's `snapshot` into a new generation has gone through; the log tries that by itself, with pauses that
  grow.
- **A rewrite fails**: the generation before it still holds every acknowledged record and goes on, unless the closing
  frame may stand on the disk and the new file's removal could not be synced. Then the old one is given up too: at the
  next start the new one could count, without what was appended to the old one since.
- **A start fails** on the disk: `load` raises, and the process ends.

A rewrite makes a new file NAME.N, syncs its records, then writes a closing frame (their number and a checksum), syncs
it, syncs the folder, and only then removes the file before it. At a start the newest complete file counts; it and its
folder are synced before a record is given out, for a process that was killed may leave records that no sync covered.

A process may also die between a failed sync and what follows it. Its next start could take those records for synced,
so it writes the end of the file again before its own sync. One case stays open: the failed write was longer than that
end (4 MB).
"""

from .errors import (
    LogBrokenError,
    LogClosedError,
    LogError,
    LogRewriteError,
    LogSetBackError,
    LogSyncError,
    LogWriteError,
)
from .files import OsFiles
from .generations import generation_number
from .log import WriteAheadLog
from .records import pack_record
from .scan import read_records
from .worker import ThreadWorker

__all__ = [
    "LogBrokenError",
    "LogClosedError",
    "LogError",
    "LogRewriteError",
    "LogSetBackError",
    "LogSyncError",
    "LogWriteError",
    "OsFiles",
    "ThreadWorker",
    "WriteAheadLog",
    "generation_number",
    "pack_record",
    "read_records",
]
