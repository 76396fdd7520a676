"""The roll of replicas, folded from their beats: kept in memory, spread among control nodes without a sync."""
from __future__ import annotations

KEEP_GONE = 90.0
RANK = {"up": 0, "draining": 1, "gone": 2}


class Roll:
    """Replicas by id, each with the turn of its last change that matters to others.

    >>> r = Roll(); r.beat({"id": "a", "seq": 2, "state": "up"}, 0.0); r.beat({"id": "a", "seq": 1, "state": "up"}, 1.0)
    True
    False
    """

    def __init__(self):
        self.all: dict[str, dict] = {}
        self.heard: dict[str, float] = {}
        self.turns: dict[str, int] = {}
        self.turn = 0
        self.beat_turns: dict[str, int] = {}
        self.beat_turn = 0

    def beat(self, ent: dict, now: float) -> bool:
        """Fold one beat, or the word of another node about one; False if it is late."""
        rid = ent["id"]
        old = self.all.get(rid)
        if old is not None:
            if RANK[old["state"]] > RANK[ent["state"]]:
                return False
            if RANK[old["state"]] == RANK[ent["state"]] and ent["seq"] <= old["seq"]:
                return False
            if ent["state"] == "gone":
                ent = {**old, "state": "gone", "seq": max(old["seq"], ent["seq"])}
        self.all[rid] = ent
        self.heard[rid] = max(now, self.heard.get(rid, now))
        self.beat_turn += 1
        self.beat_turns[rid] = self.beat_turn
        if old is None or {**old, "seq": 0} != {**ent, "seq": 0}:
            self._turn(rid)
        return True

    def _turn(self, rid: str) -> None:
        self.turn += 1
        self.turns[rid] = self.turn

    def sweep(self, now: float, quiet_s: float) -> bool:
        """Mark replicas that fell silent or spoke again, drop those long gone; True if any changed."""
        did = False
        for rid, ent in list(self.all.items()):
            age = now - self.heard[rid]
            if age > KEEP_GONE and (ent["state"] == "gone" or age > 4 * KEEP_GONE):
                for d in (self.all, self.heard, self.turns, self.beat_turns):
                    d.pop(rid, None)
                continue
            silent = age > quiet_s
            if ent.get("silent", False) != silent:
                self.all[rid] = {**ent, "silent": silent}
                self._turn(rid)
                did = True
        return did

    def since(self, turn: int) -> list[dict]:
        """Entries that changed after a turn."""
        return [self.all[r] for r, t in self.turns.items() if t > turn]

    def beats_since(self, turn: int, now: float) -> list[dict]:
        """Entries heard after a beat turn, each with its age, for the other control nodes."""
        return [{**self.all[r], "age": now - self.heard[r]} for r, t in self.beat_turns.items() if t > turn]
