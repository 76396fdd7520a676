"""Commands on the records of evacuations, which stand in the plan register under `evacuations`.

Operators plan, start, cancel and return; the node that holds the lease takes the other steps, each under its term and
from the state that it saw. Stores report on the runs that they lead. Every command may be sent again: what was done is
acknowledged again. The keys of records and their order are stored data.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from ..consensus import Commands
from ..control.leases import OTHER_TERM, is_held_under
from ..control.register_values import begun_term
from ..control.result_codes import DONE
from ..region_policy.commands import NO_POLICY, UNKNOWN_REGION
from .decisions import OUTCOME_ORDER
from .plans import plan_digest
from .record import BEFORE_MOVE, FINAL, STEPS, EvacuationState, Place

LEASE_NAME = "evacuation"  # the lease of the node that drives evacuations

# result codes: docs/codes.md
UNKNOWN_EVACUATION = 2202
UNKNOWN_TENANT = 2203
OVERLAPPING_EVACUATION = 2205
WRONG_STATE = 2206
REGION_NOT_ALLOWED = 2207
OTHER_PLAN = 2208

MAX_FINAL_RECORDS = 16  # records of evacuations that are over
MAX_LOG_ROWS = 32  # the last rows of a record's log that are kept
OPERATOR = "operator"  # stands as "by" of what an operator ordered
LOG_KEYS = ("AgeS", "OperState", "By", "Why")  # the fields of a log row, as operators are shown them

Result = tuple[int, object, bool]  # code, document, whether the value changed

commands = Commands()


def _enter_state(record: dict, state: EvacuationState, by: str, why: str) -> None:
    """Puts a record into a state, and adds that to its log."""
    record["state"] = state
    record["log"] = (record["log"] + [[round(record["age_s"], 1), state, by, why]])[-MAX_LOG_ROWS:]


def record_view(record: dict) -> dict:
    """Returns what operators are shown of a record."""
    plan = record["plan"]
    return {
        "Id": plan["Id"],
        "Tenant": plan["Tenant"],
        "Origin": plan["Origin"],
        "Target": plan["Target"],
        "Reason": plan["Reason"],
        "OperState": record["state"],
        "Placed": record["placed"],
        "RuleList": record["rules"],
        "NoticeTable": record["notices"],
        "RunTable": record["reports"],
        "Log": [dict(zip(LOG_KEYS, row, strict=False)) for row in record["log"]],
    }


def _rules_of(policy: dict, tenant: str) -> list[dict]:
    return [rule for rule in policy["rules"] if rule.get("tenant") == tenant]


def _refuse_plan(value: dict, plan: dict) -> Result | None:
    """Returns why a plan cannot be taken; None if it can."""
    policy = value.get("policy")
    if policy is None:
        return NO_POLICY, None, False
    rules = _rules_of(policy, plan["Tenant"])
    if not rules:
        return UNKNOWN_TENANT, plan["Tenant"], False
    known_regions = set(policy["zones"].values())
    for region in (plan["Origin"], plan["Target"]):
        if region not in known_regions:
            return UNKNOWN_REGION, region, False
        for rule in rules:
            if region not in rule["regions"]:
                return REGION_NOT_ALLOWED, f"rule {rule['name']} does not allow {region}", False
    overlapping = _overlapping_evacuation(value, {rule["name"] for rule in rules})
    return None if overlapping is None else (OVERLAPPING_EVACUATION, overlapping, False)


def _overlapping_evacuation(value: dict, rules: set[str]) -> str | None:
    """Returns the id of an evacuation that is not over and moves one of these rules."""
    for name, record in value.get("evacuations", {}).items():
        if record["state"] not in FINAL and rules & set(record["rules"]):
            return name
    return None


@commands.on("evacuation.plan")
def evacuation_plan(value: dict, args: dict) -> Result:
    """Takes a checked plan: {"plan", "dry_run"?}; a dry run only says what would be taken."""
    plan = args["plan"]
    digest = plan_digest(plan)
    known = value.get("evacuations", {}).get(plan["Id"])
    if known is not None:
        return (DONE if known["mark"] == digest else OTHER_PLAN), record_view(known), False
    refusal = _refuse_plan(value, plan)
    if refusal is not None:
        return refusal
    record = {
        "plan": plan,
        "mark": digest,
        "rules": [rule["name"] for rule in _rules_of(value["policy"], plan["Tenant"])],
        "origin": plan["Origin"],
        "target": plan["Target"],
        "placed": Place.ORIGIN,
        "age_s": 0.0,  # since it was planned, as far as the holders of the lease have counted
        "notices": {},
        "reports": {},
        "log": [],
    }
    _enter_state(record, EvacuationState.PLANNED, OPERATOR, plan["Reason"])
    is_dry_run = bool(args.get("dry_run"))
    if not is_dry_run:
        value.setdefault("evacuations", {})[plan["Id"]] = record
        _forget_final_records(value)
    return DONE, record_view(record), not is_dry_run


def _forget_final_records(value: dict) -> None:
    """Forgets the oldest records of evacuations that are over."""
    over = [name for name, record in value["evacuations"].items() if record["state"] in FINAL]
    for name in over[: max(0, len(over) - MAX_FINAL_RECORDS)]:
        del value["evacuations"][name]


def _order(
    value: dict, args: dict, transitions: Mapping[EvacuationState, EvacuationState], done: Collection[EvacuationState]
) -> Result:
    """Carries out an operator's order.

    Args:
        value: The register's value.
        args: {"id", "why"?}.
        transitions: The state that follows each in which the order may come.
        done: The states in which the order was carried out before: it is acknowledged again.
    """
    record = value.get("evacuations", {}).get(args["id"])
    if record is None:
        return UNKNOWN_EVACUATION, args["id"], False
    state = EvacuationState(record["state"])
    if state in transitions:
        record["reports"] = {}  # they say nothing of the new state
        _enter_state(record, transitions[state], OPERATOR, args.get("why", ""))
        return DONE, record_view(record), True
    if state in done:
        return DONE, record_view(record), False
    return WRONG_STATE, f"it is {state}", False


_STARTED = frozenset(EvacuationState) - {EvacuationState.PLANNED, EvacuationState.CANCELLED, EvacuationState.FAILED}
_CANCEL = {
    **dict.fromkeys(BEFORE_MOVE, EvacuationState.CANCELLED),
    EvacuationState.MOVING: EvacuationState.RETURNING,  # what is already moving goes home first
}


@commands.on("evacuation.start")
def evacuation_start(value: dict, args: dict) -> Result:
    """Begins an evacuation that was planned: {"id"}."""
    return _order(value, args, {EvacuationState.PLANNED: EvacuationState.ANNOUNCED}, _STARTED)


@commands.on("evacuation.cancel")
def evacuation_cancel(value: dict, args: dict) -> Result:
    """Gives an evacuation up: {"id", "why"?}; what has moved already returns by another order."""
    record = value.get("evacuations", {}).get(args["id"])
    done = {EvacuationState.CANCELLED}
    if record is not None and record.get("outcome") == EvacuationState.CANCELLED:
        done.add(EvacuationState.RETURNING)
    result = _order(value, args, _CANCEL, done)
    _, _, is_changed = result
    if is_changed and record is not None and record["state"] == EvacuationState.RETURNING:
        record["outcome"] = EvacuationState.CANCELLED
    return result


@commands.on("evacuation.return")
def evacuation_return(value: dict, args: dict) -> Result:
    """Brings the tenant home: {"id", "why"?}."""
    done = {EvacuationState.RETURNING, EvacuationState.RETURNED}
    return _order(value, args, {EvacuationState.MOVED: EvacuationState.RETURNING}, done)


@commands.on("evacuation.get")
def evacuation_get(value: dict, args: dict) -> Result:
    """Returns one record, or all: {"id"?}."""
    table = value.get("evacuations", {})
    if args.get("id") is None:
        return DONE, {"EvacuationTable": [record_view(record) for record in table.values()]}, False
    if args["id"] not in table:
        return UNKNOWN_EVACUATION, args["id"], False
    return DONE, record_view(table[args["id"]]), False


# -- the holder of the lease


def _refuse_holder(value: dict, args: dict) -> Result | None:
    """Returns why a command of the holder is refused; None if the lease is held under its term and there is a record.

    A holder that stood still and was followed by another can so do nothing any more.
    """
    if not is_held_under(value, LEASE_NAME, args["term"]):
        return OTHER_TERM, LEASE_NAME, False
    if args["id"] not in value.get("evacuations", {}):
        return UNKNOWN_EVACUATION, args["id"], False
    return None


@commands.on("evacuation.step")
def evacuation_step(value: dict, args: dict) -> Result:
    """Takes the holder's step: {"id", "term", "from", "placed", "to", "why", "age_s"}; from and placed are as seen."""
    refusal = _refuse_holder(value, args)
    if refusal is not None:
        return refusal
    record = value["evacuations"][args["id"]]
    next_place = STEPS.get((EvacuationState(args["from"]), Place(args["placed"]), EvacuationState(args["to"])))
    is_as_seen = (record["state"], record["placed"]) == (args["from"], args["placed"])
    if next_place is None or not is_as_seen:
        return WRONG_STATE, f"it is {record['state']}, placed in the {record['placed']}", False
    if record["placed"] != next_place:
        record["reports"] = {}  # what the stores said of one place says nothing of the other
    record["placed"] = next_place
    _raise_age(record, args["age_s"])
    _enter_state(record, EvacuationState(args["to"]), f"term {args['term']}", args["why"])
    return DONE, record_view(record), True


