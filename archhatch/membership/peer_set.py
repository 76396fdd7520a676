"""Nodes of the same kind that this one watches, and when each was last heard."""

from __future__ import annotations

from .replica_registry import later


class PeerSet:
    """Cards of nodes by id: ip, name, zone, and the time they were last heard.

    A sighting is told on to others only if it is at least `step_s` later than the last one that was: two nodes that
    tell each other of a third one would else never come to rest.

    >>> n = PeerSet(); n.hear({"id": "a", "ip": "1"}, 5.0); n.silent("a", 7.0)
    2.0
    """

    def __init__(self, step_s: float = 0.0):
        self.step_s = step_s
        self.cards: dict[str, dict] = {}
        self.heard: dict[str, float] = {}
        self.turn = 0  # of the last sighting or card that is worth telling
        self._turns: dict[str, int] = {}  # in the order of the turns
        self._card_turns: dict[str, int] = {}
        self._told: dict[str, float] = {}  # the sighting that was last given a turn

    def hear(self, card: dict, now: float) -> None:
        """This node itself spoke."""
        self.learn(card)
        self.sight(card["id"], now)

    def sight(self, nid: str, now: float) -> bool:
        """A known node spoke, here or to another; False if it is not known."""
        if nid not in self.cards:
            return False
        self.heard[nid] = max(now, self.heard.get(nid, now))
        told = self._told.get(nid)
        if told is None or now - told >= max(self.step_s, 1e-9):
            self._told[nid] = now
            self._turn(nid)
        return True

    def learn(self, card: dict) -> None:
        """Another spoke of this node. A newer life at an address replaces the older one."""
        nid = card["id"]
        if self.cards.get(nid) != card:
            self.cards[nid] = card
            self._turn(nid)
            self._card_turns[nid] = self.turn

    def since(self, turn: int, now: float) -> list:
        """What was heard after a turn, for one that was told all up to it: [card, seconds ago] each, with the id
        alone in place of a card that has not changed since.

        >>> n = PeerSet(); n.hear({"id": "a"}, 5.0); first = n.since(0, 6.0); n.hear({"id": "a"}, 7.0)
        >>> first, n.since(1, 8.0), n.since(2, 8.0), n.since(n.turn, 8.0)
        ([[{'id': 'a'}, 1.0]], [['a', 1.0]], [['a', 1.0]], [])
        """
        rows = []
        for nid in later(self._turns, turn):
            word = self.cards[nid] if self._card_turns[nid] > turn else nid
            rows.append([word, self.silent(nid, now)])
        return [row for row in rows if row[1] != float("inf")]

    def silent(self, nid: str, now: float) -> float:
        """Seconds since a node was heard; for ever if it never was."""
        return now - self.heard.get(nid, float("-inf"))

    def forget(self, nid: str) -> None:
        """It is gone."""
        for table in (self.cards, self.heard, self._turns, self._card_turns, self._told):
            table.pop(nid, None)

    def _turn(self, nid: str) -> None:
        self.turn += 1
        self._turns.pop(nid, None)  # at the end of the dictionary: its order is that of the turns
        self._turns[nid] = self.turn
