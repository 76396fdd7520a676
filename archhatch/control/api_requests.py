"""Calls of replicas and operators, decoded into small commands that are run elsewhere."""

from __future__ import annotations

import re
from dataclasses import dataclass
from urllib.parse import unquote

import orjson

from ..evacuation.plans import InvalidPlanError, read_plan

MOST_VERSION = 2**53 - 1  # the largest number that every JSON reader keeps exactly


class InvalidRequestError(Exception):
    """A call that cannot be read; carries its numbered code."""

    def __init__(self, code: int, why: str = ""):
        super().__init__(why)
        self.code, self.why = code, why


@dataclass(slots=True)
class HeartbeatRequest:
    entry: dict


@dataclass(slots=True)
class DeregisterRequest:
    iid: str


@dataclass(slots=True)
class PutPlan:
    kind: str
    doc: dict
    match: int


@dataclass(slots=True)
class GetPlan:
    pass


@dataclass(slots=True)
class PutVersion:
    model: str
    rev: int


@dataclass(slots=True)
class Retire:
    node: str
    ask: bool


@dataclass(slots=True)
class OnPolicy:
    """A call about the placement policy: a command on the part that holds it."""

    name: str
    args: dict


@dataclass(slots=True)
class OnEvacuation:
    """A call about evacuations: a command on their records."""

    name: str
    args: dict


@dataclass(slots=True)
class OnDuty:
    """A call about the duty ledger; without a key, about all duties."""

    name: str
    key: str = ""


DECODERS: list = []


def call(method: str, pattern: str):
    """Register a decoder for a method and a path pattern."""

    def put(function):
        DECODERS.append((method, re.compile(pattern + r"\Z"), function))
        return function

    return put


def _doc(body: bytes, code: int = 2001) -> dict:
    try:
        doc = orjson.loads(body)
    except orjson.JSONDecodeError as e:
        raise InvalidRequestError(code, str(e)) from e
    if not isinstance(doc, dict):
        raise InvalidRequestError(code, "must be one JSON object")
    return doc


def decode(method: str, path: str, heads, body: bytes):
    """The command that a call asks for; InvalidRequestError if it cannot be read.

    >>> decode("GET", "/api/config", {}, b"")
    GetPlan()
    """
    path, other = path.split("?", 1)[0], False
    for meth, pat, function in DECODERS:
        hit = pat.match(path)
        if hit:
            if meth == method:
                return function(*(unquote(g) for g in hit.groups()), heads, body)
            other = True
    raise InvalidRequestError(2010 if other else 2009)


@call("PUT", r"/api/instances/([^/]+)")
def _beat(iid, heads, body):
    doc = _doc(body, 2004)
    try:
        seq, slots, state = doc.get("Sequence", 0), doc.get("SlotCount", 1), doc["OperState"]
        address, svc = doc["Address"], doc["Service"]
    except KeyError as e:
        raise InvalidRequestError(2004, f"{e.args[0]} is missing") from e
    if (
        state not in ("up", "draining")
        or not isinstance(address, str)
        or ":" not in address
        or not isinstance(svc, str)
    ):
        raise InvalidRequestError(2004, "OperState, Address or Service is wrong")
    if any(isinstance(n, bool) or not isinstance(n, int) or n < 0 for n in (seq, slots)):
        raise InvalidRequestError(2004, "Sequence or SlotCount is wrong")
    models = {}
    for m in doc.get("ModelList") or []:
        if not isinstance(m, dict) or not isinstance(m.get("Name"), str) or not isinstance(m.get("Revision", 1), int):
            raise InvalidRequestError(2004, "ModelList is wrong")
        models[m["Name"]] = m.get("Revision", 1)
    return HeartbeatRequest(
        {
            "id": iid,
            "service": svc,
            "addr": address,
            "zone": str(doc.get("Zone", "")),
            "slots": max(1, slots),
            "state": state,
            "seq": seq,
            "models": models,
            "rev": str(doc.get("Revision", "")),
        }
    )


@call("DELETE", r"/api/instances/([^/]+)")
def _leave(iid, heads, body):
    return DeregisterRequest(iid)


@call("PUT", r"/api/config")
def _put(heads, body):
    return _plan("put", heads, body)


