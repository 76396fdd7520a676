"""Peak memory of a store's log, with 30 lots of 200 items: python3 benchmarks/log_rewrite_memory.py SOURCES"""

import asyncio
import base64
import inspect
import os
import sys
import tempfile

sys.path.insert(0, sys.argv[1])

import orjson  # noqa: E402

from archhatch.jobs import Record, RecordStore, read_job  # noqa: E402
from archhatch.runtime import Clock, Counters  # noqa: E402
from archhatch.wal import WriteAheadLog  # noqa: E402

LOTS, ITEMS, RESULT_BYTES = 30, 200, 4096


def note(stage):
    """Print memory now and its peak since the last note, in MB, and begin a new peak."""
    figures = dict(line.split(":") for line in open("/proc/self/status") if line.startswith(("VmRSS", "VmHWM")))
    now, peak = (int(figures[k].split()[0]) // 1024 for k in ("VmRSS", "VmHWM"))
    print(f"{stage}: {now} MB, peak {peak} MB", flush=True)
    with open("/proc/self/clear_refs", "w") as f:
        f.write("5")


def body():
    rows = [
        {
            "InstanceId": f"i{n}",
            "Path": f"/p/{n}",
            "GroupId": f"g{n // 4}",
            "Payload": base64.b64encode(os.urandom(1200)).decode(),
        }
        for n in range(ITEMS)
    ]
    return orjson.dumps({"Model": "m", "Entries": rows})


async def fill(store):
    for batch_job in range(LOTS):
        head = {"k": "L", "lot": f"l{batch_job}", "run": "m", "host": "h", "path": "/p/", "by": 1}
        await store.append([Record(head, body())])
        for n in range(ITEMS):
            head = {"k": "R", "lot": f"l{batch_job}", "run": "m", "pos": n, "term": 1, "item": f"i{n}", "by": 1}
            await store.append([Record(head, os.urandom(RESULT_BYTES))])


async def main():
    folder = tempfile.mkdtemp()
    log = WriteAheadLog(folder, "store")
    store = RecordStore(log, Clock(), Counters())
    store.load(log.load())
    log.start()
    note("start")
    await fill(store)
    note(f"all records (log {log.size >> 20} MB)")
    batch_jobs = [read_job(e["lot"].head, e["lot"].body, 0.0) for e in store.batch_jobs.values()]
    note(f"{len(batch_jobs)} lots read in")
    old = list(inspect.signature(log.rewrite).parameters) == ["raws"]
    for n in (1, 2):
        await (log.rewrite(store.snapshot()) if old else log.rewrite())
        note(f"rewrite {n}")
    await log.close()
    del store, log, batch_jobs
    log = WriteAheadLog(folder, "store")
    store = RecordStore(log, Clock(), Counters())
    note("before a load in the same process")
    store.load(log.load())
    note(f"loaded {len(store.batch_jobs)} lots")
    print(folder)


asyncio.run(main())
