"""A checked policy, ready for look-ups: which rule binds a route."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .patterns import matches

if TYPE_CHECKING:
    from ..routing import Route

# The kinds of a match, which are stored with the policy. Each is also its rank: of two, the narrower one wins.
NAME, PATTERN, PLACE, CLASS, ALL = 4, 3, 2, 1, 0

_NO_RANK = (-1, 0)  # below every rank of a match


@dataclass(frozen=True, slots=True)
class Rule:
    """A rule of a policy.

    Attributes:
        name: Its name, unique in the policy.
        match: Which routes it binds: tuples of a kind and its operands.
        regions: The regions in which the routes may run; the first that is in serves.
        hysteresis_s: How long a region must be silent before it is declared out; None for the default.
        return_after_s: How long a region must be well before it is declared in again; None for the default.
        tenant: The tenant whose routes it binds; None if the rule is of no one tenant.
    """

    name: str
    match: tuple[tuple, ...]
    regions: tuple[str, ...]
    hysteresis_s: float | None
    return_after_s: float | None
    tenant: str | None = None

    @classmethod
    def from_document(cls, document: dict) -> Rule:
        """Reads a rule as it is stored."""
        return cls(
            name=document["name"],
            match=tuple(map(tuple, document["match"])),
            regions=tuple(document["regions"]),
            hysteresis_s=document.get("hysteresis_s"),
            return_after_s=document.get("return_after_s"),
            tenant=document.get("tenant"),
        )


class Policy:
    """The rules of one version of the policy.

    >>> from types import SimpleNamespace as N
    >>> policy = Policy({"version": 1, "rules": [{"name": "q", "match": [[4, "a"]], "regions": ["x"]}]})
    >>> route = N(name="a", host="h", prefix="/", kind="batch")
    >>> policy.rule(route).name, policy.rule(N(name="b", host="h", prefix="/", kind="batch"))
    ('q', None)

    Attributes:
        version: The policy's version.
        rules: Its rules, in the order of the file.
    """

    def __init__(self, document: dict) -> None:
        self.version: int = document["version"]
        self.rules = [Rule.from_document(row) for row in document["rules"]]

    def rule(self, route: Route) -> Rule | None:
        """Returns the rule that binds a route, or None if none does: then it may run anywhere."""
        best: Rule | None = None
        best_rank = _NO_RANK
        for rule in self.rules:
            for match in rule.match:
                rank = _rank(match, route)
                if rank is not None and rank > best_rank:
                    best = rule
                    best_rank = rank
        return best


def _rank(match: tuple, route: Route) -> tuple[int, int] | None:
    """Returns how narrowly a match binds a route, as (kind, length of the prefix); None if it does not bind it."""
    kind = match[0]
    if kind == PLACE:
        return (kind, len(match[2])) if route.host == match[1] and route.prefix.startswith(match[2]) else None
    if kind == NAME:
        is_bound = route.name == match[1]
    elif kind == PATTERN:
        is_bound = matches(match[1], route.name)
    elif kind == CLASS:
        is_bound = route.kind == match[1]
    else:
        is_bound = True
    return (kind, 0) if is_bound else None
