"""Commands on the parts. 'plan' holds the configuration and the stores; the others versions and tenures by service."""

from __future__ import annotations

from ..region_policy import commands as facts
from ..consensus import Commands
from ..evacuation import commands as evacuation_commands
from . import config_commands, leases, store_commands

PLAN = "plan"
SERVICE_SHARDS = ["p0", "p1", "p2"]
SHARDS = [PLAN] + SERVICE_SHARDS

commands = Commands()
commands.table.update(facts.commands.table)
commands.table.update(config_commands.commands.table)
commands.table.update(store_commands.commands.table)
commands.table.update(leases.commands.table)
commands.table.update(evacuation_commands.commands.table)


@commands.on("noop")
def noop(value, args):
    """Nothing but proof of a majority."""
    return 1000, None, False


@commands.on("named.put")
def named_put(value, args):
    """A trainer names a version: {"model", "rev"}. Naming it again is no fault."""
    named = value.setdefault("named", {})
    if args["rev"] <= named.get(args["model"], 1):
        return 1000, {"Revision": named.get(args["model"], 1)}, False
    named[args["model"]] = args["rev"]
    return 1000, {"Revision": args["rev"]}, True


def feed_view(shard: str, value: dict) -> dict:
    """What of a part's value other nodes need."""
    if shard == PLAN:
        return {
            "plan": value.get("plan"),
            "stores": value.get("stores", {}),
            "runs": value.get("runs", {}),
            "dropped": value.get("dropped", {}),
            "retired": value.get("retired", {}),
            "ledger": value.get("ledger", {}),
            **facts.policy_view(value),
            **evacuation_commands.feed_view(value),
        }
    return value
