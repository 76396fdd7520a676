"""Connections between the system's own nodes: framed messages, calls and their answers."""
from .server import Server, Refusal, Handlers
from .connection import Connection, CallError, ConnectionPool
from .messages import Envelope
from .pending import PendingCalls
from .network import TcpNetwork

__all__ = ["Server", "Refusal", "Handlers", "Connection", "CallError", "ConnectionPool", "Envelope", "PendingCalls", "TcpNetwork"]
