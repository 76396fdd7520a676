"""A request whose target goes out as it came: URL objects drop an empty query and all behind a "#"."""

from __future__ import annotations

from typing import Any, cast

import aiohttp
from yarl import URL

from .connection_pool import CONNECTION_USE


class _TargetUrl:
    """A URL for aiohttp, but for the target that is written."""

    def __init__(self, url: URL, target: str) -> None:
        self._url = url
        self.raw_path_qs = target

    def __getattr__(self, name: str) -> Any:  # noqa: ANN401 - whatever the URL has
        return getattr(self._url, name)


class VerbatimRequest(aiohttp.ClientRequest):
    """Writes the target of the ConnectionUse in place of the URL's."""

    async def send(self, conn: Any) -> aiohttp.ClientResponse:  # noqa: ANN401 - aiohttp's Connection
        """Sends the request on a connection."""
        use, url = CONNECTION_USE.get(), self.url
        if use is None or use.target is None or use.target == url.raw_path_qs:
            return await super().send(conn)
        self.url = cast(URL, _TargetUrl(url, use.target))
        try:
            return await super().send(conn)
        finally:
            self.url = url
