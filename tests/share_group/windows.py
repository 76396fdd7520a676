"""What the tests of windows share: windows with entries, items, and a window read back from its records."""

from archhatch.runtime import Counters
from archhatch.share_group import SharePartition, WindowJournal


def window(n=5, locks=200):
    w = SharePartition("m", 3, lock_s=30.0, max_locks=locks)
    return w, [w.append(None, None, 0) for _ in range(n)]


class Item:
    def __init__(self, group):
        self.group = group


def restored(records, counters=None):
    w = SharePartition("m", 4, 30.0, 200)
    j = WindowJournal("run", "m")
    j.restore(w, [(r.head, r.body) for r in records], counters or Counters())
    return w, j
