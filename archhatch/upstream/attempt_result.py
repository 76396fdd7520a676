"""What a response proves about the request that it came for."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

import aiohttp

from ..memory import Charge
from .connection_pool import Delivery
from .headers import NOT_EXECUTED_HEADER, REPLY_SEAL_HEADER, REQUEST_ID_HEADER, Headers

FIRST_FINAL_STATUS = 200  # lower ones are interim responses
FIRST_REDIRECT_STATUS = 300  # from here on, a status is no success
FIRST_SERVER_ERROR_STATUS = 500
MISDIRECTED_STATUS = 421  # another replica holds the address by now
STATUSES_WITHOUT_BODY = (204, 304)

_NOT_EXECUTED_LOWER = NOT_EXECUTED_HEADER.lower()
_REPLY_SEAL_LOWER = REPLY_SEAL_HEADER.lower()


class Execution(enum.Enum):
    """Whether a request ran at the replica that it was sent to."""

    NOT_EXECUTED = "no"  # it has not run and never will
    EXECUTED = "yes"  # it ran, and its response is whole
    UNKNOWN = "maybe"  # it may have run, or may still


@dataclass(slots=True)
class AttemptResult:
    """What one attempt at one replica brought back.

    >>> AttemptResult(Execution.EXECUTED, 200).is_success
    True

    Attributes:
        execution: Whether the request ran.
        status: The status of the response, 0 if there was none.
        headers: The headers of the response, as they came.
        body: Its whole body.
        reason: Why the outcome is not EXECUTED, for logs.
        is_unresponsive: Whether there was no connection, or no response in time.
        is_stale_connection: Whether a pooled connection was forgotten, or nothing was sent; no sign of ill health.
        charge: The memory that its body holds; None if none is held.
    """

    execution: Execution
    status: int = 0
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    reason: str = ""
    is_unresponsive: bool = False
    is_stale_connection: bool = False
    charge: Charge | None = None

    @property
    def is_success(self) -> bool:
        """Whether the request ran and succeeded."""
        return self.execution is Execution.EXECUTED and FIRST_FINAL_STATUS <= self.status < FIRST_REDIRECT_STATUS


def is_response_to(
    response: aiohttp.ClientResponse, request_id: str, delivery: Delivery = Delivery.UNSPECIFIED
) -> bool:
    """Whether a response may count as that of a request: it bears the request's id, once or more often, and no other.

    Without an id it proves nothing, but that a request which may be repeated can go elsewhere. An interim response
    (1xx) in the place of the final one is none.
    """
    ids = response.headers.getall(REQUEST_ID_HEADER, [])
    if response.status < FIRST_FINAL_STATUS or any(other != request_id for other in ids):
        return False
    return bool(ids) or (delivery is not Delivery.AT_MOST_ONCE and declares_not_executed(response))


def declares_not_executed(response: aiohttp.ClientResponse) -> bool:
    """Whether a response says that its request was turned away."""
    return NOT_EXECUTED_HEADER in response.headers or response.status == MISDIRECTED_STATUS


def has_body_framing(response: aiohttp.ClientResponse) -> bool:
    """Whether a response states where its body ends. One that ends with its connection looks whole when it was cut."""
    return (
        response.method == "HEAD"
        or response.status in STATUSES_WITHOUT_BODY
        or "Content-Length" in response.headers
        or "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    )


def classify_response(status: int, headers: Headers, body: bytes) -> AttemptResult:
    """Returns what a whole response proves.

    >>> rejected = classify_response(503, [(NOT_EXECUTED_HEADER, "1")], b"")
    >>> rejected.execution, classify_response(200, [], b"").execution
    (<Execution.NOT_EXECUTED: 'no'>, <Execution.UNKNOWN: 'maybe'>)
    """
    names = {name.lower() for name, _ in headers}
    if _NOT_EXECUTED_LOWER in names or status == MISDIRECTED_STATUS:
        return AttemptResult(Execution.NOT_EXECUTED, status, headers, body, "turned away")
    if FIRST_FINAL_STATUS <= status < FIRST_REDIRECT_STATUS and _REPLY_SEAL_LOWER not in names:
        return AttemptResult(Execution.UNKNOWN, status, reason="no seal")
    if "content-encoding" in names:
        return AttemptResult(Execution.UNKNOWN, status, reason="encoded")
    return AttemptResult(Execution.EXECUTED, status, headers, body)
