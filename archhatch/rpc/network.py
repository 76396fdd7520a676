"""Where a node's connections and its server come from, so that a simulator can bring its own."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from .connection import ConnectionPool
from .server import Handlers, Server


class Network(Protocol):
    """What a node needs of a network."""

    def pool(self, counters) -> ConnectionPool:
        """The node's connections to others."""

    def server(self, handlers: Handlers, log, counters, identity: Callable | None = None) -> Server:
        """What answers the calls of others."""


class TcpNetwork:
    """Connections over TCP.

    >>> from ..runtime import Counters
    >>> TcpNetwork().pool(Counters()).to("10.0.0.1:7380").address
    '10.0.0.1:7380'
    """

    def pool(self, counters) -> ConnectionPool:
        """The node's connections to others."""
        return ConnectionPool(counters)

    def server(self, handlers: Handlers, log, counters, identity: Callable | None = None) -> Server:
        """What answers the calls of others; identity() gives the node's id, or the set of its ids."""
        return Server(handlers, log, counters, identity)
