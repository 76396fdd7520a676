"""Commands on the 'plan' part: the policy, and the agreed facts on regions, each with its epoch and reason."""

from __future__ import annotations

import hashlib

from ..consensus import Commands
from .errors import PolicyError
from .placement import ALL
from .reader import read_policy

KEEP_TAKEN = 64
KEEP_LOG = 16
MOST_FLAPS = 5
OPERATOR = "operator"

commands = Commands()


def digest(text: str) -> str:
    """A short name of a policy's text.

    >>> digest("a") == digest("a") != digest("b")
    True
    """
    return hashlib.blake2b(text.encode(), digest_size=12).hexdigest()


@commands.on("policy.put")
def policy_put(value, args):
    """A whole policy: {"text": TOML, "match": 3, "zones": {zone: region}}; taken once, whoever repeats it."""
    old = value.get("policy") or {}
    now, zones = old.get("version", 0), {**old.get("zones", {}), **args["zones"]}
    try:
        doc = read_policy(args["text"], known=set(zones.values()))
    except PolicyError as e:
        return 2101, str(e), False
    ver, mark = str(doc["version"]), digest(args["text"])
    if value.get("policy_taken", {}).get(ver) == mark:
        return 1000, {"Version": now}, False
    if args["match"] != now:
        return 2011, {"Version": now}, False
    if doc["version"] <= now:
        return 2005, {"Version": now}, False
    value["policy"] = {**doc, "text": args["text"], "zones": zones}
    _forget_gone(value)
    taken = value.setdefault("policy_taken", {})
    taken[ver] = mark
    while len(taken) > KEEP_TAKEN:
        del taken[next(iter(taken))]
    return 1000, {"Version": doc["version"]}, True


def _forget_gone(value) -> None:
    """What was found out for a rule that no longer lists the region falls away; epochs and operators' words stay."""
    lists = {r["name"]: r["regions"] for r in value["policy"]["rules"]}
    for region, fact in value.get("regions", {}).items():
        for scope in [s for s in fact["out"] if s != ALL and region not in lists.get(s, ())]:
            del fact["out"][scope]
            _raise(fact, scope, "in", "policy", f"version {value['policy']['version']} has no such place")


@commands.on("policy.get")
def policy_get(value, args):
    """The policy in force, sure to be the newest."""
    if "policy" not in value:
        return 2103, None, False
    p = value["policy"]
    return 1000, {"Version": p["version"], "Text": p["text"], "ZoneMap": p["zones"]}, False


@commands.on("policy.zones")
def policy_zones(value, args):
    """Zones that were added to the system: {"zones": {zone: region}}. A zone that is known keeps its region."""
    if "policy" not in value:
        return 2103, None, False
    fresh = {z: r for z, r in args["zones"].items() if z not in value["policy"]["zones"]}
    value["policy"]["zones"].update(fresh)
    return 1000, None, bool(fresh)


def _known(value) -> set:
    p = value["policy"]
    return set(p["zones"].values()) | {g for r in p["rules"] for g in r["regions"]}


def _raise(fact: dict, scope: str, state: str, by: str, reason: str) -> None:
    fact["epoch"] += 1
    if state == "out":
        fact["out"][scope] = {"epoch": fact["epoch"], "by": by, "reason": reason}
    fact["log"] = (fact["log"] + [[fact["epoch"], scope, state, by, reason]])[-KEEP_LOG:]


def _fact(value, args, state):
    """The region's fact, or the code of a refusal and its document."""
    if "policy" not in value:
        return None, (2103, None, False)
    if args["region"] not in _known(value):
        return None, (2102, args["region"], False)
    fact = value.get("regions", {}).get(args["region"]) or {"epoch": 0, "out": {}, "flaps": {}, "log": []}
    if args.get("epoch") is not None and args["epoch"] != fact["epoch"]:
        if _taken_before(fact, args, state):
            return None, (1000, {"Epoch": fact["epoch"]}, False)
        return None, (2011, {"Epoch": fact["epoch"]}, False)
    return fact, None


def _taken_before(fact: dict, args: dict, state: str) -> bool:
    """Whether an operator's order that names its epoch was taken already: sent again, it is acknowledged again."""
    if args["by"] != OPERATOR:
        return False
    row = [args["epoch"] + 1, args["rule"], state, args["by"], args["reason"]]
    return any(row == list(done) for done in fact["log"])


@commands.on("region.out")
def region_out(value, args):
    """A region is out: {"region", "rule", "reason", "by", "epoch"?, "calm"?}; rule "*" is an operator's word.

    With calm, the region had long been in: its flaps count from the start again.
    """
    fact, refusal = _fact(value, args, "out")
    if refusal:
        return refusal
    rule = args["rule"]
    if rule in fact["out"]:
        return 1000, {"Epoch": fact["epoch"]}, False
    fact["flaps"][rule] = 1 if args.get("calm") else min(MOST_FLAPS, fact["flaps"].get(rule, 0) + 1)
    _raise(fact, rule, "out", args["by"], args["reason"])
    value.setdefault("regions", {})[args["region"]] = fact
    return 1000, {"Epoch": fact["epoch"]}, True


@commands.on("region.back")
def region_back(value, args):
    """A region is in again: {"region", "rule", "reason", "by", "epoch"?}; rule "*" ends every rule's finding too."""
    fact, refusal = _fact(value, args, "in")
    if refusal:
        return refusal
    scopes = list(fact["out"]) if args["rule"] == ALL else [s for s in (args["rule"],) if s in fact["out"]]
    for scope in scopes:
        del fact["out"][scope]
        _raise(fact, scope, "in", args["by"], args["reason"])
    return 1000, {"Epoch": fact["epoch"]}, bool(scopes)


@commands.on("region.list")
def region_list(value, args):
    """All regions that the policy knows, sure to be the newest."""
    if "policy" not in value:
        return 2103, None, False
    p, rows = value["policy"], []
    for name in sorted(_known(value)):
        fact = value.get("regions", {}).get(name, {"epoch": 0, "out": {}, "log": []})
        rows.append(
            {
                "Name": name,
                "OperState": "out" if fact["out"] else "in",
                "Epoch": fact["epoch"],
                "ZoneList": sorted(z for z, r in p["zones"].items() if r == name),
                "OutTable": [
                    {"Rule": s, "Epoch": o["epoch"], "By": o["by"], "Reason": o["reason"]}
                    for s, o in fact["out"].items()
                ],
                "Log": [dict(zip(("Epoch", "Rule", "OperState", "By", "Reason"), row)) for row in fact["log"]],
            }
        )
    return 1000, {"Version": p["version"], "RegionTable": rows}, False


def policy_view(value: dict) -> dict:
    """What other nodes need of it; nothing while no policy is set.

    >>> policy_view({})
    {}
    """
    if "policy" not in value:
        return {}
    return {
        "policy": {k: v for k, v in value["policy"].items() if k != "text"},
        "regions": {
            n: {"epoch": f["epoch"], "out": {s: {} for s in f["out"]}} for n, f in value.get("regions", {}).items()
        },
    }
