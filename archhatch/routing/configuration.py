"""The operator's configuration: the one strict reader of it, for the control nodes that check it and all that use it.

Fields that no reader here names are passed over; the document keeps them as they came.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ..exceptions import ArchhatchError
from ..runtime.message import InvalidFieldError, Message, wire
from ..runtime.schema import (
    MAX_DEPTH,
    boolean,
    integer,
    is_too_deep,
    list_of,
    nullable,
    number,
    object_of,
    one_of,
    read_message,
    text,
    whole_number,
)
from .routes import (
    DEFAULT_LATENCY_TARGET_MS,
    DEFAULT_MAX_ATTEMPTS,
    DEFAULT_MAX_QUEUE_S,
    DEFAULT_PRIORITY,
    DEFAULT_RESULT_DUE_MS,
    DEFAULT_TIMEOUT_MS,
    RouteClass,
)

# A tenant's name and a key each go into a header as they are.
TENANT_NAME = r"[\x21-\x7e]{1,128}"
TENANT_KEY = r"[\x21-\x7e]{1,512}"
# Names stand in log lines, headers and counters.
PRINTABLE = r"[^\x00-\x1f\x7f-\x9f\u2028\u2029]"
PATH_PREFIX = rf"/|/{PRINTABLE}*/"

MAX_REVISION = 2**53 - 1  # the largest integer that every JSON reader keeps exactly
MAX_DURATION_S = 366 * 86400
MAX_DURATION_MS = MAX_DURATION_S * 1000
MAX_ATTEMPTS = 1000
MAX_PRIORITY = 1000
MAX_WEIGHT = 1e9
MAX_COUNT = 10**9  # of connections, slots, replicas
MAX_QUANTITY = 1e15  # of tokens, bytes and what a machine can move
MAX_HEADER_BYTES = 1 << 20
MAX_BODY_BYTES = 1 << 40

_name = text(min_length=1, pattern=f"{PRINTABLE}+", why="must not have control characters")
_text = text(pattern=f"{PRINTABLE}*", why="must not have control characters")
_revision = integer(1, MAX_REVISION)
_path_prefix = text(pattern=PATH_PREFIX, why="must begin and end with /, without control characters")
_duration_ms = number(0, MAX_DURATION_MS)
_duration_s = number(0, MAX_DURATION_S)
_count = whole_number(0, MAX_COUNT)
_quantity = number(0, MAX_QUANTITY)


class InvalidConfigError(ArchhatchError):
    """An invalid configuration; says where and why."""


@dataclass(frozen=True, slots=True)
class WeightedService(Message):
    """One service of a route's TrafficSplit."""

    service: str = wire("Service", decode=_name)
    weight: float = wire("Weight", decode=number(0, MAX_WEIGHT))


@dataclass(frozen=True, slots=True)
class RouteEntry(Message):
    """An entry of the RouteTable."""

    name: str = wire("Name", decode=_name)
    host: str = wire("HostName", decode=_name)
    path_prefix: str = wire("PathPrefix", decode=_path_prefix)
    route_class: str = wire("RouteClass", decode=one_of([route_class.value for route_class in RouteClass]))
    timeout_ms: float = wire(
        "TimeoutMs", default=DEFAULT_TIMEOUT_MS, decode=number(0, MAX_DURATION_MS, excludes_minimum=True)
    )
    latency_target_ms: float = wire("TargetLatencyMs", default=DEFAULT_LATENCY_TARGET_MS, decode=_duration_ms)
    result_due_ms: float = wire("ResultDueMs", default=DEFAULT_RESULT_DUE_MS, decode=_duration_ms)
    max_queue_s: float = wire("MaxQueueS", default=DEFAULT_MAX_QUEUE_S, decode=_duration_s)
    max_attempts: int = wire("MaxAttempts", default=DEFAULT_MAX_ATTEMPTS, decode=whole_number(1, MAX_ATTEMPTS))
    priority: int = wire("Priority", default=DEFAULT_PRIORITY, decode=whole_number(-MAX_PRIORITY, MAX_PRIORITY))
    service: str | None = wire("Service", default=None, decode=_name)
    traffic_split: tuple[WeightedService, ...] = wire(
        "TrafficSplit", default=(), decode=list_of(object_of(WeightedService))
    )
    is_resumable: bool = wire("Resumable", default=False, decode=boolean)
    is_single_version: bool = wire("SingleVersion", default=False, decode=boolean)
    allows_anonymous: bool = wire("NoAuth", default=False, decode=boolean)
    has_session_affinity: bool = wire("SessionAffinity", default=False, decode=boolean)
    gap_target_ms: float | None = wire("GapTargetMs", default=None, decode=_duration_ms)

    def service_names(self) -> list[str | None]:
        """Returns the services that the route names; [None] if it names none."""
        return [part.service for part in self.traffic_split] or [self.service]


