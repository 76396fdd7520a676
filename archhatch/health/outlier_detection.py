"""Passive outlier detection: the health of one replica, judged by the outcomes of its requests and those of its peers.

The scheme is that of outlier detection in proxies (ejection for a growing time, a bound on how many are ejected), on
failure ratios that decay with each outcome and with time.
"""

from __future__ import annotations

from .health_state import EJECTED, HEALTHY, SUSPECT, HealthState, RequestOutcome

DECAY_PER_OUTCOME = 0.9  # of the earlier outcomes' weight stays with each new one: about the last ten count
DECAY_EJECTIONS = 4  # after so many first ejection times, outcomes weigh half
DECAY = 0.5
MIN_WEIGHT = 1.0  # of outcomes, from which a peer counts in the mean of the peers
PRIOR_SUCCESSES = 3.0  # successes that each replica is credited with: few outcomes prove little
NEGLIGIBLE_WEIGHT = 0.01  # failures that weigh less are as good as none
SUSPECT_RATIO = 0.15  # ratio of failures from which a replica is suspect
CLEARED_TRIAL_RATIO = SUSPECT_RATIO / 4  # below it a replica is healthy again though it has not finished its trials
EJECT_RATIO = 0.3  # ratio of failures from which a replica is ejected, if its peers do better
OUTLIER_FACTOR = 1.5  # ... by this factor: where all fail as often, the fault is not the replica's
MAX_EJECTED_ONE_IN = 3  # no more than one replica in so many is ejected for its failures at once
TRIALS_AFTER_EJECTION = 5  # requests that a replica must serve after an ejection
FAILURES_AFTER_TRIALS = 0.3  # weight of failures that is still held against a replica that did
MAX_EJECTION_FACTOR = 8  # the longest ejection, as a multiple of the first one

# Outcomes as plain strings, as callers give them: comparing those is the fastest, and is done for each request.
SERVED = RequestOutcome.SERVED.value
LATE = RequestOutcome.LATE.value
FAILED = RequestOutcome.FAILED.value
UNREACHABLE = RequestOutcome.UNREACHABLE.value
OVERLOADED = RequestOutcome.OVERLOADED.value

# How much of a failure an outcome is. A replica that is always late must not reach EJECT_RATIO by that alone: it is
# used less, not ejected.
FAILURE_WEIGHTS: dict[str, float] = {
    SERVED: 0.0,
    LATE: 0.35,
    FAILED: 1.0,
    UNREACHABLE: 1.0,
}


class PeerStatistics:
    """The replicas of one service together: how often they fail, and which of them are ejected.

    Attributes:
        members: The health of each replica.
        ejected: Those that are ejected for their failures. One that is ejected because it could not be reached is not
            among them.

    >>> peers = PeerStatistics(); one, two, three = (ReplicaHealth(peers) for _ in range(3))
    >>> peers.can_eject(one), peers.mean_failure_ratio(one, 0.0)
    (True, 0.0)
    """

    def __init__(self) -> None:
        self.members: set[ReplicaHealth] = set()
        self.ejected: set[ReplicaHealth] = set()

    def mean_failure_ratio(self, excluded: ReplicaHealth, now: float) -> float:
        """Returns the mean failure ratio of all replicas but one, as far as their outcomes are known.

        Takes time by the number of replicas; it is asked only when one may be ejected.
        """
        ratios = [
            member.failure_ratio(now)
            for member in self.members
            if member is not excluded and member.successes + member.failures >= MIN_WEIGHT
        ]
        return sum(ratios) / len(ratios) if ratios else 0.0

    def can_eject(self, replica: ReplicaHealth) -> bool:
        """Whether a replica may be ejected for its failures, or is."""
        return replica in self.ejected or (len(self.ejected) + 1) * MAX_EJECTED_ONE_IN <= len(self.members)

    def remove(self, replica: ReplicaHealth) -> None:
        """Removes a replica that has left."""
        self.members.discard(replica)
        self.ejected.discard(replica)


