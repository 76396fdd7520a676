"""Settings of a process: the JSON file that it reads at its start, checked field by field."""

from __future__ import annotations

import json
import os
import re
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ..exceptions import ArchhatchError
from .logs import JSON_FORMAT, TEXT_FORMAT, escape

DEFAULT_PATH = "/etc/archhatch/settings.json"
PATH_VARIABLE = "ARCHHATCH_CONFIG"  # environment variable that names another file

# Limits and durations (field "Bounds"), with the values for those that the file leaves out: the most conservative ones
# that still work. The suffix of a name is its unit.
DEFAULT_BOUNDS: dict[str, float | bool] = {
    "SeedLagS": 3,
    "ReuseHoldS": 2,
    "ContactMs": 3000,
    "AckTimeoutMs": 4000,
    "SyncS": 5,
    "DrainMs": 2000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConvergeMs": 2000,
    "RollbackSlackMs": 250,
    "StretchMaxMs": 5000,
    "RecoveryS": 12,
    "PassMs": 120,
    "FinishS": 10,
    "StatusS": 120,
    "CancelMs": 3000,
    "SettleMs": 1000,
    "QuotaOvershoot": 0.1,
    "Fencing": False,
    "LeaseMs": 3000,
    "ThawMs": 300,
    "StrictRevoke": False,
    "RevokeMs": 5000,
    "ReportWindowS": 5,
    "UsageError": 0.05,
    "UsageDelayS": 10,
    "RetryAfterS": 0,
}

MIN_KEY_BYTES = 16  # a shorter key of the notices' signature could be guessed
MAX_PORT = 65535
MAX_NUMBER = 10**15  # of any unit: what is calculated from it stays exact
MS_PER_S = 1000.0
WHOLE_FILE = "(file)"  # takes the place of the field in errors that concern the whole file

DEFAULT_HEARTBEAT_INTERVAL_MS = 1200.0
DEFAULT_SHARE_LOCK_S = 30.0
DEFAULT_SHARE_LOCKS = 200
DEFAULT_DUTIES_PER_S = 10.0
DEFAULT_MEMORY_MB = 256
DEFAULT_MAX_FDS = 1024
DEFAULT_DISK_MB = 0  # no limit
DEFAULT_TOLERATED = {"Machines": 1, "Zones": 0, "Regions": 0}


class SettingsError(ArchhatchError):
    """A settings file that cannot be used.

    Attributes:
        field: The field at fault, such as "Bounds.ContactMs", or "(file)".

    >>> str(SettingsError("NodeName", "is missing"))
    'settings: NodeName: is missing'
    """

    def __init__(self, name: str, why: str) -> None:
        super().__init__(f"settings: {name}: {why}")
        self.field = name


@dataclass(frozen=True)
class PlatformSettings:
    """The platform's interface for duties (field "CloudApi").

    Attributes:
        address: Its address as IP:PORT.
        duties: The names of the duties that it carries out.
        duty_per_s: Calls per second that it accepts from all nodes together.
    """

    address: str
    duties: frozenset[str]
    duty_per_s: float


@dataclass(frozen=True)
class Settings:
    """The checked settings of one process.

    Attributes:
        node_name: The machine's name, unique in the deployment.
        role: The program's role, as the platform names it.
        machine_class: The class of the machine.
        ip_address: The address at which other nodes reach this one.
        zone: The zone of the machine; empty if the deployment has none.
        zones: What the file says of each zone, by name.
        bindings: The address (IP:PORT) of each listener, by its name.
        internal_ports: The first and the last port for calls between nodes.
        seed_peers: Addresses (IP:PORT) of control nodes to ask first.
        is_bootstrap: Whether this node may found the first group of control nodes.
        data_dir: The folder of the write-ahead logs; None keeps nothing.
        heartbeat_interval_ms: How often a replica sends its heartbeat.
        memory_mb: Memory that the process may use.
        max_fds: File descriptors that the process may use.
        disk_mb: Disk space that the process may use; 0 for no limit.
        tolerated_machines: How many machines may fail at once without loss.
        tolerated_zones: How many zones may fail at once without loss.
        tolerated_regions: How many regions may fail at once without loss.
        bounds: Limits and durations by name; see DEFAULT_BOUNDS.
        share_lock_s: How long a worker may hold an entry of a share group before it is given out again.
        share_locks: How many entries of a share group may be held at once.
        notice_key: The key that signs notices; empty without one.
        platform_api: The platform's interface for duties; None without one.
        log_format: How log lines are written, TEXT_FORMAT or JSON_FORMAT.
    """

    node_name: str
    role: str
    machine_class: str
    ip_address: str
    zone: str
    zones: dict
    bindings: dict[str, str]
    internal_ports: tuple[int, ...]
    seed_peers: tuple[str, ...]
    is_bootstrap: bool
    data_dir: str | None
    heartbeat_interval_ms: float
    memory_mb: int
    max_fds: int
    disk_mb: int
    tolerated_machines: int
    tolerated_zones: int
    tolerated_regions: int
    bounds: dict[str, Any] = field(default_factory=dict)
    share_lock_s: float = DEFAULT_SHARE_LOCK_S
    share_locks: int = DEFAULT_SHARE_LOCKS
    notice_key: bytes = field(default=b"", repr=False)
    platform_api: PlatformSettings | None = None
    log_format: str = TEXT_FORMAT

    def seconds(self, name: str, ratio: float = 1.0) -> float:
        """Returns a duration among the bounds in seconds, times a ratio.

        >>> document = {"NodeName": "n", "IpAddress": "1.1.1.1", "InternalPorts": [1, 2], "Bounds": {"ContactMs": 3000}}
        >>> check_settings(document).seconds("ContactMs", 0.5)
        1.5
        """
        value = self.bounds[name]
        return (value / MS_PER_S if name.endswith("Ms") else float(value)) * ratio


