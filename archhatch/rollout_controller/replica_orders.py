"""Sends orders of weights to replicas, and reads their reports.

An order bears no id. One without a clear answer may have been taken, so a report has to tell what became of it before
the next is sent.
"""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

import aiohttp
import orjson

from ..exceptions import ArchhatchError
from ..membership.replica_heartbeat import MAX_SEQUENCE, read_models
from ..runtime.message import InvalidFieldError, InvalidMessageError, Message, wire
from ..runtime.schema import boolean, nullable, whole_number
from ..upstream import REPLY_SEAL_HEADER, REQUEST_ID_HEADER, Delivery, NotSentError, declares_not_executed
from .engines import Engine
from .host import WeightOrderHost

REFUSED_STATUSES = frozenset({400, 412, 421})  # answers which say that an order was not taken
STATUS_ACCEPTED = 202
STATUS_HAS_IT = 200  # the replica holds the version already
STATUS_OTHER_INSTANCE = 421  # the replica is not what it was taken for
REPORT_LAG = 2  # of replica_pause_s: a report may be so old
ANSWER_TIMEOUT = 2  # of replica_pause_s: an order or a report is answered in this time


class OrderOutcome(enum.Enum):
    """Whether a replica took an order."""

    TAKEN = "taken"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class ForeignAnswerError(ArchhatchError, ValueError):
    """An answer that belongs to another request: an order bears no id, so its answer neither."""


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderRequest(Message):
    """Orders a replica to load a version of a model (the replicas' order page).

    Attributes:
        mode: What becomes of items that run: "retain" keeps them, "hold" waits for them.
        fence_token: The leadership term: a replica refuses a lower one than it has seen.
        expected_count: How many orders the replica took so far; left out while it is not known.
    """

    opcode: str = wire("Opcode")
    model: str = wire("Model")
    revision: int = wire("Revision")
    mode: str = wire("Mode")
    owner: str = wire("Owner")
    fence_token: int = wire("FenceToken")
    expected_count: int | None = wire("ExpectedCount", default=None, optional=True)


def _read_revisions(value: object) -> dict[str, int]:
    """Reads the rows of a report's ModelList, each of which names its revision."""
    revisions = read_models(value)
    for index, row in enumerate(cast(list, value or ())):
        if "Revision" not in row:
            raise InvalidFieldError("is missing", f"[{index}].Revision")
    return revisions


@dataclass(frozen=True, slots=True)
class ReplicaReport(Message):
    """What a replica reports of itself.

    Attributes:
        order_count: How many orders it took.
        revisions: The version of each model that it has, by model.
        is_loading: Whether it is carrying out an order.
    """

    order_count: int = wire("Sequence", decode=whole_number(0, MAX_SEQUENCE))
    revisions: dict[str, int] = wire("ModelList", default_factory=dict, decode=_read_revisions)
    is_loading: bool = wire("Utilization", default=False, decode=nullable(boolean, default=False))


class SendGate:
    """Asked right before the write of an order; remembers whether it let it pass.

    >>> gate = SendGate(lambda: True); gate.has_passed, gate(), gate.has_passed
    (False, True, True)
    """

    def __init__(self, allowed: Callable[[], bool]) -> None:
        self.allowed = allowed
        self.has_passed = False

    def __call__(self) -> bool:
        """Asks whether the order may be written."""
        self.has_passed = self.allowed()
        return self.has_passed