class ReplicaHealth:
    """The health of one replica, as one node sees it.

    Outcomes are weighed: one failure among many successes only raises the failure ratio. Heartbeats and health checks
    are hints, which never undo what outcomes showed.

    Attributes:
        state: The state at the last update; `update` takes account of time.
        ejected_until: When the ejection ends, in seconds of the monotonic clock.
        ejection_s: How long the last ejection was; the next one is longer.
        peers: The replicas of the same service.
        successes: The decayed weight of successes.
        failures: The decayed weight of failures.
        decayed_at: The time up to which these have decayed.
        half_life_s: The time after which they weigh half.
        trials_left: Requests that the replica must still serve after an ejection.

    >>> health = ReplicaHealth(); health.record("faulted", 0.0, 1.0).value; health.record("faulted", 0.0, 1.0).value
    'suspect'
    'ejected'
    """

    __slots__ = (
        "__weakref__",
        "decayed_at",
        "ejected_until",
        "ejection_s",
        "failures",
        "half_life_s",
        "peers",
        "state",
        "successes",
        "trials_left",
    )

    def __init__(self, peers: PeerStatistics | None = None) -> None:
        self.state: HealthState = HEALTHY
        self.ejected_until = 0.0
        self.ejection_s = 0.0
        self.peers = peers
        self.successes = 0.0
        self.failures = 0.0
        self.decayed_at = 0.0
        self.half_life_s = 1.0
        self.trials_left = 0
        if peers is not None:
            peers.members.add(self)

    def failure_ratio(self, now: float) -> float:
        """Returns the recent ratio of failures; the fewer and older the outcomes, the closer it is to 0.

        >>> ReplicaHealth().failure_ratio(0.0)
        0.0
        """
        if self.failures < NEGLIGIBLE_WEIGHT:
            return 0.0
        self._decay(now)
        return self.failures / (self.successes + self.failures + PRIOR_SUCCESSES)

    def record(self, outcome: str, now: float, first_ejection_s: float) -> HealthState:
        """Records the outcome of a request.

        Args:
            outcome: A value of RequestOutcome.
            now: The monotonic clock.
            first_ejection_s: How long a first ejection lasts, in seconds.

        Returns:
            The state after it.
        """
        if outcome == OVERLOADED:
            return self.update(now)
        self.half_life_s = DECAY_EJECTIONS * first_ejection_s
        self._decay(now)
        weight = FAILURE_WEIGHTS[outcome]
        self.successes = self.successes * DECAY_PER_OUTCOME + 1.0 - weight
        self.failures = self.failures * DECAY_PER_OUTCOME + weight
        state = self.update(now)
        if outcome == UNREACHABLE:
            if state is not EJECTED:
                self._eject(now, first_ejection_s)
        elif outcome == FAILED:
            self._record_failure(state, now, first_ejection_s)
        elif outcome == LATE:
            if state is not EJECTED and self.failure_ratio(now) >= SUSPECT_RATIO:
                self.state = SUSPECT
        else:
            self._record_success(state, now)
        return self.state

    def _record_failure(self, state: HealthState, now: float, first_ejection_s: float) -> None:
        if state is EJECTED:
            return  # the request was sent before the ejection began, so it says nothing new
        ratio = self.failure_ratio(now)
        if (ratio >= EJECT_RATIO or self.trials_left) and self._is_outlier(ratio, now):
            self._eject(now, first_ejection_s)
            if self.peers is not None:
                self.peers.ejected.add(self)
        elif ratio >= SUSPECT_RATIO:
            self.state = SUSPECT

    def _is_outlier(self, ratio: float, now: float) -> bool:
        """Whether the replica fails more than its peers, and one more of them may be ejected."""
        if self.peers is None:
            return True
        return self.peers.can_eject(self) and ratio >= OUTLIER_FACTOR * self.peers.mean_failure_ratio(self, now)

    def _record_success(self, state: HealthState, now: float) -> None:
        if state is EJECTED:
            if self.failure_ratio(now) >= EJECT_RATIO:
                return
            self._end_ejection()  # it was ejected because it could not be reached, and it answers
        if self.state is SUSPECT and self.trials_left:
            self.trials_left -= 1
            if not self.trials_left:
                self.failures = min(self.failures, FAILURES_AFTER_TRIALS)
        if self.state is SUSPECT and not self.trials_left and self.failure_ratio(now) < SUSPECT_RATIO:
            self._clear()

    def update(self, now: float) -> HealthState:
        """Takes account of the time, and returns the state.

        An ejection that is over leaves the replica suspect, until it has served its trials or enough time has passed.
        """
        if self.state is HEALTHY:
            return self.state
        if self.state is EJECTED:
            if now >= self.ejected_until:
                self._end_ejection()
        elif self.failure_ratio(now) < (CLEARED_TRIAL_RATIO if self.trials_left else SUSPECT_RATIO):
            self._clear()
        return self.state

    def hint_recovery(self) -> None:
        """Takes account of heartbeats that came back: ends an ejection for want of contact, but none for failures.

        >>> health = ReplicaHealth(); health.record("vanished", 0.0, 9.0).value
        'ejected'
        >>> health.hint_recovery(); health.state.value
        'suspect'
        """
        if self.state is not EJECTED or self.failure_ratio(self.decayed_at) >= EJECT_RATIO:
            return
        if self.peers is None or self not in self.peers.ejected:
            self._end_ejection()

    def _end_ejection(self) -> None:
        self.state = SUSPECT
        self.ejected_until = 0.0
        self.trials_left = TRIALS_AFTER_EJECTION
        if self.peers is not None:
            self.peers.ejected.discard(self)

    def _clear(self) -> None:
        self.state = HEALTHY
        self.trials_left = 0
        self.ejection_s /= 2  # a replica that fails by turns is ejected for longer than one that failed once

    def _eject(self, now: float, first_ejection_s: float) -> None:
        self.state = EJECTED
        self.ejection_s = min(MAX_EJECTION_FACTOR * first_ejection_s, max(first_ejection_s, self.ejection_s * 2))
        self.ejected_until = now + self.ejection_s
        self.trials_left = 0

    def _decay(self, now: float) -> None:
        if now > self.decayed_at:
            factor = DECAY ** ((now - self.decayed_at) / self.half_life_s)
            self.successes *= factor
            self.failures *= factor
            self.decayed_at = now
