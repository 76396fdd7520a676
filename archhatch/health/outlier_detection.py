"""Outlier detection: the health of one replica, judged by what its answers showed against its peers."""

from __future__ import annotations

from transitions import Machine

STATES = ["fit", "doubtful", "resting"]
MOVES = [
    {"trigger": "cleared", "source": ["fit", "doubtful"], "dest": "fit"},
    {"trigger": "worsened", "source": ["fit", "doubtful"], "dest": "doubtful"},
    {"trigger": "ejected", "source": "*", "dest": "resting"},
    {"trigger": "rested", "source": "resting", "dest": "doubtful"},
]

KEEP = 0.9  # of what was known stays with each new result: about the last ten count
KNOWN = 1.0  # results from which a peer counts as a measure
PRIOR = 3.0  # results that a replica is taken to have served unseen: few results prove little
DOUBT = 0.15  # share of failures from which a replica is in doubt
EJECT = 0.3  # ... and from which it is ejected, if its peers do better
AGAINST = 1.5  # ... by this: where all fail as often, the fault is not the replica's
MOST_OUT = 3  # one replica in so many may be ejected for its results at once, no more
TRIALS = 5  # requests in a row that a replica must serve after a rest
PARDON = 0.3  # failures that are still held against one that did
HALF_RESTS = 4  # what was seen counts half after so many rests
LONGEST = 8  # the longest rest, in first rests
RESULTS = {"served": 0.0, "late": 0.35, "faulted": 1.0, "vanished": 1.0}  # how far a result is a failure: one that is
# always late must not reach EJECT by that alone: it is used less, not thrown out


class PeerStatistics:
    """The replicas of one service together: how often they fail, and which of them are ejected.

    >>> p = PeerStatistics(); a, b, c = (ReplicaHealth(p) for _ in range(3)); p.room(a), p.share(a, 0.0)
    (True, 0.0)
    """

    def __init__(self):
        self.members: set = set()
        self.out: set = set()

    def share(self, one, now: float) -> float:
        """The mean share of failures of the others of whom something is known. Asked only when one may be ejected."""
        known = [m.share(now) for m in self.members if m is not one and m.good + m.bad >= KNOWN]
        return sum(known) / len(known) if known else 0.0

    def room(self, one) -> bool:
        """Whether one more may be ejected for its results."""
        return one in self.out or (len(self.out) + 1) * MOST_OUT <= len(self.members)

    def leave(self, one) -> None:
        """A replica is gone."""
        self.members.discard(one)
        self.out.discard(one)


class ReplicaHealth:
    """fit: sends go there. doubtful: fewer, or after a rest a few as trials. resting: none until a while has passed.

    Results are weighed: one failure among many successes only raises the share of failures. Beats and health answers
    are hints, which never undo what results showed.

    >>> f = ReplicaHealth(); f.note("faulted", 0.0, 1.0); f.note("faulted", 0.0, 1.0)
    'doubtful'
    'resting'
    """

    __slots__ = ("state", "until", "pause", "peers", "good", "bad", "at", "half_s", "trials", "__weakref__")

    def __init__(self, peers: PeerStatistics | None = None):
        self.state = "fit"
        self.until = 0.0
        self.pause = 0.0
        self.peers = peers
        self.good = self.bad = 0.0
        self.at, self.half_s = 0.0, 1.0
        self.trials = 0  # successes that are still wanted after a rest
        if peers is not None:
            peers.members.add(self)

    def share(self, now: float) -> float:
        """The share of failures, lately; the fewer and older the results, the less they say.

        >>> ReplicaHealth().share(0.0)
        0.0
        """
        if self.bad < 0.01:
            return 0.0
        self._age(now)
        return self.bad / (self.good + self.bad + PRIOR)

    def note(self, what: str, now: float, rest_s: float) -> str:
        """Fold one result, give the state. served; late: another was faster; faulted: it failed; vanished: it was not
        to be reached, or is another life; shed: it was full, which is load and no result."""
        if what == "shed":
            return self.look(now)
        self.half_s = HALF_RESTS * rest_s
        self._age(now)
        bad = RESULTS[what]
        self.good, self.bad = self.good * KEEP + 1.0 - bad, self.bad * KEEP + bad
        state = self.look(now)
        if what == "vanished":
            if state != "resting":
                self._eject(now, rest_s)
        elif what == "faulted":
            self._failed(state, now, rest_s)
        elif what == "late":
            if state != "resting" and self.share(now) >= DOUBT:
                self._move("worsened")
        else:
            self._served(state, now)
        return self.state

    def _failed(self, state: str, now: float, rest_s: float) -> None:
        if state == "resting":
            return  # sent before the rest began: it says nothing new
        share = self.share(now)
        if (share >= EJECT or self.trials) and self._outlier(share, now):
            self._eject(now, rest_s)
            if self.peers is not None:
                self.peers.out.add(self)
        elif share >= DOUBT:
            self._move("worsened")

    def _outlier(self, share: float, now: float) -> bool:
        """Whether it fails more than its peers, and one more of them may be ejected."""
        if self.peers is None:
            return True
        return self.peers.room(self) and share >= AGAINST * self.peers.share(self, now)

    def _served(self, state: str, now: float) -> None:
        if state == "resting":
            if self.share(now) >= EJECT:
                return
            self._rested()  # it could not be reached, and is there
        if self.state == "doubtful" and self.trials:
            self.trials -= 1
            if not self.trials:
                self.bad = min(self.bad, PARDON)
        if self.state == "doubtful" and not self.trials and self.share(now) < DOUBT:
            self._clear()

    def look(self, now: float) -> str:
        """The state now; a rest that is over leaves a doubt, which trials or time undo."""
        if self.state == "fit":
            return self.state
        if self.state == "resting" and now >= self.until:
            self._rested()
        elif self.state == "doubtful" and self.share(now) < (DOUBT if not self.trials else DOUBT / 4):
            self._clear()
        return self.state

    def hint(self) -> None:
        """It beats again after a silence: a first rest for want of contact ends, one for bad results does not.

        >>> f = ReplicaHealth(); f.note("vanished", 0.0, 9.0); f.hint(); f.state
        'resting'
        'doubtful'
        """
        if (
            self.state == "resting"
            and self.share(self.at) < EJECT
            and (self.peers is None or self not in self.peers.out)
        ):
            self._rested()

    def _rested(self) -> None:
        self._move("rested")
        self.until, self.trials = 0.0, TRIALS
        if self.peers is not None:
            self.peers.out.discard(self)

    def _clear(self) -> None:
        self.trials = 0
        self.pause /= 2  # one that is ill by turns rests longer than one that was ill once
        self._move("cleared")

    def _eject(self, now: float, rest_s: float) -> None:
        self._move("ejected")
        self.pause = min(LONGEST * rest_s, max(rest_s, self.pause * 2))
        self.until, self.trials = now + self.pause, 0

    def _age(self, now: float) -> None:
        if now > self.at:
            keep = 0.5 ** ((now - self.at) / self.half_s)
            self.good, self.bad, self.at = self.good * keep, self.bad * keep, now

    def _move(self, trigger: str) -> None:
        _machine().dispatch_one(self, trigger)


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
                self.table[s, m["trigger"]] = m["dest"]

    def dispatch_one(self, model, trigger: str) -> None:
        model.state = self.table[model.state, trigger]


_ONE: list = []


def _machine() -> _Shared:
    if not _ONE:
        _ONE.append(_Shared())
    return _ONE[0]
