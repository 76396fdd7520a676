import asyncio
import zlib

import pytest

from lines.frame import Counters, open_logs
from lines.rpc import Server, Envelope, CallError, ConnectionPool, Refusal, PendingCalls, Handlers
from lines.rpc.framing import FrameFault, pack, read_frame

FRAME = pack(Envelope(call=7, verb="ping", head=b"{}"))


def test_slab_keys_are_never_used_twice():
    s = PendingCalls()
    a = s.put("a")
    assert s.take(a) == "a" and s.take(a) is None
    b = s.put("b")
    assert b != a and s.take(a) is None and s.take(b) == "b"
    assert s.take(12345 << 20 | 999) is None


@pytest.mark.parametrize("data, fault", [
    (FRAME[:5], asyncio.IncompleteReadError), (FRAME[:-1], asyncio.IncompleteReadError),
    (FRAME[:-1] + b"\x00", FrameFault), (b"\xff" * 16, FrameFault), (b"GET / HTTP/1.1\r\n\r\n" * 3, FrameFault)])
def test_damaged_frames(run, data, fault):
    async def go():
        rd = asyncio.StreamReader()
        rd.feed_data(data)
        rd.feed_eof()
        with pytest.raises(fault):
            await read_frame(rd)
    run(go())


@pytest.mark.parametrize("body", [b"", b"a" * 1023, b"a" * 5000, bytes(range(256)) * 40, __import__("os").urandom(3000)])
def test_bodies_come_through_deflated_or_not(run, body):
    async def go():
        rd = asyncio.StreamReader()
        raw = pack(Envelope(call=1, body=body))
        rd.feed_data(raw)
        env = await read_frame(rd)
        assert env.body == body and not env.packed and len(raw) <= len(body) + 20
        assert len(body) < 4000 or len(raw) < len(body) / 2
    run(go())


@pytest.mark.parametrize("body", [b"no deflate", zlib.compress(b"x" * 5000)[:-3], zlib.compress(bytes((64 << 20) + 1), 9)])
def test_damaged_deflate_is_a_fault(run, body):
    async def go():
        env = Envelope(call=1, body=body, packed=True)
        raw = bytes(env)
        rd = asyncio.StreamReader()
        rd.feed_data(len(raw).to_bytes(4, "big") + zlib.crc32(raw).to_bytes(4, "big") + raw)
        with pytest.raises(FrameFault):
            await read_frame(rd)
    run(go())


def build():
    verbs, ctr = Handlers(), Counters()

    @verbs.on("echo")
    async def echo(doc, body):
        return doc, body

    @verbs.on("no")
    async def no(doc, body):
        raise Refusal(3003, "why")

    @verbs.on("bad")
    async def bad(doc, body):
        raise ZeroDivisionError("x")

    @verbs.on("never")
    async def never(doc, body):
        await asyncio.get_running_loop().create_future()
    return Server(verbs, open_logs("t", "CRITICAL"), ctr), ctr


def test_calls_and_answers(run):
    async def go():
        desk, ctr = build()
        await desk.open("127.0.0.1:0")
        lines = ConnectionPool(ctr)
        line = lines.to(f"127.0.0.1:{desk.port()}")
        outs = await asyncio.gather(*(line.call("echo", {"n": n}, b"%d" % n) for n in range(20)))
        assert [(c, d["n"], b) for c, d, b in outs] == [(1000, n, b"%d" % n) for n in range(20)]
        assert (await line.call("no"))[:2] == (3003, "why")
        assert (await line.call("bad"))[0] == 5001
        assert (await line.call("unheard"))[0] == 2009
        with pytest.raises(CallError) as e:
            await line.call("never", secs=0.05)
        assert e.value.sent
        lines.end()
        await desk.close()
    run(go())


def test_damaged_bytes_end_one_connection_only(run):
    async def go():
        desk, ctr = build()
        await desk.open("127.0.0.1:0")
        lines = ConnectionPool(ctr)
        good = lines.to(f"127.0.0.1:{desk.port()}")
        await good.call("echo", 1)
        rd, wr = await asyncio.open_connection("127.0.0.1", desk.port())
        wr.write(b"\x00\x00\x00\x02abcdXY")
        assert await rd.read() == b""
        assert (await good.call("echo", 2))[1] == 2 and ctr.all["rpc.bad_frame"] == 1
        lines.end()
        await desk.close()
    run(go())


def test_a_late_or_doubled_answer_finds_nobody(run):
    async def serve(rd, wr):
        env = await read_frame(rd)
        ans = pack(Envelope(call=env.call, code=1000, head=b"1"))
        wr.write(pack(Envelope(call=env.call + (1 << 20), code=1000, head=b"9")) + ans + ans)
        env = await read_frame(rd)
        wr.write(ans + pack(Envelope(call=env.call, code=1000, head=b"2")))

    async def go():
        srv = await asyncio.start_server(serve, "127.0.0.1", 0)
        ctr = Counters()
        lines = ConnectionPool(ctr)
        line = lines.to(f"127.0.0.1:{srv.sockets[0].getsockname()[1]}")
        assert (await line.call("x"))[1] == 1
        assert (await line.call("x"))[1] == 2
        assert ctr.all["rpc.late_answer"] == 3     # another turn's, the doubled one, the first call's once more
        lines.end()
        srv.close()
    run(go())


def test_an_answer_behind_its_time_is_counted_and_the_next_call_is_not_mistaken(run):
    async def go():
        gate = asyncio.Event()

        async def serve(rd, wr):
            late = await read_frame(rd)
            env = await read_frame(rd)
            await gate.wait()
            for call, head in ((late.call, b"1"), (env.call, b"2")):
                wr.write(pack(Envelope(call=call, code=1000, head=head)))
        srv = await asyncio.start_server(serve, "127.0.0.1", 0)
        ctr = Counters()
        lines = ConnectionPool(ctr)
        line = lines.to(f"127.0.0.1:{srv.sockets[0].getsockname()[1]}")
        with pytest.raises(CallError):
            await line.call("x", secs=0.01)
        nxt = asyncio.ensure_future(line.call("y", secs=30))
        gate.set()
        assert (await nxt)[1] == 2 and ctr.all["rpc.late_answer"] == 1
        lines.end()
        srv.close()
    run(go())


def test_dead_port_is_known_as_not_sent(run):
    async def go():
        srv = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        port = srv.sockets[0].getsockname()[1]
        srv.close()
        await srv.wait_closed()
        with pytest.raises(CallError) as e:
            await ConnectionPool(Counters()).to(f"127.0.0.1:{port}").call("x")
        assert not e.value.sent
    run(go())
