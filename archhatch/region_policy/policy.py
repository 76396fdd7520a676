"""A checked policy made ready for look-ups: which rule binds a lane."""

from __future__ import annotations

from dataclasses import dataclass

from .patterns import fits

# the rank of a match: the narrower wins
NAME, PATTERN, PLACE, CLASS, ALL = 4, 3, 2, 1, 0


@dataclass(frozen=True, slots=True)
class Rule:
    name: str
    match: tuple
    regions: tuple
    hysteresis_s: float | None
    return_after_s: float | None
    tenant: str | None = None


class Policy:
    """rule(lane) gives the rule that binds it, or None: then it may run anywhere.

    >>> from types import SimpleNamespace as N
    >>> p = Policy({"version": 1, "rules": [{"name": "q", "match": [[4, "a"]], "regions": ["x"]}]})
    >>> route = N(name="a", host="h", prefix="/", kind="batch")
    >>> p.rule(route).name, p.rule(N(name="b", host="h", prefix="/", kind="batch"))
    ('q', None)
    """

    def __init__(self, doc: dict):
        self.version = doc["version"]
        self.rules = [
            Rule(
                r["name"],
                tuple(map(tuple, r["match"])),
                tuple(r["regions"]),
                r.get("hysteresis_s"),
                r.get("return_after_s"),
                r.get("tenant"),
            )
            for r in doc["rules"]
        ]

    def rule(self, route) -> Rule | None:
        best, best_rank = None, (-1, 0)
        for r in self.rules:
            for m in r.match:
                rank = _rank(m, route)
                if rank is not None and rank > best_rank:
                    best, best_rank = r, rank
        return best


def _rank(m: tuple, route) -> tuple | None:
    """How narrowly a match takes a lane in; None if not at all."""
    kind = m[0]
    if kind == NAME:
        return (kind, 0) if route.name == m[1] else None
    if kind == PATTERN:
        return (kind, 0) if fits(m[1], route.name) else None
    if kind == PLACE:
        return (kind, len(m[2])) if route.host == m[1] and route.prefix.startswith(m[2]) else None
    if kind == CLASS:
        return (kind, 0) if route.kind == m[1] else None
    return kind, 0
