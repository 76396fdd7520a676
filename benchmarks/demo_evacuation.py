"""A planned move to look at, on this machine: python3 benchmarks/demo_evacuation.py. Not a test.

Starts a whole system over loopback (three control nodes, four stores and two edges in two regions, emulated replicas),
puts load on it, moves a tenant and brings it home, and prints what `archhatch evacuate status` would.
"""

import asyncio
import os
import pathlib
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path[:0] = [os.path.join(ROOT, "target", "deps"), os.path.join(ROOT, "target", "test"), ROOT]

from tests.support.evacuation_rig import KEY, EvacuationDay, seen_of  # noqa: E402
from tests.region_policy.test_regions_system import ZONES  # noqa: E402

from archhatch.evacuation.client import describe  # noqa: E402


async def follow(day, *last) -> None:
    """Print the record whenever it changes, until it is in one of the last states."""
    shown: list = []
    while True:
        lines = describe(await day.record())
        if lines != shown:
            print("\n".join(line for line in lines if line not in shown))
            shown = lines
        if any(lines[0].startswith(f"e1: {state};") for state in last):
            return
        await day.edge.state_board.wait_for_change("nothing", 0, 0.05)


async def show(folder: pathlib.Path) -> None:
    key = folder / "notice.key"
    key.write_bytes(KEY)
    day = await EvacuationDay(
        str(folder),
        stores=4,
        Zones=ZONES,
        KeepaliveMs=200,
        Bounds={"ConvergeMs": 300, "StatusS": 1.5},
        NoticeKeyFile=str(key),
    ).begin()
    try:
        await day.planned()
        await day.load("before", lambda k: k >= 4)
        await day.evacuate("/e1/start")
        await day.load_until("moving", follow(day, "moved", "failed"))
        await day.load("away", lambda k: k >= 4)
        await day.evacuate("/e1/return")
        await day.load_until("home", follow(day, "returned"))
        await day.load("after", lambda k: k >= 4)
        print("\nrequests that replicas took up, by region:")
        print(day.table(["before", "moving", "away", "home", "after"]))
        print("the tenant was told:", ", ".join(notice.name for notice in day.tenant.acknowledged))
        print("broken promises:", seen_of(day).faults(must_be_notified=False) or "none")
    finally:
        await day.finish()


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as tmp:
        asyncio.run(show(pathlib.Path(tmp)))
