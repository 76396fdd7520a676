"""Remote procedure calls between the system's own nodes: framed messages over TCP, calls and their answers."""

from .connection import CallError, CallResult, Connection, ConnectionPool
from .messages import Envelope
from .network import Network, TcpNetwork
from .pending import PendingCalls
from .server import CallRefusedError, Handlers, Server, is_misdirected

__all__ = [
    "CallError",
    "CallRefusedError",
    "CallResult",
    "Connection",
    "ConnectionPool",
    "Envelope",
    "Handlers",
    "Network",
    "PendingCalls",
    "Server",
    "TcpNetwork",
    "is_misdirected",
]