@dataclass(frozen=True, slots=True)
class ModelEntry(Message):
    """A model that a service's replicas have."""

    name: str = wire("Name", decode=_name)
    size_mb: float = wire("SizeMb", default=0.0, decode=_quantity)
    load_s: float = wire("LoadS", default=0.0, decode=_duration_s)
    adapter_count: int = wire("AdapterList", default=0, decode=_count)
    adapter_mb: float = wire("AdapterMb", default=0.0, decode=_quantity)


@dataclass(frozen=True, slots=True)
class EngineEntry(Message):
    """What a service's replicas are, where they run models."""

    slot_count: int = wire("SlotCount", default=0, decode=_count)
    kv_capacity: float = wire("KvCapacity", default=0.0, decode=_quantity)
    kv_token_bytes: float = wire("KvTokenBytes", default=0.0, decode=_quantity)
    link_mbps: float = wire("LinkMbps", default=0.0, decode=_quantity)
    stride: float = wire("Stride", default=0.0, decode=_quantity)
    models: tuple[ModelEntry, ...] = wire(
        "ModelList", default=(), decode=nullable(list_of(object_of(ModelEntry)), default=())
    )


@dataclass(frozen=True, slots=True)
class AutoscaleEntry(Message):
    """Between which numbers of replicas, in each zone, a service is kept."""

    min_count: int = wire("MinCount", decode=_count)
    max_count: int = wire("MaxCount", decode=_count)
    boot_s: float = wire("BootS", default=0.0, decode=_duration_s)


@dataclass(frozen=True, slots=True)
class ServiceEntry(Message):
    """An entry of the ServiceTable."""

    name: str = wire("Name", decode=_name)
    health_path: str = wire("HealthPath", default="", decode=_text)
    max_connections: int | None = wire("MaxConnections", default=None, decode=whole_number(1, MAX_COUNT))
    protocol: str = wire("Protocol", default="", decode=_text)
    uses_tls: bool = wire("TlsMode", default=False, decode=boolean)
    warmup_s: float = wire("WarmupS", default=0.0, decode=_duration_s)
    warmup_per_s: float = wire("WarmupPerS", default=0.0, decode=_quantity)
    engine: EngineEntry | None = wire("Engine", default=None, decode=nullable(object_of(EngineEntry), default=None))
    autoscale: AutoscaleEntry | None = wire(
        "Autoscale", default=None, decode=nullable(object_of(AutoscaleEntry), default=None)
    )

    def models(self) -> tuple[ModelEntry, ...]:
        """Returns the models that the service's replicas have."""
        return self.engine.models if self.engine is not None else ()


@dataclass(frozen=True, slots=True)
class TenantEntry(Message):
    """An entry of the TenantTable."""

    name: str = wire("Name", decode=text(pattern=TENANT_NAME, why="must be a name without spaces"))
    api_keys: tuple[str, ...] = wire("ApiKeys", decode=list_of(text(pattern=TENANT_KEY, why="is empty or no key")))
    priority: int = wire("Priority", default=DEFAULT_PRIORITY, decode=whole_number(-MAX_PRIORITY, MAX_PRIORITY))


@dataclass(frozen=True, slots=True)
class ClientLimits(Message):
    """The Limits: what an edge takes from a client. None leaves a limit to the server."""

    max_header_bytes: int | None = wire("MaxHeaderBytes", default=None, decode=whole_number(1, MAX_HEADER_BYTES))
    max_body_bytes: int | None = wire("MaxBodyBytes", default=None, decode=whole_number(0, MAX_BODY_BYTES))
    header_timeout_ms: float | None = wire("HeaderTimeoutMs", default=None, decode=number(1, MAX_DURATION_MS))
    idle_timeout_ms: float | None = wire("IdleTimeoutMs", default=None, decode=number(1, MAX_DURATION_MS))


