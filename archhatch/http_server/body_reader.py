"""Reads the bodies of requests into memory that is held for them before they come.

Turns: a body in very small chunks is taken a buffer at a time, and all such bodies of a server take turns, one for each
round of the event loop; the others are read as fast as they come.
"""

from __future__ import annotations

import asyncio
import io
from collections.abc import Callable

from aiohttp.web_exceptions import HTTPRequestEntityTooLarge
from aiohttp.web_request import BaseRequest

from ..memory import Charge, HeldBody
from .client_memory import SMALL_BODY_BYTES, BodyTerms, ClientMemory
from .connection import ClientConnection, discard_buffered, set_read_bytes

# What a body in chunks holds at first: SMALL_BODY_BYTES of it, and what is kept of very small chunks.
UNKNOWN_LENGTH_BYTES = SMALL_BODY_BYTES + (32 << 10)
LARGE_READ_BYTES = 256 << 10  # of a large body, whose memory is held, before others have their turn
NEXT_READ_BYTES = 64 << 10  # of a body in chunks: held beyond what has come
SMALL_PIECE_BYTES = 4 << 10  # a buffer of chunks with less in it was full of very small ones


class BodyReader:
    """Reads the bodies of a server's requests, within the memory of its clients."""

    def __init__(self, memory: ClientMemory, max_bytes: Callable[[], int]) -> None:
        """Prepares it.

        Args:
            memory: What clients may make this process hold.
            max_bytes: Returns the longest body that is in force.
        """
        self._memory, self._max_bytes = memory, max_bytes
        self._small_chunk_turns = asyncio.Lock()  # fair: in the order in which they ask

    async def read(
        self, request: BaseRequest, connection: ClientConnection, terms: BodyTerms, allow: Callable
    ) -> HeldBody:
        """Reads a body.

        Args:
            request: The request.
            connection: Its connection.
            terms: On what terms it is read.
            allow: Awaited when memory is held for it: a client may wait for leave to send it.

        Raises:
            HTTPRequestEntityTooLarge: It is longer than is allowed.
            MemoryFullError: There was no memory for it in time.
        """
        if not request.body_exists:
            await allow()
            return HeldBody(b"")
        max_bytes = self._max_bytes() if terms.max_bytes is None else min(terms.max_bytes, self._max_bytes())
        length = request.content_length
        if not max_bytes or (length is not None and length > max_bytes):
            raise HTTPRequestEntityTooLarge(max_bytes, length or 0)
        reading = _Reading(self._memory, request, connection, terms, max_bytes, self._small_chunk_turns)
        try:
            await reading.hold(length)
            await allow()
            return await reading.run(length)
        except BaseException:
            reading.abandon()
            raise


class _Reading:
    """One body on its way."""

    __slots__ = ("_memory", "_request", "_connection", "_terms", "_max_bytes", "_turns", "_buffer", "_charge")

    def __init__(  # noqa: PLR0913, PLR0917 - the parts of one reading
        self,
        memory: ClientMemory,
        request: BaseRequest,
        connection: ClientConnection,
        terms: BodyTerms,
        max_bytes: int,
        turns: asyncio.Lock,
    ) -> None:
        self._memory, self._request, self._connection = memory, request, connection
        self._terms, self._max_bytes, self._turns = terms, max_bytes, turns
        self._buffer = io.BytesIO()  # grows in place, and gives its bytes without a copy
        self._charge: Charge | None = None

    async def hold(self, length: int | None) -> None:
        """Holds memory for the body, or for its beginning."""
        if length is None:
            await self._take_small(UNKNOWN_LENGTH_BYTES)
            return
        if length <= SMALL_BODY_BYTES and self._terms.cost_ratio <= 1.0:
            await self._take_small(length)
            return
        await self._take_large(length, length)

    async def _take_small(self, size: int) -> None:
        pool, connection = self._memory.small_bodies, self._connection
        charge = pool.try_take(connection.peer, size, connection.give_way)
        if charge is None:
            connection.waits_for_memory_since = asyncio.get_running_loop().time()
            charge = await pool.take(connection.peer, size, self._terms.wait_s, give_way=connection.give_way)
        self._use(charge)

    async def _take_large(self, size: int, claim: int) -> None:
        pool, connection = self._memory.large_bodies, self._connection
        connection.waits_for_memory_since = asyncio.get_running_loop().time()
        charge = await pool.take(
            connection.peer,
            self._cost(size),
            self._terms.wait_s,
            claim_bytes=self._cost(claim),
            give_way=connection.give_way,
        )
        self._use(charge)
        is_whole = charge.held_bytes >= charge.claim_bytes
        set_read_bytes(connection, self._request.content, LARGE_READ_BYTES if is_whole else NEXT_READ_BYTES)

    def _cost(self, length: int) -> int:
        """Returns the memory that a body takes; one that takes all that there is has it for itself."""
        cost = int(length * self._terms.cost_ratio)
        if length <= self._memory.large_bodies.capacity_bytes:
            return min(cost, self._memory.large_bodies.capacity_bytes)
        return cost

    def _use(self, charge: Charge) -> None:
        if self._charge is not None:
            self._charge.release()
        self._charge = self._connection.body_charge = charge
        self._connection.waits_for_memory_since = None
        self._connection.take_unserved()

    async def run(self, length: int | None) -> HeldBody:
        """Reads it to its end."""
        content, buffer = self._request.content, self._buffer
        total = 0
        while piece := await content.readany():
            total += len(piece)
            if total > self._max_bytes:
                raise HTTPRequestEntityTooLarge(self._max_bytes, total)
            buffer.write(piece)
            self._note_progress(len(piece))
            if length is None and not content.at_eof():
                await self._go_on_in_chunks(total, len(piece))
        return self._finish(total)

    def _note_progress(self, count: int) -> None:
        assert self._charge is not None  # hold() took it
        self._charge.note_bytes(count)

    async def _go_on_in_chunks(self, total: int, piece_bytes: int) -> None:
        """Holds memory for what comes next, and gives other bodies in very small chunks their turn."""
        charge = self._charge
        assert charge is not None  # hold() took it
        if self._cost(total) + self._cost(NEXT_READ_BYTES) > charge.held_bytes and total > SMALL_BODY_BYTES // 2:
            await self._hold_more(charge, total)
        if piece_bytes < SMALL_PIECE_BYTES:
            async with self._turns:
                await asyncio.sleep(0)

    async def _hold_more(self, charge: Charge, total: int) -> None:
        """Holds twice as much as there is, up to the longest body."""
        wanted = min(max(2 * total, 4 * NEXT_READ_BYTES), self._max_bytes)
        if charge.pool is not self._memory.large_bodies:
            await self._take_large(wanted, self._max_bytes)
            return
        more = min(self._cost(wanted), charge.claim_bytes) - charge.held_bytes
        if more > 0:
            await self._memory.large_bodies.grow(charge, more, self._terms.wait_s)

    def _finish(self, total: int) -> HeldBody:
        """Keeps what the body takes; from here on its request is worked on, and does not give way."""
        charge = self._charge
        assert charge is not None  # hold() took it
        charge.give_way_by(None)
        charge.settle(min(self._cost(total), charge.held_bytes))
        self._connection.finish_body()
        return HeldBody(self._buffer.getvalue(), charge)

    def abandon(self) -> None:
        """Lets go of all that was read."""
        self._buffer.close()
        if self._connection.transport is None:
            discard_buffered(self._request.content)
        if self._charge is not None:
            self._charge.release()
        self._connection.finish_body()
