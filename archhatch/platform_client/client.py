"""Calls to the platform, made under a role's lease and its fencing token."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum
from http import HTTPStatus
from typing import Any

import aiohttp
import orjson

from ..runtime import Clock, Counters
from ..runtime.settings import PlatformSettings
from ..singleton_roles.errors import EffectFailedError, RoleCallError, StaleFenceError
from ..singleton_roles.lease import StandingLease
from ..upstream import Delivery, NotSentError

LEASE_HOLDER_HEADER = "X-Archhatch-Duty-Owner"
FENCING_TOKEN_HEADER = "X-Archhatch-Fence-Token"
CALL_TIMEOUT_S = 2.0  # how long the platform may take to answer
MIN_RETRY_PAUSE_S = 0.3  # before a call is sent again; doubles from try to try,
MAX_RETRY_PAUSE_S = 2.0  # ... up to this
RATE_SHARE = (
    0.5  # of what the platform accepts a second: a lease holder that has just changed may not know the last calls
)
RETRYABLE_STATUSES = frozenset({HTTPStatus.REQUEST_TIMEOUT, HTTPStatus.TOO_MANY_REQUESTS})


class CallResult(Enum):
    """The outcome of a call."""

    TAKEN = "taken"
    REFUSED = "refused"  # it can never be taken as it stands
    AGAIN = "again"  # no clear answer, too many calls, or trouble there: the same call may be sent again
    NOT_SENT = "not sent"  # the lease had ended when it was to be written


def classify_status(status: int) -> CallResult:
    """Returns what an answer's status says of the call.

    >>> classify_status(204).value, classify_status(400).value, classify_status(429).value, classify_status(503).value
    ('taken', 'refused', 'again', 'again')
    """
    if HTTPStatus.OK <= status < HTTPStatus.MULTIPLE_CHOICES:
        return CallResult.TAKEN
    is_client_error = HTTPStatus.BAD_REQUEST <= status < HTTPStatus.INTERNAL_SERVER_ERROR
    if is_client_error and status not in RETRYABLE_STATUSES:
        return CallResult.REFUSED
    return CallResult.AGAIN


class PlatformClient:
    """POSTs to the platform; the lease is checked when the connection is there, right before the write."""

    def __init__(
        self,
        settings: PlatformSettings,
        node: str,
        upstream_client: Any,  # noqa: ANN401 - the client for HTTP calls, which is not typed yet
        clock: Clock,
        counters: Counters,
    ) -> None:
        self._settings = settings
        self._node = node
        self._upstream_client = upstream_client
        self._clock = clock
        self._counters = counters
        self._next_call_at = float("-inf")
        self._turn = asyncio.Lock()

    async def post(self, path: str, document: dict, fencing_token: int, may_send: Callable[[], bool]) -> CallResult:
        """Sends one call when the rate allows it.

        Args:
            path: The path at the platform.
            document: The call's JSON body.
            fencing_token: The token of the lease under which the call is made.
            may_send: Asked right before the write; if false, nothing is sent.

        Returns:
            The outcome.
        """
        await self._wait_for_rate()
        headers = [
            ("Content-Type", "application/json"),
            (LEASE_HOLDER_HEADER, self._node),
            (FENCING_TOKEN_HEADER, str(fencing_token)),
        ]
        self._counters.add("platform.call")
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                async with self._upstream_client.request(
                    self._settings.address,
                    "",
                    "POST",
                    path,
                    headers,
                    orjson.dumps(document),
                    0.0,
                    Delivery.UNSPECIFIED,
                    may_send,
                ) as response:
                    await response.read()
                    self._counters.add(f"platform.{response.status}")
                    return classify_status(response.status)
        except NotSentError:
            return CallResult.NOT_SENT
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            self._counters.add("platform.unanswered")
            return CallResult.AGAIN

    async def deliver(self, path: str, document: dict, lease: StandingLease) -> str:
        """Sends a call again and again until it is taken, while a lease is held.

        Args:
            path: The path at the platform.
            document: The call's JSON body.
            lease: The lease under which the call is made.

        Returns:
            The value of CallResult.TAKEN, to be committed as the effect's result.

        Raises:
            EffectFailedError: The platform refuses the call for good.
            RoleCallError: The lease has ended.
        """
        pause_s = MIN_RETRY_PAUSE_S
        while lease.grant is not None and lease.may_act():
            result = await self.post(path, document, lease.grant.fencing_token, lease.may_act)
            if result is CallResult.TAKEN:
                return result.value
            if result is CallResult.REFUSED:
                raise EffectFailedError(f"{path}: the platform refused it")
            await asyncio.sleep(pause_s)
            pause_s = min(pause_s * 2, MAX_RETRY_PAUSE_S)
        raise RoleCallError(StaleFenceError.code)

    async def _wait_for_rate(self) -> None:
        """Waits until the next call is due; calls take turns, so that they are spread evenly."""
        async with self._turn:
            wait_s = self._next_call_at - self._clock.now()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            self._next_call_at = self._clock.now() + 1.0 / (self._settings.duty_per_s * RATE_SHARE)
