"""Import of nginx's configuration files (parsed by crossplane) into a checked operator configuration."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NotRequired, TypedDict

import crossplane

from ..exceptions import ArchhatchError
from ..routing import InvalidConfigError, read_configuration
from ..runtime.message import Message, wire
from .nginx_values import parse_duration_ms, parse_size_bytes

HEALTH_PATH = "/health"  # nginx's files name none
DEFAULT_TIMEOUT_MS = 60_000  # nginx's own default of proxy_read_timeout
DEFAULT_PRIORITY = 5  # the same for all routes, as nginx's files name none

# The field of "Limits" that a directive becomes, and how its value is read.
LIMIT_DIRECTIVES: dict[str, tuple[str, Callable[[str], int]]] = {
    "client_max_body_size": ("MaxBodyBytes", parse_size_bytes),
    "client_header_timeout": ("HeaderTimeoutMs", parse_duration_ms),
    "keepalive_timeout": ("IdleTimeoutMs", parse_duration_ms),
}
# Directives that say nothing about routes: they are passed over without a note.
IGNORED_DIRECTIVES = {
    "listen",
    "http",
    "server",
    "events",
    "worker_processes",
    "worker_connections",
    "include",
    "types",
    "error_log",
    "access_log",
    "pid",
    "user",
    "location",
    "upstream",
    "server_name",
}
NOT_IMPORTED = "is not carried over"


class ConfigImportError(ArchhatchError):
    """A file of which nothing can be imported."""


class Directive(TypedDict):
    """A directive as crossplane gives it; `block` is there if it has one, `file` if files were combined."""

    directive: str
    line: int
    args: list[str]
    file: NotRequired[str]
    block: NotRequired[list[Directive]]


@dataclass(frozen=True, slots=True)
class ImportedService(Message):
    """An entry of "ServiceTable": an upstream of the file."""

    name: str = wire("Name")
    health_path: str = wire("HealthPath")


@dataclass(frozen=True, slots=True)
class ImportedRoute(Message):
    """An entry of "RouteTable": a location of the file for one host."""

    name: str = wire("Name")
    host_name: str = wire("HostName")
    path_prefix: str = wire("PathPrefix")
    priority: int = wire("Priority")
    target_latency_ms: int = wire("TargetLatencyMs")
    route_class: str = wire("RouteClass")
    timeout_ms: int = wire("TimeoutMs")
    max_attempts: int = wire("MaxAttempts")
    service: str = wire("Service")


@dataclass(slots=True)
class _LocationOptions:
    """What the directives within a location say; the defaults hold for those that it lacks."""

    service: str | None = None
    timeout_ms: int = DEFAULT_TIMEOUT_MS
    max_attempts: int = 1
    route_class: str = "non_idempotent"


class Importer:
    """Reads one file and what it includes.

    >>> try:
    ...     Importer("/nowhere/nginx.conf").read(revision=1)
    ... except ConfigImportError as error:
    ...     print(str(error).partition(" [")[0])
    /nowhere/nginx.conf:0:

    Attributes:
        path: The file.
        notes: What could not be imported, each with file and line.
    """

    def __init__(self, path: str) -> None:
        self.path = path
        self.notes: list[str] = []
        self._services: dict[str, ImportedService] = {}
        self._routes: dict[tuple[str, str], ImportedRoute] = {}  # by host in lower case and path prefix
        self._limits: dict[str, int] = {}

    def read(self, revision: int) -> tuple[dict, list[str]]:
        """Reads the file.

        Args:
            revision: The Revision of the new configuration.

        Returns:
            The checked configuration, and a note for each thing that could not be imported.

        Raises:
            ConfigImportError: The file cannot be parsed, or no valid configuration comes out of it.
        """
        directives = self._parse()
        # Upstreams first: a location may stand before the upstream that it names.
        self._visit(directives, self._import_upstream)
        self._visit(directives, self._import_server)
        if not self._routes:
            raise ConfigImportError(f"{self.path}: no route could be carried over")
        config = {
            "Revision": revision,
            "RouteTable": [route.to_document() for route in self._routes.values()],
            "ServiceTable": [service.to_document() for service in self._services.values()],
        }
        if self._limits:
            config["Limits"] = self._limits
        try:
            read_configuration(config)
        except InvalidConfigError as error:
            raise ConfigImportError(f"{self.path}: {error}") from error
        return config, self.notes

    def _parse(self) -> list[Directive]:
        try:
            parsed = crossplane.parse(self.path, combine=True, check_ctx=False, check_args=False)
        except OSError as error:
            raise ConfigImportError(f"{self.path}: {error.strerror}") from error
        if parsed["errors"]:
            first = parsed["errors"][0]
            where = f"{first.get('file', self.path)}:{first.get('line') or 0}"
            raise ConfigImportError(f"{where}: {first['error']}")
        return parsed["config"][0]["parsed"]

    def _visit(self, directives: Iterable[Directive], visit: Callable[[Directive], None]) -> None:
        """Calls `visit` with each directive of the file and of its http blocks."""
        for directive in directives:
            visit(directive)
            if directive["directive"] == "http":
                self._visit(directive["block"], visit)

    def _note(self, directive: Directive, why: str) -> None:
        where = f"{directive.get('file', self.path)}:{directive['line']}"
        self.notes.append(f"{where}: {directive['directive']}: {why}")

    def _import_upstream(self, directive: Directive) -> None:
        if directive["directive"] != "upstream":
            return
        name = directive["args"][0]
        self._services[name] = ImportedService(name, HEALTH_PATH)
        for inner in directive["block"]:
            if inner["directive"] == "server":
                self._note(inner, "replicas register themselves; this address is not carried over")
            else:
                self._note(inner, NOT_IMPORTED)

    def _import_server(self, directive: Directive) -> None:
        is_server_block = directive["directive"] == "server" and "block" in directive
        if not is_server_block:
            self._import_common(directive)
            return
        hosts = self._read_hosts(directive)
        for inner in directive["block"]:
            if inner["directive"] == "location":
                self._import_location(inner, hosts)
            else:
                self._import_common(inner)

    def _import_common(self, directive: Directive) -> None:
        """Imports a directive that may stand in any block: a limit, or one to pass over or to note."""
        name = directive["directive"]
        if name in LIMIT_DIRECTIVES:
            self._import_limit(directive)
        elif name not in IGNORED_DIRECTIVES:
            self._note(directive, NOT_IMPORTED)

    def _import_limit(self, directive: Directive) -> None:
        field, parse = LIMIT_DIRECTIVES[directive["directive"]]
        text = directive["args"][0]
        value = parse(text)
        if value:
            self._limits[field] = value
        else:
            self._note(directive, f"{text} is no limit here")

    def _read_hosts(self, server: Directive) -> list[str]:
        """The host names of a server; wildcards and patterns are left out with a note."""
        names = [name for inner in server["block"] if inner["directive"] == "server_name" for name in inner["args"]]
        hosts = [name for name in names if re.fullmatch(r"[A-Za-z0-9.-]+", name)]
        if len(hosts) < len(names) or not names:
            self._note(server, "only plain names of hosts are carried over")
        return hosts

    def _import_location(self, location: Directive, hosts: list[str]) -> None:
        args = [arg for arg in location["args"] if arg != "^~"]
        if len(args) != 1 or not (args[0].startswith("/") and args[0].endswith("/")):
            self._note(location, f"{' '.join(location['args'])} is no prefix between slashes")
            return
        options = _LocationOptions()
        for directive in location["block"]:
            self._read_option(directive, options)
        if options.service is None:
            self._note(location, "leads to no service")
            return
        for host in hosts:
            self._add_route(location, host, args[0], options.service, options)

    def _read_option(self, directive: Directive, options: _LocationOptions) -> None:
        name = directive["directive"]
        values = directive["args"]
        if name == "proxy_pass":
            self._read_service(directive, options)
        elif name == "proxy_read_timeout":
            options.timeout_ms = parse_duration_ms(values[0]) or options.timeout_ms
        elif name == "proxy_next_upstream_tries" and values[0].isdigit() and int(values[0]):
            options.max_attempts = int(values[0])
        elif name == "proxy_next_upstream" and "non_idempotent" in values:
            options.route_class = "idempotent"
        else:
            self._note(directive, NOT_IMPORTED)

    def _read_service(self, proxy_pass: Directive, options: _LocationOptions) -> None:
        url = proxy_pass["args"][0]
        match = re.fullmatch(r"http://([^/:]+)/?", url)
        if match is None or match.group(1) not in self._services:
            self._note(proxy_pass, f"{url} names no upstream of this file")
        elif url.endswith("/"):
            self._note(proxy_pass, "changes paths, which are passed on unaltered here")
        else:
            options.service = match.group(1)

    def _add_route(
        self, location: Directive, host: str, path_prefix: str, service: str, options: _LocationOptions
    ) -> None:
        key = host.lower(), path_prefix
        if key in self._routes:
            self._note(location, f"{host}{path_prefix} stands twice; the first is kept")
            return
        self._routes[key] = ImportedRoute(
            name=f"{host}{path_prefix}",
            host_name=host,
            path_prefix=path_prefix,
            priority=DEFAULT_PRIORITY,
            target_latency_ms=options.timeout_ms,
            route_class=options.route_class,
            timeout_ms=options.timeout_ms,
            max_attempts=options.max_attempts,
            service=service,
        )
