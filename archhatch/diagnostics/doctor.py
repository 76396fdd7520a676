"""The doctor: each check gives findings with numbered codes; nothing that it meets ends in a traceback."""

from __future__ import annotations

import os
import shutil
from dataclasses import asdict, dataclass

import orjson

from ..runtime import CODES, SettingsError, Counters, read_settings
from ..wal import generation_number, read_records
from ..rpc import CallError, ConnectionPool

CHECKS: list = []
FULL = 0.9  # of DiskMb: a disk this full is a fault


@dataclass(frozen=True)
class Finding:
    """One fault: its number, where it is, and what is wrong there."""

    code: int
    where: str
    what: str


def check(function):
    """Register a check: an async method that gives findings."""
    CHECKS.append(function)
    return function


def report(findings: list, as_json: bool) -> str:
    """The findings as lines, or as one JSON document.

    >>> report([], False)
    'sound: no fault found'
    """
    if as_json:
        return orjson.dumps(
            {"sound": not findings, "findings": [{**asdict(f), "says": CODES[f.code][1]} for f in findings]}
        ).decode()
    if not findings:
        return "sound: no fault found"
    return "\n".join(f"{f.code} {CODES[f.code][1]}: {f.where}: {f.what}" for f in findings)


class Doctor:
    """Runs all checks on a settings file.

    >>> # findings = await Doctor("settings.json").run()
    """

    def __init__(self, path: str | None, timeout_s: float = 1.0):
        self.path, self.seconds = path, timeout_s
        self.settings = None
        self.told: dict[str, dict] = {}

    async def run(self) -> list[Finding]:
        try:
            self.settings = read_settings(self.path)
        except SettingsError as e:
            return [Finding(6001, e.field, str(e))]
        found: list[Finding] = []
        for function in CHECKS:
            found += await function(self)
        return found

    @check
    async def _settings(self) -> list:
        settings, out = self.settings, []
        for name, address in settings.bindings.items():
            if address.rsplit(":", 1)[0] not in (settings.ip_address, "0.0.0.0"):
                out.append(
                    Finding(6002, f"Bindings.{name}", f"{address} is not on this machine ({settings.ip_address})")
                )
            if settings.internal_ports[0] <= int(address.rsplit(":", 1)[1]) <= settings.internal_ports[1]:
                out.append(Finding(6002, f"Bindings.{name}", f"{address} lies within InternalPorts"))
        if not settings.seed_peers:
            out.append(Finding(6003, "SeedPeers", "is empty: this node finds nobody"))
        if len(set(settings.seed_peers)) < len(settings.seed_peers):
            out.append(Finding(6003, "SeedPeers", "names one address twice"))
        if settings.machine_class in ("core", "storage") and not settings.data_dir:
            out.append(
                Finding(
                    6008,
                    "DataDir",
                    f"is missing on a {settings.machine_class} machine: nothing would outlive a restart",
                )
            )
        if settings.seconds("ConvergeMs") < settings.seconds("ContactMs", 1 / 3):
            out.append(Finding(6002, "Bounds.ConvergeMs", "is under a third of ContactMs: news may come too late"))
        return out

    @check
    async def _disk(self) -> list:
        settings, out = self.settings, []
        if not settings.data_dir:
            return out
        if not os.path.isdir(settings.data_dir):
            return [Finding(6008, settings.data_dir, "is no folder")]
        if not os.access(settings.data_dir, os.W_OK):
            out.append(Finding(6008, settings.data_dir, "cannot be written"))
        try:
            names = os.listdir(settings.data_dir)
            used = sum(os.path.getsize(os.path.join(settings.data_dir, n)) for n in names)
            free = shutil.disk_usage(settings.data_dir).free
        except OSError as e:
            return out + [Finding(6008, settings.data_dir, str(e))]
        if settings.disk_mb and used > settings.disk_mb * 1e6 * FULL:
            out.append(Finding(6007, settings.data_dir, f"{used / 1e6:.0f} of {settings.disk_mb} MB are used"))
        elif free < 1e6:
            out.append(Finding(6007, settings.data_dir, f"{free} bytes are free"))
        for name in sorted(names):
            out += self._book(os.path.join(settings.data_dir, name), name)
        return out

    def _book(self, path: str, name: str) -> list:
        if name.endswith(".damaged"):
            return [Finding(6006, path, "a damaged write-ahead log was set aside here")]
        if all(generation_number(name, base) is None for base in ("core", "store")):
            return []
        try:
            with open(path, "rb") as f:
                data = f.read()
        except OSError as e:
            return [Finding(6006, path, str(e))]
        records, end, behind = read_records(data)
        if behind:
            return [Finding(6006, path, f"damage at byte {end}, good records behind it")]
        if end < len(data):
            return [
                Finding(6006, path, f"{len(data) - end} torn bytes behind record {len(records)}; cut at the next start")
            ]
        return []

    @check
    async def _seeds(self) -> list:
        out, lines = [], ConnectionPool(Counters())
        for seed in self.settings.seed_peers:
            address = f"{seed.rsplit(':', 1)[0]}:{self.settings.internal_ports[0]}"
            try:
                code, doc, _ = await lines.to(address).call("fitness", {}, timeout_s=self.seconds)
                if code != 1000:
                    out.append(Finding(6004, address, f"answers with code {code}"))
                else:
                    self.told[address] = doc
            except CallError as e:
                out.append(Finding(6004, address, str(e)))
        lines.end()
        return out

    @check
    async def _agreement(self) -> list:
        out = []
        for address, doc in self.told.items():
            if not doc["in_touch"]:
                out.append(Finding(6005, address, f"reaches {doc['up']} of {doc['voters']} voters"))
            if doc["damaged"]:
                out.append(Finding(6006, address, "its write-ahead log was damaged when it started"))
        for part in sorted({p for d in self.told.values() for p in d["stamps"]}):
            seen = {a: d["stamps"].get(part, 0) for a, d in self.told.items()}
            if len(set(seen.values())) > 1:
                out.append(Finding(6010, part, ", ".join(f"{a} has {n}" for a, n in sorted(seen.items()))))
        return out

    @check
    async def _replicas(self) -> list:
        quiet: dict = {}
        for doc in self.told.values():
            for rid, age in doc["silent"].items():
                quiet[rid] = min(age, quiet.get(rid, age))
        return [
            Finding(6009, rid, f"no beat for {age:.1f} s")
            for rid, age in sorted(quiet.items())
            if all(rid in d["silent"] for d in self.told.values())
        ]
