"""Saying in words where a request would run, and why."""

from __future__ import annotations

from .placement import ALL, Placement
from .policy import ALL as ANY
from .policy import CLASS, NAME, PATTERN, PLACE

KINDS = {NAME: "route name", PATTERN: "route pattern", PLACE: "host and prefix", CLASS: "class", ANY: "all routes"}


def explain(value: dict, route, out=()) -> list:
    """Lines on a lane, from the news of the 'plan' part; regions named in out count as out besides.

    >>> from types import SimpleNamespace as N
    >>> explain({}, N(name="q", host="h", prefix="/", kind="batch"))
    ['route q (batch, h/): no policy is set; it may run in any region']
    """
    places = Placement()
    places.fold(value)
    head = f"route {route.name} ({route.kind}, {route.host}{route.prefix})"
    if places.policy is None:
        return [f"{head}: no policy is set; it may run in any region"]
    rule = places.rule(route)
    if rule is None:
        return [f"{head}: no rule of policy version {places.policy.version} binds it; it may run in any region"]
    facts = {**places.facts}
    for region in out:
        old = facts.get(region, {"epoch": 0, "out": {}})
        facts[region] = {**old, "out": {**old["out"], ALL: {"By": "--regions_out", "Reason": "as asked"}}}
    places.fold({**value, "regions": facts})
    kinds = " and ".join(dict.fromkeys(f"{KINDS[m[0]]} {' '.join(m[1:])}" for m in rule.match))
    rows = [f"{head}: rule {rule.name} of policy version {places.policy.version}, by {kinds}"]
    order = places.order(route)
    for n, region in enumerate(rule.regions, 1):
        zones = ", ".join(sorted(z for z, r in places.region_of.items() if r == region)) or "no zone known"
        rows.append(f"  {n}. {region} ({zones}): {_state(facts.get(region, {}), region, rule, order)}")
    others = sorted(set(places.region_of.values()) - set(rule.regions))
    if others:
        rows.append(f"  never: {', '.join(others)}")
    rows.append(f"runs in {order[0]}" if order else "runs nowhere: refused with 3101 until a region of the rule is in")
    return rows


def _state(fact: dict, region: str, rule, order: list) -> str:
    out = fact.get("out") or {}
    why = out.get(ALL, out.get(rule.name))
    if why is None:
        return "in, serves" if region == order[0] else "in, takes over when those before it are out"
    return f"out by {why['By']}: {why['Reason']}" if "By" in why else "out"
