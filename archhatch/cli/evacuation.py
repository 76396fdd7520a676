"""The command `evacuate`: plans, starts, watches, cancels or returns the move of a tenant to another region."""

from __future__ import annotations

from absl import flags

from .common_flags import REASON, SETTINGS
from .registry import command

DRY_RUN = flags.DEFINE_bool("dry_run", False, "evacuate plan: only say what would be taken")


@command("evacuate", "plan, start, watch, cancel or return the move of a tenant to another region")
def _evacuate(args: list[str]) -> int:
    from ..evacuation.client import EvacuationClient, EvacuationOptions

    options = EvacuationOptions(settings=SETTINGS.value, reason=REASON.value, dry_run=DRY_RUN.value)
    return EvacuationClient(options).run(args)