def _required(document: dict, name: str, kind: type) -> Any:  # noqa: ANN401 - of the type `kind`
    """Returns the value of a field that must be there."""
    if name not in document:
        raise SettingsError(name, "is missing")
    return _checked(document[name], name, kind)


def _optional(document: dict, name: str, kind: type, default: Any = None) -> Any:  # noqa: ANN401 - of the type `kind`
    """Returns the value of a field, or the default if it is missing or null."""
    value = document.get(name)
    return default if value is None else _checked(value, name, kind)


def _checked(value: Any, name: str, kind: type) -> Any:  # noqa: ANN401 - any JSON value
    """Returns a value of the type `kind`; an integer is taken for a float, but a boolean never for a number."""
    if kind in (int, float):
        return _checked_number(value, name, kind)
    if not isinstance(value, kind):
        raise SettingsError(name, f"must be {kind.__name__}, not {type(value).__name__}")
    if isinstance(value, str) and value != escape(value):
        raise SettingsError(name, "must not have control characters")
    return value


def _checked_number(value: Any, name: str, kind: type) -> Any:  # noqa: ANN401 - of the type `kind`
    """Returns a number that can be calculated with."""
    kinds = (int, float) if kind is float else int
    if isinstance(value, bool) or not isinstance(value, kinds):
        raise SettingsError(name, f"must be {kind.__name__}, not {type(value).__name__}")
    if not -MAX_NUMBER <= value <= MAX_NUMBER:
        raise SettingsError(name, f"must be a number up to {MAX_NUMBER}")
    return kind(value)


def _checked_limit(limits: dict, name: str, default: int) -> int:
    """Returns a limit of the machine, rounded down."""
    given = limits.get(name)
    value = _checked(default if given is None else given, f"Limits.{name}", float)
    if value < 0:
        raise SettingsError(f"Limits.{name}", "must be a number that is not negative")
    return int(value)


def _positive(document: dict, name: str, kind: type, default: float) -> Any:  # noqa: ANN401 - of the type `kind`
    """Returns a number above 0, or the default if the field is missing."""
    value = _optional(document, name, kind, default)
    if not value > 0:
        raise SettingsError(name, "must be above 0")
    return value


def _read_key(document: dict, name: str) -> bytes:
    """Returns the key in the file that a field names, or nothing without the field."""
    path = _optional(document, name, str)
    if path is None:
        return b""
    try:
        key = Path(path).read_bytes().strip()
    except OSError as error:
        raise SettingsError(name, f"cannot be read: {error.strerror}: {path}") from error
    if len(key) < MIN_KEY_BYTES:
        raise SettingsError(name, f"must hold {MIN_KEY_BYTES} bytes at least")
    return key


def _checked_address(name: str, value: object) -> str:
    """Returns an address of the form IP:PORT."""
    if not isinstance(value, str) or not re.fullmatch(r"[^:\s]*:[0-9]{1,5}", value):
        raise SettingsError(name, f"must be IP:PORT, not {value!r}")
    if int(value.rsplit(":", 1)[1]) > MAX_PORT:
        raise SettingsError(name, f"must have a port up to {MAX_PORT}")
    return value


def _internal_ports(document: dict) -> tuple[int, ...]:
    """Returns the first and the last port for calls between nodes."""
    ports = _required(document, "InternalPorts", list)
    is_pair = len(ports) == 2 and all(type(port) is int and 0 < port <= MAX_PORT for port in ports)  # noqa: PLR2004 - a pair
    if not is_pair or ports[1] < ports[0] + 1:
        raise SettingsError("InternalPorts", "must be two rising port numbers")
    return tuple(ports)


def _tolerated_failures(document: dict) -> dict[str, int]:
    """Returns how many machines, zones and regions may fail at once without loss."""
    given = _optional(document, "FaultTolerance", dict, {})
    tolerated = {}
    for name, default in DEFAULT_TOLERATED.items():
        count = default if given.get(name) is None else given[name]
        if isinstance(count, bool) or not isinstance(count, int) or count < 0:
            raise SettingsError(f"FaultTolerance.{name}", "must be a whole number that is not negative")
        tolerated[name] = count
    return tolerated


