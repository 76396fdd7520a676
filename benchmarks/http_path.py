"""Processor time of a request by the HTTP server and the client to replicas: python3 benchmarks/http_path.py. No test.

Client, server and replica run in one process; each figure is the least of some rounds, in microseconds a request.
"""

import asyncio
import os
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path[:0] = [os.path.join(ROOT, "target", "deps"), ROOT]

from archhatch.http_server import HttpServer  # noqa: E402
from archhatch.runtime import Counters, Result, open_logs  # noqa: E402
from archhatch.upstream import UpstreamClient  # noqa: E402
from archhatch.upstream.connection_pool import Delivery  # noqa: E402

REQUESTS = 3000
ROUNDS = 5
BODIES = (0, 300, 20_000, 1_000_000)


async def replica(reader, writer):
    """Answers each request as soon as it is whole."""
    while True:
        try:
            raw = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        size = next(
            (int(line.split(b":")[1]) for line in raw.lower().split(b"\r\n") if line.startswith(b"content-length")), 0
        )
        await reader.readexactly(size)
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Archhatch-Request-Id: r\r\nX-Archhatch-Reply-Seal: s\r\nContent-Length: 2\r\n\r\nok"
        )


async def send(port, body, count):
    """Sends requests on one connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    raw = b"POST /x HTTP/1.1\r\nHost: h\r\nX-Archhatch-Request-Id: r\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    for _ in range(count):
        writer.write(raw)
        head = await reader.readuntil(b"\r\n\r\n")
        size = next(
            int(line.split(b":")[1]) for line in head.lower().split(b"\r\n") if line.startswith(b"content-length")
        )
        await reader.readexactly(size)
    writer.close()


async def measure(name, handler, body):
    """Prints the processor time of a request."""
    server = HttpServer(handler, open_logs("bench", "CRITICAL"), Counters())
    await server.open("127.0.0.1:0")
    count = REQUESTS if len(body) < 100_000 else REQUESTS // 20
    best = float("inf")
    for _ in range(ROUNDS):
        began = time.process_time()
        await send(server.port(), body, count)
        best = min(best, time.process_time() - began)
    await server.close(0.0)
    print(f"{name:8} {len(body):8} bytes {best / count * 1e6:9.1f} us")


async def main():
    """Measures the server alone, and with a replica behind it."""

    async def echo(_request, _body):
        return Result(200, b"ok")

    listener = await asyncio.start_server(replica, "127.0.0.1", 0, limit=1 << 22)
    address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
    client = UpstreamClient()

    async def forward(request, body):
        answer = await client.send(
            address, "i", "POST", "/x", list(request.headers.items()), body, "r", 5.0, Delivery.AT_LEAST_ONCE
        )
        return Result(answer.status, answer.body)

    for length in BODIES:
        await measure("server", echo, bytes(length))
        await measure("forward", forward, bytes(length))
    await client.close()
    listener.close()


asyncio.run(main())
