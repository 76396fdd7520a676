"""The upkeep of what this store keeps: copies of the runs that it leads, old lots, the log's length, its disk."""

from __future__ import annotations

import asyncio

from ..jobs import Record, pack
from ..wal import LogError

PACE = 3  # heartbeats between rounds while the stores do not change and no copy is lacking
PROBE_BYTES = 4096  # what a disk must take before it counts as taking records again


class Repair:
    """Rounds of upkeep, at once when the stores change.

    >>> # repair = Repair(store); crew.keep("mend", repair.run); crew.keep("disk", repair.probe_disk)
    """

    def __init__(self, store):
        self.st = store

    async def run(self) -> None:
        """One round after the other."""
        st, turn = self.st, 0
        while True:
            lacking = any(reign.lacks_copies() for reign in st.reigns.values())
            turn = await st.board.news("members", turn, st.beat_s * (1 if lacking else PACE))
            await self.round()

    async def round(self) -> None:
        """Mend all runs that this store leads, side by side; then forget and shorten what nobody needs."""
        st = self.st
        holding = [reign for reign in st.reigns.values() if reign.state == "holding"]
        await asyncio.gather(*(reign.mend() for reign in holding))
        for reign in holding:
            reign.forget()
        keep_s, now = st.boot.secs("StatusS", 2), st.clock.now()
        old = [lid for lid, entry in st.shelf.lots.items() if entry["end"] is not None and now - entry["at"] > keep_s]
        st.shelf.forget(old, st.boot.secs("LeaseMs", 2))
        await st.shelf.rewrite_if_due()

    async def probe_disk(self) -> None:
        """Try a disk that took nothing until it takes a small record again."""
        st = self.st
        while True:
            await asyncio.sleep(st.beat_s)
            if st.disk.may_probe():
                await self.probe()

    async def probe(self) -> None:
        """Write a record that means nothing: a promise of no run's term 0."""
        st = self.st
        raw = pack(Record({"k": "P", "run": "", "term": 0}, bytes(PROBE_BYTES)))
        try:
            await st.disk.watch(st.book.append(raw))
        except LogError:
            return
        st.disk.recovered()
        st.log.info("the disk takes records again")
