"""What the tests of windows share: windows with entries, items, and a window read back from its records."""

from types import SimpleNamespace

from archhatch.runtime import Counters
from archhatch.share_group import SharePartition, WindowJournal


JOB = SimpleNamespace(job_id="job")


class Item:
    def __init__(self, group, at):
        self.group, self.at, self.item_id = group, at, f"i{at}"


def append(w, at, rank=0, group="g0", offset=None, job=JOB):
    """Adds the entry of a job's item to a window."""
    return w.append(job, Item(group, at), rank, offset)


def window(n=5, locks=200):
    w = SharePartition("m", 3, lock_s=30.0, max_locks=locks)
    return w, [append(w, at) for at in range(n)]


def restored(records, counters=None):
    w = SharePartition("m", 4, 30.0, 200)
    j = WindowJournal("run", "m")
    j.restore(w, [(r.head, r.body) for r in records], counters or Counters())
    return w, j
