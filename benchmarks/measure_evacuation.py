"""What a planned move costs a trainer, on this machine: python3 benchmarks/measure_evacuation.py [ROUNDS]. Not a test.

A trainer hands in one lot after the other, first without a move, then with one in the middle; prints the seconds for
of all of them, the longest pause between two results, and how many items ran more than once.
"""

import asyncio
import collections
import os
import pathlib
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path[:0] = [os.path.join(ROOT, "target", "deps"), os.path.join(ROOT, "target", "test"), ROOT]

from tests.support.evacuation_rig import KEY, EvacuationDay  # noqa: E402
from tests.support.standins import batch_job  # noqa: E402
from tests.region_policy.test_regions_system import ZONES  # noqa: E402

LOTS = 60


async def one(folder: pathlib.Path, moves: bool) -> dict:
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
        await day.batch_jobs("warm", 0)
        assert (await day.planned())[0] == 200
        results, began = [], time.monotonic()
        for k in range(LOTS):
            if moves and k == LOTS // 4:
                assert (await day.evacuate("/e1/start"))[0] == 200
            assert await day.hand_in(f"m.lot.{k}", batch_job(groups=4, size=4, name=f"m{k}.")) == 202
            rows = await day.read_all(f"m.lot.{k}")
            assert all(row["OperState"] == "complete" for row in rows)
            results.append(time.monotonic())
        if moves:
            await day.reach("moved")
        runs = collections.Counter(rid for r in day.replicas for rid, _, _ in r.runs if rid.startswith("m"))
        where = collections.Counter(ZONES[r.zone] for r in day.replicas for rid, _, _ in r.runs if rid.startswith("m"))
        return {
            "seconds": round(results[-1] - began, 2),
            "longest pause": round(max(b - a for a, b in zip([began, *results], results)), 3),
            "run again": sum(1 for n in runs.values() if n > 1),
            **where,
        }
    finally:
        await day.finish()


def main(rounds: int) -> None:
    for _ in range(rounds):
        for moves in (False, True):
            with tempfile.TemporaryDirectory() as folder:
                got = asyncio.run(asyncio.wait_for(one(pathlib.Path(folder), moves), 120))
            print("with a move" if moves else "without    ", got)


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 3)
