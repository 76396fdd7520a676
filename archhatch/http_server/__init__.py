"""HTTP server of the nodes: requests and bodies as they came, answers written in one place."""

from .client_memory import BODY_WAIT_S, BodyTerms, ClientMemory
from .limits import HttpLimits
from .server import HttpServer

__all__ = [
    "BODY_WAIT_S",
    "BodyTerms",
    "ClientMemory",
    "HttpLimits",
    "HttpServer",
]
