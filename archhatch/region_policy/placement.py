"""Where the requests of a route may run now: every sender of requests asks here."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from ..evacuation import Moves
from ..runtime.message import MALFORMED_ERRORS
from .policy import ALL as MATCH_ALL
from .policy import Policy, Rule

if TYPE_CHECKING:
    from ..routing import Route

# A policy in place of one that cannot be read: it binds all routes, and allows no region.
NOWHERE = {"version": 0, "rules": [{"name": "unreadable policy", "match": [[MATCH_ALL]], "regions": []}]}
ALL = "*"  # the scope of an operator's order on a region: it counts for all rules


def is_out(facts: dict, region: str, rule: str) -> bool:
    """Whether a region is out for a rule, by the agreed facts.

    >>> is_out({"a": {"out": {"*": {}}}}, "a", "q"), is_out({"a": {"out": {"q": {}}}}, "a", "r"), is_out({}, "a", "q")
    (True, False, False)
    """
    out = facts.get(region, {}).get("out") or {}
    return ALL in out or rule in out


def _read_facts(facts: dict) -> dict:
    """Returns the facts on regions if they have their form: one object each, with what is out."""
    for fact in facts.values():
        (fact.get("out") or {}).keys()
    return facts


class _Choice(NamedTuple):
    """What the policy, the facts and the moves make of one route.

    Attributes:
        rule: The rule that binds it, or None.
        regions: The regions of the rule that are in, the serving one first.
        zones: The zones of the serving region.
    """

    rule: Rule | None
    regions: list[str]
    zones: frozenset[str]


class Placement:
    """The policy, the agreed facts on regions and the planned moves, as the plan register has them.

    Without a policy everything may run anywhere. What follows for a route is worked out once and kept until the next
    update: senders ask for each request.

    >>> from types import SimpleNamespace as N
    >>> p = Placement(); route = N(name="q", host="h", prefix="/", kind="batch"); p.allows(route, "z1"), p.zones(route)
    (True, None)
    >>> p.update({"policy": {"version": 1, "zones": {"z1": "a", "z2": "b"},
    ...                      "rules": [{"name": "r", "match": [[4, "q"]], "regions": ["a", "b"]}]},
    ...           "regions": {"a": {"epoch": 1, "out": {"*": {}}}}})
    True
    >>> str(p), p.allows(route, "z1"), p.rank(route, "z1"), p.rank(route, "z2")
    ('version 1; out: a for *', False, None, 0)
    >>> p.order(route), p.allows_store(route, "z1")
    (['b'], True)

    Attributes:
        policy: The policy in force, or None.
        region_of: The region of each zone.
        facts: The agreed facts on regions: which are out, for which rules, since which epoch.
        moves: The planned evacuations that are not over.
        unreadable: Why the newest policy, facts or evacuations, of another version of this software, cannot be read;
            empty if they can. Those before them stay in force, and without any nothing may run anywhere: where it may
            is not known.
    """

    def __init__(self) -> None:
        self.unreadable = ""
        self.policy: Policy | None = None
        self.region_of: dict[str, str] = {}
        self.facts: dict = {}
        self.moves = Moves()
        self._choices: dict[tuple, _Choice] = {}  # by the fields of a route that rules match on

    def __str__(self) -> str:
        unreadable = f"; unreadable, the last one is kept: {self.unreadable}" if self.unreadable else ""
        return self._describe() + unreadable

    def _describe(self) -> str:
        if self.policy is None:
            return "none"
        out = [f"{r} for {', '.join(sorted(f['out']))}" for r, f in sorted(self.facts.items()) if f["out"]]
        moves = f"; moves: {self.moves}" if self.moves.all else ""
        return f"version {self.policy.version}; out: {'; '.join(out) or 'none'}{moves}"

    def update(self, value: dict | None) -> bool:
        """Takes the plan register's value, as the feed or the register has it.

        Returns:
            Whether that changed where anything may run.
        """
        before = str(self)
        try:
            self._take(value or {})
            self.unreadable = ""
        except MALFORMED_ERRORS as error:
            self.unreadable = repr(error)
            if self.policy is None:
                self.policy = Policy(NOWHERE)
        self._choices = {}
        return str(self) != before

    def _take(self, value: dict) -> None:
        """Takes all of a value, or nothing of it if some part cannot be read."""
        document = value.get("policy")
        policy = Policy(document) if document else None
        region_of = document["zones"] if document else {}
        facts = _read_facts(value.get("regions", {}))
        moves = Moves(value.get("evacuations"))
        self.policy, self.region_of, self.facts, self.moves = policy, region_of, facts, moves

    def _choose(self, policy: Policy, route: Route) -> _Choice:
        key = (route.name, route.host, route.prefix, route.kind)
        choice = self._choices.get(key)
        if choice is None:
            choice = self._choices[key] = self._work_out(policy, route)
        return choice

    def _work_out(self, policy: Policy, route: Route) -> _Choice:
        rule = policy.rule(route)
        if rule is None:
            return _Choice(None, [], frozenset())
        regions = [region for region in rule.regions if not is_out(self.facts, region, rule.name)]
        regions = self.moves.order(rule.name, regions)
        serving = regions[:1]
        return _Choice(rule, regions, frozenset(zone for zone, region in self.region_of.items() if region in serving))

    def rule(self, route: Route) -> Rule | None:
        """Returns the rule that binds a route, or None if none does."""
        return None if self.policy is None else self._choose(self.policy, route).rule

    def order(self, route: Route) -> list[str] | None:
        """Returns the regions for a route that are in, the serving one first; None if no rule binds it."""
        if self.policy is None:
            return None
        choice = self._choose(self.policy, route)
        return None if choice.rule is None else choice.regions

    def zones(self, route: Route) -> frozenset[str] | None:
        """Returns the zones where a route's requests run now, those of the serving region; None for anywhere."""
        if self.policy is None:
            return None
        rule, _, zones = self._choose(self.policy, route)
        return None if rule is None else zones

    def rank(self, route: Route, zone: str) -> int | None:
        """Returns the place of a zone's region in a route's order, 0 for the serving one; None if out or forbidden."""
        order = self.order(route)
        if order is None:
            return 0
        region = self.region_of.get(zone)
        return order.index(region) if region in order else None

    def is_leaving(self, route: Route, zone: str) -> bool:
        """Whether a planned move takes a route's requests out of a zone: what runs there ends or goes on elsewhere."""
        rule = self.rule(route)
        move = None if rule is None else self.moves.of_rule(rule.name)
        if move is None or not move.is_settling:
            return False
        return self.region_of.get(zone) == move.left_region and not self.allows(route, zone)

    def allows(self, route: Route, zone: str) -> bool:
        """Whether a route's request may be sent to a zone now."""
        zones = self.zones(route)
        return zones is None or zone in zones

    def allows_store(self, route: Route, zone: str) -> bool:
        """Whether records of a route may be kept in a zone: its region is in the rule's list, whether in or out."""
        rule = self.rule(route)
        return rule is None or self.region_of.get(zone) in rule.regions
