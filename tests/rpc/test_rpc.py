import asyncio
import zlib

import pytest

from archhatch.runtime import Counters, open_logs
from archhatch.rpc import (
    CallError,
    ConnectionPool,
    Envelope,
    Handlers,
    PendingCalls,
    CallRefusedError,
    TcpNetwork,
    framing,
    is_misdirected,
)
from archhatch.rpc.framing import FrameError, pack, read_frame

FRAME = pack(Envelope(call=7, verb="ping", head=b"{}"))


def test_keys_of_calls_are_never_used_twice():
    pending = PendingCalls()
    a = pending.put("a")
    assert pending.take(a) == "a" and pending.take(a) is None
    b = pending.put("b")
    assert b != a and pending.take(a) is None and pending.take(b) == "b"
    assert pending.take(12345 << 20 | 999) is None
    other = PendingCalls()
    assert other.put("c") not in (a, b) and pending.put("d") not in (
        a,
        b,
        other.put("e"),
    )  # of all connections together


@pytest.mark.parametrize(
    "data, fault",
    [
        (FRAME[:5], asyncio.IncompleteReadError),
        (FRAME[:-1], asyncio.IncompleteReadError),
        (FRAME[:-1] + b"\x00", FrameError),
        (b"\xff" * 16, FrameError),
        (b"GET / HTTP/1.1\r\n\r\n" * 3, FrameError),
    ],
)
def test_damaged_frames(run, data, fault):
    async def go():
        reader = asyncio.StreamReader()
        reader.feed_data(data)
        reader.feed_eof()
        with pytest.raises(fault):
            await read_frame(reader)

    run(go())


@pytest.mark.parametrize(
    "body", [b"", b"a" * 1023, b"a" * 5000, bytes(range(256)) * 40, __import__("os").urandom(3000)]
)
def test_bodies_come_through_deflated_or_not(run, body):
    async def go():
        reader = asyncio.StreamReader()
        raw = pack(Envelope(call=1, body=body))
        reader.feed_data(raw)
        envelope = await read_frame(reader)
        assert envelope.body == body and not envelope.packed and len(raw) <= len(body) + 20
        assert len(body) < 4000 or len(raw) < len(body) / 2

    run(go())


@pytest.mark.parametrize(
    "body", [b"no deflate", zlib.compress(b"x" * 5000)[:-3], zlib.compress(bytes((64 << 20) + 1), 9)]
)
def test_damaged_deflate_is_a_fault(run, body):
    async def go():
        envelope = Envelope(call=1, body=body, packed=True)
        raw = bytes(envelope)
        reader = asyncio.StreamReader()
        reader.feed_data(len(raw).to_bytes(4, "big") + zlib.crc32(raw).to_bytes(4, "big") + raw)
        with pytest.raises(FrameError):
            await read_frame(reader)

    run(go())


def build(identity=None):
    handlers, counters = Handlers(), Counters()

    @handlers.on("echo")
    async def echo(document, body):
        return document, body

    @handlers.on("no")
    async def no(document, body):
        raise CallRefusedError(3003, "why")

    @handlers.on("bad")
    async def bad(document, body):
        raise ZeroDivisionError("x")

    @handlers.on("never")
    async def never(document, body):
        await asyncio.get_running_loop().create_future()

    return TcpNetwork().server(handlers, open_logs("t", "CRITICAL"), counters, identity), counters


def test_calls_and_answers(run):
    async def go():
        server, counters = build()
        await server.open("127.0.0.1:0")
        pool = ConnectionPool(counters)
        connection = pool.to(f"127.0.0.1:{server.port()}")
        results = await asyncio.gather(*(connection.call("echo", {"n": n}, b"%d" % n) for n in range(20)))
        assert [(code, document["n"], body) for code, document, body in results] == [
            (1000, n, b"%d" % n) for n in range(20)
        ]
        assert (await connection.call("no"))[:2] == (3003, "why")
        assert (await connection.call("bad"))[0] == 5001
        assert (await connection.call("unheard"))[0] == 2009
        with pytest.raises(CallError) as e:
            await connection.call("never", timeout_s=0.05)
        assert e.value.sent
        pool.end()
        await server.close()

    run(go())


def test_damaged_bytes_end_one_connection_only(run):
    async def go():
        server, counters = build()
        await server.open("127.0.0.1:0")
        pool = ConnectionPool(counters)
        good = pool.to(f"127.0.0.1:{server.port()}")
        await good.call("echo", 1)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port())
        writer.write(b"\x00\x00\x00\x02abcdXY")
        assert await reader.read() == b""
        assert (await good.call("echo", 2))[1] == 2 and counters.counts["rpc.bad_frame"] == 1
        pool.end()
        await server.close()

    run(go())


