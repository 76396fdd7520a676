"""Small test doubles: a clock moved by hand and a write-ahead log in memory."""

import os

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


class HandClock:
    """A steady clock moved by hand, and a time of day that goes with it until it is stepped."""

    def __init__(self, at: float = 100.0):
        self.at, self.day_starts = at, 1_700_000_000.0

    def now(self) -> float:
        return self.at

    def wall_time(self) -> float:
        return self.day_starts + self.at


class MemBook:
    """A wal in memory: what was synced, and what a loss of power leaves."""

    limit_bytes = 0

    def __init__(self):
        self.raws: list = []

    async def append(self, *raws: bytes | tuple[bytes, ...]) -> None:
        self.raws.extend(raw if isinstance(raw, bytes) else b"".join(raw) for raw in raws)
