"""Commands on the parts. 'plan' holds the configuration and the stores; the others versions and tenures by service."""

from __future__ import annotations

from ..region_policy import commands as facts
from ..consensus import Commands
from ..evacuation import commands as evacuation_commands
from . import config_commands, leases, store_commands

PLAN = "plan"
OTHERS = ["p0", "p1", "p2"]
PARTS = [PLAN] + OTHERS

commands = Commands()
commands.table.update(facts.commands.table)
commands.table.update(config_commands.commands.table)
commands.table.update(store_commands.commands.table)
commands.table.update(leases.commands.table)
commands.table.update(evacuation_commands.commands.table)


@commands.on("noop")
def noop(val, args):
    """Nothing but proof of a majority."""
    return 1000, None, False


@commands.on("named.put")
def named_put(val, args):
    """A trainer names a version: {"model", "rev"}. Naming it again is no fault."""
    named = val.setdefault("named", {})
    if args["rev"] <= named.get(args["model"], 1):
        return 1000, {"Revision": named.get(args["model"], 1)}, False
    named[args["model"]] = args["rev"]
    return 1000, {"Revision": args["rev"]}, True


def news_view(part: str, val: dict) -> dict:
    """What of a part's value other nodes need."""
    if part == PLAN:
        return {
            "plan": val.get("plan"),
            "stores": val.get("stores", {}),
            "runs": val.get("runs", {}),
            "dropped": val.get("dropped", {}),
            "retired": val.get("retired", {}),
            "ledger": val.get("ledger", {}),
            **facts.policy_view(val),
            **evacuation_commands.feed_view(val),
        }
    return val
