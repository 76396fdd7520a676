"""Reads the whole body of a replica's answer, within the memory that is there for large ones."""

from __future__ import annotations

import io

import aiohttp

from ..exceptions import ArchhatchError
from ..memory import Charge, MemoryPool

LARGE_ANSWER_BYTES = 64 << 10  # longer ones hold memory of their pool
MIN_GROWTH_BYTES = 256 << 10


class AnswerTooLargeError(ArchhatchError, ValueError):
    """An answer that is longer than the caller takes."""


async def read_answer(
    response: aiohttp.ClientResponse, pool: MemoryPool | None, wait_s: float, max_bytes: int | None = None
) -> tuple[bytes, Charge | None]:
    """Reads an answer's body to its end; a large one only once there is memory for it.

    Args:
        response: The answer, whose head has been read.
        pool: The memory for large answers; None for no bound.
        wait_s: How long to wait for memory.
        max_bytes: The longest body; None for no bound.

    Returns:
        The body, and the memory that it holds.

    Raises:
        AnswerTooLargeError: It is longer than `max_bytes`.
        MemoryFullError: There was no memory for it in time.
        aiohttp.ClientError: It did not come whole.
    """
    length = response.content_length
    _check_length(length or 0, max_bytes)
    if (pool is None and max_bytes is None) or (length is not None and length <= LARGE_ANSWER_BYTES):
        return await response.read(), None
    charge: Charge | None = None
    buffer = io.BytesIO()  # grows in place, and gives its bytes without a copy
    try:
        if pool is not None and length is not None:
            charge = await pool.take(response.host, length, wait_s)
        while piece := await response.content.readany():
            buffer.write(piece)
            total = buffer.tell()
            _check_length(total, max_bytes)
            if pool is not None and length is None and total > LARGE_ANSWER_BYTES:
                charge = await _hold(pool, charge, response.host, total, wait_s)
        if charge is not None:
            charge.settle(buffer.tell())
    except BaseException:
        buffer.close()
        if charge is not None:
            charge.release()
        raise
    return buffer.getvalue(), charge


def _check_length(length: int, max_bytes: int | None) -> None:
    if max_bytes is not None and length > max_bytes:
        raise AnswerTooLargeError(f"answer of {length} bytes or more")


async def _hold(pool: MemoryPool, charge: Charge | None, host: str, total: int, wait_s: float) -> Charge:
    """Holds memory for what came of an answer whose length is not known, and for what comes next."""
    wanted = max(2 * total, MIN_GROWTH_BYTES)
    if charge is None:
        return await pool.take(host, wanted, wait_s)
    if total + LARGE_ANSWER_BYTES > charge.held_bytes:
        await pool.grow(charge, min(wanted, pool.capacity_bytes) - charge.held_bytes, wait_s)
    return charge
