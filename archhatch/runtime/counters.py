"""Event counters of a process. Every event that an operator may ask for is counted; logs carry the totals."""

from collections import Counter


class Counters:
    """Counts events by name.

    Attributes:
        counts: The number of events by name; a name that was never counted reads as 0.
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def add(self, name: str, increment: int = 1) -> None:
        """Counts `increment` more events of a name.

        >>> counters = Counters(); counters.add("send.ok"); counters.add("send.ok", 2); counters.counts["send.ok"]
        3
        """
        self.counts[name] += increment

    def summary(self) -> str:
        """Returns all counters in one line, sorted by name.

        >>> counters = Counters(); counters.add("b"); counters.add("a", 2); counters.summary()
        'a=2 b=1'
        """
        return " ".join(f"{name}={count}" for name, count in sorted(self.counts.items()))
