"""Memory that a process frees is not counted against it any more."""

import platform
import subprocess
import sys

import pytest
from tests.support.fakes import ROOT

MB = 1_000_000
CHILD = """
import resource, sys
sys.path.insert(0, sys.argv[1])
from archhatch.runtime.allocator import return_freed_memory

def resident():
    return int(open("/proc/self/statm").read().split()[1]) * resource.getpagesize()

if sys.argv[2] == "with":
    assert return_freed_memory()
bytes(30_000_000)
pinned, before = [], resident()
for size in range(28_000_000, 20_000_000, -1_000_000):
    block = b"x" * size
    pinned.append(b"y" * 100_000)  # stays behind the block in the heap
    del block
print(resident() - before)
"""


def grown_bytes(how):
    child = subprocess.run([sys.executable, "-c", CHILD, ROOT, how], capture_output=True, check=True, text=True)
    return int(child.stdout)


# Stores went over their memory, and an edge over its bound beside load, by blocks that had been freed (review/9).
@pytest.mark.skipif(platform.libc_ver()[0] != "glibc", reason="other C libraries have no such settings")
def test_large_blocks_go_back_to_the_system_when_they_are_freed():
    assert grown_bytes("with") < 5 * MB
    assert grown_bytes("without") > 15 * MB  # the same without the settings: else this would show nothing
