"""The kept connections to replicas."""
from __future__ import annotations

import aiohttp


class KeptConnector(aiohttp.TCPConnector):
    """aiohttp's connector, which uses the connection that idled least and tells where one is kept.

    >>> # conn = KeptConnector(limit=0); conn.idle("10.0.0.9:8080")
    """

    def __init__(self, **kw):
        super().__init__(**kw)
        self._keys: dict[str, tuple] = {}

    def idle(self, addr: str) -> bool:
        """Whether a connection to an address is open and unused."""
        kept = self._conns.get(self._keys.get(addr))
        return bool(kept) and kept[-1][0].is_connected()

    async def connect(self, req, traces, timeout):
        key = req.connection_key
        self._keys[f"{key.host}:{key.port}"] = key
        return await super().connect(req, traces, timeout)

    async def _get(self, key, traces):
        # aiohttp takes the one that idled longest, which keeps more of them open than are needed
        kept = self._conns.get(key)
        if kept is not None and len(kept) > 1:
            kept.rotate(1)
        return await super()._get(key, traces)
