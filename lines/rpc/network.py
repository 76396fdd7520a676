"""The network that nodes call one another over."""
from __future__ import annotations

from .connection import ConnectionPool
from .server import Server


class TcpNetwork:
    """Connections and servers over TCP."""

    def pool(self, counters) -> ConnectionPool:
        return ConnectionPool(counters)

    def server(self, handlers, log, counters, identity=None) -> Server:
        return Server(handlers, log, counters, identity)
