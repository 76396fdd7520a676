"""What clients of one HTTP server may make it hold: bodies, connections, and how long it waits for either."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from dataclasses import dataclass

from ..memory import MemoryPool, MemoryShares
from ..runtime import Counters

# Of one connection with a request: aiohttp's objects, the request's head, its task and its way to a replica.
CONNECTION_BYTES = 20 << 10
SMALL_BODY_BYTES = 64 << 10  # bodies up to this length have a part of the memory for themselves
RESERVED_FDS = 200  # of MaxFds: files outside of the data folder
OTHER_FDS_SHARE = 0.25  # of MaxFds: for replicas, other nodes and the other listeners
MIN_CONNECTIONS = 16
PROBE_CONNECTIONS = 128  # of an address that only the platform calls
BODY_WAIT_S = 5.0  # how long a request may wait for memory
BODY_STALL_TIMEOUT_S = 30.0  # a body of which nothing comes for so long is given up
ANSWER_STALL_TIMEOUT_S = 30.0  # a client that takes nothing for so long is given up


@dataclass(frozen=True, slots=True)
class BodyTerms:
    """On what terms a request's body is read.

    Attributes:
        wait_s: How long it may wait for memory.
        cost_ratio: Memory that a body takes to its length, with what is made of it.
        max_bytes: The longest body; None for that of the configuration.
    """

    wait_s: float = BODY_WAIT_S
    cost_ratio: float = 1.0
    max_bytes: int | None = None


@dataclass(frozen=True, slots=True)
class ConnectionBounds:
    """How many connections a server keeps.

    Attributes:
        count: How many at most.
        held_bytes: How many bytes they may take together.
    """

    count: int = sys.maxsize
    held_bytes: int = sys.maxsize

    @classmethod
    def of(cls, shares: MemoryShares, max_fds: int) -> ConnectionBounds:
        """Returns the bounds that follow from a process's memory and descriptors.

        >>> ConnectionBounds.of(MemoryShares.of(160), 512).count
        184
        """
        count = max_fds - RESERVED_FDS - int(max_fds * OTHER_FDS_SHARE)
        return cls(max(MIN_CONNECTIONS, count), shares.connections)

    def are_passed(self, count: int, more_bytes: int) -> bool:
        """Whether so many connections, with so many bytes beside their own, are too much."""
        return count > self.count or count * CONNECTION_BYTES + more_bytes > self.held_bytes


class ClientMemory:
    """The memory of an HTTP server's clients.

    Attributes:
        small_bodies: For bodies up to SMALL_BODY_BYTES, so that longer ones do not keep them out.
        large_bodies: For the others.
        connections: The bounds of its connections.
    """

    def __init__(
        self,
        shares: MemoryShares,
        connections: ConnectionBounds,
        counters: Counters,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self.small_bodies = MemoryPool("small_bodies", shares.small_bodies, counters, now)
        self.large_bodies = MemoryPool("large_bodies", shares.large_bodies, counters, now)
        self.connections = connections

    def pools_at_their_bound(self) -> list[str]:
        """Returns the names of the pools for which requests wait at the moment."""
        return [pool.name for pool in (self.small_bodies, self.large_bodies) if pool.waiter_count]

    def held_bytes(self) -> dict[str, int]:
        """Returns how many bytes are held, by pool."""
        return {pool.name: pool.held_bytes for pool in (self.small_bodies, self.large_bodies)}

    @classmethod
    def of(cls, memory_mb: int, max_fds: int, counters: Counters) -> ClientMemory:
        """Returns the memory of the clients of a process with these limits."""
        shares = MemoryShares.of(memory_mb)
        return cls(shares, ConnectionBounds.of(shares, max_fds), counters)

    @classmethod
    def of_probes(cls, counters: Counters) -> ClientMemory:
        """Returns the memory of an address whose callers send no bodies."""
        return cls(MemoryShares(0, 0, 0, 0), ConnectionBounds(count=PROBE_CONNECTIONS), counters)
