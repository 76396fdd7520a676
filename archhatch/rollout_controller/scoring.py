"""Reward calls: sent in order of urgency, in the slots of the reward services that live requests leave."""

from __future__ import annotations

import asyncio
import base64
import heapq
import itertools
from typing import Any, NamedTuple

from ..upstream import REQUEST_ID_HEADER, REPLY_SEAL_HEADER, AttemptResult, Execution, ReplicaEndpoint, Delivery
from .host import ScoringHost
from .load_limit import LoadLimit

MAX_PASSED_OVER = 64  # waiting calls that are looked at for one slot: a long queue must not stall the event loop
RETRY_PAUSE = 0.1  # of the host's replica_pause_s: pause before a call that may not have run is sent again
STATUS_FAILED = 500  # the reward service ran the call and failed: only this uses up an attempt
POLL_INTERVAL = 0.5  # of a heartbeat: slots may come free without a notification
TIMEOUT_TARGETS = 2  # times the route's target latency after which a call is given up, if its timeout is not shorter
TYPICAL_RATIO = 0.3  # of the target latency of a route: what a call takes typically, to judge a replica by


class _WaitingCall(NamedTuple):
    """A call that waits for a slot; a tuple, because the heap compares many of them."""

    key: tuple  # the order of urgency: the lowest goes first
    sequence: int  # tells calls of the same key apart
    work: Any  # the entry whose result is to be scored: item, score_fails and, of a worker, may_send()
    slot: asyncio.Future  # resolves to the replica and the route


class Scoring:
    """Sends reward calls as slots come free.

    >>> # scoring = Scoring(host, load_limit); task_group.run_forever("scoring", scoring.run)
    >>> # seal = await scoring.score(work, key)
    """

    def __init__(self, host: ScoringHost, load_limit: LoadLimit) -> None:
        self.host = host
        self.load_limit = load_limit
        self.waiting: list[_WaitingCall] = []  # a heap
        self._sequence = itertools.count()

    async def score(self, work: Any, key: tuple) -> str | None:  # noqa: ANN401 - an acquired entry or a stand-in
        """Waits for a slot, calls, and calls again where that may help.

        Args:
            work: The entry whose result is to be scored.
            key: The order of urgency; the lowest goes first.

        Returns:
            The seal that the reward service's answer bears, or None once the call has failed for good.
        """
        while True:
            replica, route = await self._slot_for(work, key)
            answer = await self._call(work, replica, route)
            if answer.is_success:
                seal = next(value for name, value in answer.headers if name.lower() == REPLY_SEAL_HEADER.lower())
                if seal.isascii():
                    return seal
                self.host.counters.add("score.malformed")  # no record can hold it
            self.host.counters.add(f"score.{answer.execution.value}.{answer.status}")
            if answer.execution is Execution.EXECUTED and answer.status == STATUS_FAILED:
                work.score_fails += 1
                if work.score_fails >= route.max_attempts:
                    return None
            else:
                await asyncio.sleep(self.host.replica_pause_s() * RETRY_PAUSE)

    async def _slot_for(self, work: Any, key: tuple) -> tuple:  # noqa: ANN401 - as in score()
        """Waits for a slot; returns the replica that has it, and the route."""
        slot = asyncio.get_running_loop().create_future()
        heapq.heappush(self.waiting, _WaitingCall(key, next(self._sequence), work, slot))
        self.host.state_board.notify("score")
        try:
            return await slot
        except asyncio.CancelledError:
            if slot.done() and not slot.cancelled():  # the slot came just as the job ended: give it back
                slot.result()[0].in_flight -= 1
                self.host.state_board.notify("score")
            raise

    async def run(self) -> None:
        """Gives slots to those who wait, as they come free."""
        version = 0
        while True:
            while self._assign_one():
                pass
            version = await self.host.state_board.wait_for_change(
                "score", version, self.host.heartbeat_interval_s * POLL_INTERVAL
            )

    def _assign_one(self) -> bool:
        """Gives a slot to the first call that can have one; those that must wait do not hold up the others."""
        passed_over: list[_WaitingCall] = []
        full_services: set[str] = set()
        assigned = False
        while self.waiting and not assigned and len(passed_over) < MAX_PASSED_OVER:
            call = heapq.heappop(self.waiting)
            if call.slot.done():
                continue  # its job has ended
            try:
                assigned = self._assign(call, full_services)
            except Exception as error:  # noqa: BLE001 - it ends the one call; the others that wait get their slots
                self.host.counters.add("score.not_assignable")
                call.slot.set_exception(error)
                continue
            if not assigned:
                passed_over.append(call)
        for call in passed_over:
            heapq.heappush(self.waiting, call)
        return assigned

    def _assign(self, call: _WaitingCall, full_services: set[str]) -> bool:
        """Gives a call a slot if there is one.

        Args:
            call: The call that waits.
            full_services: Services that are known to have no slot; the call's is added if it has none.

        Returns:
            Whether the call got a slot.
        """
        host = self.host
        may_send = getattr(call.work, "may_send", None)
        if may_send is not None and not may_send():
            return False  # its partition's leader was not heard of lately: the job may be ended
        scorer = call.work.item.scorer
        route = host.plan.find_route(scorer["HostName"], scorer["Path"].split("?", 1)[0])
        service = route.choose_service() if route is not None else None
        if service is None or service in full_services:
            return False
        replica = host.load_balancer.select_replica(service, set(), host.clock.now(), route)
        if replica is None or replica.in_flight >= self._usable_slots(service, replica):
            full_services.add(service)
            return False
        replica.in_flight += 1
        call.slot.set_result((replica, route))
        return True

    def _usable_slots(self, service: str, replica: ReplicaEndpoint) -> int:
        replica_count = len(self.host.load_balancer.by_service[service])
        return self.load_limit.usable_slots(service, replica.slots, replica_count)

    async def _call(self, work: Any, replica: ReplicaEndpoint, route: Any) -> AttemptResult:  # noqa: ANN401 - as in score()
        """Sends one reward call to the replica whose slot it has, and gives the slot back."""
        host = self.host
        began = host.clock.now()
        scorer = work.item.scorer
        host.counters.add("score.send")
        try:
            answer = await host.upstream_client.send(
                replica.address,
                replica.instance_id,
                "POST",
                scorer["Path"],
                [("Host", scorer["HostName"]), (REQUEST_ID_HEADER, scorer["InstanceId"])],
                base64.b64decode(scorer.get("Payload", "")),
                scorer["InstanceId"],
                min(route.timeout_s, route.latency_target_s * TIMEOUT_TARGETS),
                Delivery.AT_LEAST_ONCE,
                getattr(work, "may_send", None),
            )
        finally:
            replica.in_flight -= 1
            host.state_board.notify("score")
        now = host.clock.now()
        host.load_balancer.record_result(replica, answer, now, now - began, route.latency_target_s * TYPICAL_RATIO)
        return answer
