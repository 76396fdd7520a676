"""The test desk: looks for common faults of a settings file and of the nodes that it names."""

from .doctor import Doctor, Finding, report

__all__ = [
    "Doctor",
    "Finding",
    "report",
]
