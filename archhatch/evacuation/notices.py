"""Telling a tenant: an HTTP call with an id and a signature, repeated with growing pauses until it is acknowledged."""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import ssl

import aiohttp
import orjson
from tenacity import AsyncRetrying, RetryError, retry_if_exception_type, stop_after_delay, wait_random_exponential

ID = "X-Archhatch-Notice-Id"
SIGNATURE = "X-Archhatch-Notice-Signature"
FIRST_PAUSE_S = 0.25  # the pauses between tries grow from here,
LONGEST_PAUSE_S = 30.0  # ... to this,
ANSWER_S = 5.0  # ... and a try waits so long for its answer


class NotAcknowledgedError(Exception):
    """The tenant's address gave no 2xx."""


def sign(key: bytes, body: bytes) -> str:
    """What a tenant checks: the HMAC of the body under the key that it shares with the operator.

    >>> sign(b"k", b"") == "sha256=" + hmac.new(b"k", b"", "sha256").hexdigest()
    True
    """
    return "sha256=" + hmac.new(key, body, hashlib.sha256).hexdigest()


class Notice:
    """One notice; send() returns when it was acknowledged, or raises NotAcknowledgedError when its time is over.

    The tenant may get it more than once, always with the same id.

    >>> # await Notice("http://10.0.0.1/n", key, {"Id": "e1", "Kind": "move"}).send(within_s=60.0)
    """

    def __init__(self, url: str, key: bytes, doc: dict, first_pause_s: float = FIRST_PAUSE_S):
        self.url, self.key, self.doc = url, key, doc
        self.tries = 0
        self._pause = wait_random_exponential(multiplier=first_pause_s, max=LONGEST_PAUSE_S)

    @property
    def name(self) -> str:
        """The id under which the tenant knows it again."""
        return f"{self.doc['Id']}.{self.doc['Kind']}"

    async def send(self, within_s: float) -> None:
        """Try until it is acknowledged."""
        body = orjson.dumps(self.doc)
        heads = {"Content-Type": "application/json", ID: self.name, SIGNATURE: sign(self.key, body)}
        failures = (aiohttp.ClientError, OSError, asyncio.TimeoutError, NotAcknowledgedError)
        again = AsyncRetrying(
            retry=retry_if_exception_type(failures), wait=self._pause, stop=stop_after_delay(within_s)
        )
        timeout = aiohttp.ClientTimeout(total=ANSWER_S)
        async with aiohttp.ClientSession(timeout=timeout, connector=self._connector()) as session:
            try:
                async for attempt in again:
                    with attempt:
                        await self._try(session, body, heads)
            except RetryError as e:
                raise NotAcknowledgedError(f"{self.tries} tries; the last: {e.last_attempt.exception()!r}") from None

    async def _try(self, session, body: bytes, heads: dict) -> None:
        self.tries += 1
        async with session.post(self.url, data=body, headers=heads, allow_redirects=False) as response:
            await response.read()
            if not 200 <= response.status < 300:
                raise NotAcknowledgedError(f"status {response.status}")

    def _connector(self) -> aiohttp.TCPConnector:
        if not self.url.startswith("https:"):
            return aiohttp.TCPConnector(limit=1)
        # the process has no trust store by default (archhatch.py): this call needs the machine's
        paths = ssl.get_default_verify_paths()
        return aiohttp.TCPConnector(limit=1, ssl=ssl.create_default_context(cafile=paths.openssl_cafile))
