"""The fitness of one replica, from what its answers showed."""
from __future__ import annotations

from transitions import Machine

STATES = ["fit", "doubtful", "resting"]
MOVES = [
    {"trigger": "served", "source": "*", "dest": "fit"},
    {"trigger": "faulted", "source": "fit", "dest": "doubtful"},
    {"trigger": "faulted", "source": ["doubtful", "resting"], "dest": "resting"},
    {"trigger": "vanished", "source": "*", "dest": "resting"},
    {"trigger": "rested", "source": "resting", "dest": "doubtful"},
    {"trigger": "rested", "source": ["fit", "doubtful"], "dest": "="},
]


class Fitness:
    """fit: sends go there. doubtful: others first. resting: none until a while has passed or it beats anew.

    >>> f = Fitness(); f.note("faulted", 0.0, 1.0); f.note("faulted", 0.0, 1.0); f.state
    'resting'
    """

    __slots__ = ("state", "until", "pause", "__dict__")

    def __init__(self):
        self.state = "fit"
        self.until = 0.0
        self.pause = 0.0

    def note(self, what: str, now: float, rest_s: float) -> str:
        """Fold one sign (served, faulted, vanished) and give the state; a rest doubles while nothing is served."""
        if what == "served":
            self.pause = 0.0
            if self.state == "fit":
                return self.state
        before = self.state
        _machine().dispatch_one(self, what)
        if self.state == "resting":
            self.pause = min(8 * rest_s, self.pause * 2 if self.pause else rest_s)
            self.until = now + self.pause
        elif before == "resting":
            self.until = 0.0
        return self.state

    def look(self, now: float) -> str:
        """The state now; a rest that is over leaves a doubt."""
        if self.state == "resting" and now >= self.until:
            _machine().dispatch_one(self, "rested")
        return self.state


class _Shared(Machine):
    """One machine for all replicas: its models come and go by the thousand."""

    def __init__(self):
        super().__init__(model=None, states=STATES, initial="fit", auto_transitions=False, send_event=False)
        self.table = {}
        for m in MOVES:
            src = STATES if m["source"] == "*" else m["source"]
            src = [src] if isinstance(src, str) else src
            self.add_transition(m["trigger"], src, m["dest"])
            for s in src:
                self.table[s, m["trigger"]] = s if m["dest"] == "=" else m["dest"]

    def dispatch_one(self, model, trigger: str) -> None:
        model.state = self.table[model.state, trigger]


_ONE: list = []


def _machine() -> _Shared:
    if not _ONE:
        _ONE.append(_Shared())
    return _ONE[0]
