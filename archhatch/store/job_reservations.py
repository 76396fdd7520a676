"""Room for the bodies of large jobs on their way to this store: an edge asks for it before it sends one.

A body stands in memory several times while it is received, checked and copied to other stores: large ones take turns.
"""

from __future__ import annotations

import math

RESERVED_S = 3.0  # for so long room is kept for a body that does not come


class JobReservations:
    """Keeps room for jobs by their ids.

    >>> reservations = JobReservations(capacity_bytes=100)
    >>> [reservations.reserve(job_id, 60, 0.0) for job_id in ("a", "b", "a")], reservations.reserve("b", 60, 3.0)
    ([True, False, True], True)
    """

    def __init__(self, capacity_bytes: int) -> None:
        self._capacity_bytes = capacity_bytes
        self._reserved: dict[str, tuple[int, float]] = {}  # bytes, and until when; by job

    def reserve(self, job_id: str, size: int, now: float) -> bool:
        """Returns whether there is room for a job's body, and keeps it; one that needs all of it has it for itself.

        Args:
            job_id: The job.
            size: The length of its body.
            now: The steady clock.
        """
        self._reserved = {other: held for other, held in self._reserved.items() if held[1] > now}
        needed = min(size, self._capacity_bytes)
        held_by_others = sum(held[0] for other, held in self._reserved.items() if other != job_id)
        if held_by_others + needed > self._capacity_bytes:
            return False
        self._reserved[job_id] = (needed, now + RESERVED_S)
        return True

    def begin(self, job_id: str) -> None:
        """Keeps the room of a job whose body has come until it is released."""
        held = self._reserved.get(job_id)
        if held is not None:
            self._reserved[job_id] = (held[0], math.inf)

    def release(self, job_id: str) -> None:
        """Gives the room of a job back."""
        self._reserved.pop(job_id, None)
