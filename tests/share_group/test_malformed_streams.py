"""Streams and rewards of replicas that are no text, or have numbers that are none."""

import pytest
from tests.support.standins import Replica, batch_job
from tests.system.test_system import world

HUGE = "9" * 30
ODD_EVENTS = {  # what a replica sends, and the texts of the events before the malformed one
    "data that is not UTF-8": (b"id: 1\ndata: \xff\xfe\n\n", []),
    "an id that is not UTF-8": (b"id: \xff\ndata: a\n\n", []),
    "a version that no record can hold": (f"x-archhatch-weight-versions: {HUGE}\nid: 1\ndata: a\n\n".encode(), []),
    "a version of other digits": ("x-archhatch-weight-versions: ²\nid: 1\ndata: a\n\n".encode(), []),
    "ids of other digits": ("id: 1\ndata: a\n\nid: ²\ndata: b\n\n".encode(), ["a"]),
    "ids of many digits": (b"id: 1\ndata: a\n\nid: " + b"9" * 5000 + b"\ndata: b\n\n", ["a"]),
}
FIRST_ITEM = "/roll/0/0"


@pytest.mark.parametrize("why", ODD_EVENTS)
def test_a_malformed_stream_counts_as_a_failed_answer_of_its_replica(run, tmp_path, monkeypatch, why):
    """Guards against a worker whose acknowledgements all stop: one text could not be encoded, again and again."""
    left = [1]
    stream = Replica.stream

    async def odd_stream(self, request, head, mood):
        if request.raw_path != FIRST_ITEM or not left:
            return await stream(self, request, head, mood)
        left.pop()
        return await write_raw(request, head, ODD_EVENTS[why][0])

    monkeypatch.setattr(Replica, "stream", odd_stream)

    async def go():
        w = await world(tmp_path)
        try:
            assert await w.hand_in("lot1", batch_job(groups=2)) == 202
            rows = {row["InstanceId"]: row for row in await w.read_all("lot1")}
            assert len(rows) == 4 and all(row["OperState"] == "complete" for row in rows.values())
            assert not left
            before = ODD_EVENTS[why][1]
            for item_id, row in rows.items():
                texts = [f"{item_id}/{n}" for n in (1, 2, 3, 4)]
                assert row["Text"].split("\n") == (before + texts[len(before) :] if item_id == "a0-0" else texts)
            assert sum(s.counters.counts["item.malformed"] for s in w.stores.values()) >= 1
            assert not any(name.startswith("fault.") for s in w.stores.values() for name in s.counters.counts)
        finally:
            await w.end()

    run(go())


async def write_raw(request, head, raw):
    from aiohttp import web

    out = web.StreamResponse(headers={**head, "Content-Type": "text/event-stream"})
    out.enable_chunked_encoding()
    await out.prepare(request)
    await out.write(raw)
    await out.write_eof()
    return out
