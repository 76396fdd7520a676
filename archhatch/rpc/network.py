"""Where a node's connections and its server come from, so that a simulator can bring its own."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ..runtime import Counters
from .connection import ConnectionPool
from .server import Handlers, Identity, Server

if TYPE_CHECKING:
    from loguru import Logger


class Network(Protocol):
    """What a node needs of a network."""

    def pool(self, counters: Counters) -> ConnectionPool:
        """Returns the node's connections to others."""

    def server(self, handlers: Handlers, log: Logger, counters: Counters, identity: Identity | None = None) -> Server:
        """Returns what answers the calls of others."""


class TcpNetwork:
    """Connections over TCP.

    >>> TcpNetwork().pool(Counters()).to("10.0.0.1:7380").address
    '10.0.0.1:7380'
    """

    def pool(self, counters: Counters) -> ConnectionPool:
        """Returns the node's connections to others."""
        return ConnectionPool(counters)

    def server(self, handlers: Handlers, log: Logger, counters: Counters, identity: Identity | None = None) -> Server:
        """Returns what answers the calls of others; `identity` returns the node's id, or the set of its ids."""
        return Server(handlers, log, counters, identity)
