"""Diagnostics: the doctor, which looks for common faults of a deployment, and the import of nginx configurations."""

from .doctor import Doctor
from .findings import Finding, FindingCode, report

__all__ = [
    "Doctor",
    "Finding",
    "FindingCode",
    "report",
]
