"""The platform's interface: calls that are the duty of one node at a time."""

from .client import CallResult, PlatformClient

__all__ = [
    "CallResult",
    "PlatformClient",
]
