"""Commands on the plan register: the policy, and the agreed facts on regions, each with its epoch and reason.

A fact on a region is stored as {"epoch", "out": {scope: {"epoch", "by", "reason"}}, "flaps": {scope: count}, "log"};
a scope is the name of a rule, or "*" for all rules. Keys and their order are stored data.
"""

from __future__ import annotations

import hashlib

from ..consensus import Commands
from ..control.result_codes import DONE, INVALID_POLICY, REVISION_NOT_HIGHER, VERSION_MISMATCH
from .errors import PolicyError
from .placement import ALL
from .reader import read_policy

UNKNOWN_REGION = 2102  # result codes: docs/codes.md
NO_POLICY = 2103

MAX_TAKEN_POLICIES = 64  # policies that were taken and whose digest is kept: one sent again is acknowledged again
MAX_LOG_ROWS = 16  # the last changes of a region that are kept
MAX_FLAPS = 5  # flaps are counted up to here: each doubles the return time
DIGEST_BYTES = 12
OPERATOR = "operator"  # stands as "by" of what an operator ordered
LOG_KEYS = ("Epoch", "Rule", "OperState", "By", "Reason")  # the fields of a log row, as operators are shown them

Result = tuple[int, object, bool]  # code, document, whether the value changed

commands = Commands()


def digest(text: str) -> str:
    """Returns a short digest of a policy's text.

    >>> digest("a") == digest("a") != digest("b")
    True
    """
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


@commands.on("policy.put")
def policy_put(value: dict, args: dict) -> Result:
    """Puts a whole policy in force: {"text": TOML, "match": 3, "zones": {zone: region}}.

    It is taken once, however often it is sent. Zones that are known already count beside those of the arguments.
    """
    current = value.get("policy") or {}
    current_version = current.get("version", 0)
    zones = {**current.get("zones", {}), **args["zones"]}
    try:
        document = read_policy(args["text"], known_regions=set(zones.values()))
    except PolicyError as error:
        return INVALID_POLICY, str(error), False
    version = document["version"]
    text_digest = digest(args["text"])
    if value.get("policy_taken", {}).get(str(version)) == text_digest:
        return DONE, {"Version": current_version}, False
    if args["match"] != current_version:
        return VERSION_MISMATCH, {"Version": current_version}, False
    if version <= current_version:
        return REVISION_NOT_HIGHER, {"Version": current_version}, False
    value["policy"] = {**document, "text": args["text"], "zones": zones}
    _drop_unlisted_findings(value)
    _record_taken(value.setdefault("policy_taken", {}), str(version), text_digest)
    return DONE, {"Version": version}, True


def _record_taken(taken: dict, version: str, text_digest: str) -> None:
    taken[version] = text_digest
    while len(taken) > MAX_TAKEN_POLICIES:
        del taken[next(iter(taken))]


def _drop_unlisted_findings(value: dict) -> None:
    """Drops what was found for rules that no longer list the region; epochs and operators' orders stay."""
    policy = value["policy"]
    regions_by_rule = {rule["name"]: rule["regions"] for rule in policy["rules"]}
    for region, fact in value.get("regions", {}).items():
        unlisted = [scope for scope in fact["out"] if scope != ALL and region not in regions_by_rule.get(scope, ())]
        for scope in unlisted:
            del fact["out"][scope]
            _record_change(fact, scope, "in", "policy", f"version {policy['version']} has no such place")


@commands.on("policy.get")
def policy_get(value: dict, _args: dict) -> Result:
    """Returns the policy in force; as a command of the register, it is sure to be the newest."""
    if "policy" not in value:
        return NO_POLICY, None, False
    policy = value["policy"]
    return DONE, {"Version": policy["version"], "Text": policy["text"], "ZoneMap": policy["zones"]}, False


@commands.on("policy.zones")
def policy_zones(value: dict, args: dict) -> Result:
    """Adds zones of the system: {"zones": {zone: region}}. A zone that is known keeps its region."""
    if "policy" not in value:
        return NO_POLICY, None, False
    known = value["policy"]["zones"]
    added = {zone: region for zone, region in args["zones"].items() if zone not in known}
    known.update(added)
    return DONE, None, bool(added)


def _known_regions(value: dict) -> set[str]:
    policy = value["policy"]
    return set(policy["zones"].values()) | {region for rule in policy["rules"] for region in rule["regions"]}


