"""Calls of an operator's tool to the control nodes."""

from __future__ import annotations

from typing import NamedTuple

import aiohttp
import orjson

from ..exceptions import ArchhatchError
from ..runtime import Settings

ROUNDS = 3  # how often all seeds are tried before a call is given up
ANSWER_SHARE = 0.5  # of AckTimeoutMs: how long one control node may take to answer
HTTP_OK = 200
HTTP_SERVER_ERROR = 500  # from this status on another node may give a better answer


class CommandFailedError(ArchhatchError):
    """An operator's command that could not be carried out; says why in one line."""


class Answer(NamedTuple):
    """The answer of a control node.

    Attributes:
        status: The HTTP status.
        document: The body.
    """

    status: int
    document: dict

    def check(self) -> dict:
        """Returns the document of an answer that is good.

        Raises:
            CommandFailedError: The control node refused; names the code and why.
        """
        if self.status != HTTP_OK:
            refusal = self.document
            raise CommandFailedError(f"code {refusal.get('Error')} {refusal.get('Says')}: {refusal.get('Why')}")
        return self.document


class ControlPlane:
    """Calls control nodes, one seed after the other, until one gives a clear answer; an async context manager."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings

    async def __aenter__(self) -> ControlPlane:
        timeout_s = self._settings.seconds("AckTimeoutMs", ANSWER_SHARE)
        self._http = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=timeout_s))
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self._http.close()

    async def call(
        self, method: str, path: str, body: bytes | None = None, headers: dict[str, str] | None = None
    ) -> Answer:
        """Makes one call.

        Raises:
            CommandFailedError: No control node gave a clear answer.
        """
        reason = "SeedPeers is empty"
        for _ in range(ROUNDS):
            for seed in self._settings.seed_peers:
                try:
                    async with self._http.request(method, f"http://{seed}{path}", data=body, headers=headers) as answer:
                        data = await answer.read()
                        if answer.status < HTTP_SERVER_ERROR:
                            return Answer(answer.status, orjson.loads(data))
                        reason = f"{seed}: status {answer.status}"
                except (aiohttp.ClientError, TimeoutError, orjson.JSONDecodeError) as error:
                    reason = f"{seed}: {error or type(error).__name__}"
        raise CommandFailedError(f"no control node gives a clear answer; the last: {reason}")
