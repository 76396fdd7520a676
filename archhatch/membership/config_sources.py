"""What a reader of the news knows of the control nodes that it asks: who each is, and whether it is behind."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

MOST_PATIENCE = 8  # the longest pause between fruitless rounds over all sources, in first pauses


class Verdict(enum.Enum):
    """What an answer shows of its source."""

    GOOD = "good"
    BEHIND = "behind"  # it holds less than the reader has
    LAGGING = "lagging"  # it brings nothing new, though a newer version has been told of
    OLD_LIFE = "old_life"  # the answer is that of a life which has ended: it must not be folded


@dataclass
class _Source:
    node: str = ""  # its id, if its answers give one
    incarnation: str = ""
    ended: set = field(default_factory=set)  # lives that newer ones followed


class ConfigSources:
    """Judges answers; says when a source is to be left, which is at most once each until all had their turn.

    >>> s = ConfigSources(1.0); s.heed("a", {"life": "x", "newest": {"plan": 3}}), s.judge({"plan": 5}, {}, {"plan": 3})
    (True, <Verdict.BEHIND: 'behind'>)
    """

    def __init__(self, pause_s: float):
        self.pause_s = pause_s
        self.told: dict[str, int] = {}  # part -> the newest version that any source told of
        self._sources: dict[str, _Source] = {}
        self._left: set = set()  # sources that disappointed, since the last that did not
        self._rounds = 0
        self._patient_until = float("-inf")

    def node(self, address: str) -> str:
        """The id of the node at an address, empty if it is not known."""
        source = self._sources.get(address)
        return source.node if source is not None else ""

    def forget(self, address: str) -> None:
        """Another node is at this address now; whichever it is, it may be asked."""
        source = self._sources.get(address)
        if source is not None:
            source.node = ""

    def heed(self, address: str, doc: dict) -> bool:
        """Whether an answer may be folded: not if it comes from a life of its source that has ended."""
        source = self._sources.setdefault(address, _Source())
        if doc["life"] in source.ended:
            return False
        if source.incarnation and source.incarnation != doc["life"]:
            source.ended.add(source.incarnation)
        source.incarnation, source.node = doc["life"], doc.get("id", "")
        return True

    def judge(self, held: dict, told_before: dict, newest: dict) -> Verdict:
        """What an answer shows once it is folded: held are the reader's versions now, told_before what had been told of
        when it asked, newest what the answer says that its node has heard of."""
        fresh = {shard: version for shard, version in newest.items() if version > self.told.get(shard, 0)}
        if fresh:
            self.told.update(fresh)
            self._rounds, self._patient_until = 0, float("-inf")
        if any(version < held.get(shard, 0) for shard, version in newest.items()):
            return Verdict.BEHIND
        if self.lags(held, told_before):
            return Verdict.LAGGING
        return Verdict.GOOD

    def lags(self, held: dict, told: dict | None = None) -> bool:
        """Whether a newer version than the held one has been told of."""
        return any(version > held.get(shard, 0) for shard, version in (self.told if told is None else told).items())

    def hurried(self, held: dict, now: float) -> bool:
        """Whether the next question should wait only briefly: something newer is out, and not all were asked for it."""
        return now >= self._patient_until and self.lags(held)

    def next_after(self, verdict: Verdict, addrs: list, address: str, now: float) -> str:
        """The address to ask next."""
        if verdict is Verdict.GOOD:
            self._left.clear()
            return address
        if now < self._patient_until:
            return address
        self._left.add(address)
        at = addrs.index(address) if address in addrs else 0
        for other in addrs[at + 1 :] + addrs[:at]:
            if other not in self._left:
                return other
        self._left.clear()  # none does better: stay a while, each time longer
        self._patient_until = now + self.pause_s * min(MOST_PATIENCE, 2**self._rounds)
        self._rounds += 1
        return address
