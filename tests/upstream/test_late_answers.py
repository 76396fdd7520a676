"""Answers that come late, twice, short or not at all, from a replica that is a bare socket."""

import asyncio

import pytest

from archhatch.upstream import UpstreamClient, Execution

OK = b"HTTP/1.1 200 OK\r\nX-Archhatch-Request-Id: %s\r\nX-Archhatch-Reply-Seal: s\r\nContent-Length: 2\r\n\r\n%s"


async def replica(script):
    """Serves each request on each connection by script(rid) -> (bytes, close)."""

    async def serve(rd, wr):
        try:
            while True:
                head = await rd.readuntil(b"\r\n\r\n")
                rid = next(
                    x.split(b": ")[1] for x in head.split(b"\r\n") if x.lower().startswith(b"x-archhatch-request-id")
                )
                raw, close = script(rid)
                wr.write(raw)
                if close:
                    wr.close()
                    return
        except (asyncio.IncompleteReadError, OSError):
            wr.close()

    return await asyncio.start_server(serve, "127.0.0.1", 0)


async def ask(upstream_client, srv, rid, timeout_s=5.0):
    address = f"127.0.0.1:{srv.sockets[0].getsockname()[1]}"
    return await upstream_client.send(address, "i", "GET", "/x", [("X-Archhatch-Request-Id", rid)], b"", rid, timeout_s)


def test_an_answer_too_many_belongs_to_nobody(run):
    async def go():
        seen = []

        def script(rid):
            seen.append(rid)
            extra = OK % (b"a", b"AA") if rid == b"a" else b""
            return OK % (rid, rid * 2) + extra, False

        srv, upstream_client = await replica(script), UpstreamClient()
        assert (await ask(upstream_client, srv, "a")).body == b"aa"
        for rid in ("b", "c"):
            answer = await ask(upstream_client, srv, rid)
            assert answer.execution is Execution.UNKNOWN or answer.body == rid.encode() * 2  # never the bytes of "a"
        assert (await ask(upstream_client, srv, "d")).body == b"dd"
        await upstream_client.close()
        srv.close()

    run(go())


CASES = [  # raw answer, whether the connection closes behind it, what is certain
    (OK % (b"r", b"ok"), False, Execution.EXECUTED),
    (OK % (b"other", b"ok"), False, Execution.UNKNOWN),
    ((OK % (b"r", b"ok"))[:-1], True, Execution.UNKNOWN),  # cut short
    (b"", True, Execution.UNKNOWN),  # lost
    (b"\x00\xffno answer\r\n\r\n", True, Execution.UNKNOWN),
    (
        b"HTTP/1.1 200 OK\r\nX-Archhatch-Request-Id: r\r\nContent-Length: 2\r\n\r\nok",
        False,
        Execution.UNKNOWN,
    ),  # no seal
    (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", False, Execution.UNKNOWN),  # no id
    (b"HTTP/1.1 500 X\r\nX-Archhatch-Request-Id: r\r\nContent-Length: 0\r\n\r\n", False, Execution.EXECUTED),
    (
        b"HTTP/1.1 503 X\r\nX-Archhatch-Request-Id: r\r\nX-Archhatch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
        False,
        Execution.NOT_EXECUTED,
    ),
    (
        b"HTTP/1.1 503 X\r\nX-Archhatch-Request-Id: r\r\nContent-Length: 0\r\n\r\n",
        False,
        Execution.EXECUTED,
    ),  # its own word
    (b"HTTP/1.1 421 X\r\nX-Archhatch-Instance-Id: other\r\nContent-Length: 0\r\n\r\n", False, Execution.NOT_EXECUTED),
]


@pytest.mark.parametrize("raw, close, ran", CASES)
def test_what_an_answer_proves(run, raw, close, ran):
    async def go():
        srv, upstream_client = await replica(lambda rid: (raw, close)), UpstreamClient()
        assert (await ask(upstream_client, srv, "r")).execution is ran
        await upstream_client.close()
        srv.close()

    run(go())


def test_silence_proves_nothing_and_a_dead_port_that_it_did_not_run(run):
    async def go():
        srv, upstream_client = await replica(lambda rid: (b"", False)), UpstreamClient()
        answer = await ask(upstream_client, srv, "r", timeout_s=0.05)
        assert answer.execution is Execution.UNKNOWN and answer.is_unresponsive
        srv.close()
        await srv.wait_closed()
        fresh = UpstreamClient()
        gone = await replica(lambda rid: (b"", False))
        address = f"127.0.0.1:{gone.sockets[0].getsockname()[1]}"
        gone.close()
        await gone.wait_closed()
        assert (await fresh.send(address, "i", "GET", "/x", [], b"", "r", 1.0)).execution is Execution.NOT_EXECUTED
        await upstream_client.close()
        await fresh.close()

    run(go())
