"""A control node's background task that declares regions out and in again, from heartbeats and answers."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any, Protocol

from ..routing import ConfigurationFollower, RoutingTable
from ..runtime import EntryGuard
from .placement import Placement
from .watch import Advice, RegionWatch

if TYPE_CHECKING:
    from ..membership import ReplicaRegistry
    from ..runtime import Clock, Counters, Settings, StateBoard

DONE = 1000  # result code: docs/codes.md
MISSED_HEARTBEATS = 2.5  # heartbeat intervals after which a replica counts as silent
RETURN_CONTACT_TIMES = 4  # a rule without a return time of its own waits this many times ContactMs
JITTER = (0.9, 1.1)  # control nodes must not all look at the same moment
NEVER = float("-inf")


class MonitorNode(Protocol):
    """What the monitor uses of its control node.

    Attributes:
        settings: The node's settings.
        clock: Its clock.
        log: Its log.
        registry: The replicas that it knows.
        state_board: Wakes those who wait for a register to change.
        heartbeat_interval_s: The interval between looks.
        quiet_s: A pause between two looks that is longer than this means that the node stood still.
        started: When the node started, or last stood still, on its clock.
    """

    settings: Settings
    clock: Clock
    log: Any
    counters: Counters
    registry: ReplicaRegistry
    state_board: StateBoard
    configuration: ConfigurationFollower
    heartbeat_interval_s: float
    quiet_s: float
    started: float

    @property
    def known(self) -> dict[str, dict]:
        """The newest known state of each register."""

    def has_majority_contact(self) -> bool:
        """Returns whether a majority of the plan register's group answered lately."""

    def owns(self, shard: str) -> bool:
        """Returns whether this node runs the register's commands."""

    async def try_command(self, shard: str, name: str, args: dict) -> tuple[int, Any]:
        """Runs a command; returns its code and document."""


class RegionMonitor:
    """Watches the regions while a policy is set; without one it sleeps until the plan register changes.

    Every control node watches, so that a new owner of the register knows at once; only the owner declares.

    Attributes:
        watch: Decides which regions to declare out or in.
        placement: The policy and the agreed facts on regions.
        answered_at: When a node last had an answer of a service from a zone, by (service, zone).
    """

    def __init__(self, node: MonitorNode, shard: str) -> None:
        """Creates a monitor.

        Args:
            node: The control node.
            shard: The name of the plan register.
        """
        self._node = node
        self._shard = shard
        settings = node.settings
        contact_s = settings.seconds("ContactMs")
        self.watch = RegionWatch(
            quiet_s=max(settings.heartbeat_interval_ms / 1000 * MISSED_HEARTBEATS, contact_s),
            return_s=settings.seconds("ContactMs", RETURN_CONTACT_TIMES),
        )
        self.placement = Placement()
        self.answered_at: dict[tuple[str, str], float] = {}
        self._last_look: float | None = None
        self._guard = EntryGuard("region_monitor", node.log, node.counters, node.clock)

    def record_answers(self, answers: list) -> None:
        """Records answers that nodes had, as rows of [service, zone, seconds ago]."""
        now = self._node.clock.now()
        for service, zone, age_s in answers:
            self.answered_at[service, zone] = max(now - age_s, self.answered_at.get((service, zone), NEVER))

    def recent_answers(self) -> list:
        """Returns the answers that are not too old to count, in the form of record_answers; forgets the others."""
        now = self._node.clock.now()
        self.answered_at = {key: at for key, at in self.answered_at.items() if now - at < self.watch.quiet_s}
        return [[service, zone, now - at] for (service, zone), at in self.answered_at.items()]

    async def run(self) -> None:
        """Looks at the regions at each heartbeat interval, for ever."""
        node = self._node
        while True:
            version = node.state_board.version("plan")
            value = (node.known.get(self._shard) or {"val": {}})["val"]
            if "policy" not in value or "plan" not in value:
                self._last_look = None
                await node.state_board.wait_for_change("plan", version)
                continue
            await self.check_regions(value)
            await asyncio.sleep(node.heartbeat_interval_s * random.uniform(*JITTER))

    async def check_regions(self, value: dict) -> None:
        """Looks at all regions once and, on the owner of the plan register, declares what has changed.

        Args:
            value: The value of the plan register, with a policy and a configuration.
        """
        node = self._node
        now = node.clock.now()
        if not node.has_majority_contact():
            self._last_look = None
            return
        self._restart_watch_after_gap(now)
        node.configuration.update(value)
        routes = node.configuration.table
        if routes is None:
            return
        self.placement.update(value)
        policy = self.placement.policy
        if policy is None:
            raise RuntimeError("a look at the regions needs a policy")
        services = self._services_by_rule(routes)
        advice = self.watch.advise(policy, self.placement.facts, services, self._last_heard(), now, self._guard.entry)
        if node.owns(self._shard):
            await self._declare(advice, value["policy"]["zones"])
        self._last_look = node.clock.now()  # after the commands: the time that they took is no standstill

    def _restart_watch_after_gap(self, now: float) -> None:
        """Restarts the watch if this node was cut off or stood still: it then heard nothing from anyone."""
        node = self._node
        if self._last_look is None or now - self._last_look > node.quiet_s:
            self.watch.restart(now)
        if self.watch.since is None or self.watch.since < node.started:
            self.watch.restart(node.started)

    async def _declare(self, advice: list[Advice], known_zones: dict) -> None:
        """Runs the commands of one look.

        Each command on a region names the epoch that it is based on, so that a change by anyone else in the meantime
        refuses it. Of several on one region, each is based on the epoch that the one before it made.
        """
        zones = self._node.settings.zones
        if any(zone not in known_zones for zone in zones):
            advice.append(Advice("policy.zones", {"zones": zones}))
        epochs: dict[str | None, int | None] = {}
        for command, args in advice:
            region = args.get("region")
            epoch = epochs.get(region, args.get("epoch"))
            epochs[region] = await self._run_command(command, {**args, "epoch": epoch})

    async def _run_command(self, command: str, args: dict) -> int | None:
        """Runs a command; returns the epoch of its region after it."""
        code, document = await self._node.try_command(self._shard, command, args)
        if code != DONE or "region" not in args:
            return args["epoch"]
        epoch = document["Epoch"]
        self._node.log.info(
            "region declared: command={} region={} rule={} epoch={} reason={}",
            command,
            args["region"],
            args["rule"],
            epoch,
            args["reason"],
        )
        return epoch

    def _services_by_rule(self, routes: RoutingTable) -> dict[str, set[str]]:
        """Returns the services of the routes that each rule binds, by the rule's name."""
        services: dict[str, set[str]] = {}
        for route in routes.routes():
            rule = self.placement.rule(route)
            if rule is not None:
                services.setdefault(rule.name, set()).update(service for service, _ in route.traffic_split)
        return services

    def _last_heard(self) -> dict[tuple, float]:
        """Returns when each service was last heard in each region, by (service, region).

        Heartbeats of replicas that take requests count, and answers that any node had: a replica that cannot reach
        the control nodes, yet answers, is no reason to leave its region.
        """
        last_heard: dict[tuple, float] = {}
        registry = self._node.registry
        region_of = self.placement.region_of
        for replica_id, entry in registry.replicas.items():
            if entry["state"] == "up":
                key = (entry["service"], region_of.get(entry["zone"]))
                last_heard[key] = max(registry.last_heard[replica_id], last_heard.get(key, NEVER))
        for (service, zone), at in self.answered_at.items():
            key = (service, region_of.get(zone))
            last_heard[key] = max(at, last_heard.get(key, NEVER))
        return last_heard
