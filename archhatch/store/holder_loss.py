"""For how long the holder of each run's lease has been lost: gone, or in touch but leading nothing."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from .messages import RunLease

if TYPE_CHECKING:
    from ..runtime import Clock, Settings
    from .membership import Membership

IDLE_CONTACT_FRACTION = 1.0  # of ContactMs: a holder that made no progress for so long leads nothing
UNLED_CONTACT_FRACTION = 1 / 3  # of ContactMs: so long may a holder in touch take to begin, or to give its lease back


class HolderLossHost(Protocol):
    """What the tracker uses of its store."""

    clock: Clock
    settings: Settings
    membership: Membership

    @property
    def id(self) -> str:
        """The store's id."""

    def members(self) -> dict:
        """All stores of the membership."""

    def alive(self, store_id: str) -> bool:
        """Whether a store is in touch."""


class HolderLossTracker:
    """Notes since when each run's holder seems lost."""

    def __init__(self, store: HolderLossHost) -> None:
        self.store = store
        self._members: dict = {}  # as of the present round, so that it is read once for all runs
        self._lost_since: dict[str, tuple[RunLease | None, float]] = {}  # run -> its lease, since when it seems lost

    def begin_round(self, members: dict) -> None:
        """Begins a round of observations.

        Args:
            members: All stores of the membership.
        """
        self._members = members

    def clear(self, run: str) -> None:
        """Forgets a run whose holder leads it."""
        self._lost_since.pop(run, None)

    def observe(self, run: str, lease: RunLease | None) -> float | None:
        """Takes a look at a run's holder.

        Args:
            run: The run.
            lease: Its lease, if there is one.

        Returns:
            For how many seconds the holder has been lost, beyond what is borne; None if it leads.
        """
        now = self.store.clock.now()
        grace_s = self._grace_s(run, lease)
        if grace_s is None:
            self.clear(run)
            return None
        known_lease, since = self._lost_since.get(run, (None, now))
        if run not in self._lost_since or known_lease != lease:
            since = now
            self._lost_since[run] = (lease, since)
        lost_s = now - since - grace_s
        return lost_s if lost_s >= 0 else None

    def _grace_s(self, run: str, lease: RunLease | None) -> float | None:
        """How long the present trouble of a holder is borne; None if there is none."""
        store = self.store
        if lease is None or lease.holder_id == store.id:
            return 0.0
        member = self._members.get(lease.holder_id)
        if member is None or member["state"] != "active" or not store.alive(lease.holder_id):
            return 0.0
        status = store.membership.statuses.get(lease.holder_id)
        if status is None or status.led_runs is None:
            return None
        led_run = status.led_runs.get(run)
        if led_run is None or led_run.term < lease.term:
            return store.settings.seconds("ContactMs", UNLED_CONTACT_FRACTION)
        is_idle = led_run.idle_s >= store.settings.seconds("ContactMs", IDLE_CONTACT_FRACTION)
        return 0.0 if is_idle else None
