"""Reward calls: the most urgent first, in the places that live requests leave."""

from __future__ import annotations

import asyncio
import base64
import heapq
import itertools

from ..upstream import AGAIN, ECHO, SEAL, Ran
from .load_limit import LoadLimit


LOOK = 64  # waiting calls that are looked at for one place


class Scoring:
    """score() gives the seal of a reward call's 2xx, or None once the call failed for good.

    >>> # scoring = Scoring(store, load_limit); task_group.run_forever("scoring", scoring.run);
    >>> # seal = await scoring.score(work, key)
    """

    def __init__(self, store, load_limit: LoadLimit):
        self.store, self.load_limit = store, load_limit
        self.inbox: list = []
        self.count = itertools.count()

    async def score(self, work, key: tuple) -> str | None:
        """Wait for a place in the order of key, call, and call again where that may help."""
        while True:
            fut = asyncio.get_running_loop().create_future()
            heapq.heappush(self.inbox, (key, next(self.count), work, fut))
            self.store.state_board.notify("score")
            try:
                line, route = await fut
            except asyncio.CancelledError:
                if fut.done() and not fut.cancelled():
                    fut.result()[0].under_way -= 1  # the place came just as the lot ended
                    self.store.state_board.notify("score")
                raise
            answer = await self._call(work, line, route)
            if answer.good:
                return next(v for k, v in answer.heads if k.lower() == SEAL.lower())
            self.store.counters.add(f"score.{answer.ran.value}.{answer.status}")
            if answer.ran is Ran.YES and answer.status == 500:
                work.score_fails += 1
                if work.score_fails >= route.sends:
                    return None
            else:
                await asyncio.sleep(self.store.gap_s() * 0.1)

    async def run(self) -> None:
        """Give places to those who wait, as they come free."""
        store, turn = self.store, 0
        while True:
            while self._place_one():
                pass
            turn = await store.state_board.wait_for_change("score", turn, store.heartbeat_interval_s * 0.5)

    def _place_one(self) -> bool:
        """Give a place to the first call that can have one; those that must wait do not hold up the others."""
        passed, full, done = [], set(), False
        while self.inbox and not done and len(passed) < LOOK:
            call = heapq.heappop(self.inbox)
            if call[3].done():
                continue  # its lot has ended
            done = self._place(call, full)
            if not done:
                passed.append(call)
        for call in passed:
            heapq.heappush(self.inbox, call)
        return done

    def _place(self, call, full: set) -> bool:
        """Whether a call got a place; full: services that are known to have none."""
        store, work = self.store, call[2]
        may_send = getattr(work, "may_send", None)
        if may_send is not None and not may_send():
            return False  # its leader was not heard of late: the lot may be ended
        sc = work.item.scorer
        route = store.plan.route(sc["HostName"], sc["Path"].split("?", 1)[0])
        service = route.pick() if route is not None else None
        if service is None or service in full:
            return False
        line = store.load_balancer.pick(service, set(), store.clock.now(), route)
        if line is None or line.under_way >= self.load_limit.usable_slots(
            service, line.slots, len(store.load_balancer.by_service[service])
        ):
            full.add(service)
            return False
        line.under_way += 1
        call[3].set_result((line, route))
        return True

    async def _call(self, work, line, route):
        store, began, sc = self.store, self.store.clock.now(), work.item.scorer
        heads = [("Host", sc["HostName"]), (ECHO, sc["InstanceId"])]
        store.counters.add("score.send")
        try:
            answer = await store.upstream_client.send(
                line.address,
                line.iid,
                "POST",
                sc["Path"],
                heads,
                base64.b64decode(sc.get("Payload", "")),
                sc["InstanceId"],
                min(route.timeout_s, route.aim_s * 2),
                AGAIN,
                getattr(work, "may_send", None),
            )
        finally:
            line.under_way -= 1
            store.state_board.notify("score")
        now = store.clock.now()
        store.load_balancer.judge(line, answer, now, now - began, route.aim_s * 0.3)
        return answer
