"""HTTP server of the nodes: requests and bodies as they came, answers written in one place."""

from .limits import HttpLimits
from .server import HttpServer

__all__ = [
    "HttpLimits",
    "HttpServer",
]
