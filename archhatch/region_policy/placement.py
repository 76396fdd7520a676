"""Where a lane's requests may run now: the one place that all senders ask."""

from __future__ import annotations

from ..evacuation import Moves
from .policy import Policy, Rule

ALL = "*"  # the scope of an operator's word on a region: it counts for all rules


def is_out(facts: dict, region: str, rule: str) -> bool:
    """Whether a region is out for a rule, by the agreed facts.

    >>> is_out({"a": {"out": {"*": {}}}}, "a", "q"), is_out({"a": {"out": {"q": {}}}}, "a", "r"), is_out({}, "a", "q")
    (True, False, False)
    """
    out = facts.get(region, {}).get("out") or {}
    return ALL in out or rule in out


class Placement:
    """Folded from the news of the 'plan' part; without a policy everything may run anywhere.

    >>> from types import SimpleNamespace as N
    >>> p = Placement(); route = N(name="q", host="h", prefix="/", kind="batch"); p.allows(route, "z1"), p.zones(route)
    (True, None)
    >>> p.fold({"policy": {"version": 1, "zones": {"z1": "a", "z2": "b"},
    ...                    "rules": [{"name": "r", "match": [[4, "q"]], "regions": ["a", "b"]}]},
    ...         "regions": {"a": {"epoch": 1, "out": {"*": {}}}}})
    True
    >>> str(p), p.allows(route, "z1"), p.rank(route, "z1"), p.rank(route, "z2")
    ('version 1; out: a for *', False, None, 0)
    >>> p.order(route), p.allows_store(route, "z1")
    (['b'], True)
    """

    def __init__(self):
        self.policy: Policy | None = None
        self.region_of: dict[str, str] = {}
        self.facts: dict = {}
        self.moves = Moves()
        self._orders: dict = {}  # lane -> (rule, regions that are in, zones of the first of them)

    def __str__(self) -> str:
        if self.policy is None:
            return "none"
        out = [f"{r} for {', '.join(sorted(f['out']))}" for r, f in sorted(self.facts.items()) if f["out"]]
        moves = f"; moves: {self.moves}" if self.moves.all else ""
        return f"version {self.policy.version}; out: {'; '.join(out) or 'none'}{moves}"

    def fold(self, value: dict | None) -> bool:
        """Take up the news of the 'plan' part; whether that changed where anything may run."""
        doc, before = (value or {}).get("policy"), str(self)
        self.policy = Policy(doc) if doc else None
        self.region_of = doc["zones"] if doc else {}
        self.facts = (value or {}).get("regions", {})
        self.moves = Moves((value or {}).get("evacuations"))
        self._orders = {}
        return str(self) != before

    def _of(self, route) -> tuple:
        key = (route.name, route.host, route.prefix, route.kind)
        got = self._orders.get(key)
        if got is None:
            rule = self.policy.rule(route)
            regions = [] if rule is None else [r for r in rule.regions if not is_out(self.facts, r, rule.name)]
            if rule is not None:
                regions = self.moves.order(rule.name, regions)
            zones = frozenset(z for z, r in self.region_of.items() if r in regions[:1])
            got = self._orders[key] = (rule, regions, zones)
        return got

    def rule(self, route) -> Rule | None:
        """The rule that binds a lane; None if none does."""
        return None if self.policy is None else self._of(route)[0]

    def order(self, route) -> list | None:
        """The regions for a lane that are in, in the policy's order; None if no rule binds it."""
        return None if self.rule(route) is None else self._of(route)[1]

    def zones(self, route) -> frozenset | None:
        """The zones where a lane's requests run now: those of the first region that is in. None: anywhere."""
        if self.policy is None:
            return None
        rule, _, zones = self._of(route)
        return None if rule is None else zones

    def rank(self, route, zone: str) -> int | None:
        """The place of a zone's region in a lane's order, 0 serves now; None if it is out or forbidden."""
        order = self.order(route)
        if order is None:
            return 0
        region = self.region_of.get(zone)
        return order.index(region) if region in order else None

    def leaves(self, route, zone: str) -> bool:
        """Whether a planned move takes a lane's requests away from a zone, so that what runs there is to end or go on
        elsewhere."""
        rule = self.rule(route)
        move = None if rule is None else self.moves.of(rule.name)
        return (
            move is not None
            and move.settling
            and self.region_of.get(zone) == move.left
            and not self.allows(route, zone)
        )

    def allows(self, route, zone: str) -> bool:
        """Whether a lane's request may be sent to a zone now."""
        zones = self.zones(route)
        return zones is None or zone in zones

    def allows_store(self, route, zone: str) -> bool:
        """Whether records of a lane may lie in a zone: its region is in the rule's list, whether in or out."""
        rule = self.rule(route)
        return rule is None or self.region_of.get(zone) in rule.regions
