"""The checks of a policy that need its rules as a whole: matches, orders of regions, names and overlaps."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from .patterns import is_literal, overlap
from .policy import ALL, CLASS, NAME, PATTERN, PLACE

ANY_CLASS = "*"

_FIELD_OF_KIND = {PLACE: "host", CLASS: "class", ALL: "class"}  # the field where a match stands; else "routes"


class Fault(NamedTuple):
    """A fault of a policy.

    Attributes:
        path: The field, as in find_line().
        reason: What is wrong.
    """

    path: tuple
    reason: str


def matches_of(rule: dict) -> list[list]:
    """Returns what a rule matches on, as it is stored: lists of a kind and its operands.

    >>> matches_of({"routes": ["a", "b*"]}), matches_of({"host": "H"}), matches_of({"klass": "*"})
    ([[4, 'a'], [3, 'b*']], [[2, 'h', '/']], [[0, '*']])
    """
    if "routes" in rule:
        return [[NAME if is_literal(pattern) else PATTERN, pattern] for pattern in rule["routes"]]
    if "host" in rule:
        return [[PLACE, rule["host"].lower(), rule.get("prefix", "/")]]
    return [[ALL if rule["klass"] == ANY_CLASS else CLASS, rule["klass"]]]


def find_faults(rules: list[dict], known_regions: set[str]) -> Iterator[Fault]:
    """Finds the faults of rules that are each well formed.

    Overlaps are looked for only if there is no other fault: they need rules whose matches are sound.

    Args:
        rules: The rules as the schema loaded them.
        known_regions: The regions that there are; with none, any name passes.
    """
    is_sound = True
    for index, rule in enumerate(rules):
        for field, reason in _rule_faults(rules, index, rule, known_regions):
            is_sound = False
            yield Fault(("rule", index, field), reason)
    if is_sound:
        yield from _overlaps(rules)


def _rule_faults(rules: list[dict], index: int, rule: dict, known_regions: set[str]) -> Iterator[tuple[str, str]]:
    yield from _match_faults(rule)
    yield from _order_faults(rule)
    yield from _region_faults(rule, known_regions)
    yield from _name_faults(rules, index, rule)


def _name_faults(rules: list[dict], index: int, rule: dict) -> Iterator[tuple[str, str]]:
    if any(rule["name"] == earlier["name"] for earlier in rules[:index]):
        yield "name", f"{rule['name']} stands twice"
    if "like" not in rule:
        return
    by_name = _by_name(rules)
    if rule["like"] not in by_name:
        yield "like", f"there is no rule {rule['like']}"
    elif _is_circular(rule, by_name):
        yield "like", "goes in a circle: " + " -> ".join([rule["name"], rule["like"], "..."])


def _by_name(rules: list[dict]) -> dict[str, dict]:
    """Returns the rules by name; of several with one name, the first."""
    return {rule["name"]: rule for rule in reversed(rules)}


def _is_circular(rule: dict, by_name: dict[str, dict]) -> bool:
    """Whether the chain of "like" that begins at a rule comes back to one of its rules."""
    seen = {rule["name"]}
    while "like" in rule and rule["like"] in by_name:
        rule = by_name[rule["like"]]
        if rule["name"] in seen:
            return True
        seen.add(rule["name"])
    return False


def _match_faults(rule: dict) -> Iterator[tuple[str, str]]:
    if sum(field in rule for field in ("routes", "host", "klass")) != 1:
        yield "name", "needs exactly one of routes, host, class"
    if "prefix" in rule and "host" not in rule:
        yield "prefix", "goes with host only"
    patterns = rule.get("routes", [])
    for index, pattern in enumerate(patterns):
        if "[" in pattern:
            yield "routes", f"{pattern}: only * and ? stand for other characters"
        same_rank = [earlier for earlier in patterns[:index] if is_literal(earlier) == is_literal(pattern)]
        if any(overlap(pattern, earlier) for earlier in same_rank):
            yield "routes", f"{pattern} overlaps with another of this rule"


def _order_faults(rule: dict) -> Iterator[tuple[str, str]]:
    has_own_order = "home" in rule or "regions" in rule
    if ("like" in rule) == has_own_order:
        yield "like" if "like" in rule else "name", "needs either like, or home or regions"


def _region_faults(rule: dict, known_regions: set[str]) -> Iterator[tuple[str, str]]:
    regions = rule.get("regions", [])
    for index, region in enumerate(regions):
        if region in regions[:index]:
            yield "regions", f"{region} stands twice"
        elif _is_unknown(region, known_regions):
            yield "regions", _unknown_region(region, known_regions)
    home = rule.get("home")
    if home is None:
        return
    if regions and regions[0] != home:
        yield "home", f"{home} is not the first of regions"
    elif not regions and _is_unknown(home, known_regions):
        yield "home", _unknown_region(home, known_regions)


def _is_unknown(region: str, known_regions: set[str]) -> bool:
    return bool(known_regions) and region not in known_regions


def _unknown_region(region: str, known_regions: set[str]) -> str:
    return f"there is no region {region}; known are {', '.join(sorted(known_regions))}"


def _overlaps(rules: list[dict]) -> Iterator[Fault]:
    """Finds matches of different rules that bind the same route with the same rank: neither would win."""
    earlier: list[tuple[str, list]] = []
    for index, rule in enumerate(rules):
        for match in matches_of(rule):
            field = _FIELD_OF_KIND.get(match[0], "routes")
            for name, other in earlier:
                if name != rule["name"] and _do_overlap(match, other):
                    reason = f"{' '.join(match[1:])} overlaps with rule {name} of the same rank"
                    yield Fault(("rule", index, field), reason)
            earlier.append((rule["name"], match))


def _do_overlap(match: list, other: list) -> bool:
    if match[0] != other[0]:
        return False
    return overlap(match[1], other[1]) if match[0] == PATTERN else match == other
