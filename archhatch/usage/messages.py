"""Messages between the edges that count usage and the stores that collect it."""

from __future__ import annotations

from dataclasses import dataclass

from ..runtime.message import Message, wire


def _encode_counts(counts: dict[int, dict[str, int]]) -> dict[str, dict[str, int]]:
    return {str(window): tenants for window, tenants in counts.items()}


def _decode_counts(document: dict[str, dict[str, int]]) -> dict[int, dict[str, int]]:
    return {int(window): tenants for window, tenants in document.items()}


@dataclass(frozen=True, slots=True)
class UsageReport(Message):
    """An edge's counts ("usage.tell").

    Attributes:
        store_id: The store that is meant.
        edge: The edge's node name.
        incarnation: The edge's process.
        version: Rises with each count of that process.
        counts: Requests by window and tenant.
    """

    store_id: str = wire("to")
    edge: str = wire("edge")
    incarnation: str = wire("life")
    version: int = wire("version")
    counts: dict[int, dict[str, int]] = wire("sums", encode=_encode_counts, decode=_decode_counts)


@dataclass(frozen=True, slots=True)
class UsageReportAnswer(Message):
    """A store's answer: the id of the store that holds the role's lease, as far as it knows."""

    lease_holder: str | None = wire("holder")
