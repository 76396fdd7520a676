import asyncio
import types

import pytest

from archhatch.http_server import HttpLimits, HttpServer
from archhatch.runtime import Counters, Result, open_logs


async def window(limits=None, handler=None):
    async def echo(request, body):
        return Result(200, body)

    win = HttpServer(handler or echo, open_logs("t", "CRITICAL"), Counters(), limits)
    await win.open("127.0.0.1:0")
    return win


async def talk(win, *raws):
    rd, wr = await asyncio.open_connection("127.0.0.1", win.port())
    for raw in raws:
        wr.write(raw)
    return rd, wr


HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"


@pytest.mark.parametrize("raws", [(b"POST /x HT",), (HEAD,), (HEAD, b"A: b\r\n")])
def test_a_head_that_does_not_end_is_ended(run, raws):
    async def go():
        win = await window(HttpLimits(header_timeout_s=0.04, idle_timeout_s=60))
        rd, wr = await talk(win, *raws)
        assert (await rd.read()).startswith(b"HTTP/1.1 408 ") and win.counters.counts["http.slow_header"] == 1
        wr.close()
        await win.close(0)

    run(go())


def test_a_connection_that_says_nothing_is_ended(run):
    async def go():
        win = await window(HttpLimits(header_timeout_s=0.04, idle_timeout_s=0.08))
        rd, wr = await talk(win)
        assert await rd.read() == b""
        wr.close()
        await win.close(0)

    run(go())


def test_a_slow_answer_is_no_slow_head(run):
    async def go():
        gate, began = asyncio.Event(), asyncio.Event()

        async def slow(request, body):
            began.set()
            await gate.wait()
            return Result(200, body)

        win = await window(HttpLimits(header_timeout_s=0.01, idle_timeout_s=60), slow)
        rd, wr = await talk(win, HEAD + b"\r\nok")
        await began.wait()
        other, wr2 = await talk(win, b"POST")
        assert (await other.read()).startswith(b"HTTP/1.1 408 ")
        gate.set()
        assert (await rd.readline()).startswith(b"HTTP/1.1 200 ")
        wr.close()
        wr2.close()
        await win.close(0)

    run(go())


def test_the_rest_of_a_refused_body_is_no_header(run):
    """Guards against a 431 in place of the 413, and a header's time limit for a body that nobody reads."""

    async def go():
        win = await window(HttpLimits(max_body_bytes=5, max_header_bytes=100))
        head = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"
        rd, wr = await talk(win, head, *[b"b" * 1000] * 60)
        assert (await rd.readline()).split()[1] == b"413"
        wr.write(b"b" * 1000)
        assert b"431" not in await rd.read()
        wr.close()
        await win.close(0)

    run(go())


@pytest.mark.parametrize(
    "max_header_bytes, field_bytes, is_finished, body_bytes, status",
    [
        (40_000, 20_000, True, 0, b"200"),
        (16_384, 20_000, True, 0, b"431"),
        (60, 70, True, 0, b"431"),
        (16_384, 20_000, False, 0, b"431"),  # it is not read to its end
        (40_000, 20_000, True, 50_000, b"200"),
    ],
)
def test_limits_hold_for_a_server_that_listens_and_connections_that_are_open(
    run, max_header_bytes, field_bytes, is_finished, body_bytes, status
):
    """Guards against a MaxHeaderBytes above the default that is never in force."""

    async def go():
        win = await window()
        rd, wr = await talk(win, b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
        assert (await rd.readline()).split()[1] == b"200"
        while (await rd.readline()) != b"\r\n":
            pass
        win.limits = HttpLimits(max_header_bytes=max_header_bytes, idle_timeout_s=7.0)
        assert [connection.keepalive_timeout for connection in win._server.connections] == [7.0]
        wr.write(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\nA: " % body_bytes + b"a" * field_bytes)
        wr.write(b"\r\n\r\n" + b"b" * body_bytes if is_finished else b"")
        assert (await rd.readline()).split()[1] == status
        wr.close()
        await win.close(0)

    run(go())


@pytest.mark.parametrize(
    "limits, raw, status",
    [
        (HttpLimits(max_body_bytes=5), b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\nabcdef", b"413"),
        (
            HttpLimits(max_body_bytes=5),
            b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n0\r\n\r\n",
            b"413",
        ),
        (
            HttpLimits(max_body_bytes=6),
            b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n0\r\n\r\n",
            b"200",
        ),
        (HttpLimits(max_header_bytes=60), b"GET /x HTTP/1.1\r\nHost: h\r\nA: " + b"a" * 50 + b"\r\n\r\n", b"431"),
        (HttpLimits(), b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n", b"400"),
        (HttpLimits(), b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", b"400"),
        (
            HttpLimits(),
            b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"400",
        ),
        (HttpLimits(), b"GET /x HTTP/9\r\n\r\n", b"400"),
    ],
)
def test_limits_and_malformed_heads(run, limits, raw, status):
    async def go():
        win = await window(limits)
        rd, wr = await talk(win, raw)
        assert (await rd.readline()).split()[1] == status
        wr.close()
        await win.close(0)

    run(go())


LIFE = [
    ("starting", "configuration_arrived", "ready"),
    ("ready", "configuration_arrived", "ready"),
    ("leaving", "configuration_arrived", "leaving"),
    ("starting", "shutdown_ordered", "leaving"),
    ("ready", "shutdown_ordered", "leaving"),
    ("leaving", "shutdown_ordered", "leaving"),
]


@pytest.mark.parametrize("state, sign, dest", LIFE)
def test_life_of_an_edge(state, sign, dest):
    from transitions import Machine

    from archhatch.data_plane.lifecycle import TRANSITIONS

    edge = types.SimpleNamespace()
    Machine(
        edge, states=["starting", "ready", "leaving"], initial=state, transitions=TRANSITIONS, auto_transitions=False
    )
    getattr(edge, sign)()
    assert edge.state == dest


def test_malformed_requests_are_one_line_each_bounded_and_counted_by_reason(run, capfd):
    """Guards against a log that a client can fill: each refusal wrote a traceback of ten lines at level error."""

    async def go():
        win = HttpServer(None, open_logs("edge-1", "INFO"), Counters())
        await win.open("127.0.0.1:0")
        malformed = [b"GET /x HTTP/9\r\n\r\n", b"GET /\r\nedge-9 E forged HTTP/1.1\r\n\r\n"]
        for n in range(25):
            rd, wr = await talk(win, malformed[n % 2])
            assert (await rd.readline()).split()[1] == b"400"
            wr.close()
        await win.close(0)
        assert sum(win.counters.counts.values()) == 25
        assert all(name.startswith("http.malformed.") for name in win.counters.counts)

    run(go())
    lines = capfd.readouterr().err.splitlines()
    assert lines and all(line.startswith("edge-1 I http: malformed request, reason=") for line in lines)
    assert len(lines) <= 25  # LineLimit's own example shows the bound