def test_a_late_or_doubled_answer_finds_nobody(run):
    async def serve(reader, writer):
        envelope = await read_frame(reader)
        encoded_answer = pack(Envelope(call=envelope.call, code=1000, head=b"1"))
        writer.write(
            pack(Envelope(call=envelope.call + (1 << 20), code=1000, head=b"9")) + encoded_answer + encoded_answer
        )
        envelope = await read_frame(reader)
        writer.write(encoded_answer + pack(Envelope(call=envelope.call, code=1000, head=b"2")))

    async def go():
        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        counters = Counters()
        pool = ConnectionPool(counters)
        connection = pool.to(f"127.0.0.1:{listener.sockets[0].getsockname()[1]}")
        assert (await connection.call("x"))[1] == 1
        assert (await connection.call("x"))[1] == 2
        assert counters.counts["rpc.late_answer"] == 3  # another turn's, the doubled one, the first call's once more
        pool.end()
        listener.close()

    run(go())


def test_an_answer_behind_its_time_is_counted_and_the_next_call_is_not_mistaken(run):
    async def go():
        gate = asyncio.Event()

        async def serve(reader, writer):
            late = await read_frame(reader)
            envelope = await read_frame(reader)
            await gate.wait()
            for call, head in ((late.call, b"1"), (envelope.call, b"2")):
                writer.write(pack(Envelope(call=call, code=1000, head=head)))

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        counters = Counters()
        pool = ConnectionPool(counters)
        connection = pool.to(f"127.0.0.1:{listener.sockets[0].getsockname()[1]}")
        with pytest.raises(CallError):
            await connection.call("x", timeout_s=0.01)
        following = asyncio.ensure_future(connection.call("y", timeout_s=30))
        gate.set()
        assert (await following)[1] == 2 and counters.counts["rpc.late_answer"] == 1
        pool.end()
        listener.close()

    run(go())


def test_dead_port_is_known_as_not_sent(run):
    async def go():
        listener = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        listener.close()
        await listener.wait_closed()
        with pytest.raises(CallError) as e:
            await ConnectionPool(Counters()).to(f"127.0.0.1:{port}").call("x")
        assert not e.value.sent

    run(go())


@pytest.mark.parametrize(
    "identity, to, code",
    [
        (None, "", 1000),
        (None, "n1", 2008),
        (lambda: "n1", "", 1000),
        (lambda: "n1", "n1", 1000),
        (lambda: "n1", "n", 2008),
        (lambda: "n1", "n2", 2008),
        (lambda: {"n1", "n1/life-2"}, "n1/life-2", 1000),
        (lambda: {"n1"}, "n1/life-1", 2008),
        (lambda: set(), "n1", 2008),
        (lambda: "", "n1", 2008),
    ],
)
def test_a_call_that_means_another_node_is_not_run(run, identity, to, code):
    async def go():
        server, counters = build(identity)
        ran = []
        server.handlers.on("mark")(lambda document, body: ran.append(document) or asyncio.sleep(0))
        await server.open("127.0.0.1:0")
        pool = TcpNetwork().pool(counters)
        answer = await pool.to(f"127.0.0.1:{server.port()}").call("mark", 1, to=to)
        assert answer[0] == code and ran == [1] * (code == 1000) and is_misdirected(*answer[:2]) is (code == 2008)
        assert counters.counts["rpc.other_node"] == (code == 2008)
        pool.end()
        await server.close()

    run(go())


@pytest.mark.parametrize(
    "within_ms, waited_s, runs",
    [(0, 99.0, True), (100, 0.0, True), (100, 0.1, True), (100, 0.2, False), (1, 0.0, True), (1, 5.0, False)],
)
def test_a_call_whose_caller_waits_no_more_is_not_run(run, clock, within_ms, waited_s, runs):
    async def go():
        server, counters = build()
        server.now, ran = clock.now, []
        server.handlers.on("mark")(lambda document, body: ran.append(document) or asyncio.sleep(0))
        arrived = clock.now()
        clock.at += waited_s
        await server._run(Envelope(call=1, verb="mark", within_ms=within_ms), Sink(), arrived)
        assert bool(ran) is runs and counters.counts["rpc.expired"] == (not runs)

    run(go())


class Sink:
    """A writer whose connection is gone."""

    def is_closing(self):
        return True


def answer(call, document):
    return pack(Envelope(call=call.call, code=1000, head=document))


DAMAGED = bytearray(answer(Envelope(call=1), b"1"))
DAMAGED[-1] ^= 1