def _raise_age(record: dict, age_s: float) -> None:
    """Records what the holder counted by its steady clock; a later holder goes on from there."""
    record["age_s"] = max(record["age_s"], age_s)


@commands.on("evacuation.age")
def evacuation_age(value: dict, args: dict) -> Result:
    """Records an evacuation's age, so that no holder begins from nothing: {"id", "term", "age_s"}."""
    refusal = _refuse_holder(value, args)
    if refusal is not None:
        return refusal
    _raise_age(value["evacuations"][args["id"]], args["age_s"])
    return DONE, None, True


@commands.on("evacuation.notice")
def evacuation_notice(value: dict, args: dict) -> Result:
    """Records the outcome of a notice: {"id", "term", "kind", "word"}."""
    refusal = _refuse_holder(value, args)
    if refusal is not None:
        return refusal
    notices = value["evacuations"][args["id"]]["notices"]
    known = notices.get(args["kind"])
    known_rank = OUTCOME_ORDER.index(known) if known else -1
    if OUTCOME_ORDER.index(args["word"]) <= known_rank:
        return DONE, None, False  # a failure that comes late does not undo what was settled
    notices[args["kind"]] = args["word"]
    return DONE, None, True


# -- the stores that lead the tenant's runs


@commands.on("evacuation.report")
def evacuation_report(value: dict, args: dict) -> Result:
    """Records how far a run is: {"id", "run", "run_term", "state", "placed", "copied", "drained"}, from its leader."""
    record = value.get("evacuations", {}).get(args["id"])
    if record is None:
        return UNKNOWN_EVACUATION, args["id"], False
    if args["run_term"] < begun_term(value, args["run"]):
        return OTHER_TERM, begun_term(value, args["run"]), False
    if (record["state"], record["placed"]) != (args["state"], args["placed"]):
        return WRONG_STATE, f"it is {record['state']}", False
    row = {"term": args["run_term"], "copied": bool(args["copied"]), "drained": bool(args["drained"])}
    is_changed = record["reports"].get(args["run"]) != row
    record["reports"][args["run"]] = row
    return DONE, None, is_changed


def feed_view(value: dict) -> dict:
    """Returns what the feed carries of the records that are not over.

    >>> feed_view({})
    {}
    """
    rows = {
        name: {key: record[key] for key in ("rules", "origin", "target", "state", "placed")}
        for name, record in value.get("evacuations", {}).items()
        if record["state"] not in FINAL
    }
    return {"evacuations": rows} if rows else {}
