"""Decides which regions should be declared out or in again, from the times at which services were last heard."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from .placement import ALL, is_out

if TYPE_CHECKING:
    from .policy import Policy, Rule

CALM_RETURN_TIMES = 10  # return times that a region must have been in for its flaps to be forgotten
NEVER = float("-inf")


class Advice(NamedTuple):
    """A command on the plan register that its owner should run.

    Attributes:
        command: The command's name.
        args: Its arguments.
    """

    command: str
    args: dict


@dataclass(frozen=True, slots=True)
class _RuleView:
    """What was heard of one rule's services, by region, at one moment.

    Attributes:
        rule: The rule.
        services: The services of its routes, sorted by name.
        last_heard: When a service was last heard in a region, by (service, region).
        now: The moment.
        since: When the watch began; before it, silence does not count.
        quiet_s: After this time without a sign a service counts as not alive.
    """

    rule: Rule
    services: list[str]
    last_heard: dict[tuple, float]
    now: float
    since: float
    quiet_s: float

    def silence_s(self, service: str, region: str) -> float:
        """Returns for how long nothing was heard of a service in a region."""
        return self.now - max(self.since, self.last_heard.get((service, region), NEVER))

    def is_alive(self, service: str, region: str) -> bool:
        """Returns whether a service was heard in a region lately."""
        return self.now - self.last_heard.get((service, region), NEVER) < self.quiet_s

    def living_services(self) -> list[str]:
        """Returns the services that are alive in any region of the rule."""
        return [
            service for service in self.services if any(self.is_alive(service, region) for region in self.rule.regions)
        ]


class RegionWatch:
    """Decides on the regions of all rules; it has neither clock nor I/O.

    A region fails a rule when one of the rule's services was heard nowhere in it for the rule's hysteresis, while
    another region of the rule that is in has that service. It is well again when all services that are heard in any
    region of the rule were heard there without a break for the return time, doubled with each flap. If no other region
    can serve the rule, the hysteresis is enough.

    >>> from archhatch.region_policy import Policy
    >>> rule = {"name": "r", "match": [[4, "q"]], "regions": ["a", "b"]}
    >>> policy = Policy({"version": 1, "rules": [rule]})
    >>> watch = RegionWatch(quiet_s=3.0, return_s=12.0)
    >>> watch.advise(policy, {}, {"r": {"s"}}, {("s", "a"): 0.0, ("s", "b"): 0.0}, now=0.0)
    []
    >>> advice = watch.advise(policy, {}, {"r": {"s"}}, {("s", "a"): 0.0, ("s", "b"): 4.0}, now=4.0)
    >>> advice[0].command, advice[0].args["region"], advice[0].args["reason"]
    ('region.out', 'a', 'no replica of s heard for 4.0 s')

    Attributes:
        quiet_s: After this time without a sign a replica counts as silent; the least hysteresis.
        return_s: The return time of rules that name none.
        since: When the watch began; None before the first look.
    """

    def __init__(self, quiet_s: float, return_s: float) -> None:
        self.quiet_s = quiet_s
        self.return_s = return_s
        self.since: float | None = None
        self._well_since: dict[tuple[str, str], float] = {}  # (rule, region) -> since when all its services are heard
        self._in_since: dict[tuple[str, str], float] = {}  # (rule, region) -> since when it is in

    def restart(self, now: float) -> None:
        """Counts silence and wellness from now: the node was out of contact or stood still, and heard nothing."""
        self.since = now
        self._well_since.clear()

    def advise(  # noqa: PLR0913 - each is another part of what is known
        self,
        policy: Policy,
        facts: dict,
        services: dict[str, set[str]],
        last_heard: dict[tuple, float],
        now: float,
        guard: Callable[[str], AbstractContextManager] = nullcontext,
    ) -> list[Advice]:
        """Looks at all regions of all rules.

        Args:
            policy: The policy in force.
            facts: The agreed facts on regions, by region.
            services: The services of each rule's routes, by the rule's name.
            last_heard: When a service was last heard in a region, by (service, region).
            now: The time on a steady clock, in seconds.
            guard: Bears the failure of the rule of a name, as EntryGuard.entry does.

        Returns:
            The commands that the owner of the plan register should run.
        """
        if self.since is None:
            self.restart(now)
        since = now if self.since is None else self.since
        advice: list[Advice] = []
        for rule in policy.rules:
            names = sorted(services.get(rule.name, ()))
            view = _RuleView(rule, names, last_heard, now, since, self.quiet_s)
            with guard(rule.name):
                advice += self._advise_rule(view, facts)
        return advice

    def _advise_rule(self, view: _RuleView, facts: dict) -> list[Advice]:
        rule = view.rule
        living = view.living_services()
        well = {r for r in rule.regions if living and all(view.is_alive(service, r) for service in living)}
        advice: list[Advice] = []
        for region in rule.regions:
            self._record_state((rule.name, region), region in well, is_out(facts, region, rule.name), view.now)
            fact = facts.get(region) or {"epoch": 0, "out": {}}
            others = [other for other in rule.regions if other != region and not is_out(facts, other, rule.name)]
            args = {"region": region, "rule": rule.name, "by": "watch", "epoch": fact["epoch"]}
            if rule.name in fact["out"]:
                flaps = fact.get("flaps", {}).get(rule.name, 1)
                advice += self._advise_in(view, args, flaps, can_others_serve=not well.isdisjoint(others))
            elif ALL not in fact["out"]:
                advice += self._advise_out(view, args, others)
        return advice

    def _record_state(self, key: tuple[str, str], is_well: bool, is_out_now: bool, now: float) -> None:
        """Keeps since when a region has been well, and since when it has been in."""
        if is_well:
            self._well_since.setdefault(key, now)
        else:
            self._well_since.pop(key, None)
        if is_out_now:
            self._in_since.pop(key, None)
        else:
            self._in_since.setdefault(key, now)

    def hysteresis_s(self, rule: Rule) -> float:
        """Returns how long a region must be silent; never less than the time until a replica counts as silent."""
        return max(rule.hysteresis_s or 0.0, self.quiet_s)

    def return_after_s(self, rule: Rule, flaps: int) -> float:
        """Returns how long a region must be well; doubled with each flap after the first."""
        return (rule.return_after_s or self.return_s) * 2 ** max(0, flaps - 1)

    def _advise_out(self, view: _RuleView, args: dict, others: list[str]) -> list[Advice]:
        region = args["region"]
        for service in view.services:
            silence_s = view.silence_s(service, region)
            is_silent = silence_s >= self.hysteresis_s(view.rule)
            if is_silent and any(view.is_alive(service, other) for other in others):
                in_for_s = view.now - self._in_since.get((view.rule.name, region), view.now)
                is_calm = in_for_s >= CALM_RETURN_TIMES * self.return_after_s(view.rule, 1)
                reason = f"no replica of {service} heard for {silence_s:.1f} s"
                return [Advice("region.out", {**args, "calm": is_calm, "reason": reason})]
        return []

    def _advise_in(self, view: _RuleView, args: dict, flaps: int, *, can_others_serve: bool) -> list[Advice]:
        well_since = self._well_since.get((view.rule.name, args["region"]))
        if well_since is None:
            return []
        wait_s = self.return_after_s(view.rule, flaps)
        if not can_others_serve:
            wait_s = min(wait_s, self.hysteresis_s(view.rule))
        well_for_s = view.now - well_since
        if well_for_s < wait_s:
            return []
        return [Advice("region.back", {**args, "reason": f"well for {well_for_s:.1f} s"})]
