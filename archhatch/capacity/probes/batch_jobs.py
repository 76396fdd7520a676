"""What stores do: lots read in, records copied and kept, samples streamed, items given to engines."""

from __future__ import annotations

import types

import orjson

from ..needs import need
from ..probe import probe
from .made import Quiet, entry, folder, batch_job, prose, settle

SOME = (128, 512, 2048)


@probe("lot.check", "cpu", "check a lot at an edge", "items", SOME)
async def _check(n):
    check, raw = need("jobs", "check_job"), orjson.dumps(batch_job(n))
    yield (lambda: check("a", raw)), 1


@probe("lot.read", "cpu", "read a lot in at its holder", "items", SOME)
async def _read(n):
    read, raw = need("jobs", "read_job"), orjson.dumps(batch_job(n))
    head = {"lot": "a", "run": "service-00", "host": "h", "path": "/roll/"}
    yield (lambda: read(head, raw, 0.0)), 1


@probe("lot.bytes", "bytes", "a lot as it is handed in", "items", SOME)
async def _bytes(n):
    yield (lambda: len(orjson.dumps(batch_job(n)))), 1


@probe("lot.memory", "memory", "a lot in hand beside its bytes", "items", (512, 2048))
async def _memory(n):
    read = need("jobs", "read_job")

    def function():
        raw = orjson.dumps(batch_job(n))
        return read({"lot": "a", "run": "service-00", "host": "h", "path": "/roll/"}, raw, 0.0), raw

    yield function, 1


def sample(n: int, size: int = 4000):
    """One result's record with a text of size bytes, as read from a frame: its bytes have no spare room."""
    return need("jobs", "Record")(
        {"k": "R", "lot": "a", "run": "service-00", "pos": n, "term": 1, "item": f"it-{n:06d}", "by": 1},
        bytes(
            bytearray(
                orjson.dumps(
                    {
                        "InstanceId": f"it-{n:06d}",
                        "OperState": "complete",
                        "Text": prose(size, n),
                        "WeightVersions": [7],
                        "Score": "0.5",
                    }
                )
            )
        ),
    )


@probe("result.memory", "memory", "results of 4,000 bytes as records", "results", (200, 800))
async def _result_memory(n):
    yield (lambda: [sample(i) for i in range(n)]), 1


@probe("records.pack", "cpu", "pack results of 4,000 bytes for another store", "results", (50, 200, 800))
async def _pack(n):
    pack, records = need("jobs.record", "pack_many"), [sample(i) for i in range(n)]
    yield (lambda: [pack(records) for _ in range(5)]), 5


@probe("records.unpack", "cpu", "unpack them", "results", (50, 200, 800))
async def _unpack(n):
    raw = need("jobs.record", "pack_many")([sample(i) for i in range(n)])
    unpack = need("jobs.record", "unpack_many")
    yield (lambda: [unpack(raw) for _ in range(5)]), 5


class Kept:
    """A shelf over a write-ahead log in a folder that goes."""

    def __init__(self):
        self.tmp, frame = folder(), "runtime"
        self.counters = need(frame, "Counters")()
        self.wal = need("wal", "WriteAheadLog", "load", "start")(self.tmp.name, "store", Quiet())
        self.record_store = need("jobs", "RecordStore", "append", "load")(
            self.wal, need(frame, "Clock")(), self.counters
        )

    def open(self):
        self.record_store.load(self.wal.load())
        self.wal.start()
        return self

    async def close(self):
        await self.wal.close()
        self.tmp.cleanup()


@probe("shelf.append", "cpu", "take records of 4,000 bytes, one sync for all", "results", (50, 200, 800))
async def _append(n):
    kept = Kept().open()
    records = [sample(i) for i in range(n)]
    yield (lambda: kept.record_store.append(records)), 1
    await kept.close()


@probe(
    "copier.put",
    "cpu",
    "copy results of 4,000 bytes to 3 stores in one process, each by itself",
    "results",
    (20, 60, 180),
)
async def _copy(n):
    kept = [Kept().open() for _ in range(3)]
    unpack = need("jobs.record", "unpack_many")

    class Connection:
        def __init__(self, to):
            self.to = to

        async def call(self, verb, doc, body, timeout_s):
            return 1000, await self.to.record_store.append(unpack(body)), b""

    lines = types.SimpleNamespace(to=lambda address: Connection(kept[int(address)]))
    task_group = need("runtime", "TaskGroup")(Quiet(), kept[0].counters)
    members = {f"s{i}": {"state": "active", "addr": str(i), "zone": f"zone-{i:02d}"} for i in range(3)}
    quorum = need("jobs", "Quorum", "has_enough_copies", "choose_copies")(2)  # two machines may be lost: three copies
    replicator = need("jobs", "Replicator", "replicate")(
        "s0", kept[0].record_store, lines, lambda: members, lambda sid: True, task_group, kept[0].counters, 5.0, quorum
    )
    records = [sample(i) for i in range(n)]

    async def function():
        for record in records:
            await replicator.replicate("service-00", 1, [record])
        if not all(replicator.has_enough_copies(record) for record in records):
            raise ValueError("a record has too few copies")

    yield function, 1
    await settle("Replicator._append_here")
    await task_group.cancel_all()
    for k in kept:
        await k.close()


@probe("events.read", "cpu", "cut events of a stream, each come alone", "events", (500, 2000, 8000))
async def _events(n):
    reader = need("upstream.event_stream", "EventReader", "feed")()
    raws = [b"id: %d\ndata: token%d\n\n" % (i, i) for i in range(n)]

    def function():
        for raw in raws:
            reader.feed(raw)

    yield function, 1


@probe("engines.memory", "memory", "engines at a store", "replicas", (500, 1500))
async def _engines_memory(n):
    yield (lambda: engines(n)), 1


def engines(n: int):
    """Engines of n replicas."""
    one = need("rollout_controller", "Engines", "apply_entries")()
    one.apply_entries([entry(i) for i in range(n)])
    return one


@probe("engines.new", "cpu", "fold one engine that is new among those known", "replicas known", (500, 1000, 2000))
async def _engines_new(n):
    one = engines(n)
    fresh = [entry(n + i) for i in range(100)]
    yield (lambda: one.apply_entries(fresh)), 100
