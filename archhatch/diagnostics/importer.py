"""Import of nginx's configuration files (parsed by crossplane) into a checked operator configuration."""

from __future__ import annotations

import re

import crossplane

from ..routing.schemas import InvalidConfigError, check_config

UNITS = {"ms": 1, "": 1000, "s": 1000, "m": 60_000, "h": 3_600_000}
SIZES = {"": 1, "k": 1 << 10, "m": 1 << 20, "g": 1 << 30}
LIMITS = {
    "client_max_body_size": ("MaxBodyBytes", "size"),
    "client_header_timeout": ("HeaderTimeoutMs", "time"),
    "keepalive_timeout": ("IdleTimeoutMs", "time"),
}
# what says nothing about routes, and needs no word
QUIET = {
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


class ConfigImportError(Exception):
    """A file that cannot be carried over at all."""


class Importer:
    """Reads one file (and what it includes).

    >>> # plan, notes = Importer("nginx.conf").read(revision=1)
    """

    def __init__(self, path: str):
        self.path = path
        self.notes: list[str] = []
        self.services: dict[str, dict] = {}
        self.routes: dict[tuple, dict] = {}
        self.limits: dict = {}

    def read(self, revision: int) -> tuple[dict, list[str]]:
        """The configuration, and a note for each thing that could not be carried over, by file and line."""
        try:
            doc = crossplane.parse(self.path, combine=True, check_ctx=False, check_args=False)
        except OSError as e:
            raise ConfigImportError(f"{self.path}: {e.strerror}") from e
        if doc["errors"]:
            bad = doc["errors"][0]
            raise ConfigImportError(f"{bad.get('file', self.path)}:{bad.get('line') or 0}: {bad['error']}")
        rows = doc["config"][0]["parsed"]
        self._walk(rows, self._upstream)
        self._walk(rows, self._server)
        if not self.routes:
            raise ConfigImportError(f"{self.path}: no route could be carried over")
        plan = {
            "Revision": revision,
            "RouteTable": list(self.routes.values()),
            "ServiceTable": list(self.services.values()),
        }
        if self.limits:
            plan["Limits"] = self.limits
        try:
            return check_config(plan), self.notes
        except InvalidConfigError as e:
            raise ConfigImportError(f"{self.path}: {e}") from e

    def _walk(self, rows, function) -> None:
        for row in rows:
            function(row)
            if row["directive"] == "http":
                self._walk(row["block"], function)

    def _note(self, row, why: str) -> None:
        self.notes.append(f"{row.get('file', self.path)}:{row['line']}: {row['directive']}: {why}")

    def _upstream(self, row) -> None:
        if row["directive"] != "upstream":
            return
        self.services[row["args"][0]] = {"Name": row["args"][0], "HealthPath": "/health"}
        for sub in row["block"]:
            if sub["directive"] == "server":
                self._note(sub, "replicas register themselves; this address is not carried over")
            else:
                self._note(sub, "is not carried over")

    def _server(self, row) -> None:
        name = row["directive"]
        if name in LIMITS:
            self._limit(row)
        elif name != "server" or "block" not in row:
            if name not in QUIET:
                self._note(row, "is not carried over")
        else:
            hosts = [a for sub in row["block"] if sub["directive"] == "server_name" for a in sub["args"]]
            good = [h for h in hosts if re.fullmatch(r"[A-Za-z0-9.-]+", h)]
            if len(good) < len(hosts) or not hosts:
                self._note(row, "only plain names of hosts are carried over")
            for sub in row["block"]:
                if sub["directive"] == "location":
                    self._location(sub, good)
                elif sub["directive"] in LIMITS:
                    self._limit(sub)
                elif sub["directive"] not in QUIET:
                    self._note(sub, "is not carried over")

    def _limit(self, row) -> None:
        field, kind = LIMITS[row["directive"]]
        value = _size(row["args"][0]) if kind == "size" else _time(row["args"][0])
        if not value:
            self._note(row, f"{row['args'][0]} is no limit here")
        else:
            self.limits[field] = value

    def _location(self, row, hosts: list) -> None:
        args = [a for a in row["args"] if a != "^~"]
        if len(args) != 1 or not (args[0].startswith("/") and args[0].endswith("/")):
            self._note(row, f"{' '.join(row['args'])} is no prefix between slashes")
            return
        out = {"RouteClass": "non_idempotent", "TimeoutMs": 60_000, "MaxAttempts": 1}
        for sub in row["block"]:
            name, value = sub["directive"], sub["args"]
            if name == "proxy_pass":
                hit = re.fullmatch(r"http://([^/:]+)/?", value[0])
                if hit is None or hit.group(1) not in self.services:
                    self._note(sub, f"{value[0]} names no upstream of this file")
                elif value[0].endswith("/"):
                    self._note(sub, "changes paths, which are passed on unaltered here")
                else:
                    out["Service"] = hit.group(1)
            elif name == "proxy_read_timeout":
                out["TimeoutMs"] = _time(value[0]) or out["TimeoutMs"]
            elif name == "proxy_next_upstream_tries" and value[0].isdigit() and int(value[0]):
                out["MaxAttempts"] = int(value[0])
            elif name == "proxy_next_upstream" and "non_idempotent" in value:
                out["RouteClass"] = "idempotent"
            else:
                self._note(sub, "is not carried over")
        if "Service" not in out:
            self._note(row, "leads to no service")
            return
        for host in hosts:
            if (host.lower(), args[0]) in self.routes:
                self._note(row, f"{host}{args[0]} stands twice; the first is kept")
                continue
            self.routes[host.lower(), args[0]] = {
                "Name": f"{host}{args[0]}",
                "HostName": host,
                "PathPrefix": args[0],
                "Priority": 5,
                "TargetLatencyMs": out["TimeoutMs"],
                **out,
            }


def _time(text: str) -> int:
    """Milliseconds of a time as nginx writes it; 0 if it is none.

    >>> _time("5s"), _time("250ms"), _time("1m"), _time("x")
    (5000, 250, 60000, 0)
    """
    hit = re.fullmatch(r"(\d+)(ms|s|m|h|)", text)
    return int(hit.group(1)) * UNITS[hit.group(2)] if hit else 0


def _size(text: str) -> int:
    """Bytes of a size as nginx writes it; 0 if it is none.

    >>> _size("8k"), _size("1M")
    (8192, 1048576)
    """
    hit = re.fullmatch(r"(\d+)([kmg]?)", text.lower())
    return int(hit.group(1)) * SIZES[hit.group(2)] if hit else 0
