"""How a process divides the memory of its machine among what it holds for others."""

from __future__ import annotations

import sys
from dataclasses import dataclass

BYTES_PER_MB = 1_000_000
RESTING_BYTES = 60_000_000  # the program, its libraries and its view of the deployment
MIN_SHARE_FOR_OTHERS = 0.25  # of MemoryMb, on a machine that the program itself nearly fills

# Shares of what is left beside the program. The one for large bodies holds the largest body of the default MaxBodyBytes
# from a MemoryMb of 160 on.
CONNECTIONS_SHARE = 0.24
SMALL_BODIES_SHARE = 0.14
LARGE_BODIES_SHARE = 0.37
LARGE_ANSWERS_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class MemoryShares:
    """How many bytes a process may hold of each kind.

    >>> MemoryShares.of(160).large_bodies
    37000000

    Attributes:
        connections: Connections of clients, what was read of them and not served yet, and what they have not taken.
        small_bodies: Bodies of requests up to SMALL_BODY_BYTES (http_server).
        large_bodies: Longer ones.
        large_answers: Answers of replicas that are longer than that.
    """

    connections: int
    small_bodies: int
    large_bodies: int
    large_answers: int

    @classmethod
    def of(cls, memory_mb: int) -> MemoryShares:
        """Returns the shares of a process.

        Args:
            memory_mb: What the process may use; 0 for no limit.
        """
        if not memory_mb:
            return cls(sys.maxsize, sys.maxsize, sys.maxsize, sys.maxsize)
        memory_bytes = memory_mb * BYTES_PER_MB
        for_others = max(memory_bytes - RESTING_BYTES, int(memory_bytes * MIN_SHARE_FOR_OTHERS))
        return cls(
            connections=int(for_others * CONNECTIONS_SHARE),
            small_bodies=int(for_others * SMALL_BODIES_SHARE),
            large_bodies=int(for_others * LARGE_BODIES_SHARE),
            large_answers=int(for_others * LARGE_ANSWERS_SHARE),
        )
