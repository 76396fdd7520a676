"""Counters: what happened, by name. Logs are written from these first."""

from collections import Counter


class Counters:
    def __init__(self):
        self.counts: Counter = Counter()

    def add(self, name: str, n: int = 1) -> None:
        """Count n more of name.

        >>> c = Counters(); c.add("send.ok"); c.add("send.ok", 2); c.counts["send.ok"]
        3
        """
        self.counts[name] += n

    def summary(self) -> str:
        """All counters as one line, by name.

        >>> c = Counters(); c.add("b"); c.add("a", 2); c.summary()
        'a=2 b=1'
        """
        return " ".join(f"{k}={v}" for k, v in sorted(self.counts.items()))
