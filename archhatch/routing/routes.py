"""Lanes: what a configuration says about a request."""

from __future__ import annotations

import random
from bisect import bisect_right
from dataclasses import dataclass
from itertools import accumulate


class WeightedSequence:
    """Gives names in the proportions of their weights, evenly over any stretch.

    Independent random picks miss the proportions by chance alone. Here pick k falls where the fractional part of
    phase + k * golden ratio lies (a low-discrepancy sequence); the phase is drawn anew for each sequence, so that many
    nodes do not pick in step.

    >>> s = WeightedSequence((("a", 9.0), ("b", 1.0)), phase=0.0); [s.next() for _ in range(100)].count("b")
    10
    """

    STEP = 0.6180339887498949  # the golden ratio's fractional part

    def __init__(self, weights: tuple, phase: float | None = None):
        self._at = random.random() if phase is None else phase
        total = sum(weight for _, weight in weights)
        self._names = [name for name, _ in weights]
        self._bounds = list(accumulate(weight / total for _, weight in weights))

    def next(self) -> str:
        """The next name."""
        self._at = (self._at + self.STEP) % 1.0
        return self._names[min(bisect_right(self._bounds, self._at), len(self._names) - 1)]


@dataclass(frozen=True, slots=True)
class Route:
    name: str
    host: str
    prefix: str
    kind: str
    timeout_s: float
    aim_s: float
    due_s: float
    queue_s: float
    sends: int
    priority: int
    resumable: bool
    single: bool
    split: tuple
    no_auth: bool = False
    shares: WeightedSequence | None = None  # where the split has several parts

    def pick(self) -> str:
        """One of the lane's services, by weight."""
        if len(self.split) == 1:
            return self.split[0][0]
        return self.shares.next()


def _lane(row: dict) -> Route:
    split = tuple((s["Service"], float(s["Weight"])) for s in row.get("TrafficSplit") or [] if s["Weight"] > 0)
    return Route(
        name=row["Name"],
        host=row["HostName"].lower(),
        prefix=row["PathPrefix"],
        kind=row["RouteClass"],
        timeout_s=row.get("TimeoutMs", 60000) / 1000,
        aim_s=row.get("TargetLatencyMs", 1000) / 1000,
        due_s=row.get("ResultDueMs", 60000) / 1000,
        queue_s=float(row.get("MaxQueueS", 3600)),
        sends=int(row.get("MaxAttempts", 1)),
        priority=int(row.get("Priority", 5)),
        resumable=bool(row.get("Resumable", False)),
        single=bool(row.get("SingleVersion", False)),
        split=split or ((row["Service"], 1.0),),
        no_auth=bool(row.get("NoAuth", False)),
        shares=WeightedSequence(split) if len(split) > 1 else None,
    )


class RoutingTable:
    """A configuration made ready for look-ups.

    >>> p = RoutingTable({"Revision": 1, "RouteTable": [], "ServiceTable": []}); p.route("a", "/b") is None
    True
    """

    def __init__(self, doc: dict):
        self.doc = doc
        self.stamp = doc["Revision"]
        self.limits = doc.get("Limits") or {}
        self.services = {s["Name"]: s for s in doc["ServiceTable"]}
        self._hosts: dict = {}
        self.has_tenants = bool(doc.get("TenantTable"))
        self._tenant_by_key = {key: row["Name"] for row in doc.get("TenantTable") or [] for key in row["ApiKeys"]}
        for row in doc["RouteTable"]:
            route = _lane(row)
            self._hosts.setdefault(route.host, []).append(route)
        for routes in self._hosts.values():
            routes.sort(key=lambda x: -len(x.prefix))

    def route(self, host: str, path: str) -> Route | None:
        """The lane of a host and path: the longest prefix wins."""
        host = host.lower()
        routes = self._hosts.get(host)
        if routes is None and ":" in host:
            routes = self._hosts.get(host.rsplit(":", 1)[0])
        for route in routes or ():
            if path.startswith(route.prefix):
                return route
        return None

    def tenant(self, key: str) -> str | None:
        """The name of the tenant that holds a key; costs one look-up, however many tenants there are.

        >>> tables = {"RouteTable": [], "ServiceTable": [], "TenantTable": [{"Name": "t", "ApiKeys": ["k"]}]}
        >>> RoutingTable({"Revision": 1, **tables}).tenant("k"), RoutingTable({"Revision": 1, **tables}).tenant("")
        ('t', None)
        """
        return self._tenant_by_key.get(key)

    def open_to_lots(self, host: str) -> bool:
        """Whether lots of a host may be asked for without a key: one of its rollout routes needs none."""
        routes = self._hosts.get(host.lower().rsplit(":", 1)[0], ())
        return any(route.no_auth and route.kind in ("rollout", "batch") for route in routes)

    def routes(self) -> list:
        """All lanes.

        >>> RoutingTable({"Revision": 1, "RouteTable": [], "ServiceTable": []}).routes()
        []
        """
        return [route for routes in self._hosts.values() for route in routes]

    def live_services(self) -> set:
        """Services to which lanes of live requests lead.

        >>> RoutingTable({"Revision": 1, "RouteTable": [], "ServiceTable": []}).live_services()
        set()
        """
        return {
            s
            for routes in self._hosts.values()
            for route in routes
            if route.kind not in ("rollout", "batch")
            for s, _ in route.split
        }

    def models(self) -> dict:
        """Each model's service.

        >>> RoutingTable({"Revision": 1, "RouteTable": [], "ServiceTable": []}).models()
        {}
        """
        out = {}
        for name, svc in self.services.items():
            for m in (svc.get("Engine") or {}).get("ModelList") or []:
                out[m["Name"]] = name
        return out
