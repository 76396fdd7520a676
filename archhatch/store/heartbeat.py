"""What a store reports about itself in its answer to each heartbeat call of another store."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

from ..membership import NodeCard
from ..runtime.message import InvalidFieldError, Message, wire
from ..runtime.schema import boolean, integer, list_of, mapping_of, nullable, number, text

MAX_SECONDS = 1e9
MAX_TERM = 1 << 62
MAX_SLOTS = 1e9


@dataclass(frozen=True, slots=True)
class LedRunStatus:
    """A run that a store leads, or is taking over.

    Attributes:
        term: The term of the lease under which the store leads.
        idle_s: For how long the leader has made no progress.
        spared: The departing stores whose copies the leader does not need any more.
    """

    term: int
    idle_s: float
    spared: tuple = ()


def _encode_led_runs(led_runs: dict[str, LedRunStatus] | None) -> dict | None:
    if led_runs is None:
        return None
    return {run: [status.term, round(status.idle_s, 3), list(status.spared)] for run, status in led_runs.items()}


def _read_led_run(row: object) -> LedRunStatus:
    if not isinstance(row, list) or len(row) != len(_LED_RUN_READERS):
        raise InvalidFieldError(f"must be a list of {len(_LED_RUN_READERS)}")
    term, idle_s, spared = (reader(value) for reader, value in zip(_LED_RUN_READERS, row, strict=True))
    return LedRunStatus(term, idle_s, spared)


def read_card(value: object) -> NodeCard:
    """Reads how a node introduces itself: texts, an id among them.

    Raises:
        InvalidFieldError: It is no such object.
    """
    card = mapping_of(text())(value)
    if not card.get("id"):
        raise InvalidFieldError("is missing", "id")
    return cast(NodeCard, card)


_SECONDS = number(0, MAX_SECONDS)
_TERM = integer(0, MAX_TERM)
_LED_RUN_READERS: tuple[Callable[[Any], Any], ...] = (_TERM, _SECONDS, list_of(text(min_length=1)))


@dataclass(frozen=True, slots=True)
class HeartbeatStatus(Message):
    """A store's report about itself. A store of an earlier version sends only the first three fields.

    Attributes:
        identity: How the store introduces itself: id, address, zone, incarnation.
        promised_terms: The terms that it promised, by run; None while it has not learned all of them and proves
            nothing.
        timer_lag_s: How late its timers are, as a moving average.
        accepts_records: Whether its disk takes new records.
        has_room: Whether there is room for new jobs as well.
        is_departing: Whether it is about to end, so that copies must not count on it.
        oldest_write_s: The age of its oldest unfinished write.
        led_runs: The runs that it leads; None from a store that does not report them.
        slots_demanded: By service, the slots that the runs led there need.

    >>> status = HeartbeatStatus({"id": "a"}, {"r": 2}, 0.0, led_runs={"r": LedRunStatus(2, 0.5, ("b",))})
    >>> HeartbeatStatus.from_document(status.to_document()) == status
    True
    """

    identity: NodeCard = wire("card", decode=read_card)
    promised_terms: dict[str, int] | None = wire("promised", decode=nullable(mapping_of(_TERM), None))
    timer_lag_s: float = wire("lag", decode=_SECONDS)
    accepts_records: bool = wire("takes", default=True, decode=boolean)
    has_room: bool = wire("roomy", default=True, decode=boolean)
    is_departing: bool = wire("departing", default=False, decode=boolean)
    oldest_write_s: float = wire("oldest_write_s", default=0.0, decode=_SECONDS)
    led_runs: dict[str, LedRunStatus] | None = wire(
        "leads", default=None, encode=_encode_led_runs, decode=nullable(mapping_of(_read_led_run), None)
    )
    slots_demanded: dict[str, float] = wire("demand", default_factory=dict, decode=mapping_of(number(0, MAX_SLOTS)))
