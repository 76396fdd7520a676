"""Rules of the hardened pages, each by the case that it names; docs/hardening.md says which line is shown where."""

import asyncio

import pytest
from tests.data_plane.test_at_most_once import EVENTS, RESET, SEAL, Bare, Front, head

from archhatch.upstream import UpstreamClient, Execution, Delivery

THREE = {
    "X-Archhatch-Model": "m 1, ö".encode().decode("latin-1"),
    "X-Archhatch-Token-Count": "540,400",
    "X-Archhatch-Prompt-Prefix": "9c2e41:300,5d07b8:240",
}
OK = head(200, SEAL, b"Content-Length: 2", body=b"ok")


class Reader:
    """A replica that answers as soon as it has a head and reads the bodies only later, in the order of the bytes."""

    def __init__(self):
        self.got, self.answered, self.later = asyncio.Queue(), asyncio.Event(), asyncio.Event()

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.listener.sockets[0].getsockname()[1]}"
        return self

    async def serve(self, reader, writer):
        try:
            while True:
                raw = await reader.readuntil(b"\r\n\r\n")
                writer.write(OK)
                self.answered.set()
                await self.later.wait()
                size = int(raw.lower().split(b"content-length: ")[1].split(b"\r")[0])
                self.got.put_nowait(await reader.readexactly(size))
        except (asyncio.IncompleteReadError, OSError):
            writer.close()


def test_the_rest_of_a_long_body_follows_an_early_answer(run):
    """The kernel's buffers cannot hold the body: most of it goes out after the answer came."""

    async def go():
        replica, upstream_client = await Reader().start(), UpstreamClient()
        bodies = [bytes([n]) * (8 << 20) for n in (1, 2)]
        for body in bodies:
            task = asyncio.ensure_future(
                upstream_client.send(replica.address, "i", "POST", "/x", [], body, "r", 20.0, Delivery.AT_LEAST_ONCE)
            )
            await replica.answered.wait()
            replica.later.set()
            answer = await task
            assert answer.execution in (Execution.EXECUTED, Execution.UNKNOWN)
        assert [await replica.got.get() for _ in bodies] == bodies  # nothing else came where a body was due
        await upstream_client.close()
        replica.listener.close()

    run(go())


ENDLESS = head(200, SEAL, body=b"half of it")


@pytest.mark.parametrize("then", ["close", RESET])
def test_an_answer_that_ends_with_its_connection_is_never_passed_on_as_whole(run, then):
    async def go():
        replica, upstream_client = await Bare(ENDLESS, then).start(), UpstreamClient()
        answer = await upstream_client.send(
            replica.address, "i", "POST", "/x", [], b"body", "r", 5.0, Delivery.AT_LEAST_ONCE
        )
        assert answer.execution is Execution.UNKNOWN and not answer.is_success
        await upstream_client.close()
        replica.listener.close()

    run(go())


def test_the_heads_that_say_what_a_request_takes_are_the_clients(run):
    async def go():
        replica, upstream_client = await Bare(OK).start(), UpstreamClient()
        answer = await upstream_client.send(
            replica.address, "i", "POST", "/x", list(THREE.items()), b"body", "r", 5.0, Delivery.AT_LEAST_ONCE
        )
        assert answer.execution is Execution.EXECUTED
        for name, value in THREE.items():
            assert f"\r\n{name}: {value}\r\n".lower() in replica.heads[0].encode().decode("utf-8")
        await upstream_client.close()
        replica.listener.close()

    run(go())


def deadline(raw):
    return int(raw.split("x-archhatch-deadline-ms: ")[1].split("\r")[0])


def test_a_further_send_has_only_the_time_that_is_left(run):
    async def go():
        first, second = await Bare(b"", RESET).start(), await Bare(OK).start()
        front = await Front("idempotent", first, second).start()
        status, _ = await front.ask(deadline_ms=4000)
        assert status == 200
        one, two = deadline(first.heads[0]), deadline(second.heads[0])
        assert 0 < two <= one <= 4000
        await front.end()

    run(go())


def test_a_stream_that_broke_off_inside_an_event_goes_on_behind_the_last_whole_one(run):
    async def go():
        whole = EVENTS.split(b"\n\n")
        shard = whole[0] + b"\n\n" + whole[1][: len(whole[1]) // 2]
        first = head(200, SEAL, b"Transfer-Encoding: chunked", body=b"%x\r\n%s\r\n" % (len(shard), shard))
        rest = b"\n\n".join(whole[1:])
        second = head(200, SEAL, b"Content-Length: %d" % len(rest), body=rest)
        broken, other = await Bare(first, RESET).start(), await Bare(second).start()
        front = await Front("streaming", broken, other, Resumable=True).start()
        status, body = await front.ask()
        assert status == 200 and body == EVENTS
        assert "last-event-id: 1\r\n" in other.heads[0]
        await front.end()

    run(go())
