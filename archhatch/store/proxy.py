"""Sends a request for an edge whose own requests are too rare to keep a connection to a replica warm."""

from __future__ import annotations

from ..rpc import CallRefusedError
from ..upstream import AGAIN

NO_LANE, NOT_SURE, LEAVING, NOTHING_FREE = 2006, 3004, 3005, 3002


class RequestProxy:
    """One send to one replica that this store picks; the edge judges what follows from it.

    >>> # doc, body = await proxy.send(doc, body)
    """

    def __init__(self, store):
        self.store = store

    async def send(self, doc: dict, body: bytes) -> tuple:
        """Send an idempotent request once. A refusal says that nothing was sent."""
        store, began = self.store, self.store.clock.now()
        if store.leaving:
            raise CallRefusedError(LEAVING)
        if store.plan is None:
            raise CallRefusedError(NOT_SURE)
        route = store.plan.route(doc["host"], doc["target"].split("?", 1)[0])
        if route is None or route.kind != "idempotent" or doc["service"] not in [name for name, _ in route.split]:
            raise CallRefusedError(NO_LANE)  # its configuration is another one than the edge's
        line = store.load_balancer.pick(doc["service"], set(doc["tried"]), began, route)
        if line is None:
            raise CallRefusedError(NOTHING_FREE)
        end = began + doc["secs"]
        line.under_way += 1
        store.counters.add("proxy.send")
        try:
            answer = await store.upstream_client.send(
                line.address,
                line.iid,
                doc["method"],
                doc["target"],
                [tuple(head) for head in doc["heads"]],
                body,
                doc["rid"],
                doc["secs"],
                AGAIN,
                lambda: store.clock.now() < end,
            )
        finally:
            line.under_way -= 1
            store.state_board.notify("score")  # reward calls may wait for the place
        now = store.clock.now()
        store.load_balancer.judge(line, answer, now, now - began, route.aim_s * 0.3)
        heads = [list(head) for head in answer.heads]
        return {"ran": answer.ran.value, "status": answer.status, "heads": heads, "why": answer.why}, answer.body
