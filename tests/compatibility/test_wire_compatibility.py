"""What goes over a connection between nodes stays as it is, so that versions side by side understand each other."""

import asyncio
import json
import os
import zlib

import orjson
import pytest
from tests.support.standins import LOG, World
from tests.support.wire_vocabulary import TOYS, Vocabulary, read_records

from archhatch.jobs.record import Record, pack_many, unpack_many
from archhatch.control.node import ControlNode
from archhatch.control.registers import commands as control_commands
from archhatch.runtime import Counters
from archhatch.singleton_roles.commands import commands as ledger_commands
from archhatch.rpc import ConnectionPool, Envelope, Handlers, CallRefusedError, TcpNetwork
from archhatch.rpc.framing import pack, read_frame
from archhatch.store.node import StoreNode

with open(os.path.join(os.path.dirname(__file__), "..", "data", "wire", "frames.json"), encoding="utf-8") as file:
    FRAMES = {row["name"]: row for row in json.load(file)}
CALLS = [name for name, row in FRAMES.items() if "verb" in row]
ANSWERS = [name for name, row in FRAMES.items() if "verb" not in row]
EMPTY = {"call": 0, "code": 0, "verb": "", "head": b"", "body": b"", "packed": False, "to": "", "within_ms": 0}


def contents(row: dict) -> dict:
    """The fields of a kept frame's envelope, its body as it was before it was deflated."""
    fields = {key: value for key, value in row.items() if key not in ("name", "frame", "times")}
    body = (fields.get("body", "") * row.get("times", 1)).encode()
    return {**EMPTY, **fields, "head": row["head"].encode(), "body": body}


def deflated(row: dict) -> bytes | None:
    """The deflated body in a kept frame; None if it holds the body as it is."""
    envelope = Envelope().parse(bytes.fromhex(row["frame"])[8:])
    return envelope.body if envelope.packed else None


@pytest.fixture
def same_deflate(monkeypatch):
    """Have zlib give the bytes that the kept frames hold: another build of it may give others, which read the same."""
    kept = {contents(row)["body"]: deflated(row) for row in FRAMES.values() if deflated(row) is not None}
    real = zlib.compress

    def compress(raw, *args, **named):
        out = real(raw, *args, **named)
        assert zlib.decompress(out) == raw
        return kept.get(raw, out)

    monkeypatch.setattr(zlib, "compress", compress)


def stream_of(raw: bytes) -> asyncio.StreamReader:
    reader = asyncio.StreamReader()
    reader.feed_data(raw)
    reader.feed_eof()
    return reader


# -- frames


@pytest.mark.parametrize("name", FRAMES)
def test_a_frame_has_the_bytes_as_ever(same_deflate, name):
    row = FRAMES[name]
    assert pack(Envelope(**contents(row))).hex() == row["frame"]


@pytest.mark.parametrize("name", FRAMES)
def test_a_kept_frame_is_read(run, name):
    async def go():
        envelope = await read_frame(stream_of(bytes.fromhex(FRAMES[name]["frame"])))
        assert {key: getattr(envelope, key) for key in EMPTY} == contents(FRAMES[name])

    run(go())


def test_frames_of_all_kinds_are_kept():
    assert {(name in CALLS, deflated(FRAMES[name]) is not None) for name in FRAMES} == {
        (call, small) for call in (True, False) for small in (True, False)
    }
    assert {row["code"] for row in FRAMES.values() if "code" in row} >= {1000, 2001, 2008, 2009, 3003, 5001}


