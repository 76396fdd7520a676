"""Says in words where a request would run, and why."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from .placement import ALL, Placement
from .policy import ALL as ANY
from .policy import CLASS, NAME, PATTERN, PLACE, Rule

if TYPE_CHECKING:
    from ..routing import Route

MATCH_KINDS = {
    NAME: "route name",
    PATTERN: "route pattern",
    PLACE: "host and prefix",
    CLASS: "class",
    ANY: "all routes",
}


def explain(value: dict, route: Route, regions_out: Iterable[str] = ()) -> list[str]:
    """Explains where the requests of a route run.

    >>> from types import SimpleNamespace as N
    >>> explain({}, N(name="q", host="h", prefix="/", kind="batch"))
    ['route q (batch, h/): no policy is set; it may run in any region']

    Args:
        value: What the feed carries of the plan register.
        route: The route.
        regions_out: Regions that count as out, beside those that are.

    Returns:
        The lines of the explanation.
    """
    placement = Placement()
    placement.update(value)
    head = f"route {route.name} ({route.kind}, {route.host}{route.prefix})"
    if placement.policy is None:
        return [f"{head}: no policy is set; it may run in any region"]
    version = placement.policy.version
    rule = placement.rule(route)
    if rule is None:
        return [f"{head}: no rule of policy version {version} binds it; it may run in any region"]
    facts = _with_regions_out(placement.facts, regions_out)
    placement.update({**value, "regions": facts})
    kinds = " and ".join(dict.fromkeys(f"{MATCH_KINDS[match[0]]} {' '.join(match[1:])}" for match in rule.match))
    order = placement.order(route) or []
    lines = [f"{head}: rule {rule.name} of policy version {version}, by {kinds}"]
    for number, region in enumerate(rule.regions, 1):
        zones = ", ".join(sorted(z for z, r in placement.region_of.items() if r == region)) or "no zone known"
        lines.append(f"  {number}. {region} ({zones}): {_state(facts.get(region, {}), region, rule, order)}")
    forbidden = sorted(set(placement.region_of.values()) - set(rule.regions))
    if forbidden:
        lines.append(f"  never: {', '.join(forbidden)}")
    lines.append(f"runs in {order[0]}" if order else "runs nowhere: refused with 3101 until a region of the rule is in")
    return lines


def _with_regions_out(facts: dict, regions: Iterable[str]) -> dict:
    """Returns the facts with these regions out for all rules."""
    facts = dict(facts)
    for region in regions:
        fact = facts.get(region, {"epoch": 0, "out": {}})
        facts[region] = {**fact, "out": {**fact["out"], ALL: {"By": "--regions_out", "Reason": "as asked"}}}
    return facts


def _state(fact: dict, region: str, rule: Rule, order: list[str]) -> str:
    out = fact.get("out") or {}
    cause = out.get(ALL, out.get(rule.name))
    if cause is None:
        return "in, serves" if region == order[0] else "in, takes over when those before it are out"
    return f"out by {cause['By']}: {cause['Reason']}" if "By" in cause else "out"
