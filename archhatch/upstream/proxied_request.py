"""Messages of the call `request.send`, by which an edge has a store send a request to a replica."""

from __future__ import annotations

from dataclasses import dataclass

from ..runtime.message import Message, wire
from .attempt_result import Execution
from .headers import Headers

# Of a request or an answer that goes by a store: a frame between nodes stands in memory several times on its way, which
# for a long body is dearer than a connection.
MAX_PROXIED_BYTES = 64 << 10


def _read_headers(pairs: list[list[str]]) -> Headers:
    return [(name, value) for name, value in pairs]


@dataclass(frozen=True, slots=True)
class ProxiedRequest(Message):
    """Asks a store to send a request once; the body travels beside it.

    Attributes:
        store_id: The store that is asked.
        service: The service that the request goes to.
        host: The host that the client named.
        method: The HTTP method.
        target: The request target, as it came.
        headers: The headers for the replica.
        request_id: The id that the response must repeat.
        tried: Ids of the replicas that it was sent to already.
        timeout_s: How long it may take, in seconds.
    """

    store_id: str = wire("to")
    service: str = wire("service")
    host: str = wire("host")
    method: str = wire("method")
    target: str = wire("target")
    headers: Headers = wire("heads")
    request_id: str = wire("rid")
    tried: list[str] = wire("tried")
    timeout_s: float = wire("secs")


@dataclass(frozen=True, slots=True)
class ProxiedResponse(Message):
    """What the store's attempt brought back; the body travels beside it.

    Attributes:
        execution: Whether the request ran.
        status: The status of the response, 0 if there was none.
        headers: The headers of the response.
        reason: Why it did not run, or nobody can say.
    """

    execution: Execution = wire("ran", encode=lambda execution: execution.value, decode=Execution)
    status: int = wire("status")
    headers: Headers = wire("heads", decode=_read_headers)
    reason: str = wire("why")
