"""Ends connections whose clients take too long: for a header section, a body, the next request, or an answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..runtime import Counters
from .client_memory import ANSWER_STALL_TIMEOUT_S, BODY_STALL_TIMEOUT_S
from .connection import HEADER_TIMEOUT_RESPONSE, ClientConnection, ConnectionTable, EndReason
from .limits import HttpLimits

SWEEPS_PER_HEADER_TIMEOUT = 4  # how often connections are looked at


async def sweep_connections(table: ConnectionTable, limits: Callable[[], HttpLimits], counters: Counters) -> None:
    """Looks at all connections from time to time."""
    loop = asyncio.get_running_loop()
    while True:
        await asyncio.sleep(limits().header_timeout_s / SWEEPS_PER_HEADER_TIMEOUT)
        now = loop.time()
        for connection in table.client_connections():
            _sweep(connection, now, limits(), counters)


def _sweep(connection: ClientConnection, now: float, limits: HttpLimits, counters: Counters) -> None:
    transport = connection.transport
    if transport is None:
        return
    if connection.unsent_since is not None and now - connection.unsent_since > ANSWER_STALL_TIMEOUT_S:
        counters.add("http.answer_not_taken")
        connection.abort()
    elif connection.body_charge is not None:
        if now - connection.body_charge.bytes_at > BODY_STALL_TIMEOUT_S:
            connection.end_request(EndReason.BODY_STALLED)
    elif not connection.awaits_request:
        return
    elif connection.header_started_at is not None:
        if now - connection.header_started_at > limits.header_timeout_s:
            counters.add("http.slow_header")
            transport.write(HEADER_TIMEOUT_RESPONSE)
            transport.close()
    elif connection.opened_at is not None and now - connection.opened_at > limits.idle_timeout_s:
        counters.add("http.idle")
        transport.close()