@call("PATCH", r"/api/config")
def _patch(heads, body):
    return _plan("patch", heads, body)


def _plan(kind, heads, body):
    doc = _doc(body, 2002)
    match = _match(heads, True)
    number = doc.get("Revision")
    if isinstance(number, bool) or not isinstance(number, int) or not 0 < number <= MOST_VERSION:
        raise InvalidRequestError(2002, f"Revision: is missing or no number from 1 to {MOST_VERSION}")
    return PutPlan(kind, doc, match)


@call("GET", r"/api/config")
def _get(heads, body):
    return GetPlan()


@call("POST", r"/api/version-put")
def _version(heads, body):
    doc = _doc(body)
    if not isinstance(doc.get("Model"), str) or not isinstance(doc.get("Revision"), int) or doc["Revision"] < 1:
        raise InvalidRequestError(2001, "Model or Revision is wrong")
    return PutVersion(doc["Model"], doc["Revision"])


@call("POST", r"/api/retire/([^/]+)")
def _retire(node, heads, body):
    return Retire(node, False)


@call("GET", r"/api/retire/([^/]+)")
def _retired(node, heads, body):
    return Retire(node, True)


def _match(heads, must: bool) -> int | None:
    """The version in If-Match: decimal digits, in quotes or not."""
    if not must and "If-Match" not in heads:
        return None
    text = heads.get("If-Match", "").strip().strip('"')
    if not re.fullmatch(r"[0-9]{1,16}", text) or int(text) > MOST_VERSION:
        raise InvalidRequestError(2015, f"must be a number up to {MOST_VERSION}")
    return int(text)


@call("GET", r"/api/policy")
def _get_policy(heads, body):
    return OnPolicy("policy.get", {})


@call("PUT", r"/api/policy")
def _put_policy(heads, body):
    try:
        return OnPolicy("policy.put", {"text": body.decode(), "match": _match(heads, True)})
    except UnicodeDecodeError as e:
        raise InvalidRequestError(2101, "is not UTF-8") from e


@call("GET", r"/api/regions")
def _regions(heads, body):
    return OnPolicy("region.list", {})


@call("POST", r"/api/regions/([^/]+)")
def _region(name, heads, body):
    doc = _doc(body)
    state, why = doc.get("OperState"), doc.get("Reason")
    if state not in ("out", "in") or not isinstance(why, str) or not why.strip():
        raise InvalidRequestError(2001, "OperState must be out or in, and Reason must say why")
    return OnPolicy(
        "region.out" if state == "out" else "region.back",
        {"region": name, "rule": "*", "by": "operator", "reason": why[:200], "epoch": _match(heads, False)},
    )


@call("POST", r"/api/evacuations")
def _plan_evacuation(heads, body):
    doc = _doc(body, 2201)
    dry_run = doc.pop("DryRun", False)
    if not isinstance(dry_run, bool):
        raise InvalidRequestError(2201, "DryRun: must be true or false")
    try:
        return OnEvacuation("evacuation.plan", {"plan": read_plan(doc), "dry_run": dry_run})
    except InvalidPlanError as e:
        raise InvalidRequestError(2201, str(e)) from None


@call("GET", r"/api/evacuations")
def _evacuations(heads, body):
    return OnEvacuation("evacuation.get", {})


@call("GET", r"/api/evacuations/([^/]+)")
def _evacuation(name, heads, body):
    return OnEvacuation("evacuation.get", {"id": name})


@call("POST", r"/api/evacuations/([^/]+)/(start|cancel|return)")
def _order_evacuation(name, order, heads, body):
    why = _doc(body).get("Reason", "") if body else ""
    if not isinstance(why, str):
        raise InvalidRequestError(2001, "Reason must be words")
    return OnEvacuation(f"evacuation.{order}", {"id": name, "why": why[:200]})


@call("GET", r"/api/duties")
def _duties(heads, body):
    return OnDuty("duty.list")


@call("GET", r"/api/duties/([^/]+)")
def _duty(key, heads, body):
    return OnDuty("duty.list", key)


@call("POST", r"/api/duties/([^/]+)/reset")
def _reset_duty(key, heads, body):
    return OnDuty("duty.reset", key)
