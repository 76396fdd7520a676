"""HTTP client to replicas: one request to one replica over pooled connections."""

from __future__ import annotations

import socket
import time
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from ..memory import MemoryFullError, MemoryPool
from ..runtime import Counters
from .answer_body import read_answer
from .attempt_result import (
    FIRST_REDIRECT_STATUS,
    AttemptResult,
    Execution,
    classify_response,
    has_body_framing,
    is_response_to,
)
from .connection_pool import CONNECTION_USE, ConnectionUse, Delivery, NotSentError, PooledConnector
from .headers import DEADLINE_MS_HEADER, EXPECTED_INSTANCE_HEADER, end_to_end_headers
from .large_body import PIECE_BYTES, LargeBody
from .verbatim_request import VerbatimRequest

KEEP_ALIVE_S = 30  # idle connections are closed after so long
READ_BUFFER_BYTES = 32 << 10  # of an answer, beyond what its reader has taken
UNACKNOWLEDGED_DATA_MS = 3000  # a peer that acknowledges nothing for so long is gone (RFC 5482)
MAX_CONNECT_S = 1.0  # how long a TCP handshake may take
MAX_MEMORY_WAIT_S = 60.0  # for an answer to a request that has no time limit
MAX_BODY_WRITE_S = 60.0  # for the rest of a body after its answer, where there is no time limit
MIN_TIMEOUT_S = 0.001  # aiohttp takes 0 for no limit at all

_HEADERS_WITHOUT_DEFAULT = frozenset({"Accept", "Accept-Encoding", "User-Agent", "Content-Type"})


class StaleConnectionError(aiohttp.ServerDisconnectedError):
    """A pooled connection was reset before any response: the replica had forgotten it. The request may have run."""


