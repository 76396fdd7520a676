"""The command `duties`: lists or shows what one node at a time must do, and resets a failed duty."""

from __future__ import annotations

from dataclasses import dataclass

from .common_flags import SETTINGS
from .registry import command


@dataclass(slots=True)
class SingletonRoleOptions:
    """The options of the command line.

    Attributes:
        settings: The settings file; None for the usual place.
    """

    settings: str | None


@command("duties", "list or show what one node at a time must do, and allow a failed duty to be tried again")
def _duties(args: list[str]) -> int:
    from ..singleton_roles.client import SingletonRoleClient

    return SingletonRoleClient(SingletonRoleOptions(settings=SETTINGS.value)).run(args)