@pytest.mark.parametrize("name", CALLS)
def test_a_connection_sends_the_bytes_as_ever(run, same_deflate, name):
    """All but the number of the call, which is counted up in a process."""
    want = contents(FRAMES[name])
    got = asyncio.Queue()

    async def serve(reader, writer):
        size = await reader.readexactly(4)
        got.put_nowait(size + await reader.readexactly(4 + int.from_bytes(size, "big")))
        envelope = await read_frame(stream_of(raw := got.get_nowait()))
        got.put_nowait(raw)
        writer.write(pack(Envelope(call=envelope.call, code=1000, head=b'{"a":1}', body=b"b")))

    async def go():
        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        pool = ConnectionPool(Counters())
        line = pool.to(f"127.0.0.1:{listener.sockets[0].getsockname()[1]}")
        timeout_s = want["within_ms"] / 1000 or 30.0
        # the documents are written by orjson without spaces, in the order of their keys
        waiting = asyncio.ensure_future(
            line.call(want["verb"], orjson.loads(want["head"]), want["body"], timeout_s=timeout_s, to=want["to"])
        )
        raw = await got.get()
        number = (await read_frame(stream_of(raw))).call
        within_ms = want["within_ms"] or 30_000
        assert raw == pack(Envelope(**{**want, "call": number, "within_ms": within_ms}))
        await asyncio.gather(waiting, return_exceptions=True)
        pool.end()
        listener.close()

    run(go())


ANSWERED_BY = {
    "an answer with nothing in its document": lambda: None,
    "an answer": lambda: {"run": "llm", "me": "s-1", "term": 3},
    "an answer with a body": lambda: (None, b'[{"item":1}]'),
    "an answer with a deflated body": lambda: (b'{"run":"llm"}', b'{"Text":"0123456789"}' * 100),
    "a refusal without a document": lambda: refuse(3003),
    "a refusal with a document": lambda: refuse(2011, {"Revision": 5}),
    "a refusal of a malformed call": lambda: {}["lot"],
    "the answer of a handler that failed": lambda: fail(),
}


def refuse(*args):
    raise CallRefusedError(*args)


def fail():
    raise ZeroDivisionError("x")


@pytest.mark.parametrize("name", ANSWERS)
def test_a_server_answers_with_the_bytes_as_ever(run, same_deflate, name):
    """To calls that are written here by hand, as a node of another version sends them."""
    want, handlers = FRAMES[name], Handlers()

    @handlers.on("echo")
    async def echo(doc, body):
        return ANSWERED_BY[name]()

    call = {"call": want["call"], "verb": "echo", "head": b"{}"}
    if want["code"] == 2008:
        call["to"] = json.loads(want["head"])["Meant"]
    if want["code"] == 2009:
        call["verb"] = "unheard"

    async def go():
        server = TcpNetwork().server(handlers, LOG, Counters(), lambda: "node-2")
        await server.open("127.0.0.1:0")
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port())
        writer.write(pack(Envelope(**call)))
        frame = bytes.fromhex(want["frame"])
        assert await reader.readexactly(len(frame)) == frame
        writer.close()
        await server.close()

    run(go())


# -- records in bodies

RECORDS = [
    Record({"k": "L", "lot": "a.1", "run": "llm", "host": "h", "path": "/l/", "base": 0, "by": 3}, b'{"Model":"m"}'),
    Record({"k": "E", "lot": "a.1", "run": "llm", "by": 3}),
]
PACKED = (
    b'\x00\x00\x00\x5a\x00\x00\x00\x49{"k":"L","lot":"a.1","run":"llm","host":"h","path":"/l/","base":0,"by":3}'
    b'{"Model":"m"}\x00\x00\x00\x2c\x00\x00\x00\x28{"k":"E","lot":"a.1","run":"llm","by":3}'
)


def test_records_have_the_bytes_as_ever():
    assert pack_many(RECORDS) == PACKED
    assert [(record.head, record.body) for record in unpack_many(PACKED)] == [(r.head, r.body) for r in RECORDS]
    assert read_records(PACKED) == [{"head": record.head, "body": None} for record in RECORDS]


def test_the_watch_compares_bodies(wire_watch):
    look = wire_watch.vocabulary.unknown_in_body
    assert look("shelf.append", "call", PACKED) == look("shelf.fetch", "answer", PACKED) == []
    other = [Record({"k": "E", "batch": "a"}), Record({"k": "S", "lot": 1}, b'{"begin":0}')]
    assert look("shelf.append", "call", pack_many(other)) == [
        "body of call shelf.append: key [].head.batch",
        "body of call shelf.append: number at [].head.lot",
        "body of call shelf.append: key [].body.begin",
    ]
    assert look("share.commit", "call", b'[{"part":"m","place":1}]') == ["body of call share.commit: key [].place"]
    assert look("share.fetch", "answer", b'[{"lot":"a","item":"b"}]') == ["body of answer share.fetch: key [].item"]


