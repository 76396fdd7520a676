"""A control node's duty: gathers the regions' signs of life, and declares them out and back as the part's owner."""

from __future__ import annotations

import asyncio
import random

from ..routing import RoutingTable
from .placement import Placement
from .watch import RegionWatch


class RegionMonitor:
    """run() watches while a policy is set; without one it sleeps until the plan part changes.

    >>> # duty = RegionMonitor(core, "plan"); crew.keep("regions", duty.run)
    """

    def __init__(self, core, part: str):
        self.core, self.part = core, part
        boot = core.boot
        # a replica counts as silent after 2.5 of its beats, and a node after ContactMs
        self.watch = RegionWatch(max(boot.beat_ms / 1000 * 2.5, boot.secs("ContactMs")), boot.secs("ContactMs", 4))
        self.places = Placement()
        self.plan: RoutingTable | None = None
        self.served: dict[tuple, float] = {}  # (service, zone) -> when some node last had an answer from there
        self.last: float | None = None

    def heed(self, words: list) -> None:
        """Answers that nodes had: [service, zone, seconds ago]."""
        now = self.core.clock.now()
        for svc, zone, age in words:
            self.served[svc, zone] = max(now - age, self.served.get((svc, zone), float("-inf")))

    def words(self) -> list:
        """All of them that still say something, for other control nodes."""
        now = self.core.clock.now()
        self.served = {k: at for k, at in self.served.items() if now - at < self.watch.quiet_s}
        return [[s, z, now - at] for (s, z), at in self.served.items()]

    async def run(self) -> None:
        core = self.core
        while True:
            turn = core.board.turn("plan")
            val = (core.known.get(self.part) or {"val": {}})["val"]
            if "policy" not in val or "plan" not in val:
                self.last = None
                await core.board.news("plan", turn)
                continue
            await self.tend(val)
            await asyncio.sleep(core.beat_s * random.uniform(0.9, 1.1))

    async def tend(self, val: dict) -> None:
        """One look at all regions."""
        core, now = self.core, self.core.clock.now()
        if not core.in_touch():
            self.last = None
            return
        if self.last is None or now - self.last > core.quiet_s:
            self.watch.begin(now)
        if self.watch.since < core.started:
            self.watch.begin(core.started)
        if self.plan is None or self.plan.stamp != val["plan"]["Revision"]:
            self.plan = RoutingTable(val["plan"])
        self.places.fold(val)
        advice = self.watch.advise(self.places.policy, self.places.facts, self._services(), self._heard(), now)
        if core.owns(self.part):
            zones = val["policy"]["zones"]
            if any(z not in zones for z in core.boot.zones):
                advice.append(("policy.zones", {"zones": core.boot.zones}))
            epochs: dict = {}  # after changes of this look: the next one stands on them, and on no one else's
            for name, args in advice:
                region = args.get("region")
                epochs[region] = await self._do(name, {**args, "epoch": epochs.get(region, args.get("epoch"))})
        self.last = core.clock.now()  # what a command took is no standstill

    async def _do(self, name: str, args: dict) -> int | None:
        code, doc = await self.core.try_command(self.part, name, args)
        if code != 1000 or "region" not in args:
            return args["epoch"]
        self.core.log.info("{}: {} for {}: {}", name, args["region"], args["rule"], args["reason"])
        return doc["Epoch"]

    def _services(self) -> dict:
        out: dict = {}
        for lane in self.plan.lanes():
            rule = self.places.rule(lane)
            if rule is not None:
                out.setdefault(rule.name, set()).update(s for s, _ in lane.split)
        return out

    def _heard(self) -> dict:
        """When each service was last heard in each region: beats of replicas that take requests, and answers."""
        out: dict = {}
        roll, region_of = self.core.roll, self.places.region_of
        for rid, ent in roll.all.items():
            if ent["state"] == "up":
                key = (ent["service"], region_of.get(ent["zone"]))
                out[key] = max(roll.heard[rid], out.get(key, float("-inf")))
        for (svc, zone), at in self.served.items():
            key = (svc, region_of.get(zone))
            out[key] = max(at, out.get(key, float("-inf")))
        return out
