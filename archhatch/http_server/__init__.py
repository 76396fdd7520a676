"""The counter where outsiders are served: a bare HTTP listener whose answers are written in one place."""

from .server import HttpServer

__all__ = [
    "HttpServer",
]
