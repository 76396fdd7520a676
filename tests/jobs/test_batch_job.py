import base64
import copy

import orjson
import pytest
from tests.support.fakes import MemBook

from archhatch.runtime import Counters
from archhatch.jobs import InvalidJobError, Record, RecordStore, check_job, pack, read_job, unpack
from archhatch.jobs.record import pack_many, unpack_many

B64 = base64.b64encode(b"body").decode()
LOT = {
    "TrainStep": 1,
    "Model": "m",
    "MinRevision": 2,
    "DesiredCount": 1,
    "Entries": [
        {
            "InstanceId": "i1",
            "Path": "/p/1",
            "HeaderMap": {"A": "b"},
            "Payload": B64,
            "TokenCount": 5,
            "GroupId": "g",
            "ScorerUrl": {"InstanceId": "c1", "HostName": "h", "Path": "/s/1", "Payload": B64},
        },
        {"InstanceId": "i2", "Path": "/p/2", "Payload": B64, "GroupId": "g"},
    ],
}


def test_good_job():
    raw = orjson.dumps(LOT)
    assert check_job("l", raw) == "m"
    batch_job = read_job({"lot": "l", "run": "m", "host": "h", "path": "/p/"}, raw, 5.0)
    assert (
        batch_job.total == 2
        and batch_job.min_revision == 2
        and batch_job.desired_count == 1
        and batch_job.items["i1"].heads == [("A", "b")]
    )


@pytest.mark.parametrize(
    "change",
    [
        lambda d: d.pop("Model"),
        lambda d: d.pop("Entries"),
        lambda d: d.update(Entries=[]),
        lambda d: d.update(Entries={}),
        lambda d: d.update(MinRevision="1"),
        lambda d: d.update(TrainStep=-1),
        lambda d: d.update(DesiredCount=True),
        lambda d: d["Entries"][0].pop("InstanceId"),
        lambda d: d["Entries"][1].update(InstanceId="i1"),
        lambda d: d["Entries"][0].update(Path="x"),
        lambda d: d["Entries"][0].update(Payload="not base64!"),
        lambda d: d["Entries"][0].update(Payload=5),
        lambda d: d["Entries"][0].update(HeaderMap={"A": "b\r\nC: d"}),
        lambda d: d["Entries"][0].update(HeaderMap=[1]),
        lambda d: d["Entries"][0]["ScorerUrl"].pop("Path"),
        lambda d: d["Entries"][0]["ScorerUrl"].update(Payload="?"),
        lambda d: d["Entries"].append(7),
    ],
)
def test_malformed_jobs(change):
    doc = copy.deepcopy(LOT)
    change(doc)
    with pytest.raises(InvalidJobError):
        check_job("l", orjson.dumps(doc))


@pytest.mark.parametrize(
    "job_id, raw", [("", orjson.dumps(LOT)), ("l", b""), ("l", b"[]"), ("l", orjson.dumps(LOT)[:-9])]
)
def test_no_job_at_all(job_id, raw):
    with pytest.raises(InvalidJobError):
        check_job(job_id, raw)


def record(kind="R", batch_job="l", pos=0, term=1, item="i", by=None, body=b"x"):
    head = {"k": kind, "lot": batch_job, "run": "m"}
    if kind == "R":
        head.update(pos=pos, term=term, item=item)
    return Record({**head, "by": by or term}, body)


def test_records_pack():
    records = [record(body=b""), record("L", body=b"\x00" * 9)]
    assert [(r.head, r.body) for r in unpack_many(pack_many(records))] == [(r.head, r.body) for r in records]
    assert unpack(pack(records[1])).body == records[1].body


CASES = [  # promised before, record's term, taken, promised after
    (0, 1, True, 1),
    (3, 3, True, 3),
    (3, 2, False, 3),
    (3, 4, True, 4),
]


@pytest.mark.parametrize("promised, by, taken, after", CASES)
def test_record_store_takes_by_term(run, clock, promised, by, taken, after):
    async def go():
        record_store = RecordStore(MemBook(), clock, Counters())
        if promised:
            await record_store.prepare("m", promised)
        assert await record_store.append([record("L", by=by)]) == [taken]
        assert record_store.promised_terms["m"] == after and ("l" in record_store.batch_jobs) is taken

    run(go())


@pytest.mark.parametrize("terms, item", [([1, 2], "i2"), ([2, 1], "i1"), ([1, 1], "i1")])
def test_a_position_is_replaced_only_by_a_higher_term(run, clock, terms, item):
    async def go():
        record_store = RecordStore(MemBook(), clock, Counters())
        for n, t in enumerate(terms, 1):
            await record_store.append([record(term=t, by=9, item=f"i{n}")])
        assert record_store.batch_jobs["l"].results[0].head["item"] == item

    run(go())


@pytest.mark.parametrize("first, second, ok", [(2, 1, False), (2, 2, True), (2, 3, True)])
def test_prepare(run, clock, first, second, ok):
    async def go():
        record_store = RecordStore(MemBook(), clock, Counters())
        await record_store.append([record("L"), record(pos=0), record("E")])
        await record_store.prepare("m", first)
        out = await record_store.prepare("m", second)
        assert out["ok"] is ok
        if ok:
            assert out["lots"] == {"l": {"lot": True, "end": True, "results": [[0, 1, "i"]]}}

    run(go())


def test_record_store_after_a_loss_of_power(run, clock):
    async def go():
        wal = MemBook()
        record_store = RecordStore(wal, clock, Counters())
        record_store.id = "s"
        await record_store.append([record("L", by=4), record(pos=0, term=3, by=4)])
        again = RecordStore(wal, clock, Counters())
        again.load(wal.raws)
        assert again.promised_terms == {"m": 4} and again.batch_jobs["l"].results[0].head["term"] == 3
        third = RecordStore(wal, clock, Counters())
        third.load(map(b"".join, again.snapshot()))
        assert third.promised_terms == again.promised_terms and third.batch_jobs.keys() == again.batch_jobs.keys()

    run(go())


def test_page_gives_at_least_one_and_no_more_than_fits():
    batch_job = read_job({"lot": "l", "run": "m", "host": "h", "path": "/p/"}, orjson.dumps(LOT), 0.0)
    batch_job.results = [record(pos=n, body=b"y" * 600) for n in range(3)]
    batch_job.listed_count = 2
    assert batch_job.page(0, most=10) == ([b"y" * 600], 1)
    assert batch_job.page(0) == ([b"y" * 600] * 2, 2)
    assert batch_job.page(2) == ([], 2) and batch_job.page(7) == ([], 7)


def test_intents_to_order_outlive_a_loss_of_power_and_are_forgotten_in_time(run, clock):
    async def go():
        wal = MemBook()
        record_store = RecordStore(wal, clock, Counters())
        await record_store.append([Record({"k": "O", "lot": "", "run": "m", "iid": "e1", "by": 2})])
        clock.at += 2
        assert (await record_store.prepare("m", 3))["orders"] == {"e1": 2.0}
        again = RecordStore(wal, clock, Counters())
        again.load(wal.raws)  # how old it is cannot be known any more: it counts from now
        assert (await again.prepare("m", 4))["orders"] == {"e1": 0.0}
        assert await again.append([Record({"k": "O", "lot": "", "run": "m", "iid": "e2", "by": 2})]) == [False]
        clock.at += 7
        again.forget_orders(6.0)
        assert again.order_intents == {"m": {}}

    run(go())
