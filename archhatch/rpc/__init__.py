"""Connections between the system's own nodes: framed messages, calls and their answers."""

from .connection import CallError, Connection, ConnectionPool
from .messages import Envelope
from .network import Network, TcpNetwork
from .pending import PendingCalls
from .server import Handlers, CallRefusedError, Server, is_misdirected

__all__ = [
    "CallError",
    "Connection",
    "ConnectionPool",
    "Envelope",
    "Handlers",
    "Network",
    "PendingCalls",
    "CallRefusedError",
    "Server",
    "TcpNetwork",
    "is_misdirected",
]