class UpstreamClient:
    """Holds the connections to replicas; sends requests as they are, byte for byte.

    Attributes:
        connector: The pool of connections.
        answer_memory: For large answers; None for no bound.
    """

    def __init__(
        self,
        per_host: int = 0,
        now: Callable[[], float] = time.monotonic,
        counters: Counters | None = None,
        answer_memory: MemoryPool | None = None,
    ) -> None:
        """Opens no connection yet.

        Args:
            per_host: How many connections one replica gets at most; 0 for no limit.
            now: The steady clock, in seconds.
            counters: Where new connections are counted.
            answer_memory: For large answers; no bound if left out.
        """
        self.now, self.answer_memory = now, answer_memory
        self.connector = PooledConnector(
            now,
            counters,
            limit=0,
            limit_per_host=per_host,
            keepalive_timeout=KEEP_ALIVE_S,
            enable_cleanup_closed=False,
            use_dns_cache=False,
            force_close=False,
            socket_factory=_open_socket,
        )
        self.session = aiohttp.ClientSession(
            connector=self.connector,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            trust_env=False,
            skip_auto_headers=_HEADERS_WITHOUT_DEFAULT,
            timeout=aiohttp.ClientTimeout(total=None),
            read_bufsize=READ_BUFFER_BYTES,
            request_class=VerbatimRequest,
        )
        # aiohttp would repeat some failed requests unseen, which could run one twice
        self.session._retry_connection = False

    async def close(self) -> None:
        """Closes all connections."""
        await self.session.close()

    def has_idle_connection(self, address: str) -> bool:
        """Whether a request to an address needs no new connection."""
        return self.connector.has_idle_connection(address)

    @asynccontextmanager
    async def request(  # noqa: PLR0913, PLR0917 - the parts of an HTTP request; an object would cost on the hot path
        self,
        address: str,
        instance_id: str,
        method: str,
        target: str,
        headers: Iterable[tuple[str, str]],
        body: bytes,
        timeout_s: float,
        delivery: Delivery = Delivery.UNSPECIFIED,
        may_send: Callable[[], bool] | None = None,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Sends a request; an async context that gives the response as soon as its headers are there.

        Args:
            address: The replica's host and port.
            instance_id: The replica that is meant; another one at this address refuses the request.
            method: The HTTP method.
            target: The request target, as it came.
            headers: The headers; those that concern one connection only are left out.
            body: The body.
            timeout_s: How long the whole may take; 0 for no limit.
            delivery: How often the request may run.
            may_send: Asked once the connection is there, right before the request is written.

        Raises:
            NotSentError: `may_send` said no, and nothing was written.
            StaleConnectionError: The pooled connection had been forgotten, and the request may not be repeated.
            aiohttp.ClientError: There was no connection or no response.
            TimeoutError: The time was over.
        """
        outgoing = CIMultiDict(end_to_end_headers(headers))
        if instance_id:
            outgoing[EXPECTED_INSTANCE_HEADER] = instance_id
        deadline = self.now() + timeout_s if timeout_s > 0 else None
        payload, use = _payload_of(body), ConnectionUse(delivery)
        try:
            while True:
                remaining_s = None if deadline is None else max(MIN_TIMEOUT_S, deadline - self.now())
                if remaining_s is not None:
                    outgoing[DEADLINE_MS_HEADER] = str(max(1, int(remaining_s * 1000)))
                use, response = ConnectionUse(delivery, may_send=may_send, target=target), None
                CONNECTION_USE.set(use)
                try:
                    async with self.session.request(
                        method,
                        URL(f"http://{address}{target}", encoded=True),
                        headers=outgoing,
                        data=payload,
                        allow_redirects=False,
                        timeout=aiohttp.ClientTimeout(
                            total=remaining_s, sock_connect=min(MAX_CONNECT_S, timeout_s or MAX_CONNECT_S)
                        ),
                    ) as response:
                        self.connector.record_response(address, use, response.headers.get("Keep-Alive", ""))
                        yield response
                        await self._finish_body(payload, response.status, deadline)
                        return
                except aiohttp.ClientConnectorError:
                    raise
                except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
                    if response is not None:
                        raise
                    self._check_resend(error, use, address, deadline)
        finally:
            # pooled connections and timers keep the context of this request, and so what it refers to
            use.may_send = None
            if isinstance(payload, LargeBody):
                payload.release()

    async def _finish_body(self, payload: bytes | LargeBody | None, status: int, deadline: float | None) -> None:
        """Waits until the rest of a body is written whose answer, a success, came before its end."""
        if isinstance(payload, LargeBody) and status < FIRST_REDIRECT_STATUS:
            await payload.wait_written(MAX_BODY_WRITE_S if deadline is None else deadline - self.now())

    def _check_resend(self, error: Exception, use: ConnectionUse, address: str, deadline: float | None) -> None:
        """Allows one more send of a request that met a pooled connection which its replica had forgotten.

        Raises:
            StaleConnectionError: It had, but the request may not be repeated.
            aiohttp.ClientError: The connection broke for another reason, or the time is over.
        """
        if not self.connector.record_reset(address, use):
            raise error
        if use.delivery is not Delivery.AT_LEAST_ONCE:
            raise StaleConnectionError(repr(error)) from error
        if deadline is not None and self.now() >= deadline:
            raise error

    async def send(  # noqa: PLR0913, PLR0917 - as request()
        self,
        address: str,
        instance_id: str,
        method: str,
        target: str,
        headers: Iterable[tuple[str, str]],
        body: bytes,
        request_id: str,
        timeout_s: float,
        delivery: Delivery = Delivery.UNSPECIFIED,
        may_send: Callable[[], bool] | None = None,
        max_answer_bytes: int | None = None,
    ) -> AttemptResult:
        """Sends a request and reads the whole response.

        The arguments are those of request(), the request's id, which the response must repeat, and the longest answer
        that is taken.

        Returns:
            What is certain about the request; a failure is a result too, never an exception.
        """
        try:
            async with self.request(
                address, instance_id, method, target, headers, body, timeout_s, delivery, may_send
            ) as response:
                return await self._read_result(response, request_id, delivery, timeout_s, max_answer_bytes)
        except NotSentError as error:
            return AttemptResult(Execution.NOT_EXECUTED, reason=repr(error), is_stale_connection=True)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            # there was no connection to send it on
            return AttemptResult(Execution.NOT_EXECUTED, reason=repr(error), is_unresponsive=True)
        except (StaleConnectionError, MemoryFullError) as error:  # they say nothing of the replica
            return AttemptResult(Execution.UNKNOWN, reason=repr(error), is_stale_connection=True)
        except TimeoutError as error:
            return AttemptResult(Execution.UNKNOWN, reason=repr(error), is_unresponsive=True)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return AttemptResult(Execution.UNKNOWN, reason=repr(error))

    async def _read_result(
        self,
        response: aiohttp.ClientResponse,
        request_id: str,
        delivery: Delivery,
        timeout_s: float,
        max_answer_bytes: int | None,
    ) -> AttemptResult:
        if not is_response_to(response, request_id, delivery):
            response.close()
            return AttemptResult(Execution.UNKNOWN, reason="answer of another request")
        wait_s = timeout_s if timeout_s > 0 else MAX_MEMORY_WAIT_S
        body, charge = await read_answer(response, self.answer_memory, wait_s, max_answer_bytes)
        if not has_body_framing(response):
            return AttemptResult(Execution.UNKNOWN, response.status, reason="nothing tells where its body ends")
        result = classify_response(response.status, list(response.headers.items()), body)
        result.charge = charge
        return result


def _payload_of(body: bytes) -> bytes | LargeBody | None:
    """Returns a body as aiohttp is to write it."""
    if len(body) > PIECE_BYTES:
        return LargeBody(body)
    return body or None


def _open_socket(address_info: tuple[Any, ...]) -> socket.socket:
    """Opens a socket for an entry of getaddrinfo()."""
    family, kind, protocol, _, _ = address_info
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_DATA_MS)
    return sock
