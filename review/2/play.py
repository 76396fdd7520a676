"""Case 2: an edge that ends takes requests on kept connections long after its SIGTERM, and cuts them off."""

from __future__ import annotations

import asyncio
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from harness import BOUNDS, HOST, LIMITS, ClientConnection, Message, Record, Replica, System, has_trouble, main

WORK_S = 3.5  # of an order at its replica
TIMEOUT_S = 6.0  # of the route, and each client's deadline
GRACE_S = float(BOUNDS["GraceS"])
EXCUSED_S = 3.0  # after the SIGTERM: what is sent later than that is not excused by a replica at work
SENT_AT_S = (-1.0, 0.5, 3.5, 3.8, 4.0)  # when each client sends its order, from the SIGTERM on

CONFIGURATION = {
    "Revision": 1,
    "RouteTable": [
        {
            "Name": "order",
            "HostName": HOST,
            "PathPrefix": "/order/",
            "RouteClass": "non_idempotent",
            "TimeoutMs": int(TIMEOUT_S * 1000),
            "TargetLatencyMs": 4000,
            "Priority": 2,
            "Service": "quote-app",
            "MaxAttempts": 1,
        },
    ],
    "ServiceTable": [
        {"Name": "quote-app", "HealthPath": "/health", "MaxConnections": 110, "Protocol": "h1", "TlsMode": False},
    ],
    "Limits": LIMITS,
}


@dataclass
class Order:
    """A client's order.

    Attributes:
        request_id: Its id.
        sent_s: When it was sent, from the SIGTERM on.
        answer: What came; None if the connection closed without an answer.
        took_s: How long that took.
    """

    request_id: str
    sent_s: float
    answer: Message | None = None
    took_s: float = 0.0

    @property
    def was_cut(self) -> bool:
        """Whether the connection closed with no complete answer, before its time was up."""
        is_whole = self.answer is not None and self.answer.is_complete
        return not is_whole and self.took_s < TIMEOUT_S - 0.1


async def send(connection: ClientConnection, request_id: str, target: str) -> Message | None:
    """Sends a request as a client does; waits a little longer than its deadline."""
    headers = {
        "Host": HOST,
        "X-Archhatch-Request-Id": request_id,
        "X-Archhatch-Deadline-Ms": str(int(TIMEOUT_S * 1000)),
        "Content-Type": "application/json",
    }
    return await connection.call("POST", target, headers, b'{"beams":12}', TIMEOUT_S + 1.0)


async def order_at(
    record: Record, connection: ClientConnection, order: Order, sigterm_at: asyncio.Future[float]
) -> None:
    """Sends an order at its time on a connection that is kept from an earlier request."""
    loop = asyncio.get_running_loop()
    if order.sent_s >= 0:
        await asyncio.sleep(await asyncio.shield(sigterm_at) + order.sent_s - loop.time())
    began_at = loop.time()
    record.say(f"client sends {order.request_id} on its kept connection ({order.sent_s:+.1f} s from the SIGTERM)")
    order.answer = await send(connection, order.request_id, f"/order/{order.request_id}")
    order.took_s = loop.time() - began_at
    shown = "no answer, the connection is closed" if order.answer is None else order.answer.first_line
    record.say(f"client of {order.request_id} gets after {order.took_s:.2f} s: {shown}")


async def play(record: Record) -> bool:
    """Returns whether an order was lost around the planned end."""
    system = System(record)
    replicas = [
        Replica(system, "quote-app", n, slots=6, work_s=lambda target: 0.02 if "warm" in target else WORK_S)
        for n in (1, 2)
    ]
    connections = [ClientConnection(system.front()) for _ in SENT_AT_S]
    try:
        await system.start(CONFIGURATION)
        for replica in replicas:
            await replica.start()
        await asyncio.sleep(4.0)  # longer than ContactMs: the edge is in touch
        for n, connection in enumerate(connections):
            await connection.open()
            answer = await send(connection, f"warm-{n}", "/order/warm")
            record.add(f"warm-{n}: {None if answer is None else answer.first_line}")
        orders = [Order(f"order-{n}", sent_s) for n, sent_s in enumerate(SENT_AT_S)]
        sigterm_at: asyncio.Future[float] = asyncio.get_running_loop().create_future()
        clients = [
            asyncio.ensure_future(order_at(record, connection, order, sigterm_at))
            for connection, order in zip(connections, orders, strict=True)
        ]
        await asyncio.sleep(1.0)
        if has_trouble():
            system.signal("edge-1", signal.SIGTERM)
        sigterm_at.set_result(asyncio.get_running_loop().time())
        await asyncio.gather(*clients)
        return judge(record, replicas, orders)
    finally:
        for connection in connections:
            connection.close()
        for replica in replicas:
            await replica.stop()
        system.end()


def judge(record: Record, replicas: list[Replica], orders: list[Order]) -> bool:
    """The rule: an order that was passed on, and sent too late for the excuse, ended with a closed connection."""
    runs = {run.request_id: run for replica in replicas for run in replica.runs}
    lost = []
    for order in orders:
        was_passed_on = order.request_id in runs
        is_in_window = order.sent_s + order.took_s <= GRACE_S + 1.0
        if order.was_cut and was_passed_on and is_in_window and order.sent_s > EXCUSED_S:
            lost.append(order.request_id)
    record.say(f"passed on to a replica, sent later than {EXCUSED_S} s after the SIGTERM, and cut: {lost}")
    return bool(lost)


main(str(Path(__file__).resolve().parent), play)
