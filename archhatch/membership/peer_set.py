"""The nodes of one kind that this node watches, and when each was last heard."""

from __future__ import annotations

from typing import NotRequired, TypedDict

from .change_order import changed_after

MIN_STEP_S = 1e-9  # even without a step, a sighting is reported only if it is later than the last reported one
NEVER = float("-inf")


class NodeCard(TypedDict):
    """What a node says of itself; the keys are those on the wire. Stays a dictionary, since it is spread as it came.

    Attributes:
        id: The node's id; a restarted node has a new one.
        klass: Its kind: "core", "store" or "edge".
        name: Its name in the settings.
        ip: Its IP address.
        addr: Its address for calls between nodes, as IP:PORT.
        zone: Its zone; empty if it has none.
        life: The incarnation of its process.
        no: Its number in the order of joining, if it is a store that was a member before.
    """

    id: str
    klass: NotRequired[str]
    name: NotRequired[str]
    ip: NotRequired[str]
    addr: NotRequired[str]
    zone: NotRequired[str]
    life: NotRequired[str]
    no: NotRequired[str]


class PeerSet:
    """Cards of nodes by id, with the time that each was last heard.

    A sighting is reported to others only if it is at least `step_s` later than the last reported one: otherwise two
    nodes that report a third one to each other would never come to rest.

    Attributes:
        step_s: The least time between two reported sightings of a node, in seconds.
        cards: The card of each node, by id.
        last_heard: When each was last heard, here or by another node, in seconds of the monotonic clock.
        version: The number of changes that are reported to others.

    >>> peers = PeerSet(); peers.record_contact({"id": "a", "ip": "1"}, 5.0); peers.silence_s("a", 7.0)
    2.0
    """

    def __init__(self, step_s: float = 0.0) -> None:
        self.step_s = step_s
        self.cards: dict[str, NodeCard] = {}
        self.last_heard: dict[str, float] = {}
        self.version = 0
        self._versions: dict[str, int] = {}  # in the order of the versions, for changed_after
        self._card_versions: dict[str, int] = {}
        self._reported: dict[str, float] = {}  # when the last sighting that is reported took place

    def record_contact(self, card: NodeCard, now: float) -> None:
        """Records that a node itself was in contact with this one."""
        self.update_card(card)
        self.record_sighting(card["id"], now)

    def record_sighting(self, node_id: str, now: float) -> bool:
        """Records that a node was in contact with this one or another; returns False if the node is not known."""
        if node_id not in self.cards:
            return False
        self.last_heard[node_id] = max(now, self.last_heard.get(node_id, now))
        reported = self._reported.get(node_id)
        if reported is None or now - reported >= max(self.step_s, MIN_STEP_S):
            self._reported[node_id] = now
            self._record_change(node_id)
        return True

    def update_card(self, card: NodeCard) -> None:
        """Records the card of a node, which another node may have sent."""
        node_id = card["id"]
        if self.cards.get(node_id) != card:
            self.cards[node_id] = card
            self._record_change(node_id)
            self._card_versions[node_id] = self.version

    def changes_since(self, version: int, now: float) -> list[list]:
        """Returns what changed after a version, for a node that has everything up to it.

        Returns:
            Rows [card, seconds since the node was heard], in the form of the wire. The id alone takes the place of a
            card that did not change.

        >>> peers = PeerSet(); peers.record_contact({"id": "a"}, 5.0); first = peers.changes_since(0, 6.0)
        >>> peers.record_contact({"id": "a"}, 7.0)
        >>> first, peers.changes_since(1, 8.0), peers.changes_since(2, 8.0), peers.changes_since(peers.version, 8.0)
        ([[{'id': 'a'}, 1.0]], [['a', 1.0]], [['a', 1.0]], [])
        """
        rows = []
        for node_id in changed_after(self._versions, version):
            if node_id not in self.last_heard:
                continue
            has_new_card = self._card_versions[node_id] > version
            rows.append([self.cards[node_id] if has_new_card else node_id, self.silence_s(node_id, now)])
        return rows

    def silence_s(self, node_id: str, now: float) -> float:
        """Returns the seconds since a node was heard; infinity if it never was."""
        return now - self.last_heard.get(node_id, NEVER)

    def forget(self, node_id: str) -> None:
        """Removes a node that has left."""
        self.cards.pop(node_id, None)
        for times in (self.last_heard, self._reported):
            times.pop(node_id, None)
        for versions in (self._versions, self._card_versions):
            versions.pop(node_id, None)

    def _record_change(self, node_id: str) -> None:
        self.version += 1
        self._versions.pop(node_id, None)
        self._versions[node_id] = self.version
