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


def check(fn):
    """Register a check: an async method that gives findings."""
    CHECKS.append(fn)
    return fn


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

    def __init__(self, path: str | None, secs: float = 1.0):
        self.path, self.secs = path, secs
        self.boot = None
        self.told: dict[str, dict] = {}

    async def run(self) -> list[Finding]:
        try:
            self.boot = read_settings(self.path)
        except SettingsError as e:
            return [Finding(6001, e.field, str(e))]
        found: list[Finding] = []
        for fn in CHECKS:
            found += await fn(self)
        return found

    @check
    async def _settings(self) -> list:
        boot, out = self.boot, []
        for name, addr in boot.listen.items():
            if addr.rsplit(":", 1)[0] not in (boot.ip, "0.0.0.0"):
                out.append(Finding(6002, f"Bindings.{name}", f"{addr} is not on this machine ({boot.ip})"))
            if boot.ports[0] <= int(addr.rsplit(":", 1)[1]) <= boot.ports[1]:
                out.append(Finding(6002, f"Bindings.{name}", f"{addr} lies within InternalPorts"))
        if not boot.seeds:
            out.append(Finding(6003, "SeedPeers", "is empty: this node finds nobody"))
        if len(set(boot.seeds)) < len(boot.seeds):
            out.append(Finding(6003, "SeedPeers", "names one address twice"))
        if boot.klass in ("core", "storage") and not boot.data_dir:
            out.append(
                Finding(6008, "DataDir", f"is missing on a {boot.klass} machine: nothing would outlive a restart")
            )
        if boot.secs("ConvergeMs") < boot.secs("ContactMs", 1 / 3):
            out.append(Finding(6002, "Bounds.ConvergeMs", "is under a third of ContactMs: news may come too late"))
        return out

    @check
    async def _disk(self) -> list:
        boot, out = self.boot, []
        if not boot.data_dir:
            return out
        if not os.path.isdir(boot.data_dir):
            return [Finding(6008, boot.data_dir, "is no folder")]
        if not os.access(boot.data_dir, os.W_OK):
            out.append(Finding(6008, boot.data_dir, "cannot be written"))
        try:
            names = os.listdir(boot.data_dir)
            used = sum(os.path.getsize(os.path.join(boot.data_dir, n)) for n in names)
            free = shutil.disk_usage(boot.data_dir).free
        except OSError as e:
            return out + [Finding(6008, boot.data_dir, str(e))]
        if boot.disk_mb and used > boot.disk_mb * 1e6 * FULL:
            out.append(Finding(6007, boot.data_dir, f"{used / 1e6:.0f} of {boot.disk_mb} MB are used"))
        elif free < 1e6:
            out.append(Finding(6007, boot.data_dir, f"{free} bytes are free"))
        for name in sorted(names):
            out += self._book(os.path.join(boot.data_dir, name), name)
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
        recs, end, behind = read_records(data)
        if behind:
            return [Finding(6006, path, f"damage at byte {end}, good records behind it")]
        if end < len(data):
            return [
                Finding(6006, path, f"{len(data) - end} torn bytes behind record {len(recs)}; cut at the next start")
            ]
        return []

    @check
    async def _seeds(self) -> list:
        out, lines = [], ConnectionPool(Counters())
        for seed in self.boot.seeds:
            addr = f"{seed.rsplit(':', 1)[0]}:{self.boot.ports[0]}"
            try:
                code, doc, _ = await lines.to(addr).call("fitness", {}, secs=self.secs)
                if code != 1000:
                    out.append(Finding(6004, addr, f"answers with code {code}"))
                else:
                    self.told[addr] = doc
            except CallError as e:
                out.append(Finding(6004, addr, str(e)))
        lines.end()
        return out

    @check
    async def _agreement(self) -> list:
        out = []
        for addr, doc in self.told.items():
            if not doc["in_touch"]:
                out.append(Finding(6005, addr, f"reaches {doc['up']} of {doc['voters']} voters"))
            if doc["damaged"]:
                out.append(Finding(6006, addr, "its write-ahead log was damaged when it started"))
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
