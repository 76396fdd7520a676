"""Which regions should be declared out or back, from the signs of life that control nodes gathered."""

from __future__ import annotations

from .placement import ALL, is_out


class RegionWatch:
    """advise() gives the commands that the owner of the 'plan' part should run now.

    A region fails a rule when one of the rule's services was heard nowhere in it for the rule's hysteresis, while
    another region of the rule that is in has that service. It is well again when all services that are heard in any
    region of the rule were heard there without a break for the return time, doubled with each flap. With nobody else
    to serve the rule, the hysteresis is enough.

    >>> # watch = RegionWatch(quiet_s=3.0, return_s=12.0); for name, args in watch.advise(...): ...
    """

    CALM = 10  # return times that a region must have been in for its flaps to be forgotten

    def __init__(self, quiet_s: float, return_s: float):
        self.quiet_s, self.return_s = quiet_s, return_s
        self.since: float | None = None
        self.well: dict[tuple, float] = {}  # (rule, region) -> since when all its services were heard
        self.steady: dict[tuple, float] = {}  # (rule, region) -> since when it is in

    def begin(self, now: float) -> None:
        """This node was not in touch, or stood still: silence and wellness count from now."""
        self.since = now
        self.well.clear()

    def advise(self, policy, facts: dict, services: dict, heard: dict, now: float) -> list:
        """services: rule name -> its services. heard: (service, region) -> when a sign of life last came."""
        if self.since is None:
            self.begin(now)
        out = []
        for rule in policy.rules:
            seen = _Seen(rule, sorted(services.get(rule.name, ())), heard, now, self)
            for region in rule.regions:
                key = (rule.name, region)
                self._note(key, seen.whole(region), is_out(facts, region, rule.name), now)
                fact = facts.get(region) or {"epoch": 0, "out": {}}
                args = {"region": region, "rule": rule.name, "by": "watch", "epoch": fact["epoch"]}
                if rule.name in fact["out"]:
                    out += self._back(seen, region, fact, args, facts)
                elif ALL not in fact["out"]:
                    out += self._out(seen, region, args, facts)
        return out

    def _note(self, key: tuple, whole: bool, is_out_now: bool, now: float) -> None:
        if whole:
            self.well.setdefault(key, now)
        else:
            self.well.pop(key, None)
        if is_out_now:
            self.steady.pop(key, None)
        else:
            self.steady.setdefault(key, now)

    def hysteresis(self, rule) -> float:
        """How long a region must be silent; never under the time after which a replica counts as silent."""
        return max(rule.hysteresis_s or 0.0, self.quiet_s)

    def return_after(self, rule, flaps: int) -> float:
        """How long a region must be well; doubled with each flap after the first."""
        return (rule.return_after_s or self.return_s) * 2 ** max(0, flaps - 1)

    def _out(self, seen, region: str, args: dict, facts: dict) -> list:
        others = [g for g in seen.rule.regions if g != region and not is_out(facts, g, seen.rule.name)]
        for svc in seen.services:
            quiet = seen.quiet(svc, region)
            if quiet >= self.hysteresis(seen.rule) and any(seen.alive(svc, g) for g in others):
                calm = seen.now - self.steady.get((seen.rule.name, region), seen.now) >= self.CALM * self.return_after(
                    seen.rule, 1
                )
                why = f"no replica of {svc} heard for {quiet:.1f} s"
                return [("region.out", {**args, "calm": calm, "reason": why})]
        return []

    def _back(self, seen, region: str, fact: dict, args: dict, facts: dict) -> list:
        rule = seen.rule
        well = seen.now - self.well.get((rule.name, region), seen.now)
        others = [g for g in rule.regions if g != region and not is_out(facts, g, rule.name)]
        wait = self.return_after(rule, fact.get("flaps", {}).get(rule.name, 1))
        if not any(seen.whole(g) for g in others):
            wait = min(wait, self.hysteresis(rule))
        if (rule.name, region) in self.well and well >= wait:
            return [("region.back", {**args, "reason": f"well for {well:.1f} s"})]
        return []


class _Seen:
    """The signs of life of one rule's services, by region."""

    def __init__(self, rule, services: list, heard: dict, now: float, watch: RegionWatch):
        self.rule, self.heard, self.now, self.watch = rule, heard, now, watch
        self.services = services
        self.there = [s for s in services if any(self.alive(s, g) for g in rule.regions)]

    def quiet(self, svc: str, region: str) -> float:
        return self.now - max(self.watch.since, self.heard.get((svc, region), float("-inf")))

    def alive(self, svc: str, region: str) -> bool:
        return self.now - self.heard.get((svc, region), float("-inf")) < self.watch.quiet_s

    def whole(self, region: str) -> bool:
        """All services that are heard in any region of the rule are heard in this one."""
        return bool(self.there) and all(self.alive(s, region) for s in self.there)