# -- verbs, commands, documents


def test_the_verbs_are_the_ones_as_ever(tmp_path):
    """Those that the nodes register, with nothing added or left out."""
    world = World(tmp_path)
    nodes = [
        ControlNode(world.node_settings("core", f"{world.net}.1.1"), LOG),
        StoreNode(world.node_settings("store", f"{world.net}.2.1"), LOG),
    ]
    served = {verb for node in nodes for verb in node.verbs.table}
    assert served == set(Vocabulary.load().calls) and not served & TOYS


def test_the_commands_are_the_ones_as_ever():
    assert {*control_commands.table, *ledger_commands.table} == set(Vocabulary.load().commands)


def _exchange(run, verb: str, doc: object, answer: object) -> None:
    """Send a call over a connection, and have it answered."""
    handlers = Handlers()

    @handlers.on(verb)
    async def handler(doc, body):
        return answer

    async def go():
        server, pool = TcpNetwork().server(handlers, LOG, Counters()), ConnectionPool(Counters())
        await server.open("127.0.0.1:0")
        assert (await pool.to(f"127.0.0.1:{server.port()}").call(verb, doc, timeout_s=30))[:2] == (1000, answer)
        pool.end()
        await server.close()

    run(go())


LACKS = {"to": "s-1", "lot": "a"}
LACKED = {"me": "s-1", "lacks": True, "stores": {"s-2": {"zone": "z1"}}}
OPEN = {"part": "p0", "name": "run.open", "args": {"run": "llm"}, "within": 1}


@pytest.mark.parametrize(
    "verb, doc, answer, found",
    [
        ("shelf.lacks", LACKS, LACKED, []),
        ("shelf.lacks", {"to": "s-1", "batch": "a"}, LACKED, ["call shelf.lacks: key batch"]),
        ("shelf.lacks", {"to": "s-1", "lot": 7}, LACKED, ["call shelf.lacks: number at lot"]),
        ("shelf.lacks", [LACKS], LACKED, ["call shelf.lacks: array at ."]),
        ("shelf.lacks", LACKS, None, ["answer shelf.lacks: null at ."]),
        (
            "shelf.lacks",
            LACKS,
            {**LACKED, "stores": {"s-2": {"zone": "z1", "place": 1}, "s-3": {"zone": None}}},
            ["answer shelf.lacks: key stores.*.place", "answer shelf.lacks: null at stores.*.zone"],
        ),
        ("part.do", OPEN, {"code": 1000, "doc": None}, []),
        (
            "part.do",
            {**OPEN, "args": {"service": "llm"}},
            {"code": 1000, "doc": {"a": 1}},
            ["call part.do run.open: key args.service", "answer part.do run.open: object at doc"],
        ),
        (
            "part.do",
            {**OPEN, "name": "run.opened"},
            {"code": 1000, "doc": None},
            ["call part.do: command run.opened", "answer part.do: command run.opened"],
        ),
        ("lot.place", {}, None, ["verb lot.place"]),
    ],
)
def test_the_watch_over_all_tests_sees_what_is_sent(run, wire_watch, verb, doc, answer, found):
    before = wire_watch.compared
    _exchange(run, verb, doc, answer)
    assert wire_watch.compared == before + 4 and wire_watch.take() == found


def test_the_watch_compares_what_is_refused(run, wire_watch):
    vocabulary = wire_watch.vocabulary
    claim = {"part": "p0", "name": "tenure.claim", "args": {}}
    assert vocabulary.unknown_in_answer("do", claim, 2011, {"holder": "a", "life": "b", "term": 3}) == []
    assert vocabulary.unknown_in_answer("do", claim, 2011, {"leader": "a"}) == [
        "refusal 2011 of do tenure.claim: key leader"
    ]
    assert vocabulary.unknown_in_answer("lot.put", None, 2008, {"Meant": "a"}) == []
    assert vocabulary.unknown_in_answer("lot.put", None, 2008, {"Wanted": "a"}) == [
        "refusal 2008 of lot.put: key Wanted"
    ]