@dataclass(frozen=True, slots=True)
class Configuration(Message):
    """A whole configuration."""

    revision: int = wire("Revision", decode=_revision)
    routes: tuple[RouteEntry, ...] = wire("RouteTable", decode=list_of(object_of(RouteEntry)))
    services: tuple[ServiceEntry, ...] = wire("ServiceTable", decode=list_of(object_of(ServiceEntry)))
    tenants: tuple[TenantEntry, ...] = wire("TenantTable", default=(), decode=list_of(object_of(TenantEntry)))
    limits: ClientLimits = wire("Limits", default=ClientLimits(), decode=object_of(ClientLimits))


def read_revision(document: dict) -> int:
    """Reads the revision of a configuration, or of a change to one, before the rest of it.

    Raises:
        InvalidConfigError: It is missing or wrong.
    """
    try:
        return _revision(document.get("Revision"))
    except InvalidFieldError as error:
        raise InvalidConfigError(str(error.within("Revision"))) from None


def check_depth(document: dict) -> None:
    """Checks that a configuration, or a change to one, is not nested deeper than records and messages can carry it.

    Raises:
        InvalidConfigError: It is; the message names the outermost field.
    """
    for name, value in document.items():
        if is_too_deep(value):
            raise InvalidConfigError(f"{name}: is nested more than {MAX_DEPTH} levels deep")


def read_configuration(document: object) -> Configuration:
    """Reads a configuration.

    >>> read_configuration({"Revision": "1"})
    Traceback (most recent call last):
    archhatch.routing.configuration.InvalidConfigError: Revision: must be a whole number from 1 to 9007199254740991

    Raises:
        InvalidConfigError: It is not valid; the message names the field and says why, and holds no key of a tenant.
    """
    if not isinstance(document, dict):
        raise InvalidConfigError("must be one JSON object")
    try:
        configuration = read_message(Configuration, document)
    except InvalidFieldError as error:
        raise InvalidConfigError(str(error)) from None
    errors = [
        *_tenant_errors(configuration.tenants),
        *_service_errors(configuration.services),
        *_route_errors(configuration.routes, {service.name for service in configuration.services}),
    ]
    if errors:
        raise InvalidConfigError("; ".join(errors))
    return configuration


def _tenant_errors(tenants: Iterable[TenantEntry]) -> Iterable[str]:
    """Finds tenants that share a name or a key. Messages name tenants, never keys."""
    owner_by_key: dict[str, str] = {}
    names: set[str] = set()
    for tenant in tenants:
        if tenant.name in names:
            yield f"TenantTable: tenant {tenant.name} stands twice"
        names.add(tenant.name)
        for key in tenant.api_keys:
            owner = owner_by_key.setdefault(key, tenant.name)
            if owner != tenant.name:
                yield f"TenantTable: tenants {owner} and {tenant.name} share a key"


def _service_errors(services: Iterable[ServiceEntry]) -> Iterable[str]:
    """Finds services that share a name, and ranges of replicas that are empty."""
    names: set[str] = set()
    for service in services:
        if service.name in names:
            yield f"ServiceTable: service {service.name} stands twice"
        names.add(service.name)
        scale = service.autoscale
        if scale is not None and scale.min_count > scale.max_count:
            yield f"ServiceTable: service {service.name}: Autoscale.MinCount is above MaxCount"


def _route_errors(routes: Iterable[RouteEntry], services: set[str]) -> Iterable[str]:
    """Finds routes without a known service, and those that share a place or a name."""
    places: set[tuple[str, str]] = set()
    names: set[str] = set()
    for route in routes:
        for service in route.service_names():
            if service is None:
                yield f"RouteTable: route {route.name}: Service: names no service"
            elif service not in services:
                yield f"RouteTable: route {route.name} names the unknown service {service}"
        if route.traffic_split and sum(part.weight for part in route.traffic_split) <= 0:
            yield f"RouteTable: route {route.name}: TrafficSplit: the weights sum to 0"
        place = (route.host.lower(), route.path_prefix)
        if place in places or route.name in names:
            yield f"RouteTable: route {route.name} stands twice"
        places.add(place)
        names.add(route.name)
