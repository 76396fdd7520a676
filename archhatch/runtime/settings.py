"""Boot settings: the JSON file a process is told at its start, checked field by field."""

from __future__ import annotations

import json
import os
from dataclasses import dataclass, field

DEFAULT_PATH = "/etc/archhatch/settings.json"

# Bounds that a settings file may leave out; the values are the gentlest that still work.
BOUNDS = {
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


LEAST_KEY_BYTES = 16


class SettingsError(Exception):
    """A settings file that cannot be used; names the field.

    >>> str(SettingsError("NodeName", "is missing"))
    'settings: NodeName: is missing'
    """

    def __init__(self, name: str, why: str):
        super().__init__(f"settings: {name}: {why}")
        self.field = name


@dataclass(frozen=True)
class PlatformSettings:
    """The platform's interface for duties, as the settings give it."""

    address: str  # IP:PORT
    duties: frozenset  # the names of the duties that it takes
    duty_per_s: float  # calls a second that it accepts over all nodes


@dataclass(frozen=True)
class Settings:
    node_name: str
    role: str
    machine_class: str
    ip_address: str
    zone: str
    zones: dict
    bindings: dict
    internal_ports: tuple
    seed_peers: tuple
    is_bootstrap: bool
    data_dir: str | None
    heartbeat_interval_ms: float
    memory_mb: int
    max_fds: int
    disk_mb: int
    tolerated_machines: int
    tolerated_zones: int
    tolerated_regions: int
    bounds: dict = field(default_factory=dict)
    share_lock_s: float = 30.0
    share_locks: int = 200
    notice_key: bytes = field(default=b"", repr=False)
    platform_api: PlatformSettings | None = None

    def seconds(self, name: str, ratio: float = 1.0) -> float:
        """A bound in seconds, scaled.

        >>> # Settings with ContactMs 3000: settings.seconds("ContactMs", 0.5) == 1.5
        """
        value = self.bounds[name]
        return (value / 1000.0 if name.endswith("Ms") else float(value)) * ratio


def _want(doc: dict, name: str, kind, default=None, must: bool = True):
    if name not in doc:
        if must:
            raise SettingsError(name, "is missing")
        return default
    value = doc[name]
    if value is None and not must:
        return default
    if kind is float and isinstance(value, int) and not isinstance(value, bool):
        value = float(value)
    if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        raise SettingsError(name, f"must be {kind.__name__}, not {type(value).__name__}")
    return value


def _above(doc: dict, name: str, kind, default):
    value = _want(doc, name, kind, default, must=False)
    if not value > 0:
        raise SettingsError(name, "must be above 0")
    return value


def _key(doc: dict, name: str) -> bytes:
    """The key in the file that a field names; none without the field."""
    path = _want(doc, name, str, None, must=False)
    if path is None:
        return b""
    try:
        with open(path, "rb") as f:
            key = f.read().strip()
    except OSError as e:
        raise SettingsError(name, f"cannot be read: {e.strerror}: {path}") from e
    if len(key) < LEAST_KEY_BYTES:
        raise SettingsError(name, f"must hold {LEAST_KEY_BYTES} bytes at least")
    return key


def _addr(name: str, value) -> str:
    if not isinstance(value, str) or value.count(":") != 1 or not value.rsplit(":", 1)[1].isdigit():
        raise SettingsError(name, f"must be IP:PORT, not {value!r}")
    return value


def _cloud(doc: dict) -> PlatformSettings | None:
    """The platform's interface; None where the settings name none."""
    platform_api = _want(doc, "CloudApi", dict, None, must=False)
    if not platform_api or not platform_api.get("Duties"):
        return None
    duties = _want(platform_api, "Duties", list)
    if not all(isinstance(name, str) for name in duties):
        raise SettingsError("CloudApi.Duties", "must list names")
    rate = _want(platform_api, "DutyPerS", float, 10.0, must=False)
    if not rate > 0:
        raise SettingsError("CloudApi.DutyPerS", "must be above 0")
    return PlatformSettings(_addr("CloudApi.Address", platform_api.get("Address")), frozenset(duties), rate)


def _bounds(doc: dict) -> dict:
    out = dict(BOUNDS)
    for name, value in _want(doc, "Bounds", dict, {}, must=False).items():
        known = BOUNDS.get(name)
        if known is None:
            continue
        if isinstance(known, bool):
            if not isinstance(value, bool):
                raise SettingsError(f"Bounds.{name}", "must be true or false")
        elif isinstance(value, bool) or not isinstance(value, (int, float)) or value < 0:
            raise SettingsError(f"Bounds.{name}", "must be a number that is not negative")
        out[name] = value
    return out


def check_settings(doc: object) -> Settings:
    """Turn a decoded settings document into a Boot, or raise a SettingsError that names the field.

    >>> check_settings({})
    Traceback (most recent call last):
    archhatch.runtime.settings.SettingsError: settings: InternalPorts: is missing
    """
    if not isinstance(doc, dict):
        raise SettingsError("(file)", "must hold one JSON object")
    lim = _want(doc, "Limits", dict, {}, must=False)
    ports = _want(doc, "InternalPorts", list)
    if len(ports) != 2 or not all(isinstance(p, int) and 0 < p < 65536 for p in ports) or ports[1] < ports[0] + 1:
        raise SettingsError("InternalPorts", "must be two rising port numbers")
    seeds = tuple(_addr("SeedPeers", s) for s in _want(doc, "SeedPeers", list, [], must=False))
    bindings = {k: _addr(f"Bindings.{k}", v) for k, v in _want(doc, "Bindings", dict, {}, must=False).items()}
    tol = _want(doc, "FaultTolerance", dict, {}, must=False)
    tolerate = {}
    for name, default in (("Machines", 1), ("Zones", 0), ("Regions", 0)):
        tolerate[name] = default if tol.get(name) is None else tol[name]
        if isinstance(tolerate[name], bool) or not isinstance(tolerate[name], int) or tolerate[name] < 0:
            raise SettingsError(f"FaultTolerance.{name}", "must be a whole number that is not negative")
    beat = _want(doc, "KeepaliveMs", float, 1200.0, must=False)
    if beat <= 0:
        raise SettingsError("KeepaliveMs", "must be above 0")
    return Settings(
        node_name=_want(doc, "NodeName", str),
        role=_want(doc, "Role", str, "", must=False),
        machine_class=_want(doc, "MachineClass", str, "", must=False),
        ip_address=_want(doc, "IpAddress", str),
        zone=_want(doc, "Zone", str, "", must=False),
        zones=_want(doc, "Zones", dict, {}, must=False),
        bindings=bindings,
        internal_ports=tuple(ports),
        seed_peers=seeds,
        is_bootstrap=_want(doc, "Bootstrap", bool, False, must=False),
        data_dir=_want(doc, "DataDir", str, None, must=False),
        heartbeat_interval_ms=beat,
        memory_mb=int(lim.get("MemoryMb", 256)),
        max_fds=int(lim.get("MaxFds", 1024)),
        disk_mb=int(lim.get("DiskMb", 0)),
        tolerated_machines=tolerate["Machines"],
        tolerated_zones=tolerate["Zones"],
        tolerated_regions=tolerate["Regions"],
        bounds=_bounds(doc),
        share_lock_s=_above(doc, "ShareLockS", float, 30.0),
        share_locks=_above(doc, "ShareLocks", int, 200),
        notice_key=_key(doc, "NoticeKeyFile"),
        platform_api=_cloud(doc),
    )


def read_settings(path: str | None = None) -> Settings:
    """Read and check the settings file at path, at $ARCHHATCH_CONFIG, or at its usual place."""
    path = path or os.environ.get("ARCHHATCH_CONFIG") or DEFAULT_PATH
    try:
        with open(path, "rb") as f:
            doc = json.loads(f.read())
    except OSError as e:
        raise SettingsError("(file)", f"cannot be read: {e.strerror}: {path}") from e
    except ValueError as e:
        raise SettingsError("(file)", f"is not JSON: {e}") from e
    return check_settings(doc)
