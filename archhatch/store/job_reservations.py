"""Room for the bodies of large jobs on their way to this store: an edge asks for it before it sends one.

A body stands in memory several times while it is received, checked and copied to other stores: large ones take turns.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

RESERVED_S = 3.0  # for so long room is kept for a body that does not come


@dataclass(slots=True, eq=False)
class JobReservation:
    """Room for one copy of a job's body.

    Attributes:
        job_id: The job.
        size: The room in bytes.
        expires_at: Until when it is kept, on the steady clock; for ever once the body has come.
        claim: Names the submission that it is for; empty if it has no name.
    """

    job_id: str
    size: int
    expires_at: float
    claim: str = ""

    @property
    def is_awaited(self) -> bool:
        """Whether the body has not come yet."""
        return self.expires_at < math.inf


class JobReservations:
    """Keeps room for the bodies of jobs, each copy of one by itself: several edges may send the same job.

    >>> reservations = JobReservations(capacity_bytes=100)
    >>> [reservations.reserve(job_id, 60, 0.0) for job_id in ("a", "b", "a")], reservations.reserve("b", 60, 3.0)
    ([True, False, False], True)
    """

    def __init__(self, capacity_bytes: int) -> None:
        self._capacity_bytes = capacity_bytes
        self._reservations: list[JobReservation] = []

    @property
    def reserved_bytes(self) -> int:
        """How much room is kept."""
        return sum(reservation.size for reservation in self._reservations)

    def reserve(self, job_id: str, size: int, now: float, claim: str = "") -> bool:
        """Returns whether there is room for a job's body, and keeps it; one that needs all of it has it for itself.

        Args:
            job_id: The job.
            size: The length of its body.
            now: The steady clock.
            claim: Names the submission that asks. One that asks again, as it got no answer, has the same room.
        """
        for reservation in self._reservations:
            if claim and reservation.claim == claim and reservation.is_awaited:
                reservation.expires_at = now + RESERVED_S
                return True
        return self._reserve(job_id, size, now, claim) is not None

    def leaves_room_for(self, size: int, now: float) -> bool:
        """Returns whether a body of another kind may come beside those that room is kept for here."""
        kept = sum(reservation.size for reservation in self._reservations if reservation.expires_at > now)
        return not kept or kept + size <= self._capacity_bytes

    def cancel(self, claim: str) -> None:
        """Gives back the room of a submission whose body will not be sent."""
        self._reservations = [held for held in self._reservations if held.claim != claim or not held.is_awaited]

    def _reserve(self, job_id: str, size: int, now: float, claim: str = "") -> JobReservation | None:
        self._reservations = [reservation for reservation in self._reservations if reservation.expires_at > now]
        needed = min(size, self._capacity_bytes)
        if self.reserved_bytes + needed > self._capacity_bytes:
            return None
        reservation = JobReservation(job_id, needed, now + RESERVED_S, claim)
        self._reservations.append(reservation)
        return reservation

    def begin(self, job_id: str, size: int, now: float) -> JobReservation | None:
        """Keeps the room of a body that has come until it is released; returns it.

        A body for which no room is kept, or no more, needs it now: None if there is none.
        """
        waiting = (held for held in self._reservations if held.job_id == job_id and held.is_awaited)
        reservation = next(waiting, None) or self._reserve(job_id, size, now)
        if reservation is not None:
            reservation.expires_at = math.inf
        return reservation

    def release(self, reservation: JobReservation) -> None:
        """Gives room back."""
        self._reservations.remove(reservation)
