"""A control node's duty: gathers the regions' signs of life, and declares them out and back as the part's owner."""

from __future__ import annotations

import asyncio
import random

from ..routing import RoutingTable
from .placement import Placement
from .watch import RegionWatch


class RegionMonitor:
    """run() watches while a policy is set; without one it sleeps until the plan part changes.

    >>> # duty = RegionMonitor(core, "plan"); task_group.run_forever("regions", duty.run)
    """

    def __init__(self, core, shard: str):
        self.core, self.shard = core, shard
        settings = core.settings
        # a replica counts as silent after 2.5 of its beats, and a node after ContactMs
        self.watch = RegionWatch(
            max(settings.heartbeat_interval_ms / 1000 * 2.5, settings.seconds("ContactMs")),
            settings.seconds("ContactMs", 4),
        )
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
            turn = core.state_board.version("plan")
            value = (core.known.get(self.shard) or {"val": {}})["val"]
            if "policy" not in value or "plan" not in value:
                self.last = None
                await core.state_board.wait_for_change("plan", turn)
                continue
            await self.tend(value)
            await asyncio.sleep(core.heartbeat_interval_s * random.uniform(0.9, 1.1))

    async def tend(self, value: dict) -> None:
        """One look at all regions."""
        core, now = self.core, self.core.clock.now()
        if not core.has_majority_contact():
            self.last = None
            return
        if self.last is None or now - self.last > core.quiet_s:
            self.watch.begin(now)
        if self.watch.since < core.started:
            self.watch.begin(core.started)
        if self.plan is None or self.plan.stamp != value["plan"]["Revision"]:
            self.plan = RoutingTable(value["plan"])
        self.places.fold(value)
        advice = self.watch.advise(self.places.policy, self.places.facts, self._services(), self._heard(), now)
        if core.owns(self.shard):
            zones = value["policy"]["zones"]
            if any(z not in zones for z in core.settings.zones):
                advice.append(("policy.zones", {"zones": core.settings.zones}))
            epochs: dict = {}  # after changes of this look: the next one stands on them, and on no one else's
            for name, args in advice:
                region = args.get("region")
                epochs[region] = await self._do(name, {**args, "epoch": epochs.get(region, args.get("epoch"))})
        self.last = core.clock.now()  # what a command took is no standstill

    async def _do(self, name: str, args: dict) -> int | None:
        code, doc = await self.core.try_command(self.shard, name, args)
        if code != 1000 or "region" not in args:
            return args["epoch"]
        self.core.log.info("{}: {} for {}: {}", name, args["region"], args["rule"], args["reason"])
        return doc["Epoch"]

    def _services(self) -> dict:
        out: dict = {}
        for route in self.plan.routes():
            rule = self.places.rule(route)
            if rule is not None:
                out.setdefault(rule.name, set()).update(s for s, _ in route.split)
        return out

    def _heard(self) -> dict:
        """When each service was last heard in each region: beats of replicas that take requests, and answers."""
        out: dict = {}
        registry, region_of = self.core.registry, self.places.region_of
        for rid, entry in registry.replicas.items():
            if entry["state"] == "up":
                key = (entry["service"], region_of.get(entry["zone"]))
                out[key] = max(registry.last_heard[rid], out.get(key, float("-inf")))
        for (svc, zone), at in self.served.items():
            key = (svc, region_of.get(zone))
            out[key] = max(at, out.get(key, float("-inf")))
        return out
