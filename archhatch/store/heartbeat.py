"""What a store reports about itself in its answer to each heartbeat call of another store."""

from __future__ import annotations

from dataclasses import dataclass

from ..membership import NodeCard
from ..runtime.message import Message, wire


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


def _decode_led_runs(rows: dict | None) -> dict[str, LedRunStatus] | None:
    if rows is None:
        return None
    return {run: LedRunStatus(term, idle_s, tuple(spared)) for run, (term, idle_s, spared) in rows.items()}


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

    identity: NodeCard = wire("card")
    promised_terms: dict[str, int] | None = wire("promised")
    timer_lag_s: float = wire("lag")
    accepts_records: bool = wire("takes", default=True)
    has_room: bool = wire("roomy", default=True)
    is_departing: bool = wire("departing", default=False)
    oldest_write_s: float = wire("oldest_write_s", default=0.0)
    led_runs: dict[str, LedRunStatus] | None = wire(
        "leads", default=None, encode=_encode_led_runs, decode=_decode_led_runs
    )
    slots_demanded: dict[str, float] = wire("demand", default_factory=dict)
