"""The command `policy`: checks, puts, gets and explains the placement policy, and takes regions out or in."""

from __future__ import annotations

from absl import flags

from .common_flags import REASON, SETTINGS
from .registry import command

ROUTE = flags.DEFINE_string("route", None, "policy explain: a route's name")
HOST = flags.DEFINE_string("host", None, "policy explain: the host of a request")
PATH = flags.DEFINE_string("path", None, "policy explain: the path of a request")
REGIONS_OUT = flags.DEFINE_list("regions_out", None, "policy explain: regions that count as out")
PLAN = flags.DEFINE_string("plan", None, "policy explain: a configuration file; else the one in force")
MATCH = flags.DEFINE_integer("match", None, "policy put: the version that it stands on; else the newest", lower_bound=0)


@command("policy", "check, put, get or explain the placement policy, and take regions out or in")
def _policy(args: list[str]) -> int:
    from ..region_policy.client import PolicyClient, PolicyOptions

    options = PolicyOptions(
        settings=SETTINGS.value,
        route=ROUTE.value,
        host=HOST.value,
        path=PATH.value,
        regions_out=REGIONS_OUT.value,
        plan=PLAN.value,
        match=MATCH.value,
        reason=REASON.value,
    )
    return PolicyClient(options).run(args)
