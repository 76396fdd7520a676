"""Fetches a job's records from another store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from ..jobs import Record
from ..jobs.record import unpack_many
from ..rpc import CallError, ConnectionPool
from ..runtime.message import Message, wire

DONE_CODE = 1000  # the result code of a call that was carried out
TIMEOUT_RATIO = 2  # of quiet_s: a fetch brings whole jobs, and may take longer than other calls


class FetchHost(Protocol):
    """What a fetch uses of a store.

    Attributes:
        quiet_s: Seconds without an answer after which a store counts as out of touch.
    """

    connections: ConnectionPool
    quiet_s: float


@dataclass(frozen=True, slots=True)
class FetchRequest(Message):
    """Asks a store for records of a job."""

    store_id: str = wire("to")
    job_id: str = wire("lot")
    positions: list[int] = wire("poss")
    wants_job: bool = wire("want_lot")


async def fetch_records(host: FetchHost, address: str, request: FetchRequest) -> list[Record] | None:
    """Fetches records of a job from another store.

    Args:
        host: The store that asks.
        address: Where the other store answers calls.
        request: What is asked for.

    Returns:
        The records that are there, or None if that store does not answer.
    """
    try:
        code, _, raw = await host.connections.to(address).call(
            "shelf.fetch", request.to_document(), timeout_s=host.quiet_s * TIMEOUT_RATIO
        )
    except CallError:
        return None
    return unpack_many(raw) if code == DONE_CODE else None
