"""Notices to a tenant: a signed HTTP call with an id, repeated with growing pauses until it is acknowledged."""

from __future__ import annotations

import hashlib
import hmac
import ssl

import aiohttp
import orjson
from tenacity import AsyncRetrying, RetryError, retry_if_exception_type, stop_after_delay, wait_random_exponential

from ..exceptions import ArchhatchError

ID_HEADER = "X-Archhatch-Notice-Id"
SIGNATURE_HEADER = "X-Archhatch-Notice-Signature"
FIRST_PAUSE_S = 0.25  # the pauses between tries grow from here
MAX_PAUSE_S = 30.0  # ... to here
ANSWER_TIMEOUT_S = 5.0  # of one try
ACKNOWLEDGED = range(200, 300)  # the HTTP statuses by which a tenant acknowledges


class NotAcknowledgedError(ArchhatchError):
    """A try, or all tries, of a notice ended without an acknowledgement."""


def sign(key: bytes, body: bytes) -> str:
    """Returns the signature that a tenant checks: the HMAC of the body under the key that it shares with the operator.

    >>> sign(b"k", b"") == "sha256=" + hmac.new(b"k", b"", "sha256").hexdigest()
    True
    """
    return "sha256=" + hmac.new(key, body, hashlib.sha256).hexdigest()


class Notice:
    """One notice. The tenant may get it more than once, always with the same id.

    >>> notice = Notice("http://10.0.0.1/n", b"key", {"Id": "e1", "Kind": "move"})
    >>> notice.name
    'e1.move'

    Attributes:
        url: The tenant's address.
        key: The key that signs the notice.
        document: The body.
        tries: How often it was sent.
    """

    def __init__(self, url: str, key: bytes, document: dict, first_pause_s: float = FIRST_PAUSE_S) -> None:
        self.url = url
        self.key = key
        self.document = document
        self.tries = 0
        self._wait = wait_random_exponential(multiplier=first_pause_s, max=MAX_PAUSE_S)

    @property
    def name(self) -> str:
        """The id under which the tenant recognizes it."""
        return f"{self.document['Id']}.{self.document['Kind']}"

    async def send(self, within_s: float) -> None:
        """Sends the notice again and again until it is acknowledged.

        Raises:
            NotAcknowledgedError: The time is over.
        """
        body = orjson.dumps(self.document)
        headers = {
            "Content-Type": "application/json",
            ID_HEADER: self.name,
            SIGNATURE_HEADER: sign(self.key, body),
        }
        failures = (aiohttp.ClientError, OSError, TimeoutError, NotAcknowledgedError)
        retries = AsyncRetrying(
            retry=retry_if_exception_type(failures), wait=self._wait, stop=stop_after_delay(within_s)
        )
        timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout, connector=self._connector()) as session:
            try:
                async for attempt in retries:
                    with attempt:
                        await self._try(session, body, headers)
            except RetryError as error:
                last = error.last_attempt.exception()
                raise NotAcknowledgedError(f"{self.tries} tries; the last: {last!r}") from None

    async def _try(self, session: aiohttp.ClientSession, body: bytes, headers: dict[str, str]) -> None:
        self.tries += 1
        async with session.post(self.url, data=body, headers=headers, allow_redirects=False) as response:
            await response.read()
            if response.status not in ACKNOWLEDGED:
                raise NotAcknowledgedError(f"status {response.status}")

    def _connector(self) -> aiohttp.TCPConnector:
        if not self.url.startswith("https:"):
            return aiohttp.TCPConnector(limit=1)
        # the process has no trust store by default (archhatch.py): this call needs the machine's
        paths = ssl.get_default_verify_paths()
        return aiohttp.TCPConnector(limit=1, ssl=ssl.create_default_context(cafile=paths.openssl_cafile))
