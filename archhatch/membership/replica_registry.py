"""The roll of replicas, folded from their beats: kept in memory, spread among control nodes without a sync."""

from __future__ import annotations

KEEP_GONE = 90.0
RANK = {"up": 0, "draining": 1, "gone": 2}


class ReplicaRegistry:
    """Replicas by id, each with the turn of its last change that matters to others.

    >>> r = ReplicaRegistry(); r.record_heartbeat({"id": "a", "seq": 2, "state": "up"}, 0.0)
    True
    >>> r.record_heartbeat({"id": "a", "seq": 1, "state": "up"}, 1.0)
    False
    """

    def __init__(self):
        self.replicas: dict[str, dict] = {}
        self.last_heard: dict[str, float] = {}
        self.turns: dict[str, int] = {}
        self.version = 0
        self.beat_turns: dict[str, int] = {}
        self.heartbeat_version = 0
        self.told_turns: dict[str, int] = {}  # the beat turn of the last beat that said more than 'still here'

    def record_heartbeat(self, entry: dict, now: float) -> bool:
        """Fold one beat, or the word of another node about one; False if it is late."""
        rid = entry["id"]
        old = self.replicas.get(rid)
        if old is not None:
            if RANK[old["state"]] > RANK[entry["state"]]:
                return False
            if RANK[old["state"]] == RANK[entry["state"]] and entry["seq"] <= old["seq"]:
                return False
            if entry["state"] == "gone":
                entry = {**old, "state": "gone", "seq": max(old["seq"], entry["seq"])}
        self.replicas[rid] = entry
        self.last_heard[rid] = max(now, self.last_heard.get(rid, now))
        self.heartbeat_version += 1
        self.beat_turns.pop(rid, None)  # at the end of the dictionary: its order is that of the turns
        self.beat_turns[rid] = self.heartbeat_version
        if old is None or {**old, "seq": 0} != {**entry, "seq": 0}:
            self._turn(rid)
            self.told_turns[rid] = self.heartbeat_version
        return True

    def _turn(self, rid: str) -> None:
        self.version += 1
        self.turns.pop(rid, None)
        self.turns[rid] = self.version

    def sweep(self, now: float, quiet_s: float) -> bool:
        """Mark replicas that fell silent or spoke again, drop those long gone; True if any changed."""
        did = False
        for rid, entry in list(self.replicas.items()):
            age = now - self.last_heard[rid]
            if age > KEEP_GONE and (entry["state"] == "gone" or age > 4 * KEEP_GONE):
                for d in (self.replicas, self.last_heard, self.turns, self.beat_turns, self.told_turns):
                    d.pop(rid, None)
                continue
            silent = age > quiet_s
            if entry.get("silent", False) != silent:
                self.replicas[rid] = {**entry, "silent": silent}
                self._turn(rid)
                did = True
        return did

    def changes_since(self, turn: int) -> list[dict]:
        """Entries that changed after a turn, the oldest change first; costs by these, not by all.

        >>> r = ReplicaRegistry(); r.changes_since(0)
        []
        """
        return [self.replicas[r] for r in later(self.turns, turn)]

    def heartbeats_since(self, turn: int, now: float) -> list[dict]:
        """What was heard after a beat turn, each with its age, for a control node that was told all up to it.

        A beat that says nothing new is told as its id and number alone.

        >>> r = ReplicaRegistry(); r.heartbeats_since(0, 1.0)
        []
        """
        out = []
        for rid in later(self.beat_turns, turn):
            entry, age = self.replicas[rid], now - self.last_heard[rid]
            if self.told_turns.get(rid, 0) > turn:
                out.append({**entry, "age": age})
            else:
                out.append({"id": rid, "seq": entry["seq"], "age": age})
        return out

    def expand(self, entry: dict) -> dict | None:
        """An entry told by another control node, with what its short form left out; None if that is not known here.

        >>> r = ReplicaRegistry(); r.expand({"id": "a", "seq": 2}) is None
        True
        """
        if "state" in entry:
            return entry
        old = self.replicas.get(entry["id"])
        return None if old is None else {**old, **entry}


def later(turns: dict, turn: int) -> list:
    """Keys of a dictionary in the order of its values, that have a value over turn.

    >>> later({"a": 1, "b": 2, "c": 3}, 1)
    ['b', 'c']
    """
    out = []
    for key in reversed(turns):
        if turns[key] <= turn:
            break
        out.append(key)
    out.reverse()
    return out
