"""Reading and checking an operator's policy: TOML, checked by marshmallow, then as a whole."""

from __future__ import annotations

import re
import tomllib

from marshmallow import Schema, ValidationError, fields, validate

from ..routing.schemas import CLASSES
from .errors import PolicyError, locate, spell
from .patterns import meet, plain
from .policy import ALL, CLASS, NAME, PATTERN, PLACE

MOST_BYTES = 64 << 10
ANY = "*"


class _Seconds(fields.Float):
    def _deserialize(self, value, attr, data, **kwargs):
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            raise ValidationError("must be a number of seconds")
        return super()._deserialize(value, attr, data, **kwargs)


class _Count(fields.Integer):
    def _deserialize(self, value, attr, data, **kwargs):
        if isinstance(value, bool):
            raise ValidationError("must be a whole number")
        return super()._deserialize(value, attr, data, **kwargs)


def _words():
    return fields.List(fields.String(validate=validate.Length(min=1)), validate=validate.Length(min=1))


class RuleSchema(Schema):
    name = fields.String(required=True, validate=validate.Length(min=1))
    routes = _words()
    host = fields.String(validate=validate.Length(min=1))
    prefix = fields.String(validate=validate.Regexp(r"/(.*/)?\Z", error="must begin and end with a slash"))
    klass = fields.String(data_key="class", validate=validate.OneOf(CLASSES + [ANY]))
    home = fields.String(validate=validate.Length(min=1))
    regions = _words()
    like = fields.String(validate=validate.Length(min=1))
    hysteresis_s = _Seconds(validate=validate.Range(min=0, min_inclusive=False))
    tenant = fields.String(validate=validate.Length(min=1, max=64))
    return_after_s = _Seconds(validate=validate.Range(min=0, min_inclusive=False))


class PolicySchema(Schema):
    version = _Count(required=True, strict=True, validate=validate.Range(min=1))
    rule = fields.List(fields.Nested(RuleSchema), required=True)


_SCHEMA = PolicySchema()


def read_policy(text: str, where: str = "policy", known=()) -> dict:
    """The checked policy of a TOML text, as plain data; PolicyError names file, line and field of each fault.

    known: the regions that there are; with none, any name passes.

    >>> doc = read_policy('version = 1\\n[[rule]]\\nname = "q"\\nclass = "idempotent"\\nregions = ["a"]\\n')
    >>> doc["rules"][0]["regions"]
    ['a']
    """
    if len(text.encode()) > MOST_BYTES:
        raise PolicyError([f"{where}:1: (file): is over {MOST_BYTES} bytes"])
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as e:
        hit = re.search(r"line (\d+)", str(e))
        line = hit.group(1) if hit else max(1, len(text.splitlines()))
        raise PolicyError([f"{where}:{line}: (file): is not TOML: {e}"]) from e
    faults: list = []
    try:
        doc = _SCHEMA.load(raw)
    except ValidationError as e:
        faults = list(_flat(e.normalized_messages(), ()))
    else:
        faults = list(_Whole(doc["rule"], set(known)).faults())
    if faults:
        lines = sorted((locate(text, path), spell(path), why) for path, why in faults)
        raise PolicyError([f"{where}:{n}: {field}: {why}" for n, field, why in lines])
    return {"version": doc["version"], "rules": [_rule(r, doc["rule"]) for r in doc["rule"]]}


def _flat(node, path):
    if isinstance(node, dict):
        for key, sub in node.items():
            yield from _flat(sub, path if key == "_schema" else path + (key,))
    else:
        for why in node:
            yield path or ("(file)",), why.rstrip(".")


def _matches(r: dict) -> list:
    if "routes" in r:
        return [[NAME if plain(p) else PATTERN, p] for p in r["routes"]]
    if "host" in r:
        return [[PLACE, r["host"].lower(), r.get("prefix", "/")]]
    return [[ALL if r["klass"] == ANY else CLASS, r["klass"]]]


def _source(r: dict, rows: list) -> dict:
    """The rule that gives the order: itself, or the one at the end of its "like"s."""
    while "like" in r:
        r = next(o for o in rows if o["name"] == r["like"])
    return r


def _rule(r: dict, rows: list) -> dict:
    src = _source(r, rows)
    tenant = {"tenant": r["tenant"]} if "tenant" in r else {}
    return {
        **tenant,
        "name": r["name"],
        "match": _matches(r),
        "regions": src.get("regions") or [src["home"]],
        "hysteresis_s": r.get("hysteresis_s", src.get("hysteresis_s")),
        "return_after_s": r.get("return_after_s", src.get("return_after_s")),
    }


def _overlap(a: list, b: list) -> bool:
    if a[0] != b[0]:
        return False
    return meet(a[1], b[1]) if a[0] == PATTERN else a == b


class _Whole:
    """What can only be seen on all rules together."""

    def __init__(self, rows: list, known: set):
        self.rows, self.known = rows, known
        self.names = [r["name"] for r in rows]

    def faults(self):
        sound = True
        for n, r in enumerate(self.rows):
            for key, why in [*self._match(r), *self._order(r), *self._name(n, r)]:
                sound = False
                yield ("rule", n, key), why
        if sound:
            yield from self._overlaps()

    def _name(self, n, r):
        if r["name"] in self.names[:n]:
            yield "name", f"{r['name']} stands twice"
        if "like" not in r:
            return
        if r["like"] not in self.names:
            yield "like", f"there is no rule {r['like']}"
            return
        seen, at = {r["name"]}, r
        while "like" in at and at["like"] in self.names:
            at = self.rows[self.names.index(at["like"])]
            if at["name"] in seen:
                yield "like", "goes in a circle: " + " -> ".join([r["name"], r["like"], "..."])
                return
            seen.add(at["name"])

    def _match(self, r):
        said = [k for k in ("routes", "host", "klass") if k in r]
        if len(said) != 1:
            yield "name", "needs exactly one of routes, host, class"
        if "prefix" in r and "host" not in r:
            yield "prefix", "goes with host only"
        for n, pat in enumerate(r.get("routes", ())):
            if "[" in pat:
                yield "routes", f"{pat}: only * and ? stand for other characters"
            if any(meet(pat, old) and plain(pat) == plain(old) for old in r["routes"][:n]):
                yield "routes", f"{pat} overlaps with another of this rule"

    def _order(self, r):
        if ("like" in r) == ("home" in r or "regions" in r):
            yield "like" if "like" in r else "name", "needs either like, or home or regions"
        regions = r.get("regions", [])
        for n, reg in enumerate(regions):
            if reg in regions[:n]:
                yield "regions", f"{reg} stands twice"
            elif self.known and reg not in self.known:
                yield "regions", f"there is no region {reg}; known are {', '.join(sorted(self.known))}"
        home = r.get("home")
        if home is not None and regions and regions[0] != home:
            yield "home", f"{home} is not the first of regions"
        elif home is not None and not regions and self.known and home not in self.known:
            yield "home", f"there is no region {home}; known are {', '.join(sorted(self.known))}"

    def _overlaps(self):
        told = []
        for n, r in enumerate(self.rows):
            for m in _matches(r):
                for name, other in told:
                    if name != r["name"] and _overlap(m, other):
                        key = {PLACE: "host", CLASS: "class", ALL: "class"}.get(m[0], "routes")
                        yield ("rule", n, key), f"{' '.join(m[1:])} overlaps with rule {name} of the same rank"
                told.append((r["name"], m))
