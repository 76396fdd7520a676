"""A configuration, made ready for look-ups."""

from __future__ import annotations

from .configuration import ClientLimits, Configuration, ServiceEntry, read_configuration
from .routes import JOB_CLASSES, Route


class RoutingTable:
    """Finds the route of a request, and the tenant of a key.

    >>> table = RoutingTable.from_document({"Revision": 1, "RouteTable": [], "ServiceTable": []})
    >>> table.find_route("a", "/b") is None, table.routes(), table.live_services(), table.service_by_model()
    (True, [], set(), {})

    Attributes:
        revision: The configuration's revision; a newer one has a higher one.
        limits: What the configuration lets clients send.
        services: The entries of its ServiceTable by name.
        has_tenants: Whether requests need an API key.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.revision = configuration.revision
        self.limits: ClientLimits = configuration.limits
        self.services: dict[str, ServiceEntry] = {service.name: service for service in configuration.services}
        self.has_tenants = bool(configuration.tenants)
        self._tenant_by_key = {key: tenant.name for tenant in configuration.tenants for key in tenant.api_keys}
        self._routes_by_host: dict[str, list[Route]] = {}
        for entry in configuration.routes:
            route = Route.from_entry(entry)
            self._routes_by_host.setdefault(route.host, []).append(route)
        for routes in self._routes_by_host.values():
            routes.sort(key=lambda route: -len(route.prefix))

    @classmethod
    def from_document(cls, document: object) -> RoutingTable:
        """Reads a configuration and makes its table.

        Raises:
            InvalidConfigError: It is not valid.
        """
        return cls(read_configuration(document))

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route of a host and path: the longest prefix wins."""
        return next((route for route in self._routes_of_host(host) if path.startswith(route.prefix)), None)

    def _routes_of_host(self, host: str) -> list[Route]:
        """Returns the routes of a host, with or without its port; the longest prefix first."""
        host = host.lower()
        routes = self._routes_by_host.get(host)
        if routes is None and ":" in host:
            routes = self._routes_by_host.get(host.rsplit(":", 1)[0])
        return routes or []

    def has_job_calls(self, host: str, path: str) -> bool:
        """Whether a path of the calls about jobs stands for such a call on a host.

        It does where the host has a route of jobs, also if the prefix of another route covers it, and where no route
        covers it: a job outlives its route. On other hosts it belongs to the route.
        """
        if any(route.kind in JOB_CLASSES for route in self._routes_of_host(host)):
            return True
        return self.find_route(host, path) is None

    def tenant_of_key(self, key: str) -> str | None:
        """Returns the name of the tenant that holds a key; costs one look-up, however many tenants there are.

        >>> tables = {"RouteTable": [], "ServiceTable": [], "TenantTable": [{"Name": "t", "ApiKeys": ["k"]}]}
        >>> table = RoutingTable.from_document({"Revision": 1, **tables})
        >>> table.tenant_of_key("k"), table.tenant_of_key("")
        ('t', None)
        """
        return self._tenant_by_key.get(key)

    def allows_anonymous_jobs(self, host: str) -> bool:
        """Whether jobs of a host may be read without a key: one of its job routes needs none."""
        return any(route.allows_anonymous and route.kind in JOB_CLASSES for route in self._routes_of_host(host))

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
        return {model.name: name for name, service in self.services.items() for model in service.models()}