@pytest.mark.parametrize(
    "bytes_sent",
    [
        b"",
        b"\x00\x00",
        answer(Envelope(call=1), b"1")[:-1],
        bytes(DAMAGED),
        (framing.MAX_FRAME + 1).to_bytes(4, "big") + bytes(4),
        b"HTTP/1.1 200 OK\r\n\r\n",
    ],
)
def test_what_is_no_answer_ends_its_connection_and_tells_all_its_callers(run, bytes_sent):
    async def bad(reader, writer):
        for _ in range(3):
            await read_frame(reader)
        writer.write(bytes_sent)
        writer.close()

    async def go():
        listener = await asyncio.start_server(bad, "127.0.0.1", 0)
        server, counters = build()
        await server.open("127.0.0.1:0")
        pool = ConnectionPool(counters)
        good = pool.to(f"127.0.0.1:{server.port()}")
        other = asyncio.ensure_future(good.call("never", timeout_s=40))
        lost = pool.to(f"127.0.0.1:{listener.sockets[0].getsockname()[1]}")
        faults = await asyncio.gather(*(lost.call("x", timeout_s=40) for _ in range(3)), return_exceptions=True)
        assert [(type(e), e.sent) for e in faults] == [(CallError, True)] * 3
        assert (await good.call("echo", 1))[1] == 1 and not other.done()
        pool.end()
        assert isinstance((await asyncio.gather(other, return_exceptions=True))[0], CallError)
        listener.close()
        await server.close()

    run(go())


def test_an_answer_on_another_connection_or_after_a_hang_up_finds_nothing(run):
    calls, writers = asyncio.Queue(), []

    async def serve(reader, writer):
        writers.append(writer)
        while True:
            await calls.put(await read_frame(reader))

    async def go():
        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        counters = Counters()
        connection = ConnectionPool(counters).to(f"127.0.0.1:{listener.sockets[0].getsockname()[1]}")
        first = asyncio.ensure_future(connection.call("x", timeout_s=40))
        old = await calls.get()
        task = connection._channel._task
        writers[0].write(answer(old, b"1"))
        connection.disconnect()  # with the answer on its way
        with pytest.raises(CallError) as e:
            await first
        await asyncio.wait([task])
        assert e.value.sent and task.done()
        second = asyncio.ensure_future(connection.call("x", timeout_s=40))
        new = await calls.get()
        assert new.call != old.call
        writers[1].write(answer(old, b"1") + answer(new, b"2"))
        assert (await second)[1] == 2 and counters.counts["rpc.late_answer"] == 1
        connection.disconnect()
        listener.close()

    run(go())


def test_an_answer_for_another_open_connection_is_not_taken(run):
    calls, writers = asyncio.Queue(), []

    async def serve(reader, writer):
        writers.append(writer)
        await calls.put(await read_frame(reader))
        await reader.read()

    async def go():
        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        address, counters = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}", Counters()
        one, two = ConnectionPool(counters).to(address), ConnectionPool(counters).to(address)
        first = asyncio.ensure_future(one.call("x", timeout_s=40))
        called = await calls.get()
        second = asyncio.ensure_future(two.call("x", timeout_s=40))
        other = await calls.get()
        writers[1].write(answer(called, b"9") + answer(other, b"2"))
        assert (await second)[1] == 2 and not first.done() and counters.counts["rpc.late_answer"] == 1
        writers[0].write(answer(called, b"1"))
        assert (await first)[1] == 1
        one.disconnect()
        two.disconnect()
        listener.close()

    run(go())


def test_a_frame_that_is_too_long_is_not_sent(run, monkeypatch):
    async def go():
        server, counters = build()

        @server.handlers.on("long")
        async def long(document, body):
            return "x" * 5000

        await server.open("127.0.0.1:0")
        pool = ConnectionPool(counters)
        connection = pool.to(f"127.0.0.1:{server.port()}")
        monkeypatch.setattr(framing, "MAX_FRAME", 4000)
        with pytest.raises(CallError) as e:
            await connection.call("echo", "x" * 5000)
        assert not e.value.sent and (await connection.call("echo", 1))[1] == 1
        assert (await connection.call("long"))[0] == 5001 and (await connection.call("echo", 2))[1] == 2
        pool.end()
        await server.close()

    run(go())


def test_an_answer_that_cannot_be_read_leaves_its_call_unclear(run):
    async def serve(reader, writer):
        writer.write(answer(await read_frame(reader), b"{"))

    async def go():
        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        pool = ConnectionPool(Counters())
        with pytest.raises(CallError) as e:
            await pool.to(f"127.0.0.1:{listener.sockets[0].getsockname()[1]}").call("x")
        assert e.value.sent
        pool.end()
        listener.close()

    run(go())
