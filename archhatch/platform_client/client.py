"""Calls to the platform, made under a duty's lease and fence."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum

import aiohttp
import orjson

from ..singleton_roles.effect import EffectFailedError
from ..singleton_roles.lease import RoleCallError, StandingLease
from ..singleton_roles.state_machine import STALE_FENCE
from ..upstream import NotSentError

HOLDER, FENCE = "X-Archhatch-Duty-Owner", "X-Archhatch-Fence-Token"
CALL_S = 2.0  # how long the platform may take to answer
PAUSE_S, LONGEST_PAUSE_S = 0.3, 2.0  # before a call is sent again
RATE_SHARE = 0.5  # of what the platform accepts a second: a holder that has just changed may not know the last calls


class CallResult(Enum):
    """What came of a call."""

    TAKEN = "taken"
    REFUSED = "refused"  # it can never be taken as it stands
    AGAIN = "again"  # no clear answer, too many calls, or trouble there: the same call may be sent again
    NOT_SENT = "not sent"  # the lease had ended when it was to be written


class PlatformClient:
    """POSTs to the platform; the lease is checked when the connection is there, right before the write.

    >>> # await client.deliver("/capacity", {"Service": "s", "Zone": "z", "DesiredCount": 4}, lease)
    """

    def __init__(self, settings, node: str, upstream_client, clock, counters):
        self.settings, self.node, self.upstream_client, self.clock, self.counters = (
            settings,
            node,
            upstream_client,
            clock,
            counters,
        )
        self._next_at = float("-inf")
        self._turn = asyncio.Lock()

    async def post(self, path: str, doc: dict, fence: int, may_send: Callable[[], bool]) -> CallResult:
        """Send one call when the rate allows it."""
        await self._pace()
        heads = [("Content-Type", "application/json"), (HOLDER, self.node), (FENCE, str(fence))]
        self.counters.add("platform.call")
        try:
            async with asyncio.timeout(CALL_S):
                async with self.upstream_client.ask(
                    self.settings.address, "", "POST", path, heads, orjson.dumps(doc), 0.0, "", may_send
                ) as response:
                    await response.read()
                    return self._judge(response.status)
        except NotSentError:
            return CallResult.NOT_SENT
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError, ValueError):
            self.counters.add("platform.unanswered")
            return CallResult.AGAIN

    async def deliver(self, path: str, doc: dict, lease: StandingLease) -> str:
        """Send a call again and again until it is taken, under a lease. EffectFailedError if it never can be;
        RoleCallError once the lease has ended."""
        pause = PAUSE_S
        while lease.may_act():
            result = await self.post(path, doc, lease.tenancy.fence, lease.may_act)
            if result is CallResult.TAKEN:
                return result.value
            if result is CallResult.REFUSED:
                raise EffectFailedError(f"{path}: the platform refused it")
            await asyncio.sleep(pause)
            pause = min(pause * 2, LONGEST_PAUSE_S)
        raise RoleCallError(STALE_FENCE)

    def _judge(self, status: int) -> CallResult:
        self.counters.add(f"platform.{status}")
        if 200 <= status < 300:
            return CallResult.TAKEN
        return CallResult.REFUSED if 400 <= status < 500 and status not in (408, 429) else CallResult.AGAIN

    async def _pace(self) -> None:
        async with self._turn:
            wait = self._next_at - self.clock.now()
            if wait > 0:
                await asyncio.sleep(wait)
            self._next_at = self.clock.now() + 1.0 / (self.settings.duty_per_s * RATE_SHARE)
