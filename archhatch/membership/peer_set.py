"""Nodes of the same kind that this one watches, and when each was last heard."""

from __future__ import annotations

from .replica_registry import later


class PeerSet:
    """Cards of nodes by id: ip, name, zone, and the time they were last heard.

    A sighting is told on to others only if it is at least `step_s` later than the last one that was: two nodes that
    tell each other of a third one would else never come to rest.

    >>> n = PeerSet(); n.record_contact({"id": "a", "ip": "1"}, 5.0); n.silence_s("a", 7.0)
    2.0
    """

    def __init__(self, step_s: float = 0.0):
        self.step_s = step_s
        self.cards: dict[str, dict] = {}
        self.last_heard: dict[str, float] = {}
        self.version = 0  # of the last sighting or card that is worth telling
        self._turns: dict[str, int] = {}  # in the order of the turns
        self._card_turns: dict[str, int] = {}
        self._told: dict[str, float] = {}  # the sighting that was last given a turn

    def record_contact(self, card: dict, now: float) -> None:
        """This node itself spoke."""
        self.update_card(card)
        self.record_sighting(card["id"], now)

    def record_sighting(self, nid: str, now: float) -> bool:
        """A known node spoke, here or to another; False if it is not known."""
        if nid not in self.cards:
            return False
        self.last_heard[nid] = max(now, self.last_heard.get(nid, now))
        told = self._told.get(nid)
        if told is None or now - told >= max(self.step_s, 1e-9):
            self._told[nid] = now
            self._turn(nid)
        return True

    def update_card(self, card: dict) -> None:
        """Another spoke of this node. A newer life at an address replaces the older one."""
        nid = card["id"]
        if self.cards.get(nid) != card:
            self.cards[nid] = card
            self._turn(nid)
            self._card_turns[nid] = self.version

    def changes_since(self, turn: int, now: float) -> list:
        """What was heard after a turn, for one that was told all up to it: [card, seconds ago] each, with the id
        alone in place of a card that has not changed since.

        >>> n = PeerSet(); n.record_contact({"id": "a"}, 5.0); first = n.changes_since(0, 6.0)
        >>> n.record_contact({"id": "a"}, 7.0)
        >>> first, n.changes_since(1, 8.0), n.changes_since(2, 8.0), n.changes_since(n.version, 8.0)
        ([[{'id': 'a'}, 1.0]], [['a', 1.0]], [['a', 1.0]], [])
        """
        rows = []
        for nid in later(self._turns, turn):
            word = self.cards[nid] if self._card_turns[nid] > turn else nid
            rows.append([word, self.silence_s(nid, now)])
        return [row for row in rows if row[1] != float("inf")]

    def silence_s(self, nid: str, now: float) -> float:
        """Seconds since a node was heard; for ever if it never was."""
        return now - self.last_heard.get(nid, float("-inf"))

    def forget(self, nid: str) -> None:
        """It is gone."""
        for table in (self.cards, self.last_heard, self._turns, self._card_turns, self._told):
            table.pop(nid, None)

    def _turn(self, nid: str) -> None:
        self.version += 1
        self._turns.pop(nid, None)  # at the end of the dictionary: its order is that of the turns
        self._turns[nid] = self.version
