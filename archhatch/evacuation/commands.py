"""Commands on the records of evacuations, which stand in the `plan` register under `evacuations`.

Operators plan, start, cancel and return; the node that holds the duty's lease takes the other steps, each under its
term and from the state that it saw. Stores report on the runs that they lead. Every command may be sent again: what
was done is acknowledged again.
"""

from __future__ import annotations

from ..consensus import Commands
from ..control.leases import OTHER_TERM, is_held_under
from ..control.register_values import begun_term
from .plans import mark
from .record import BEFORE_MOVE, FINAL, STEPS, Place, EvacuationState

DUTY = "evacuation"
DONE = 1000
NO_POLICY, NO_REGION = 2103, 2102
UNKNOWN, NO_TENANT, OVERLAPS = 2202, 2203, 2205
WRONG_STATE, NOT_ALLOWED, OTHER_PLAN = 2206, 2207, 2208
KEEP_FINAL = 16  # records of evacuations that are over
KEEP_LOG = 32  # rows of a record's log
OPERATOR = "operator"
NO_KEY, FAILED, TERM_OVER, ACKNOWLEDGED = WORDS = ("no key", "failed", "term over", "acknowledged")  # on a notice

commands = Commands()


def _log(record: dict, state: EvacuationState, by: str, why: str) -> None:
    record["state"] = state
    record["log"] = (record["log"] + [[round(record["age_s"], 1), state, by, why]])[-KEEP_LOG:]


def view(record: dict) -> dict:
    """What operators are shown of a record."""
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
        "Log": [dict(zip(("AgeS", "OperState", "By", "Why"), row)) for row in record["log"]],
    }


def _rules_of(policy: dict, tenant: str) -> list:
    return [rule for rule in policy["rules"] if rule.get("tenant") == tenant]


def _refusal(value: dict, plan: dict) -> tuple | None:
    """Why a plan cannot be taken: (code, words); None if it can."""
    policy = value.get("policy")
    if policy is None:
        return NO_POLICY, None
    rules = _rules_of(policy, plan["Tenant"])
    if not rules:
        return NO_TENANT, plan["Tenant"]
    known = set(policy["zones"].values())
    for region in (plan["Origin"], plan["Target"]):
        if region not in known:
            return NO_REGION, region
        for rule in rules:
            if region not in rule["regions"]:
                return NOT_ALLOWED, f"rule {rule['name']} does not allow {region}"
    names = {rule["name"] for rule in rules}
    for name, record in value.get("evacuations", {}).items():
        if record["state"] not in FINAL and names & set(record["rules"]):
            return OVERLAPS, name
    return None


@commands.on("evacuation.plan")
def evacuation_plan(value, args):
    """Take a checked plan: {"plan", "dry_run"}."""
    plan, table = args["plan"], value.get("evacuations", {})
    old = table.get(plan["Id"])
    if old is not None:
        same = old["mark"] == mark(plan)
        return (DONE if same else OTHER_PLAN), view(old), False
    refusal = _refusal(value, plan)
    if refusal is not None:
        return (*refusal, False)
    record = {
        "plan": plan,
        "mark": mark(plan),
        "rules": [rule["name"] for rule in _rules_of(value["policy"], plan["Tenant"])],
        "origin": plan["Origin"],
        "target": plan["Target"],
        "placed": Place.ORIGIN,
        "age_s": 0.0,  # since it was planned, as far as the holders of the duty have counted
        "notices": {},
        "reports": {},
        "log": [],
    }
    _log(record, EvacuationState.PLANNED, OPERATOR, plan["Reason"])
    if not args.get("dry_run"):
        value.setdefault("evacuations", {})[plan["Id"]] = record
        _forget_old(value)
    return DONE, view(record), not args.get("dry_run")


def _forget_old(value: dict) -> None:
    over = [name for name, record in value["evacuations"].items() if record["state"] in FINAL]
    for name in over[: max(0, len(over) - KEEP_FINAL)]:
        del value["evacuations"][name]


def _by_operator(value: dict, args: dict, moves: dict, done: frozenset):
    """An operator's order: moves names the state that follows each in which it may come."""
    record = value.get("evacuations", {}).get(args["id"])
    if record is None:
        return UNKNOWN, args["id"], False
    state = EvacuationState(record["state"])
    if state in moves:
        record["reports"] = {}
        _log(record, moves[state], OPERATOR, args.get("why", ""))
        return DONE, view(record), True
    if state in done:
        return DONE, view(record), False
    return WRONG_STATE, f"it is {state}", False


@commands.on("evacuation.start")
def evacuation_start(value, args):
    """Begin with what was planned: {"id"}."""
    done = frozenset(EvacuationState) - {EvacuationState.PLANNED, EvacuationState.CANCELLED, EvacuationState.FAILED}
    return _by_operator(value, args, {EvacuationState.PLANNED: EvacuationState.ANNOUNCED}, done)