class ReplicaOrderClient:
    """Sends orders and reads reports, and keeps what is known of each engine up to date.

    >>> # client = ReplicaOrderClient(host); outcome = await client.send(leadership, engine, request, until)
    """

    def __init__(self, host: WeightOrderHost) -> None:
        self.host = host

    # -- orders

    async def send(
        self,
        leadership: Any,  # noqa: ANN401 - a leadership term or a stand-in
        engine: Engine,
        request: OrderRequest,
        until: float,
    ) -> OrderOutcome:
        """Sends one order.

        The gate is asked when the connection is there: a node that stood still since, also while it connected, or whose
        proof of its lease is too old by then, must not order.

        Args:
            leadership: The term under which it is sent.
            engine: The engine that is to load.
            request: The order.
            until: The time until which it may be sent.

        Returns:
            Whether the order is being carried out.
        """
        host = self.host
        gate = SendGate(lambda: host.clock.now() < until and leadership.may_order(engine.instance_id))
        if not gate():
            host.counters.add("order.too_late")
            return OrderOutcome.REFUSED
        gate.has_passed = False
        host.counters.add("order.send")
        try:
            status, is_not_run = await self._post(engine, request, gate)
        except NotSentError:
            host.counters.add("order.too_late")
            return OrderOutcome.REFUSED
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError):
            if not gate.has_passed:  # there was no connection to write it on
                engine.health.record("vanished", host.clock.now(), host.replica_pause_s() * REPORT_LAG)
                return OrderOutcome.REFUSED
            return self._unresolved(engine, "order.unanswered")
        return await self._judge(engine, request, status, is_not_run)

    async def _post(self, engine: Engine, request: OrderRequest, gate: SendGate) -> tuple[int, bool]:
        """The status of a whole answer to an order, and whether it says that nothing was done."""
        body = orjson.dumps(request.to_document())
        headers = [("Content-Type", "application/json")]
        async with (
            asyncio.timeout(self.host.replica_pause_s() * ANSWER_TIMEOUT),
            self.host.upstream_client.request(
                engine.address, engine.instance_id, "POST", "/api/order", headers, body, 0.0, Delivery.UNSPECIFIED, gate
            ) as response,
        ):
            self._refuse_foreign(response)
            await response.read()
            return response.status, declares_not_executed(response)

    def _refuse_foreign(self, response: aiohttp.ClientResponse) -> None:
        """Raises ForeignAnswerError for an answer that another request's headers show not to be this one's."""
        if (
            response.headers.get(REQUEST_ID_HEADER)
            or REPLY_SEAL_HEADER in response.headers
            or response.status < STATUS_HAS_IT
        ):
            self.host.counters.add("order.foreign_answer")
            response.close()
            raise ForeignAnswerError(response.headers.get(REQUEST_ID_HEADER))

    async def _judge(self, engine: Engine, request: OrderRequest, status: int, is_not_run: bool) -> OrderOutcome:
        """What the answer to an order says."""
        host = self.host
        host.counters.add(f"order.{status}")
        if status == STATUS_ACCEPTED:
            engine.count = engine.count + 1 if engine.count is not None else None
            return OrderOutcome.TAKEN
        if status == STATUS_HAS_IT:
            engine.record_revision(request.model, request.revision)
            return OrderOutcome.REFUSED
        if status not in REFUSED_STATUSES and not is_not_run:
            # 409 too: another order is under way, or the replica's count is not what it was
            return self._unresolved(engine, "order.unclear")
        engine.paused_until = host.clock.now() + host.replica_pause_s()
        if status == STATUS_OTHER_INSTANCE:
            await self.resynchronize(engine)
        return OrderOutcome.REFUSED

    def _unresolved(self, engine: Engine, counter: str) -> OrderOutcome:
        self.host.counters.add(counter)
        engine.unresolved_order_at = self.host.clock.now()
        return OrderOutcome.UNKNOWN

    # -- reports

    async def is_resolved(self, engine: Engine) -> bool:
        """Reads a report if an earlier order is unresolved; returns whether nothing is unresolved any more."""
        if engine.unresolved_order_at is not None:
            await self.read_report(engine)
        if engine.unresolved_order_at is None:
            return True
        self.host.counters.add("order.still_unclear")
        engine.paused_until = self.host.clock.now() + self.host.replica_pause_s()
        return False

    async def read_report(self, engine: Engine) -> ReplicaReport | None:
        """Reads an engine's own report and takes up what it shows.

        Returns:
            The report; None if none comes, or one older than what is known.
        """
        host = self.host
        asked_at = host.clock.now()
        host.counters.add("report")
        try:
            async with (
                asyncio.timeout(host.replica_pause_s() * ANSWER_TIMEOUT),
                host.upstream_client.request(
                    engine.address, engine.instance_id, "GET", "/api/report", [], b"", 0.0
                ) as response,
            ):
                self._refuse_foreign(response)
                body = await response.read()
                if response.status != STATUS_HAS_IT:
                    return None
            return self.apply_report(engine, ReplicaReport.from_document(orjson.loads(body)), asked_at)
        except (InvalidMessageError, orjson.JSONDecodeError) as error:
            host.counters.add("report.malformed")
            host.log.info("report of replica {} cannot be read: {}", engine.instance_id, error)
            return None
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError):
            return None

    def apply_report(self, engine: Engine, report: ReplicaReport, asked_at: float) -> ReplicaReport | None:
        """Takes up what a report shows; returns None if it is older than what is known."""
        known = engine.count
        if known is not None and report.order_count < known:
            self.host.counters.add("report.old")
            return None
        for model, revision in report.revisions.items():
            engine.record_revision(model, revision)
        if not report.is_loading:
            engine.count = report.order_count
            if engine.unresolved_order_at is not None and self._resolves(engine, report, known, asked_at):
                engine.unresolved_order_at = None
        return report

    def _resolves(self, engine: Engine, report: ReplicaReport, known: int | None, asked_at: float) -> bool:
        """Whether a report was surely made after the unresolved order was taken, or refused."""
        if known is not None and report.order_count > known:
            return True
        assert engine.unresolved_order_at is not None
        return asked_at - engine.unresolved_order_at >= self.host.replica_pause_s() * REPORT_LAG

    async def resynchronize(self, engine: Engine) -> None:
        """Learns what an engine really holds: what it reports counts, also where it is lower than was believed."""
        report = await self.read_report(engine)
        if report is not None and not report.is_loading:
            engine.revisions = dict(report.revisions)
        self.host.state_board.notify("work")
