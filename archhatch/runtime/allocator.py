"""How the C library gives memory back to the system.

The bodies of large jobs are allocated and freed all the time. By default glibc raises the size from which a block is
mapped by itself each time such a block is freed, up to 32 MiB; blocks below it come from the heap, which shrinks at its
end alone. A process then keeps what it freed, and memory that nobody holds counts against its limit.
"""

from __future__ import annotations

import ctypes

M_TRIM_THRESHOLD = -1  # parameters of mallopt(3)
M_MMAP_THRESHOLD = -3
M_ARENA_MAX = -8
LARGE_BLOCK_BYTES = 256 << 10  # blocks from this size on are mapped by themselves, and unmapped when they are freed
TRIM_BYTES = 1 << 20  # of free memory at the end of the heap, from which on it is given back
ARENAS = 2  # heaps: threads write logs and have little to allocate


def return_freed_memory() -> bool:
    """Has freed memory go back to the system.

    Returns:
        Whether the C library has such settings; others than glibc may not.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return False
    settings = ((M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES), (M_TRIM_THRESHOLD, TRIM_BYTES), (M_ARENA_MAX, ARENAS))
    return all(mallopt(parameter, value) == 1 for parameter, value in settings)
