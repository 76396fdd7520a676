"""The errors of jobs and their records."""

from __future__ import annotations

from ..exceptions import ArchhatchError


class InvalidJobError(ArchhatchError):
    """A job that cannot be read: no item of it runs."""


class DeposedError(ArchhatchError):
    """Another holds the run under a higher term."""
