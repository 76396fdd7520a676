"""Orders replicas from the platform while this store holds the role's lease.

Each order is agreed in the role register before it is sent, so that a successor knows the last one: it sends it again
if nobody knows whether it was taken.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from typing import Any, Protocol

from ..runtime import EntryGuard
from ..platform_client import PlatformClient
from ..singleton_roles.effect import protect
from ..singleton_roles.errors import EffectFailedError, RoleCallError
from ..singleton_roles.keys import RoleKey
from ..singleton_roles.lease import StandingLease
from ..singleton_roles.node import RoleNode
from ..singleton_roles.record import RoleState
from .policy import ScaleLimits, ServiceScaler, spread_over_zones

DUTY = "scaling"  # the name in the settings
NAMESPACE = "capacity"  # of the role register, and the platform's path
CHECK_INTERVAL_S = 0.5  # between two checks of all services
LIVE_SLOT_SHARE = 0.6  # of a service's slots that live requests may take before replicas are added


class ScalingNode(RoleNode, Protocol):
    """A store node, as the controller sees it.

    Attributes:
        task_group: Runs the orders.
        load_balancer: Knows the replicas by service.
    """

    task_group: Any
    load_balancer: Any


@dataclass(frozen=True, slots=True)
class StoredOrder:
    """The last order for a service in a zone that the role register has.

    Attributes:
        number: The order's number.
        record: Its stored record.
    """

    number: int
    record: dict

    @property
    def is_running(self) -> bool:
        """Whether it was begun and not finished."""
        return self.record["state"] == RoleState.RUNNING.value

    @property
    def desired_count(self) -> int:
        """The number of replicas that it asks for."""
        return self.record["intent"]["DesiredCount"]


class CapacityController:
    """Looks after every service with `Autoscale`.

    Attributes:
        lease: The lease under which orders are given.
        platform: Calls the platform; None until the node has started, and without the platform's interface.
    """

    def __init__(self, node: ScalingNode, platform: PlatformClient | None = None) -> None:
        self.lease = StandingLease(node, NAMESPACE)
        self.platform = platform
        self._node = node
        self._guard = EntryGuard("autoscaler", node.log, node.counters, node.clock)
        self._scalers: dict[str, ServiceScaler] = {}
        self._ordering: dict[str, asyncio.Task] = {}  # by service and zone

    @property
    def enabled(self) -> bool:
        """Whether the platform takes orders of replicas here."""
        platform_api = self._node.settings.platform_api
        return platform_api is not None and DUTY in platform_api.duties

    async def run(self) -> None:
        """Checks all services again and again, for good; ends at once if orders are not enabled."""
        if not self.enabled:
            return
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self.lease.may_act() and self._node.plan is not None:
                self.check_services()
            else:
                self._scalers.clear()  # what was seen before the lease was lost says nothing after it

    def check_services(self) -> None:
        """Finishes orders that were begun, and gives those that are due."""
        latest = latest_orders(self._node.ledger.roles(NAMESPACE))
        for subject, order in latest.items():
            if order.is_running:
                self._start_order(subject, order.number, order.record["intent"])
        for name, service in self._node.plan.services.items():
            with self._guard.entry(name):
                limits = ScaleLimits.of(service)
                if limits is not None:
                    self._check_service(name, limits, latest)

    def _check_service(self, service: str, limits: ScaleLimits, latest: dict[str, StoredOrder]) -> None:
        counts = self._ordered_counts(service, latest)
        if not counts:
            return
        now = self._node.clock.now()
        scaler = self._scalers.setdefault(service, ServiceScaler())
        total = sum(counts.values())
        desired = scaler.desired_count(now, total, self._pressure(service), limits)
        if desired == total:
            return
        for zone, count in spread_over_zones(desired, list(counts), limits).items():
            if count == counts[zone]:
                continue
            scaler.changed_at = now
            subject = f"{service}~{zone}"
            number = latest[subject].number + 1 if subject in latest else 1
            self._start_order(subject, number, {"Service": service, "Zone": zone, "DesiredCount": count})

    def _ordered_counts(self, service: str, latest: dict[str, StoredOrder]) -> dict[str, int]:
        """The replicas by zone as last ordered; where none were ordered, those that are there."""
        counts = {}
        for zone, present in self._present_counts(service).items():
            order = latest.get(f"{service}~{zone}")
            counts[zone] = present if order is None else order.desired_count
        return counts

    def _present_counts(self, service: str) -> dict[str, int]:
        """The replicas by zone that stay, as far as the registry knows."""
        return dict(Counter(replica.zone for replica in self._staying_replicas(service)))

    def _staying_replicas(self, service: str) -> list:
        replicas = (self._node.load_balancer.by_service.get(service) or {}).values()
        return [replica for replica in replicas if not replica.is_draining]

    def _pressure(self, service: str) -> float:
        """The share of its slots that a service needs, for its batch jobs and for its live requests."""
        slots = sum(replica.slots for replica in self._staying_replicas(service))
        if not slots:
            return 0.0
        batch_slots = self._node.membership.places_wanted(service)
        live_slots = self._node.config_watcher.live_totals.get(service, 0) / LIVE_SLOT_SHARE
        return (batch_slots + live_slots) / slots

    # -- orders

    def _start_order(self, subject: str, number: int, order: dict) -> None:
        task = self._ordering.get(subject)
        if task is None or task.done():
            self._ordering[subject] = self._node.task_group.spawn("capacity", self._order, subject, number, order)

    async def _order(self, subject: str, number: int, order: dict) -> None:
        try:
            await protect(self.lease, f"{NAMESPACE}/{subject}:{number}", order, self._send, self._observe)
        except RoleCallError as error:
            # the lease passed on, or no majority answered: this store or its successor goes on at the next check
            self._node.counters.add(f"capacity.deferred.{error.code}")
        except EffectFailedError as error:
            # a refusal by the platform: a traceback would not explain it
            self._node.log.error("capacity: order failed for good, order={} reason={!r}", order, str(error))  # noqa: TRY400 - see above

    async def _observe(self, order: dict) -> str | None:
        """Whether an order whose lease expired has been carried out: so many replicas are there."""
        is_carried_out = self._present_counts(order["Service"]).get(order["Zone"]) == order["DesiredCount"]
        return "observed" if is_carried_out else None

    async def _send(self, order: dict) -> str:
        assert self.platform is not None, "the node sets it at its start wherever orders are enabled"
        self._node.log.info("capacity: replicas ordered, order={}", order)
        return await self.platform.deliver(f"/{NAMESPACE}", order, self.lease)


def latest_orders(roles: dict[str, dict]) -> dict[str, StoredOrder]:
    """Returns the last order that the role register has, by service and zone.

    >>> roles = {"capacity/s~z:1": {"n": 1}, "capacity/s~z:2": {"n": 2}, "capacity": {}}
    >>> latest_orders(roles)
    {'s~z': StoredOrder(number=2, record={'n': 2})}
    """
    latest: dict[str, StoredOrder] = {}
    for key, record in roles.items():
        parsed = RoleKey.parse(key)
        newest = latest.get(parsed.kind)
        if parsed.kind and parsed.number > (newest.number if newest else 0):
            latest[parsed.kind] = StoredOrder(parsed.number, record)
    return latest