def _platform_api(document: dict) -> PlatformSettings | None:
    """Returns the platform's interface, or None if the settings name none or no duties of it."""
    platform_api = _optional(document, "CloudApi", dict)
    if not platform_api or not platform_api.get("Duties"):
        return None
    duties = _required(platform_api, "Duties", list)
    if not all(isinstance(name, str) for name in duties):
        raise SettingsError("CloudApi.Duties", "must list names")
    duty_per_s = _optional(platform_api, "DutyPerS", float, DEFAULT_DUTIES_PER_S)
    if not duty_per_s > 0:
        raise SettingsError("CloudApi.DutyPerS", "must be above 0")
    address = _checked_address("CloudApi.Address", platform_api.get("Address"))
    return PlatformSettings(address, frozenset(duties), duty_per_s)


def _bounds(document: dict) -> dict[str, Any]:
    """Returns all bounds; names that this version does not know are ignored, so that one file serves two versions."""
    bounds = dict(DEFAULT_BOUNDS)
    for name, value in _optional(document, "Bounds", dict, {}).items():
        default = DEFAULT_BOUNDS.get(name)
        if default is None:
            continue
        if isinstance(default, bool):
            if not isinstance(value, bool):
                raise SettingsError(f"Bounds.{name}", "must be true or false")
        elif isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value <= MAX_NUMBER:
            raise SettingsError(f"Bounds.{name}", "must be a number that is not negative")
        bounds[name] = value
    return bounds


def check_settings(document: object) -> Settings:
    """Checks a decoded settings file.

    Args:
        document: The decoded JSON; fields that are not known are ignored.

    Returns:
        The settings, with defaults for optional fields.

    Raises:
        SettingsError: A field is missing or of no use.

    >>> check_settings({})
    Traceback (most recent call last):
    archhatch.runtime.settings.SettingsError: settings: InternalPorts: is missing
    """
    if not isinstance(document, dict):
        raise SettingsError(WHOLE_FILE, "must hold one JSON object")
    limits = _optional(document, "Limits", dict, {})
    internal_ports = _internal_ports(document)
    seed_peers = tuple(_checked_address("SeedPeers", peer) for peer in _optional(document, "SeedPeers", list, []))
    bindings = _optional(document, "Bindings", dict, {})
    bindings = {name: _checked_address(f"Bindings.{name}", address) for name, address in bindings.items()}
    tolerated = _tolerated_failures(document)
    heartbeat_interval_ms = _optional(document, "KeepaliveMs", float, DEFAULT_HEARTBEAT_INTERVAL_MS)
    if heartbeat_interval_ms <= 0:
        raise SettingsError("KeepaliveMs", "must be above 0")
    return Settings(
        node_name=_required(document, "NodeName", str),
        role=_optional(document, "Role", str, ""),
        machine_class=_optional(document, "MachineClass", str, ""),
        ip_address=_required(document, "IpAddress", str),
        zone=_optional(document, "Zone", str, ""),
        zones=_zones(document),
        bindings=bindings,
        internal_ports=internal_ports,
        seed_peers=seed_peers,
        is_bootstrap=_optional(document, "Bootstrap", bool, default=False),
        data_dir=_optional(document, "DataDir", str),
        heartbeat_interval_ms=heartbeat_interval_ms,
        memory_mb=_checked_limit(limits, "MemoryMb", DEFAULT_MEMORY_MB),
        max_fds=_checked_limit(limits, "MaxFds", DEFAULT_MAX_FDS),
        disk_mb=_checked_limit(limits, "DiskMb", DEFAULT_DISK_MB),
        tolerated_machines=tolerated["Machines"],
        tolerated_zones=tolerated["Zones"],
        tolerated_regions=tolerated["Regions"],
        bounds=_bounds(document),
        share_lock_s=_positive(document, "ShareLockS", float, DEFAULT_SHARE_LOCK_S),
        share_locks=_positive(document, "ShareLocks", int, DEFAULT_SHARE_LOCKS),
        notice_key=_read_key(document, "NoticeKeyFile"),
        platform_api=_platform_api(document),
        log_format=_log_format(document),
    )


def _zones(document: dict) -> dict[str, str]:
    """Returns the region of each zone."""
    zones = _optional(document, "Zones", dict, {})
    return {zone: _checked(region, f"Zones.{escape(zone)}", str) for zone, region in zones.items()}


def _log_format(document: dict) -> str:
    log_format = _optional(document, "LogFormat", str, TEXT_FORMAT)
    if log_format not in (TEXT_FORMAT, JSON_FORMAT):
        raise SettingsError("LogFormat", f"must be {TEXT_FORMAT} or {JSON_FORMAT}")
    return log_format


def read_settings(path: str | None = None) -> Settings:
    """Reads and checks a settings file.

    Args:
        path: The file; without one $ARCHHATCH_CONFIG, and without that DEFAULT_PATH.

    Raises:
        SettingsError: The file cannot be read, or a field of it is of no use.
    """
    path = path or os.environ.get(PATH_VARIABLE) or DEFAULT_PATH
    try:
        document = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise SettingsError(WHOLE_FILE, f"cannot be read: {error.strerror}: {path}") from error
    except (ValueError, RecursionError) as error:
        raise SettingsError(WHOLE_FILE, f"is not JSON: {error}") from error
    return check_settings(document)
