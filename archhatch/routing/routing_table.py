"""A configuration, made ready for look-ups."""

from __future__ import annotations

from typing import Any

from .routes import JOB_CLASSES, Route


class RoutingTable:
    """Finds the route of a request, and the tenant of a key.

    >>> table = RoutingTable({"Revision": 1, "RouteTable": [], "ServiceTable": []})
    >>> table.find_route("a", "/b") is None, table.routes(), table.live_services(), table.service_by_model()
    (True, [], set(), {})

    Attributes:
        document: The configuration as the operator gave it.
        revision: Its revision; a newer configuration has a higher one.
        limits: Its Limits, by their names in the configuration.
        services: The entries of its ServiceTable by name.
        has_tenants: Whether requests need an API key.
    """

    def __init__(self, document: dict[str, Any]) -> None:
        """Reads a configuration that was checked (`schemas.check_config`)."""
        self.document = document
        self.revision: int = document["Revision"]
        self.limits: dict[str, Any] = document.get("Limits") or {}
        self.services: dict[str, dict[str, Any]] = {service["Name"]: service for service in document["ServiceTable"]}
        tenants = document.get("TenantTable") or []
        self.has_tenants = bool(tenants)
        self._tenant_by_key = {key: tenant["Name"] for tenant in tenants for key in tenant["ApiKeys"]}
        self._routes_by_host: dict[str, list[Route]] = {}
        for entry in document["RouteTable"]:
            route = Route.from_document(entry)
            self._routes_by_host.setdefault(route.host, []).append(route)
        for routes in self._routes_by_host.values():
            routes.sort(key=lambda route: -len(route.prefix))

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route of a host and path: the longest prefix wins."""
        host = host.lower()
        routes = self._routes_by_host.get(host)
        if routes is None and ":" in host:
            routes = self._routes_by_host.get(host.rsplit(":", 1)[0])
        for route in routes or ():
            if path.startswith(route.prefix):
                return route
        return None

    def tenant_of_key(self, key: str) -> str | None:
        """Returns the name of the tenant that holds a key; costs one look-up, however many tenants there are.

        >>> tables = {"RouteTable": [], "ServiceTable": [], "TenantTable": [{"Name": "t", "ApiKeys": ["k"]}]}
        >>> table = RoutingTable({"Revision": 1, **tables})
        >>> table.tenant_of_key("k"), table.tenant_of_key("")
        ('t', None)
        """
        return self._tenant_by_key.get(key)

    def allows_anonymous_jobs(self, host: str) -> bool:
        """Whether jobs of a host may be read without a key: one of its job routes needs none."""
        routes = self._routes_by_host.get(host.lower().rsplit(":", 1)[0], ())
        return any(route.allows_anonymous and route.kind in JOB_CLASSES for route in routes)

    def routes(self) -> list[Route]:
        """Returns all routes."""
        return [route for routes in self._routes_by_host.values() for route in routes]

    def live_services(self) -> set[str]:
        """Returns the services to which routes of live requests lead, those whose client waits for the answer."""
        return {
            service for route in self.routes() if route.kind not in JOB_CLASSES for service, _ in route.traffic_split
        }

    def service_by_model(self) -> dict[str, str]:
        """Returns the service that serves each model."""
        return {
            model["Name"]: name
            for name, service in self.services.items()
            for model in (service.get("Engine") or {}).get("ModelList") or []
        }
