"""The platform's interface: calls that one node at a time may make, under a singleton role's lease."""

from .client import CallResult, PlatformClient

__all__ = [
    "CallResult",
    "PlatformClient",
]
