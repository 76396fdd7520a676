"""Orders replicas from the platform while this store holds the duty's lease.

Each order is agreed in the ledger before it is sent, so that a successor knows the last one: it sends it again if
nobody knows whether it was taken.
"""

from __future__ import annotations

import asyncio
from collections import Counter

from ..platform_client import PlatformClient
from ..singleton_roles.commands import split_key
from ..singleton_roles.effect import EffectFailedError, protect
from ..singleton_roles.lease import RoleCallError, StandingLease
from ..singleton_roles.record import RoleState
from .policy import ScaleLimits, ServiceScaler, spread

DUTY = "scaling"  # the name in the settings
NAMESPACE = "capacity"  # of the ledger, and the platform's path
LOOK_S = 0.5  # between looks
LIVE_SHARE = 0.6  # of a service's places that live requests may take before replicas are added


class CapacityController:
    """run() looks after every service with `Autoscale`.

    >>> # controller = CapacityController(store); task_group.run_forever("capacity", controller.run)
    """

    def __init__(self, store, platform: PlatformClient | None = None):
        self.store = store
        self.lease = StandingLease(store, NAMESPACE)
        self.platform = platform
        self._scalers: dict[str, ServiceScaler] = {}
        self._sending: dict[str, asyncio.Task] = {}

    @property
    def enabled(self) -> bool:
        """Whether the platform takes orders of replicas here."""
        platform_api = self.store.settings.platform_api
        return platform_api is not None and DUTY in platform_api.duties

    async def run(self) -> None:
        """Look at all services again and again."""
        if not self.enabled:
            return
        while True:
            await asyncio.sleep(LOOK_S)
            if self.lease.may_act() and self.store.plan is not None:
                self.look()
            else:
                self._scalers.clear()

    def look(self) -> None:
        """Finish orders that were begun, and give those that are due."""
        duties = self.store.ledger.duties(NAMESPACE)
        latest = latest_orders(duties)
        for subject, (number, duty) in latest.items():
            if duty["state"] == RoleState.RUNNING.value:
                self._start(subject, number, duty["intent"])
        for name, service in self.store.plan.services.items():
            limits = ScaleLimits.read(service)
            if limits is not None:
                self._look_at(name, limits, latest)

    def _look_at(self, service: str, limits: ScaleLimits, latest: dict) -> None:
        there = self._there(service)
        ordered = {zone: self._ordered(latest, service, zone) for zone in there}
        counts = {zone: count if ordered[zone] is None else ordered[zone] for zone, count in there.items()}
        if not counts:
            return
        now, scaler = self.store.clock.now(), self._scalers.setdefault(service, ServiceScaler())
        total = sum(counts.values())
        wanted = scaler.want(now, total, self._pressure(service), limits)
        if wanted == total:
            return
        for zone, count in spread(wanted, list(counts), limits).items():
            if count == counts[zone]:
                continue
            scaler.changed_at = now
            subject = f"{service}~{zone}"
            number = latest[subject][0] + 1 if subject in latest else 1
            self._start(subject, number, {"Service": service, "Zone": zone, "DesiredCount": count})

    def _there(self, service: str) -> dict:
        """Replicas by zone that stay, as far as the registry knows."""
        replicas = (self.store.load_balancer.by_service.get(service) or {}).values()
        return dict(Counter(replica.zone for replica in replicas if not replica.draining))

    def _ordered(self, latest: dict, service: str, zone: str) -> int | None:
        order = latest.get(f"{service}~{zone}")
        return None if order is None else order[1]["intent"]["DesiredCount"]

    def _pressure(self, service: str) -> float:
        """The share of its places that a service needs, for its lots and for its live requests."""
        replicas = [r for r in (self.store.load_balancer.by_service.get(service) or {}).values() if not r.draining]
        places = sum(replica.slots for replica in replicas)
        if not places:
            return 0.0
        batch_jobs = self.store.membership.places_wanted(service)
        live = self.store.config_watcher.live_totals.get(service, 0) / LIVE_SHARE
        return (batch_jobs + live) / places

    # -- orders

    def _start(self, subject: str, number: int, order: dict) -> None:
        task = self._sending.get(subject)
        if task is None or task.done():
            self._sending[subject] = self.store.task_group.spawn("capacity", self._order, subject, number, order)

    async def _order(self, subject: str, number: int, order: dict) -> None:
        try:
            await protect(self.lease, f"{NAMESPACE}/{subject}:{number}", order, self._send, self._observe)
        except RoleCallError as e:
            self.store.counters.add(f"capacity.put_off.{e.code}")
        except EffectFailedError as e:
            self.store.log.error("capacity: {}: {}", order, e)

    async def _observe(self, order: dict) -> str | None:
        """Whether an order whose holder fell silent has been carried out: so many replicas are there."""
        found = self._there(order["Service"]).get(order["Zone"]) == order["DesiredCount"]
        return "observed" if found else None

    async def _send(self, order: dict) -> str:
        self.store.log.info("capacity: {}", order)
        return await self.platform.deliver(f"/{NAMESPACE}", order, self.lease)


def latest_orders(duties: dict) -> dict:
    """By service and zone, the number and the record of the last order that the ledger has.

    >>> latest_orders({"capacity/s~z:1": {"n": 1}, "capacity/s~z:2": {"n": 2}, "capacity": {}})
    {'s~z': (2, {'n': 2})}
    """
    latest: dict = {}
    for key, duty in duties.items():
        _, subject, number = split_key(key)
        if subject and number > latest.get(subject, (0, None))[0]:
            latest[subject] = (number, duty)
    return latest
