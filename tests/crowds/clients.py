"""Crowds of clients that do not behave, and an ordinary caller beside them.

A crowd sends for a bounded time and stays open until its context ends.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import itertools
import json
import random
import socket
import struct
from collections.abc import Awaitable, Callable, Iterator

from tests.soak.deployment import HOST, call_once, status_of

CROWD_S = 6.0  # how long a crowd sends before the ordinary caller comes
TRICKLE_S = 0.5  # between the last bytes of a slow body
PIECE_BYTES = 65_000
ORDINARY_TRIES = 40
ORDINARY_PAUSE_S = 0.25
ORDINARY_TIMEOUT_S = 6.0
FILLER = memoryview(bytes(48 << 20))
RECEIVE_BUFFER_BYTES = 4096  # of a client that does not read

_NUMBERS = itertools.count(1)


def head(target: str, length: int | None, method: str = "POST", deadline_ms: int = 60_000, **more: str) -> bytes:
    """Returns the head of a request; without a length its body is chunked."""
    request_id = more.pop("request_id", f"crowd-{next(_NUMBERS)}")
    framing = "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Archhatch-Request-Id: {request_id}",
        f"X-Archhatch-Deadline-Ms: {deadline_ms}",
        "Content-Type: application/json",
        framing,
        *(f"{name.replace('_', '-')}: {value}" for name, value in more.items()),
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def chunks(chunk_bytes: int, total: int) -> bytes:
    """Returns a body of `total` bytes in chunks, without the last chunk."""
    whole = b"%x\r\n" % chunk_bytes + bytes(chunk_bytes) + b"\r\n"
    return whole * (total // chunk_bytes)


class Client:
    """One connection of a crowd."""

    def __init__(self, address: str) -> None:
        host, port = address.rsplit(":", 1)
        self.address = (host, int(port))
        self.socket = socket.socket()
        self.socket.setblocking(False)

    async def connect(self) -> None:
        await asyncio.get_running_loop().sock_connect(self.socket, self.address)

    async def send(self, data: bytes | memoryview) -> None:
        await asyncio.get_running_loop().sock_sendall(self.socket, data)

    def reset(self) -> None:
        """Closes the connection with a reset."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()


Script = Callable[[Client], Awaitable[None]]


@contextlib.asynccontextmanager
async def crowd(address: str, size: int, script: Script, for_s: float = CROWD_S):
    """Plays a script on so many connections for so long; they stay open, and scripts go on, until the end."""
    clients = [Client(address) for _ in range(size)]
    tasks = [asyncio.ensure_future(_play(client, script)) for client in clients]
    try:
        await asyncio.wait(tasks, timeout=for_s)
        yield clients
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for client in clients:
            client.socket.close()


async def _play(client: Client, script: Script) -> None:
    with contextlib.suppress(OSError):  # the server may refuse or close
        await client.connect()
        await script(client)


# -- scripts


def body_with_length(target: str, length: int, missing: int = 0, method: str = "POST") -> Script:
    """Sends a body with a length, but for its last bytes."""

    async def script(client: Client) -> None:
        await client.send(head(target, length, method))
        await client.send(FILLER[: length - missing])

    return script


def body_piece_by_piece(target: str, length: int, missing: int) -> Script:
    """Sends a body in pieces, and gives way after each, so that all bodies of a crowd grow together."""

    async def script(client: Client) -> None:
        await client.send(head(target, length))
        sent = 0
        while sent < length - missing:
            piece = min(PIECE_BYTES, length - missing - sent)
            await client.send(FILLER[:piece])
            sent += piece
            await asyncio.sleep(0)

    return script


def body_in_chunks(target: str, total: int, chunk_bytes: int, is_ended: bool = False) -> Script:
    """Sends a body in chunks, but for the last one."""
    raw = memoryview(chunks(chunk_bytes, total))

    async def script(client: Client) -> None:
        await client.send(head(target, None))
        for at in range(0, len(raw), PIECE_BYTES):
            await client.send(raw[at : at + PIECE_BYTES])
            await asyncio.sleep(0)
        if is_ended:
            await client.send(b"0\r\n\r\n")

    return script


def slow_body(target: str, length: int, missing: int) -> Script:
    """Sends most of a body at once, and the rest a byte at a time."""

    async def script(client: Client) -> None:
        await client.send(head(target, length))
        await client.send(FILLER[: length - missing])
        for _ in range(missing - 1):
            await asyncio.sleep(TRICKLE_S)
            await client.send(b"x")

    return script


