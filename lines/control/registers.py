"""Commands on the parts. 'plan' holds the configuration and the stores; the others versions and tenures by service."""
from __future__ import annotations

import hashlib

import orjson

from ..areacodes import facts
from ..dialplan import PlanFault, check_plan, merge
from ..consensus import Commands
from . import store_commands

PLAN = "plan"
OTHERS = ["p0", "p1", "p2"]
PARTS = [PLAN] + OTHERS
KEEP_TAKEN = 64

commands = Commands()
commands.table.update(facts.commands.table)
commands.table.update(store_commands.commands.table)


def digest(kind: str, doc: object) -> str:
    """A short name of a change's content.

    >>> digest("put", {"b": 1, "a": 2}) == digest("put", {"a": 2, "b": 1})
    True
    """
    raw = orjson.dumps([kind, doc], option=orjson.OPT_SORT_KEYS)
    return hashlib.blake2b(raw, digest_size=12).hexdigest()


def _take(val: dict, kind: str, args: dict, build):
    now = val.get("plan", {}).get("Revision", 0)
    rev, mark = str(args["doc"].get("Revision")), digest(kind, args["doc"])
    if val.get("taken", {}).get(rev) == mark:
        return 1000, {"Revision": now}, False
    if args["match"] != now:
        return 2011, {"Revision": now}, False
    try:
        doc = check_plan(build())
    except PlanFault as e:
        return 2002, str(e), False
    if doc["Revision"] <= now:
        return 2005, {"Revision": now}, False
    val["plan"] = doc
    taken = val.setdefault("taken", {})
    taken[rev] = mark
    while len(taken) > KEEP_TAKEN:
        del taken[next(iter(taken))]
    return 1000, {"Revision": doc["Revision"]}, True


@commands.on("plan.put")
def plan_put(val, args):
    """A whole configuration: {"doc": ..., "match": 5}."""
    return _take(val, "put", args, lambda: args["doc"])


@commands.on("plan.patch")
def plan_patch(val, args):
    """Named items: {"doc": {"Revision": 9, "Upsert": ...}, "match": 7}."""
    return _take(val, "patch", args, lambda: merge(val.get("plan", {}), args["doc"]))


@commands.on("plan.get")
def plan_get(val, args):
    """The configuration in force, sure to be the newest."""
    return (1000, val["plan"], False) if "plan" in val else (3001, None, False)


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
        return {"plan": val.get("plan"), "stores": val.get("stores", {}), "runs": val.get("runs", {}),
                "dropped": val.get("dropped", {}), "retired": val.get("retired", {}),
                **facts.policy_view(val)}
    return val
