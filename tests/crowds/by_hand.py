"""Plays one crowd by hand, of any size, and prints what each process used.

By hand: PYTHONPATH=target/deps python3 -m tests.crowds.by_hand "large bodies whole" --size 60 --memory 300
"""

from __future__ import annotations

import argparse
import asyncio

from tests.crowds import deployment
from tests.crowds.clients import crowd, nothing, ordinary_status
from tests.crowds.deployment import BYTES_PER_MB, peak_memory, small_system
from tests.crowds.test_crowds import FRONT_CROWDS

CROWDS = {**FRONT_CROWDS, "nothing": (700, lambda: nothing)}


async def play(name: str, size: int, max_fds: int) -> list[str]:
    """Plays a crowd; returns the bounds that were broken."""
    async with small_system(max_fds) as (system, watch):
        async with crowd(system.front(), size, CROWDS[name][1]()):
            print(f"{name}, {size} clients: ordinary request {await ordinary_status(system.front())}")
        for machine, node in system.nodes.items():
            peak_mb = peak_memory(node.process.pid) / BYTES_PER_MB
            print(f"  {machine}: {peak_mb:.0f} MB, {watch.most_fds.get(machine)} descriptors")
        return watch.broken_bounds()


def main() -> int:
    """Reads the command line and plays; returns 1 if a bound was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("crowd", choices=CROWDS)
    parser.add_argument("--size", type=int, help="connections; those of the test if left out")
    parser.add_argument("--memory", type=int, help="MemoryMb of the edge")
    parser.add_argument("--fds", type=int, default=deployment.MAX_FDS)
    options = parser.parse_args()
    if options.memory:
        deployment.MEMORY_MB["edge"] = options.memory
    broken = asyncio.run(play(options.crowd, options.size or CROWDS[options.crowd][0], options.fds))
    print("\n".join(broken) or "all bounds held")
    return 1 if broken else 0


if __name__ == "__main__":
    raise SystemExit(main())
