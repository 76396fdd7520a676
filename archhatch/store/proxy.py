"""Sends a request for an edge whose own requests are too rare to keep a connection to a replica warm."""

from __future__ import annotations

from ..rpc import Refusal
from ..upstream import AGAIN

NO_LANE, NOT_SURE, LEAVING, NOTHING_FREE = 2006, 3004, 3005, 3002


class RequestProxy:
    """One send to one replica that this store picks; the edge judges what follows from it.

    >>> # doc, body = await proxy.send(doc, body)
    """

    def __init__(self, store):
        self.st = store

    async def send(self, doc: dict, body: bytes) -> tuple:
        """Send an idempotent request once. A refusal says that nothing was sent."""
        st, began = self.st, self.st.clock.now()
        if st.leaving:
            raise Refusal(LEAVING)
        if st.plan is None:
            raise Refusal(NOT_SURE)
        lane = st.plan.lane(doc["host"], doc["target"].split("?", 1)[0])
        if lane is None or lane.kind != "idempotent" or doc["service"] not in [name for name, _ in lane.split]:
            raise Refusal(NO_LANE)  # its configuration is another one than the edge's
        line = st.picker.pick(doc["service"], set(doc["tried"]), began, lane)
        if line is None:
            raise Refusal(NOTHING_FREE)
        end = began + doc["secs"]
        line.under_way += 1
        st.ctr.add("proxy.send")
        try:
            ans = await st.caller.send(
                line.addr,
                line.iid,
                doc["method"],
                doc["target"],
                [tuple(head) for head in doc["heads"]],
                body,
                doc["rid"],
                doc["secs"],
                AGAIN,
                lambda: st.clock.now() < end,
            )
        finally:
            line.under_way -= 1
            st.board.touch("score")  # reward calls may wait for the place
        now = st.clock.now()
        st.picker.judge(line, ans, now, now - began, lane.aim_s * 0.3)
        heads = [list(head) for head in ans.heads]
        return {"ran": ans.ran.value, "status": ans.status, "heads": heads, "why": ans.why}, ans.body
