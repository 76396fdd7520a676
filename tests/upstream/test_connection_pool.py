"""Connections that a replica forgot: what may run once never meets one, the rest goes out again at once."""

import asyncio

import pytest
from tests.support.fakes import HandClock

from archhatch.upstream import UpstreamClient, LoadBalancer, Execution, Delivery

OK = b"HTTP/1.1 200 OK\r\nX-Archhatch-Request-Id: %s\r\nX-Archhatch-Reply-Seal: s\r\n%sContent-Length: 2\r\n\r\nok"

AGAIN, ONCE = Delivery.AT_LEAST_ONCE, Delivery.AT_MOST_ONCE


class Forgetful:
    """A replica that is a bare socket; it forgets connections that idled so long by the clock, and resets the rest."""

    def __init__(self, clock, after=float("inf"), keep_alive=b""):
        self.clock, self.after, self.keep_alive = clock, after, keep_alive
        self.ran, self.conns, self.resets = [], 0, 0

    async def start(self):
        self.srv = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.srv.sockets[0].getsockname()[1]}"
        return self

    async def serve(self, rd, wr):
        self.conns += 1
        used = None
        try:
            while True:
                head = await rd.readuntil(b"\r\n\r\n")
                if used is not None and self.clock.now() - used > self.after:
                    self.resets += 1
                    wr.transport.abort()
                    return
                rid = next(
                    x.split(b": ")[1] for x in head.split(b"\r\n") if x.lower().startswith(b"x-archhatch-request-id")
                )
                self.ran.append(rid.decode())
                wr.write(OK % (rid, self.keep_alive))
                used = self.clock.now()
        except (asyncio.IncompleteReadError, OSError):
            wr.close()


def play(run, steps, after=float("inf"), keep_alive=b""):
    """Steps are (idle seconds before it, mode); gives (answers, replica)."""

    async def go():
        clock = HandClock()
        rep, upstream_client = await Forgetful(clock, after, keep_alive).start(), UpstreamClient(now=clock.now)
        out = []
        for n, (idle, mode) in enumerate(steps):
            clock.at += idle
            out.append(
                await upstream_client.send(
                    rep.address, "i", "POST", "/x", [("X-Archhatch-Request-Id", f"r{n}")], b"", f"r{n}", 5.0, mode
                )
            )
        await upstream_client.close()
        rep.srv.close()
        return out, rep

    return run(go())


CASES = [  # idle times and modes, forgotten after, Keep-Alive, connections, resets
    ([(0, AGAIN), (1, AGAIN), (1, AGAIN)], 9, b"", 1, 0),
    ([(0, AGAIN), (5, AGAIN)], 2, b"", 2, 1),  # forgotten: once more at once
    ([(0, AGAIN), (5, AGAIN), (4.5, AGAIN), (1, AGAIN)], 2, b"", 3, 1),  # and not tried so late again
    ([(0, ONCE), (1, ONCE)], 9, b"", 2, 0),  # nothing is proven
    ([(0, AGAIN), (3, AGAIN), (2, ONCE), (4, ONCE)], 9, b"", 2, 0),  # proven for 3 s
    ([(0, AGAIN), (3, AGAIN), (2, ONCE)], 1, b"", 3, 1),  # what served before was forgotten since
    ([(0, AGAIN), (3, AGAIN), (40, AGAIN), (0.1, AGAIN), (2, ONCE)], 99, b"", 1, 0),
    ([(0, AGAIN), (3, AGAIN), (0.1, AGAIN), (0.1, AGAIN), (35, AGAIN), (36, ONCE)], 99, b"", 2, 0),
    ([(0, AGAIN), (3, AGAIN)], 9, b"Keep-Alive: timeout=5\r\n", 1, 0),
    ([(0, AGAIN), (4.5, AGAIN)], 9, b"Keep-Alive: timeout=5\r\n", 2, 0),  # its close may be on the way
    ([(0, AGAIN), (4.5, AGAIN)], 9, b"Keep-Alive: 5, max=9\r\n", 2, 0),
    ([(0, AGAIN), (3, AGAIN), (3, ONCE)], 9, b"Keep-Alive: timeout=3\r\n", 3, 0),
]


@pytest.mark.parametrize("steps, after, keep_alive, conns, resets", CASES)
def test_what_may_be_repeated_is_and_what_may_not_meets_no_reset(run, steps, after, keep_alive, conns, resets):
    out, rep = play(run, steps, after, keep_alive)
    assert [a.is_success for a in out] == [True] * len(steps)
    assert rep.ran == [f"r{n}" for n in range(len(steps))]  # each ran once
    assert (rep.conns, rep.resets) == (conns, resets)


def test_without_a_mode_the_caller_is_told(run):
    out, rep = play(run, [(0, ""), (5, ""), (0, "")], 2)
    assert [(a.execution, a.is_stale_connection) for a in out] == [
        (Execution.EXECUTED, False),
        (Execution.UNKNOWN, True),
        (Execution.EXECUTED, False),
    ]
    assert rep.ran == ["r0", "r2"]


@pytest.mark.parametrize("stale, state", [(True, "healthy"), (False, "suspect")])
def test_a_forgotten_connection_is_no_ill_health(run, stale, state):
    out, _ = play(run, [(0, ""), (5, "")], 2)
    p = LoadBalancer("z")
    p.apply_updates([{"id": "i", "addr": "a:1", "service": "s", "zone": "z", "slots": 6, "state": "up"}])
    out[1].is_stale_connection = stale
    p.record_result(p.replicas["i"], out[1], 1.0, 0.01, 0.1)
    assert p.replicas["i"].health.state == state


