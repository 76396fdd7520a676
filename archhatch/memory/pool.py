"""A bounded amount of memory that connections share: charges, waiting in turn, and giving way.

However many changes fall into a turn of the event loop, those that wait are served once behind it: a crowd of them
costs the turn one look.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections import deque
from collections.abc import Callable
from weakref import WeakValueDictionary

from ..exceptions import ArchhatchError
from ..runtime import Counters
from .decisions import PROGRESS_SHARE, Growing, Holding, can_all_grow, choose_to_give_way
from .waiting_line import WaitingLine

RECLAIM_S = 0.25  # between two looks at those that hold, while others wait

_KEYS = itertools.count(1)


class MemoryFullError(ArchhatchError):
    """There was no memory in time, or there is never enough for this."""


class Charge:
    """What one connection holds of a pool. It is given back once, by release() or when the last reference goes.

    Attributes:
        key: Identifies it; lower ones came earlier.
        peer: The address of the client that it is held for.
        held_bytes: How much is held.
        claim_bytes: The most that it may come to hold.
        progress_at: When its holder last made progress, in seconds on the pool's clock.
        bytes_at: When the last byte came or went for it.
    """

    __slots__ = (
        "key",
        "peer",
        "held_bytes",
        "claim_bytes",
        "progress_at",
        "bytes_at",
        "_pool",
        "_give_way",
        "_uncounted_bytes",
        "__weakref__",
    )

    def __init__(self, pool: MemoryPool, peer: str, claim_bytes: int, give_way: Callable[[], None] | None) -> None:
        self.key = next(_KEYS)
        self.peer = peer
        self.held_bytes = 0
        self.claim_bytes = claim_bytes
        self.progress_at = self.bytes_at = pool.now()
        self._pool: MemoryPool | None = pool
        self._give_way = give_way
        self._uncounted_bytes = 0  # since the last progress

    def __del__(self) -> None:
        if self._pool is not None:
            self._pool.take_back_soon(self)

    @property
    def pool(self) -> MemoryPool | None:
        """The pool that it is held of; None once it was given back."""
        return self._pool

    @property
    def may_give_way(self) -> bool:
        """Whether its holder may be ended for the sake of others."""
        return self._give_way is not None

    def note_bytes(self, count: int) -> None:
        """Notes bytes that came or went; enough of them are progress."""
        if self._pool is None:
            return
        self.bytes_at = self._pool.now()
        self._uncounted_bytes += count
        if self._uncounted_bytes >= self.held_bytes * PROGRESS_SHARE:
            self._uncounted_bytes = 0
            self.progress_at = self.bytes_at

    def give_way_by(self, give_way: Callable[[], None] | None) -> None:
        """Sets what ends its holder from now on; None if it must not be ended."""
        self._give_way = give_way
        if self._pool is not None:
            self.progress_at = self._pool.now()

    def give_way(self) -> None:
        """Ends its holder, which then releases it."""
        give_way, self._give_way = self._give_way, None
        if give_way is not None:
            give_way()

    def settle(self, held_bytes: int) -> None:
        """Ends its growth: it holds so much and will need no more."""
        if self._pool is not None:
            self._pool.settle(self, held_bytes)

    def release(self) -> None:
        """Gives all of it back."""
        pool, self._pool = self._pool, None
        self._give_way = None
        if pool is not None:
            pool.take_back(self)


class _Waiter:
    """One that waits for its charge to grow by some bytes."""

    __slots__ = ("charge", "more_bytes", "granted")

    def __init__(self, charge: Charge, more_bytes: int) -> None:
        self.charge, self.more_bytes = charge, more_bytes
        self.granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()


class MemoryPool:
    """Memory of one kind, bounded.

    Whoever asks waits in turn until there is room. Those that hold parts never wait for each other in vain: nothing is
    granted after which they could not all grow to their claims, one after the other (the banker's algorithm, in the
    order in which they came).

    Attributes:
        name: Its name in counters.
        capacity_bytes: How much can be held.
        now: The steady clock, in seconds.
    """

    def __init__(self, name: str, capacity_bytes: int, counters: Counters, now: Callable[[], float]) -> None:
        self.name, self.capacity_bytes, self.now = name, capacity_bytes, now
        self._held_bytes = 0
        self._counters = counters
        # weak, so that a charge that is dropped is given back
        self._charges: WeakValueDictionary[int, Charge] = WeakValueDictionary()
        self._growing: WeakValueDictionary[int, Charge] = WeakValueDictionary()  # those that hold less than their claim
        self._held_by_peer: dict[str, int] = {}
        self._granted_by_peer: dict[str, int] = {}  # since the first of those that wait now began to wait
        self._waiters: dict[int, _Waiter] = {}
        self._line = WaitingLine()
        self._is_serving_due = False
        self._reclaim_timer: asyncio.TimerHandle | None = None
        self._collected: deque[Charge] = deque()  # charges that the garbage collector found, still to be taken back
        self._loop: asyncio.AbstractEventLoop | None = None

    @property
    def held_bytes(self) -> int:
        """How much is held."""
        self._take_back_collected()
        return self._held_bytes

    @property
    def waiter_count(self) -> int:
        """How many wait for memory."""
        return len(self._waiters)

    def try_take(self, peer: str, size: int, give_way: Callable[[], None] | None = None) -> Charge | None:
        """Returns a charge if there is room for it at once and nobody waits."""
        self._take_back_collected()
        if self._waiters or self._held_bytes + size > self.capacity_bytes:
            return None
        charge = Charge(self, peer, size, give_way)
        if not self._fits(charge, size):
            charge.release()
            return None
        self._grant(charge, size)
        return charge

    async def take(
        self,
        peer: str,
        size: int,
        wait_s: float,
        claim_bytes: int | None = None,
        give_way: Callable[[], None] | None = None,
    ) -> Charge:
        """Returns a charge once it is its turn.

        Args:
            peer: The address of the client that it is held for.
            size: How much is needed now.
            wait_s: How long to wait for it.
            claim_bytes: The most that it may come to need; `size` if left out.
            give_way: Ends the holder if others wait and it makes no progress; None if it must not be ended.

        Raises:
            MemoryFullError: There was no room in time.
        """
        charge = Charge(self, peer, size if claim_bytes is None else claim_bytes, give_way)
        try:
            await self.grow(charge, size, wait_s)
        except BaseException:
            charge.release()
            raise
        return charge

    async def grow(self, charge: Charge, more_bytes: int, wait_s: float) -> None:
        """Adds to a charge once it is its turn.

        Raises:
            MemoryFullError: There was no room in time, or the charge has been released.
        """
        self._take_back_collected()
        if charge.pool is None:
            raise MemoryFullError("released")
        if charge.held_bytes + more_bytes > self.capacity_bytes:
            self._counters.add(f"memory.{self.name}.too_large")
            raise MemoryFullError(f"{more_bytes} bytes more than {self.capacity_bytes}")
        if not self._waiters and self._fits(charge, more_bytes):
            self._grant(charge, more_bytes)
            return
        await self._wait_for_room(charge, more_bytes, wait_s)

    async def _wait_for_room(self, charge: Charge, more_bytes: int, wait_s: float) -> None:
        waiter = _Waiter(charge, more_bytes)
        self._loop = asyncio.get_running_loop()
        self._waiters[charge.key] = waiter
        self._line.add(charge.key, charge.peer, has_part=charge.held_bytes > 0)
        self._counters.add(f"memory.{self.name}.waited")
        self._serve_soon()
        self._watch_holders()
        try:
            await asyncio.wait_for(waiter.granted, wait_s)
        except TimeoutError:
            self._counters.add(f"memory.{self.name}.refused")
            raise MemoryFullError(f"no {more_bytes} bytes in {wait_s} s") from None
        finally:
            self._stop_waiting(charge.key)
            self._serve_soon()

    def settle(self, charge: Charge, held_bytes: int) -> None:
        """Sets what a charge holds for good; what it held beyond is given back."""
        charge.claim_bytes = held_bytes
        self._change(charge, held_bytes - charge.held_bytes)
        if charge.key in self._line:
            self._line.remove(charge.key)
            self._line.add(charge.key, charge.peer, has_part=charge.held_bytes > 0)
        self._serve_soon()

    def take_back(self, charge: Charge) -> None:
        """Takes back what a charge holds, and refuses what is awaited for it."""
        waiter = self._stop_waiting(charge.key)
        if waiter is not None and not waiter.granted.done():
            waiter.granted.set_exception(MemoryFullError("released"))
        charge.claim_bytes = 0
        self._change(charge, -charge.held_bytes)
        self._charges.pop(charge.key, None)
        self._serve_soon()

    def take_back_soon(self, charge: Charge) -> None:
        """Has a charge taken back by the event loop. Safe in any thread, and in the middle of any other method.

        The garbage collector runs in whichever thread allocates, so also in one that writes a log.
        """
        self._collected.append(charge)
        if self._loop is not None:
            with contextlib.suppress(RuntimeError):  # the loop has closed: nobody waits any more
                self._loop.call_soon_threadsafe(self._take_back_collected)

    def _take_back_collected(self) -> None:
        while self._collected:
            self._collected.popleft().release()

    # -- who may have what

    def _fits(self, charge: Charge, more_bytes: int) -> bool:
        """Whether a charge may grow: there is room, and all that grow can still come to their claims in turn."""
        if self._held_bytes + more_bytes > self.capacity_bytes:
            return False
        others = [other for _, other in sorted(self._growing.items()) if other is not charge]
        if not others:
            return True
        growing = [Growing(other.key, other.held_bytes, other.claim_bytes) for other in others]
        growing.append(Growing(charge.key, charge.held_bytes + more_bytes, charge.claim_bytes))
        return can_all_grow(growing, self.capacity_bytes)

    def _grant(self, charge: Charge, more_bytes: int) -> None:
        self._charges[charge.key] = charge
        self._change(charge, more_bytes)
        if self._waiters:
            self._granted_by_peer[charge.peer] = self._granted_by_peer.get(charge.peer, 0) + more_bytes
        charge.progress_at = charge.bytes_at = self.now()

    def _change(self, charge: Charge, by_bytes: int) -> None:
        charge.held_bytes += by_bytes
        self._held_bytes += by_bytes
        held = self._held_by_peer.get(charge.peer, 0) + by_bytes
        if held:
            self._held_by_peer[charge.peer] = held
        else:
            self._held_by_peer.pop(charge.peer, None)
        if charge.claim_bytes > charge.held_bytes:
            self._growing.setdefault(charge.key, charge)
        else:
            self._growing.pop(charge.key, None)

    def _stop_waiting(self, key: int) -> _Waiter | None:
        self._line.remove(key)
        return self._waiters.pop(key, None)

    def _serve_soon(self) -> None:
        """Has those that wait served behind this turn of the event loop."""
        if not self._waiters:
            self._granted_by_peer.clear()
        elif not self._is_serving_due and self._loop is not None:
            self._is_serving_due = True
            self._loop.call_soon(self._serve_waiters)

    def _serve_waiters(self) -> None:
        """Grants what fits, in turn; the first that does not fit keeps those behind it waiting."""
        self._is_serving_due = False
        self._counters.add(f"memory.{self.name}.served")
        while (key := self._line.first(self._held_by_peer, self._granted_by_peer)) is not None:
            waiter = self._waiters[key]
            if not self._fits(waiter.charge, waiter.more_bytes):
                return
            if not waiter.granted.done():
                self._grant(waiter.charge, waiter.more_bytes)
                waiter.granted.set_result(None)
            self._stop_waiting(key)
        self._granted_by_peer.clear()

    # -- giving way

    def _watch_holders(self) -> None:
        if self._reclaim_timer is None and self._waiters:
            self._reclaim_timer = asyncio.get_running_loop().call_later(RECLAIM_S, self._reclaim)

    def _reclaim(self) -> None:
        """Ends holders without progress while others wait."""
        self._reclaim_timer = None
        if not self._waiters:
            return
        key = self._line.first(self._held_by_peer, self._granted_by_peer)
        more_bytes = self._waiters[key].more_bytes if key is not None else 0
        needed = max(1, self._held_bytes + more_bytes - self.capacity_bytes)
        for key in choose_to_give_way(self._holdings(), needed, self.now()):
            self._counters.add(f"memory.{self.name}.gave_way")
            charge = self._charges.get(key)
            if charge is not None:  # one that gave way may have released others: a connection has several
                charge.give_way()
        self._watch_holders()

    def _holdings(self) -> list[Holding]:
        """Returns what is held; those that wait for memory themselves are not to blame for their lack of progress."""
        return [
            Holding(key, charge.held_bytes, charge.progress_at, charge.may_give_way and key not in self._waiters)
            for key, charge in self._charges.items()
        ]