def _record_change(fact: dict, scope: str, state: str, by: str, reason: str) -> None:
    """Gives a fact its next epoch, and adds the change to its log."""
    fact["epoch"] += 1
    if state == "out":
        fact["out"][scope] = {"epoch": fact["epoch"], "by": by, "reason": reason}
    fact["log"] = (fact["log"] + [[fact["epoch"], scope, state, by, reason]])[-MAX_LOG_ROWS:]


def _fact_of(value: dict, region: str) -> dict:
    """Returns the fact on a region; a new one, not yet stored, if there is none."""
    return value.get("regions", {}).get(region) or {"epoch": 0, "out": {}, "flaps": {}, "log": []}


def _refuse(value: dict, args: dict, state: str) -> Result | None:
    """Returns the result of a command on a region that cannot be carried out; None if it can."""
    if "policy" not in value:
        return NO_POLICY, None, False
    if args["region"] not in _known_regions(value):
        return UNKNOWN_REGION, args["region"], False
    fact = _fact_of(value, args["region"])
    expected_epoch = args.get("epoch")
    if expected_epoch is None or expected_epoch == fact["epoch"]:
        return None
    code = DONE if _was_taken(fact, args, state) else VERSION_MISMATCH
    return code, {"Epoch": fact["epoch"]}, False


def _was_taken(fact: dict, args: dict, state: str) -> bool:
    """Whether an operator's order that names its epoch was taken already: sent again, it is acknowledged again."""
    if args["by"] != OPERATOR:
        return False
    row = [args["epoch"] + 1, args["rule"], state, args["by"], args["reason"]]
    return any(row == list(logged) for logged in fact["log"])


@commands.on("region.out")
def region_out(value: dict, args: dict) -> Result:
    """Declares a region out: {"region", "rule", "reason", "by", "epoch"?, "calm"?}; rule "*" is an operator's order.

    With calm, the region had long been in: its flaps count from the start again.
    """
    refusal = _refuse(value, args, "out")
    if refusal is not None:
        return refusal
    fact = _fact_of(value, args["region"])
    rule = args["rule"]
    if rule in fact["out"]:
        return DONE, {"Epoch": fact["epoch"]}, False
    flaps = fact["flaps"].get(rule, 0) + 1
    fact["flaps"][rule] = 1 if args.get("calm") else min(MAX_FLAPS, flaps)
    _record_change(fact, rule, "out", args["by"], args["reason"])
    value.setdefault("regions", {})[args["region"]] = fact
    return DONE, {"Epoch": fact["epoch"]}, True


@commands.on("region.back")
def region_back(value: dict, args: dict) -> Result:
    """Declares a region in again: {"region", "rule", "reason", "by", "epoch"?}.

    Rule "*" ends what was found for every rule, too.
    """
    refusal = _refuse(value, args, "in")
    if refusal is not None:
        return refusal
    fact = _fact_of(value, args["region"])
    rule = args["rule"]
    scopes = list(fact["out"]) if rule == ALL else [scope for scope in (rule,) if scope in fact["out"]]
    for scope in scopes:
        del fact["out"][scope]
        _record_change(fact, scope, "in", args["by"], args["reason"])
    return DONE, {"Epoch": fact["epoch"]}, bool(scopes)


@commands.on("region.list")
def region_list(value: dict, _args: dict) -> Result:
    """Returns all regions that the policy knows; as a command of the register, they are sure to be the newest."""
    if "policy" not in value:
        return NO_POLICY, None, False
    policy = value["policy"]
    rows = [_region_row(name, _fact_of(value, name), policy["zones"]) for name in sorted(_known_regions(value))]
    return DONE, {"Version": policy["version"], "RegionTable": rows}, False


def _region_row(name: str, fact: dict, zones: dict) -> dict:
    """Returns what operators are shown of a region."""
    return {
        "Name": name,
        "OperState": "out" if fact["out"] else "in",
        "Epoch": fact["epoch"],
        "ZoneList": sorted(zone for zone, region in zones.items() if region == name),
        "OutTable": [
            {"Rule": scope, "Epoch": out["epoch"], "By": out["by"], "Reason": out["reason"]}
            for scope, out in fact["out"].items()
        ],
        "Log": [dict(zip(LOG_KEYS, row, strict=False)) for row in fact["log"]],
    }


def policy_view(value: dict) -> dict:
    """Returns what the feed carries of policy and regions; nothing while no policy is set.

    >>> policy_view({})
    {}
    """
    if "policy" not in value:
        return {}
    return {
        "policy": {key: field for key, field in value["policy"].items() if key != "text"},
        "regions": {
            name: {"epoch": fact["epoch"], "out": {scope: {} for scope in fact["out"]}}
            for name, fact in value.get("regions", {}).items()
        },
    }
