"""How often the bytes of a large job stand in memory on their way to a store's disk and to other stores.

A store counts the jobs that it takes by their bytes: each further copy of them is memory that nobody counted.
"""

import asyncio
import base64
import gc
import random
import struct
import tracemalloc
import zlib

import pytest
from tests.support.fakes import HandClock

from archhatch.jobs import Record
from archhatch.jobs.record import job_head, pack_many, pack_pieces, unpack_many
from archhatch.rpc import ConnectionPool, Handlers, Server
from archhatch.rpc.framing import (
    DEFLATE_LEVEL,
    LONG_BODY_BYTES,
    PIECE_BYTES,
    STREAM_LIMIT_BYTES,
    pack,
    read_frame,
)
from archhatch.rpc.framing import pack_pieces as frame_pieces
from archhatch.rpc.messages import Envelope
from archhatch.runtime import Counters, open_logs
from archhatch.store.handlers import StoreHandlers
from archhatch.store.job_reservations import JobReservations
from archhatch.wal import WriteAheadLog

BODY_BYTES = 8 << 20
SLACK_BYTES = 3 << 20  # a chunk of the log's file, and what belongs to no body


def large_record():
    return Record(job_head("job", "run", "host", "/path"), bytes(BODY_BYTES))


class Traced:
    """Traces what is allocated within a block, in bytes beyond what there was."""

    def __enter__(self):
        gc.collect()
        tracemalloc.start()
        return self

    def __exit__(self, *_):
        tracemalloc.stop()

    def now(self):
        return tracemalloc.get_traced_memory()[0]

    def peak(self):
        return tracemalloc.get_traced_memory()[1]


def test_packing_records_copies_their_bodies_once():
    record = large_record()
    with Traced() as traced:
        assert len(pack_many([record])) > BODY_BYTES
        assert traced.peak() < BODY_BYTES + SLACK_BYTES


def test_unpacking_records_copies_their_bodies_once():
    raw = pack_many([large_record()])
    with Traced() as traced:
        records = unpack_many(raw)
        assert traced.peak() < BODY_BYTES + SLACK_BYTES
    assert records[0].body == bytes(BODY_BYTES)


def test_a_log_writes_a_long_record_without_a_copy(run, tmp_path):
    async def go():
        wal = WriteAheadLog(str(tmp_path), "log")
        list(wal.load())
        wal.start()
        record = large_record()
        with Traced() as traced:
            await wal.append(pack_pieces(record))
            assert traced.peak() < SLACK_BYTES
        await wal.close()
        written = list(WriteAheadLog(str(tmp_path), "log").load())
        assert written == [b"".join(pack_pieces(record))]

    run(go())


def test_a_frame_with_a_long_body_takes_bounded_memory_to_write_and_to_read(run):
    """The body deflates to three quarters: deflated it stands beside its frame, and read beside what it came in."""

    async def go():
        envelope = Envelope(call=7, verb="shelf.append", body=base64.b64encode(random.randbytes(BODY_BYTES * 3 // 4)))
        with Traced() as traced:
            frame = pack(envelope)
            assert traced.peak() < 1.6 * BODY_BYTES + SLACK_BYTES
        with Traced() as traced:
            pieces = frame_pieces(envelope)
            assert traced.peak() < 0.8 * BODY_BYTES + SLACK_BYTES
        assert b"".join(pieces) == frame
        reader = asyncio.StreamReader(limit=STREAM_LIMIT_BYTES)
        reader.feed_data(frame)
        with Traced() as traced:
            read = await read_frame(reader)
            assert traced.peak() < 2.4 * BODY_BYTES
        assert read == envelope

    run(go())


@pytest.mark.parametrize("size", [LONG_BODY_BYTES, LONG_BODY_BYTES + 1, 3 * PIECE_BYTES])
@pytest.mark.parametrize("make_body", [bytes, random.randbytes])
@pytest.mark.parametrize(
    "fields", [{"call": 7, "verb": "shelf.append", "head": b"{}", "to": "s", "within_ms": 9}, {"call": 7, "code": 1000}]
)
def test_a_frame_with_a_long_body_has_the_bytes_of_the_envelope(size, make_body, fields):
    body = make_body(size)
    deflated = zlib.compress(body, DEFLATE_LEVEL)
    whole = {"body": deflated, "packed": True} if len(deflated) < size else {"body": body}
    encoded = bytes(Envelope(**fields, **whole))
    assert pack(Envelope(body=body, **fields)) == struct.pack(">II", len(encoded), zlib.crc32(encoded)) + encoded


@pytest.fixture
def calls():
    """Makes an rpc server with one handler, and connections to it."""

    async def serve(handler):
        handlers, counters = Handlers(), Counters()
        handlers.on("shelf.append")(handler)
        server = Server(handlers, open_logs("test", "CRITICAL"), counters)
        await server.open("127.0.0.1:0")
        return server, ConnectionPool(counters)

    return serve


def test_a_body_that_was_sent_is_let_go_by_its_caller_and_one_that_was_read_by_the_server(run, calls):
    async def go():
        is_read, gate = asyncio.Event(), asyncio.Event()

        async def take(_document, body):
            assert len(body) > BODY_BYTES
            del body
            is_read.set()
            await gate.wait()
            return [True]

        server, connections = await calls(take)
        connection, record = connections.to(f"127.0.0.1:{server.port()}"), large_record()
        with Traced() as traced:
            call = asyncio.ensure_future(
                connection.call("shelf.append", {"to": "s"}, pack_many([record]), timeout_s=30.0)
            )
            await is_read.wait()
            assert traced.now() < SLACK_BYTES
            gate.set()
            assert (await call).code == 1000
        connections.end()
        await server.close()

    run(go())


def test_records_to_append_are_held_once(run, calls):
    async def go():
        is_read, gate = asyncio.Event(), asyncio.Event()

        class Store:
            id = "s"

        class RecordStore:
            async def append(self, records):
                is_read.set()
                await gate.wait()
                return [True for _ in records]

        class Disk:
            def watch(self, write):
                return write

        store = Store()
        store.ready, store.record_store, store.disk = True, RecordStore(), Disk()
        store.clock = HandClock()
        handlers = object.__new__(StoreHandlers)
        handlers.store, handlers._copy_reservations = store, JobReservations(BODY_BYTES)
        server, connections = await calls(handlers._addressed(handlers._append))
        connection = connections.to(f"127.0.0.1:{server.port()}")
        packed = pack_many([large_record()])
        with Traced() as traced:
            call = asyncio.ensure_future(connection.call("shelf.append", {"to": "s"}, packed, timeout_s=30.0))
            await is_read.wait()
            assert traced.now() < BODY_BYTES + SLACK_BYTES
            gate.set()
            assert (await call).document == [True]
        connections.end()
        await server.close()

    run(go())
