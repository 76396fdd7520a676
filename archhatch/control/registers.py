"""The registers of the control nodes and the table of the commands that run on them.

The `plan` register holds the configuration, the stores, the placement policy and the evacuations; the other registers
hold the named model versions and the runs' leases, spread over them by service.
"""

from __future__ import annotations

from ..consensus import Commands
from ..evacuation import commands as evacuation_commands
from ..region_policy import commands as region_commands
from ..routing.stored_configuration import stored_fields
from . import config_commands, leases, store_commands
from .register_values import (
    RegisterValue,
    dropped_stores_of,
    retirements_of,
    runs_of,
    stores_of,
    voter_groups_of,
)
from .result_codes import DONE

PLAN = "plan"
SERVICE_SHARDS = ["p0", "p1", "p2"]
SHARDS = [PLAN, *SERVICE_SHARDS]
FIRST_MODEL_VERSION = 1  # of a model for which no trainer has named a version

commands = Commands()
commands.table.update(region_commands.commands.table)
commands.table.update(config_commands.commands.table)
commands.table.update(store_commands.commands.table)
commands.table.update(leases.commands.table)
commands.table.update(evacuation_commands.commands.table)


@commands.on("noop")
def noop(_value: RegisterValue, _args: dict) -> tuple:
    """Does nothing; that it was run proves contact with a majority."""
    return DONE, None, False


@commands.on("named.put")
def named_put(value: RegisterValue, args: dict) -> tuple:
    """Names the newest version of a model: {"model", "rev"}; naming it again is acknowledged."""
    model, version = args["model"], args["rev"]
    versions = value.setdefault("named", {})
    current = versions.get(model, FIRST_MODEL_VERSION)
    if version <= current:
        return DONE, {"Revision": current}, False
    versions[model] = version
    return DONE, {"Revision": version}, True


def feed_view(shard: str, value: RegisterValue) -> RegisterValue:
    """Returns what other nodes need of a register's value."""
    if shard != PLAN:
        return value
    return {
        **stored_fields(value),
        "stores": stores_of(value),
        "runs": runs_of(value),
        "dropped": dropped_stores_of(value),
        "retired": retirements_of(value),
        "ledger": voter_groups_of(value),
        **region_commands.policy_view(value),
        **evacuation_commands.feed_view(value),
    }
