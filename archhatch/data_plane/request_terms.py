"""The terms that a client sets for its request: its id, and how long it may take."""

from __future__ import annotations

from dataclasses import dataclass

from aiohttp.web_request import BaseRequest

from ..routing import Route
from ..runtime import Result, error_result
from ..runtime.numbers import read_decimal
from ..upstream import DEADLINE_MS_HEADER, REQUEST_ID_HEADER

INVALID_REQUEST_CODE = 2001
DEFAULT_DEADLINE_MS = "60000"


@dataclass(frozen=True, slots=True)
class RequestTerms:
    """The terms of one request.

    Attributes:
        request_id: The id that its response must repeat.
        timeout_s: How long it may take, by its client and by its route.
    """

    request_id: str
    timeout_s: float


def read_terms(request: BaseRequest, route: Route) -> RequestTerms | Result:
    """Returns a request's terms, or the refusal if its headers are missing or malformed."""
    deadline_ms = read_decimal(request.headers.get(DEADLINE_MS_HEADER, DEFAULT_DEADLINE_MS))
    if deadline_ms is None:
        return error_result(INVALID_REQUEST_CODE, DEADLINE_MS_HEADER)
    request_id = request.headers.get(REQUEST_ID_HEADER, "")
    if not request_id:
        return error_result(INVALID_REQUEST_CODE, f"{REQUEST_ID_HEADER} is missing")
    return RequestTerms(request_id, min(deadline_ms / 1000, route.timeout_s))
