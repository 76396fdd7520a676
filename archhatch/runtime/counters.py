"""Counters: what happened, by name. Logs are written from these first."""

from collections import Counter


class Counters:
    def __init__(self):
        self.all: Counter = Counter()

    def add(self, name: str, n: int = 1) -> None:
        """Count n more of name.

        >>> c = Counters(); c.add("send.ok"); c.add("send.ok", 2); c.all["send.ok"]
        3
        """
        self.all[name] += n

    def line(self) -> str:
        """All counters as one line, by name.

        >>> c = Counters(); c.add("b"); c.add("a", 2); c.line()
        'a=2 b=1'
        """
        return " ".join(f"{k}={v}" for k, v in sorted(self.all.items()))
