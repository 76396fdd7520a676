"""The control nodes that a reader of the configuration feed asks: who each is, and which one to ask next."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

MAX_PAUSE_FACTOR = 8  # the longest pause between fruitless rounds over all sources, as a multiple of the first one
NEVER = float("-inf")


class Verdict(enum.Enum):
    """What an answer shows of its source."""

    CURRENT = "current"
    BEHIND = "behind"  # it has an older version than the reader
    LAGGING = "lagging"  # it gave nothing new, though a newer version is known to exist
    ENDED = "ended"  # the answer is from an incarnation that has ended, and must not be applied


@dataclass(slots=True)
class _Source:
    """A control node, by the answers that came from its address."""

    node_id: str = ""  # empty if it does not send its id, or if another node may be there now
    incarnation: str = ""
    ended_incarnations: set[str] = field(default_factory=set)


class ConfigSources:
    """Judges answers and chooses the next source.

    A reader leaves a source that is behind or lagging. Once it has left each, it stays with one for a pause that
    doubles with each fruitless round, so that readers do not run in circles while no source has the newest version.

    Attributes:
        first_pause_s: The first such pause, in seconds.
        newest_versions: The newest version of each shard of which any source has told.

    >>> sources = ConfigSources(1.0); sources.record_answer("a", "x", "n1")
    True
    >>> sources.judge({"plan": 5}, {}, {"plan": 3})
    <Verdict.BEHIND: 'behind'>
    """

    def __init__(self, first_pause_s: float) -> None:
        self.first_pause_s = first_pause_s
        self.newest_versions: dict[str, int] = {}
        self._sources: dict[str, _Source] = {}
        self._left: set[str] = set()  # sources that were left, since the last one that was current
        self._fruitless_rounds = 0
        self._stay_until = NEVER

    def node_id(self, address: str) -> str:
        """Returns the id of the node at an address; empty if it is not known."""
        source = self._sources.get(address)
        return source.node_id if source is not None else ""

    def forget_node(self, address: str) -> None:
        """Forgets which node is at an address, after another one answered there."""
        source = self._sources.get(address)
        if source is not None:
            source.node_id = ""

    def record_answer(self, address: str, incarnation: str, node_id: str) -> bool:
        """Records who answered at an address.

        Returns:
            False if the answer is from an incarnation that a newer one has followed: it must not be applied.
        """
        source = self._sources.setdefault(address, _Source())
        if incarnation in source.ended_incarnations:
            return False
        if source.incarnation and source.incarnation != incarnation:
            source.ended_incarnations.add(source.incarnation)
        source.incarnation = incarnation
        source.node_id = node_id
        return True

    def judge(self, held: dict[str, int], newest_before: dict[str, int], newest: dict[str, int]) -> Verdict:
        """Judges the source of an answer that was applied, and records the versions of which it told.

        Args:
            held: The versions that the reader has now.
            newest_before: The newest versions known when the reader asked.
            newest: The newest versions known to the source.
        """
        unheard = {shard: version for shard, version in newest.items() if version > self.newest_versions.get(shard, 0)}
        if unheard:
            self.newest_versions.update(unheard)
            self._fruitless_rounds = 0
            self._stay_until = NEVER
        if any(version < held.get(shard, 0) for shard, version in newest.items()):
            return Verdict.BEHIND
        if _is_outdated(held, newest_before):
            return Verdict.LAGGING
        return Verdict.CURRENT

    def should_hurry(self, held: dict[str, int], now: float) -> bool:
        """Whether the next query should wait only briefly: a newer version exists, and not all sources were asked."""
        return now >= self._stay_until and _is_outdated(held, self.newest_versions)

    def choose_next(self, verdict: Verdict, addresses: list[str], address: str, now: float) -> str:
        """Chooses the address to ask next.

        Args:
            verdict: The verdict on the last answer.
            addresses: All addresses, in the order in which they are asked.
            address: The one that gave the last answer.
            now: The monotonic clock.
        """
        if verdict is Verdict.CURRENT:
            self._left.clear()
            return address
        if now < self._stay_until:
            return address
        self._left.add(address)
        index = addresses.index(address) if address in addresses else 0
        for other in addresses[index + 1 :] + addresses[:index]:
            if other not in self._left:
                return other
        self._left.clear()
        self._stay_until = now + self.first_pause_s * min(MAX_PAUSE_FACTOR, 2**self._fruitless_rounds)
        self._fruitless_rounds += 1
        return address


def _is_outdated(held: dict[str, int], newest: dict[str, int]) -> bool:
    """Whether a newer version than the held one is known to exist."""
    return any(version > held.get(shard, 0) for shard, version in newest.items())