@commands.on("evacuation.cancel")
def evacuation_cancel(value, args):
    """Give it up: {"id", "why"}. What is already moving goes home first; what has moved returns by another
    order."""
    record = value.get("evacuations", {}).get(args["id"])
    moves = {state: EvacuationState.CANCELLED for state in BEFORE_MOVE} | {
        EvacuationState.MOVING: EvacuationState.RETURNING
    }
    done = {EvacuationState.CANCELLED}
    if record is not None and record.get("outcome") == EvacuationState.CANCELLED:
        done.add(EvacuationState.RETURNING)
    out = _by_operator(value, args, moves, frozenset(done))
    if out[2] and record["state"] == EvacuationState.RETURNING:
        record["outcome"] = EvacuationState.CANCELLED
    return out


@commands.on("evacuation.return")
def evacuation_return(value, args):
    """Bring the tenant home: {"id", "why"}."""
    done = frozenset({EvacuationState.RETURNING, EvacuationState.RETURNED})
    return _by_operator(value, args, {EvacuationState.MOVED: EvacuationState.RETURNING}, done)


@commands.on("evacuation.get")
def evacuation_get(value, args):
    """One record, or all: {"id"?}."""
    table = value.get("evacuations", {})
    if args.get("id") is None:
        return DONE, {"EvacuationTable": [view(record) for record in table.values()]}, False
    if args["id"] not in table:
        return UNKNOWN, args["id"], False
    return DONE, view(table[args["id"]]), False


# -- the holder of the duty


def _held(value: dict, args: dict):
    """The record, if the duty is still held under the term of the command; else a refusal."""
    if not is_held_under(value, DUTY, args["term"]):
        return None, (OTHER_TERM, DUTY, False)
    record = value.get("evacuations", {}).get(args["id"])
    return record, None if record is not None else (UNKNOWN, args["id"], False)


@commands.on("evacuation.step")
def evacuation_step(value, args):
    """The holder's step from the state and the place that it saw: {"id", "term", "from", "placed", "to", "why",
    "age_s"}."""
    record, refusal = _held(value, args)
    if refusal is not None:
        return refusal
    placed = STEPS.get((EvacuationState(args["from"]), Place(args["placed"]), EvacuationState(args["to"])))
    if placed is None or (record["state"], record["placed"]) != (args["from"], args["placed"]):
        return WRONG_STATE, f"it is {record['state']}, placed in the {record['placed']}", False
    if record["placed"] != placed:
        record["reports"] = {}  # what the stores said of one place says nothing of the other
    record["placed"] = placed
    _count(record, args)
    _log(record, EvacuationState(args["to"]), f"term {args['term']}", args["why"])
    return DONE, view(record), True


def _count(record: dict, args: dict) -> None:
    """What the holder counted by its steady clock; a later holder goes on from there."""
    record["age_s"] = max(record["age_s"], args["age_s"])


@commands.on("evacuation.age")
def evacuation_age(value, args):
    """How old the record is, so that no holder begins from nothing: {"id", "term", "age_s"}."""
    record, refusal = _held(value, args)
    if refusal is not None:
        return refusal
    _count(record, args)
    return DONE, None, True


@commands.on("evacuation.notice")
def evacuation_notice(value, args):
    """How far the tenant has been told: {"id", "term", "kind", "word"}."""
    record, refusal = _held(value, args)
    if refusal is not None:
        return refusal
    before = record["notices"].get(args["kind"])
    if WORDS.index(args["word"]) <= (WORDS.index(before) if before else -1):
        return DONE, None, False  # a failure that comes late does not undo what was settled
    record["notices"][args["kind"]] = args["word"]
    return DONE, None, True


# -- the stores that lead the tenant's runs


@commands.on("evacuation.report")
def evacuation_report(value, args):
    """A run's holder says how far its run is: {"id", "run", "run_term", "state", "placed", "copied", "drained"}."""
    record = value.get("evacuations", {}).get(args["id"])
    if record is None:
        return UNKNOWN, args["id"], False
    if args["run_term"] < begun_term(value, args["run"]):
        return OTHER_TERM, begun_term(value, args["run"]), False
    if (record["state"], record["placed"]) != (args["state"], args["placed"]):
        return WRONG_STATE, f"it is {record['state']}", False
    row = {"term": args["run_term"], "copied": bool(args["copied"]), "drained": bool(args["drained"])}
    changed = record["reports"].get(args["run"]) != row
    record["reports"][args["run"]] = row
    return DONE, None, changed


def feed_view(value: dict) -> dict:
    """What other nodes need of the records: those that are not over.

    >>> feed_view({})
    {}
    """
    rows = {
        name: {key: record[key] for key in ("rules", "origin", "target", "state", "placed")}
        for name, record in value.get("evacuations", {}).items()
        if record["state"] not in FINAL
    }
    return {"evacuations": rows} if rows else {}
