"""What a crowd that waits for memory costs: python3 -m benchmarks.memory_pool [COUNT ...]

Prints milliseconds for COUNT callers (500, 2,000 and 4,000 if none is given) that queue at once, for 100 releases while
they wait, for all of them giving up, and for COUNT that grow by parts while they wait a second.
"""

from __future__ import annotations

import asyncio
import sys
import time

from archhatch.memory import MemoryFullError, MemoryPool
from archhatch.runtime import Counters

CAPACITY = 90_000_000
HOLDERS = 3
RELEASES = 100
PART_BYTES = 65_536
CLAIM_BYTES = 33_000_000


def make_pool() -> MemoryPool:
    return MemoryPool("benchmark", CAPACITY, Counters(), time.monotonic)


async def settle() -> None:
    for _ in range(5):
        await asyncio.sleep(0)


async def waiting(count: int) -> tuple[float, float, float]:
    pool = make_pool()
    holders = [await pool.take("holder", CAPACITY // HOLDERS, 1.0) for _ in range(HOLDERS)]
    began = time.perf_counter()
    crowd = [asyncio.ensure_future(pool.take(f"peer{n % 50}", CAPACITY // HOLDERS, 600.0)) for n in range(count)]
    await settle()
    queued = time.perf_counter()
    for _ in range(RELEASES):
        holders.pop(0).release()
        await settle()
        holders += [task.result() for task in crowd if task.done()]
        crowd = [task for task in crowd if not task.done()]
    released = time.perf_counter()
    for task in crowd:
        task.cancel()
    await asyncio.gather(*crowd, return_exceptions=True)
    await settle()
    return queued - began, released - queued, time.perf_counter() - released


async def growing(count: int) -> float:
    pool = make_pool()
    held = []  # nobody lets go of a part before the end

    async def grow() -> None:
        charge = await pool.take("peer", PART_BYTES, 1.0, claim_bytes=CLAIM_BYTES)
        held.append(charge)
        while charge.held_bytes < CLAIM_BYTES:
            await pool.grow(charge, PART_BYTES, 1.0)

    began = time.perf_counter()
    results = await asyncio.gather(*(grow() for _ in range(count)), return_exceptions=True)
    assert any(isinstance(result, MemoryFullError) for result in results)
    return time.perf_counter() - began


def main() -> None:
    for count in [int(text) for text in sys.argv[1:]] or [500, 2000, 4000]:
        queued, released, cancelled = asyncio.run(waiting(count))
        grown = asyncio.run(growing(count))
        print(
            f"{count:6}: queue all {queued * 1e3:9.1f} ms; {RELEASES} releases {released * 1e3:9.1f} ms; "
            f"cancel all {cancelled * 1e3:9.1f} ms; grow, a second of waiting {grown * 1e3:9.1f} ms"
        )


if __name__ == "__main__":
    main()