def requests_ahead(target: str, count: int, length: int) -> Script:
    """Sends many whole requests one behind the other, and reads no answer."""

    async def script(client: Client) -> None:
        for _ in range(count):
            await client.send(head(target, length))
            await client.send(FILLER[:length])

    return script


def unread_answer(target: str) -> Script:
    """Asks for an answer and reads nothing of it."""

    async def script(client: Client) -> None:
        await client.send(head(target, 2) + b"{}")

    return script


def _with_resets(next_request: Callable[[], bytes], count: int, pause_s: float = 0.0) -> Script:
    """Sends a request, or a part of one, and resets the connection, again and again on new ones."""

    async def script(client: Client) -> None:
        address = f"{client.address[0]}:{client.address[1]}"
        for _ in range(count):
            other = Client(address)
            try:
                await other.connect()
                await other.send(next_request())
                await asyncio.sleep(pause_s)
            finally:
                other.reset()

    return script


def bodies_and_resets(target: str, length: int, sent: Iterator[int], count: int) -> Script:
    """Sends part of a body and resets the connection, again and again."""
    return _with_resets(lambda: head(target, length) + FILLER[: next(sent)], count)


def job_body(payload_bytes: int, items: int, is_random: bool = False) -> bytes:
    """Returns a batch job with payloads of so many bytes; random ones do not get shorter on their way between nodes."""
    plain = bytes(range(256)) * (payload_bytes // 256)
    payloads = [base64.b64encode(random.randbytes(len(plain)) if is_random else plain).decode() for _ in range(items)]
    entries = [
        {
            "InstanceId": f"item-{n}",
            "Path": f"/roll/{n}",
            "GroupId": f"g{n}",
            "TokenCount": 24,
            "HeaderMap": {"X-Archhatch-Model": "m", "X-Archhatch-Token-Count": "16,8"},
            "Payload": payloads[n],
            "ScorerUrl": {"InstanceId": f"reward-{n}", "HostName": HOST, "Path": f"/score/{n}"},
        }
        for n in range(items)
    ]
    return json.dumps({"TrainStep": 0, "Model": "m", "MinRevision": 1, "DesiredCount": 1, "Entries": entries}).encode()


def batch_job(body: bytes, job_id: str | None = None) -> Script:
    """Hands in a batch job, under an id of its own if none is given."""

    async def script(client: Client) -> None:
        own_id = {} if job_id is None else {"request_id": job_id}
        await client.send(head("/roll/step", len(body), **own_id))
        await client.send(body)

    return script


def batch_jobs_and_resets(body: bytes, count: int) -> Script:
    """Hands in a batch job and resets the connection once it is on its way to its store, again and again."""
    return _with_resets(lambda: head("/roll/step", len(body)) + body, count, pause_s=0.05)


async def nothing(_client: Client) -> None:
    """Sends nothing."""


# -- the ordinary caller


async def ordinary_status(address: str, target: str = "/quote/1", body: bytes = b"{}") -> int:
    """Sends one request as the pages' clients do, again after a failure or a refusal; returns the last status."""
    status = 0
    for _ in range(ORDINARY_TRIES):
        headers = {
            "Host": HOST,
            "X-Archhatch-Request-Id": f"ordinary-{next(_NUMBERS)}",
            "X-Archhatch-Deadline-Ms": "5000",
        }
        status = status_of(await call_once(address, "POST", target, headers, body, ORDINARY_TIMEOUT_S))
        if status == 200:
            break
        await asyncio.sleep(ORDINARY_PAUSE_S)
    return status


async def chunked_status(address: str, total: int, chunk_bytes: int) -> int:
    """Sends one chunked request, again after a failure or a refusal; returns the last status."""
    raw = chunks(chunk_bytes, total) + b"0\r\n\r\n"
    status = 0
    for _ in range(ORDINARY_TRIES):
        client = Client(address)
        try:
            await client.connect()
            status = await asyncio.wait_for(_chunked_call(client, raw), 60.0)
        except (OSError, TimeoutError, ValueError):
            status = 0
        finally:
            client.socket.close()
        if status == 200:
            break
        await asyncio.sleep(ORDINARY_PAUSE_S)
    return status


async def _chunked_call(client: Client, raw: bytes) -> int:
    await client.send(head("/quote/1", None))
    await client.send(raw)
    answer = await asyncio.get_running_loop().sock_recv(client.socket, 64)
    return int(answer.split(b" ")[1])