@pytest.mark.parametrize(
    "idle, work, tries",
    [
        (5.0, 0.0, 2),  # forgotten
        (0.1, 0.0, 1),  # it was in use just now: the replica cut the request
        (5.0, 1.0, 1),
    ],
)  # it worked on it for a while
def test_only_a_reset_at_once_after_some_idle_time_is_taken_for_a_forgotten_one(run, idle, work, tries):
    async def go():
        clock, seen = HandClock(), []

        async def serve(rd, wr):
            try:
                for n in range(9):
                    seen.append(await rd.readuntil(b"\r\n\r\n"))
                    if n:
                        clock.at += work
                        wr.transport.abort()
                        return
                    wr.write(OK % (b"r", b""))
            except (asyncio.IncompleteReadError, OSError):
                wr.close()

        srv, upstream_client = await asyncio.start_server(serve, "127.0.0.1", 0), UpstreamClient(now=clock.now)
        address = f"127.0.0.1:{srv.sockets[0].getsockname()[1]}"
        answers = []
        for _ in range(2):
            answers.append(
                await upstream_client.send(
                    address, "i", "POST", "/x", [("X-Archhatch-Request-Id", "r")], b"", "r", 5.0, AGAIN
                )
            )
            clock.at += idle
        assert len(seen) == 1 + tries and answers[1].is_success is (tries == 2) and not answers[1].is_stale_connection
        await upstream_client.close()
        srv.close()

    run(go())


def test_a_fresh_connection_that_is_reset_is_not_repeated_unseen(run):
    async def go():
        tries = []

        async def serve(rd, wr):
            tries.append(await rd.readuntil(b"\r\n\r\n"))
            wr.transport.abort()

        srv, upstream_client = await asyncio.start_server(serve, "127.0.0.1", 0), UpstreamClient()
        address = f"127.0.0.1:{srv.sockets[0].getsockname()[1]}"
        answer = await upstream_client.send(
            address, "i", "POST", "/x", [("X-Archhatch-Request-Id", "r")], b"", "r", 5.0, AGAIN
        )
        assert (answer.execution, answer.is_stale_connection, len(tries)) == (Execution.UNKNOWN, False, 1)
        await upstream_client.close()
        srv.close()

    run(go())


def test_a_body_goes_out_whole_again(run):
    async def go():
        clock, bodies = HandClock(), []

        async def serve(rd, wr):
            try:
                for n in range(9):
                    head = await rd.readuntil(b"\r\n\r\n")
                    size = next(
                        int(x.split(b":")[1]) for x in head.split(b"\r\n") if x.lower().startswith(b"content-length")
                    )
                    body = await rd.readexactly(size)
                    if n:
                        wr.transport.abort()
                        return
                    bodies.append(body)
                    wr.write(OK % (b"r", b""))
            except (asyncio.IncompleteReadError, OSError):
                wr.close()

        srv, upstream_client = await asyncio.start_server(serve, "127.0.0.1", 0), UpstreamClient(now=clock.now)
        address = f"127.0.0.1:{srv.sockets[0].getsockname()[1]}"
        for body in (b"one", b"two" * 9999):
            clock.at += 1
            assert (
                await upstream_client.send(
                    address, "i", "POST", "/x", [("X-Archhatch-Request-Id", "r")], body, "r", 5.0, AGAIN
                )
            ).is_success
        assert bodies == [b"one", b"two" * 9999]
        await upstream_client.close()
        srv.close()

    run(go())


def test_a_connection_too_old_to_use_is_not_called_warm(run):
    async def go():
        clock = HandClock()
        rep, upstream_client = (
            await Forgetful(clock, keep_alive=b"Keep-Alive: timeout=5\r\n").start(),
            UpstreamClient(now=clock.now),
        )
        await upstream_client.send(
            rep.address, "i", "GET", "/x", [("X-Archhatch-Request-Id", "r")], b"", "r", 5.0, AGAIN
        )
        assert upstream_client.has_idle_connection(rep.address)
        clock.at += 4.5
        assert not upstream_client.has_idle_connection(rep.address)
        await upstream_client.close()
        rep.srv.close()

    run(go())


class TargetReader:
    """A replica that is a bare socket, and keeps the targets of its requests."""

    async def start(self):
        self.targets = []
        self.srv = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.srv.sockets[0].getsockname()[1]}"
        return self

    async def serve(self, rd, wr):
        head = await rd.readuntil(b"\r\n\r\n")
        self.targets.append(head.split(b" ")[1].decode())
        wr.write(OK % (b"r", b"Connection: close\r\n"))
        wr.close()


@pytest.mark.parametrize("target", ["/x", "/x?", "/?", "//x/y?", "/x?#", "/x#y", "/x?a=%20&b#c?", "/a%2Fb;c?d=/../"])
def test_a_target_reaches_the_replica_as_it_came(run, target):
    """Guards against requests that run under another target: an empty query or a "#" was dropped."""

    async def go():
        replica, upstream_client = await TargetReader().start(), UpstreamClient()
        headers = [("X-Archhatch-Request-Id", "r")]
        answer = await upstream_client.send(replica.address, "i", "POST", target, headers, b"", "r", 5.0, ONCE)
        await upstream_client.close()
        replica.srv.close()
        assert answer.execution is Execution.EXECUTED and replica.targets == [target]

    run(go())
