"""A client that closes its connection: nothing new is sent for it, and what may be repeated is broken off."""

import asyncio

import pytest
from tests.data_plane.test_hedging import GOOD, OUT, Req, setup

from archhatch.http_server import HttpServer
from archhatch.runtime import Counters, Result, open_logs

CASES = [  # kind, answers by turn, sends out when the client leaves, broken off
    ("idempotent", [OUT], 1, True),
    ("idempotent", [OUT, OUT], 2, True),
    ("non_idempotent", [OUT], 1, False),  # it runs once: half of it must not be left
]


@pytest.mark.parametrize("kind, answers, out, broken", CASES)
def test_what_is_out_when_the_client_leaves(run, kind, answers, out, broken):
    async def go():
        fwd, route = setup(answers + [GOOD], kind)
        task = asyncio.ensure_future(fwd.forward(Req, route, list(Req.headers.items()), b""))
        while len(fwd.upstream_client.sent) < out:
            await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        await asyncio.sleep(0)
        assert len(fwd.upstream_client.sent) == out and fwd.counters.counts["front.client_left"] == 1
        assert (len(fwd.upstream_client.ended) == out) is broken and len(fwd.outlived) == (0 if broken else out)
        fwd.upstream_client.gate.set()
        await asyncio.gather(*fwd.outlived)
        assert {t.in_flight for t in fwd.load_balancer.replicas.values()} == {0}
        assert {t.health.state for t in fwd.load_balancer.replicas.values()} == {
            "healthy"
        }  # it says nothing of a replica's health

    run(go())


def test_a_connection_that_comes_up_after_the_client_left_is_not_used(run):
    async def go():
        fwd, route = setup([OUT], "non_idempotent")
        asked = []
        send = fwd.upstream_client.send

        async def slow_to_connect(*args):
            asked.append(args[-1])
            return await send(*args)

        fwd.upstream_client.send = slow_to_connect
        task = asyncio.ensure_future(fwd.forward(Req, route, list(Req.headers.items()), b""))
        while not asked:
            await asyncio.sleep(0)
        assert asked[0]()
        task.cancel()
        await asyncio.wait([task])
        assert not asked[0]()
        fwd.upstream_client.gate.set()
        await asyncio.gather(*fwd.outlived)

    run(go())


@pytest.mark.parametrize("cancels", [True, False])
def test_a_listener_tells_the_handler_that_its_client_left(run, cancels):
    async def go():
        began, ended, gate = asyncio.Event(), [], asyncio.Event()

        async def slow(request, body):
            began.set()
            try:
                await gate.wait()
            finally:
                ended.append(gate.is_set())
            return Result(200, body)

        win = HttpServer(slow, open_logs("t", "CRITICAL"), Counters(), cancel_on_disconnect=cancels)
        await win.open("127.0.0.1:0")
        _, writer = await asyncio.open_connection("127.0.0.1", win.port())
        writer.write(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok")
        await began.wait()
        writer.close()
        await writer.wait_closed()
        while win._server.connections and cancels:
            await asyncio.sleep(0)
        gate.set()
        while not ended:
            await asyncio.sleep(0)
        assert ended == [not cancels] and win.in_flight == 0
        await win.close(0)

    run(go())
