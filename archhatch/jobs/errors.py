"""The errors of jobs and their records."""

from __future__ import annotations

from ..exceptions import ArchhatchError


class InvalidJobError(ArchhatchError):
    """A job that cannot be read: no item of it runs."""


class JobOwnedElsewhereError(ArchhatchError):
    """A job belongs, or may belong, to another run; nothing of it runs here.

    Attributes:
        owner: The other run.
    """

    def __init__(self, owner: str) -> None:
        super().__init__(f"run {owner} has the job, or may have it")
        self.owner = owner


class DeposedError(ArchhatchError):
    """Another holds the run under a higher term."""
