"""The command line of the placement policy: check, put, get and explain it, and take regions out or in."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from pathlib import Path
from urllib.parse import quote

import orjson

from ..routing import InvalidConfigError, Route, RoutingTable
from ..runtime import Settings, SettingsError, read_settings
from ..runtime.tool_commands import EXIT_FAILURE, EXIT_OK, EXIT_USAGE, ToolCommands, run_tool_command
from .commands import policy_view
from .control_plane import HTTP_OK, CommandFailedError, ControlPlane
from .errors import PolicyError
from .explain import explain
from .reader import read_policy

USAGE = """archhatch: policy: say one of
  policy check FILE                 look for faults, by file and line
  policy put FILE [--match=N]       make it the policy in force, on top of version N (else the newest)
  policy get                        the policy in force, as it was written
  policy explain [FILE] --route=NAME | --host=H --path=P [--regions_out=REGION,...] [--plan=plan.json]
  policy regions                    which regions are in or out, since when and why
  policy out REGION --reason=WHY    an operator's order: nothing new goes there
  policy in REGION --reason=WHY     it is in again, for all rules"""


@dataclass(frozen=True, slots=True)
class PolicyOptions:
    """The options of the command line.

    Attributes:
        settings: The settings file; None for the usual place.
        route: explain: the name of a route.
        host: explain: the host of a request.
        path: explain: the path of a request.
        regions_out: explain: regions that count as out.
        plan: explain: a configuration file; None for the one in force.
        match: put: the version on which the policy is based; None for the newest.
        reason: out, in: why.
    """

    settings: str | None = None
    route: str | None = None
    host: str | None = None
    path: str | None = None
    regions_out: list[str] | None = None
    plan: str | None = None
    match: int | None = None
    reason: str | None = None


@dataclass(frozen=True, slots=True)
class _Situation:
    """What an explanation is based on.

    Attributes:
        routes: The configuration.
        view: What the feed carries of policy and regions.
    """

    routes: RoutingTable
    view: dict


class PolicyClient:
    """Runs a command of the command line."""

    def __init__(self, options: PolicyOptions) -> None:
        self._options = options
        self._commands: ToolCommands = {
            ("check", 1): self._check,
            ("put", 1): self._put,
            ("get", 0): self._get,
            ("explain", 0): self._explain,
            ("explain", 1): self._explain,
            ("regions", 0): self._regions,
            ("out", 1): self._out,
            ("in", 1): self._in,
        }

    def run(self, args: list[str]) -> int:
        """Runs one command.

        Args:
            args: The command's name and its arguments.

        Returns:
            The exit status: EXIT_OK, EXIT_FAILURE, or EXIT_USAGE for wrong use.
        """
        try:
            return run_tool_command(self._commands, args, USAGE)
        except SettingsError as error:
            print(f"archhatch: {error}", file=sys.stderr)
        except CommandFailedError as error:
            print(f"archhatch: policy: {error}", file=sys.stderr)
        except PolicyError as error:
            for fault in error.faults:
                print(fault, file=sys.stderr)
        return EXIT_FAILURE

    def _settings(self) -> Settings:
        return read_settings(self._options.settings)

    async def _check(self, path: str) -> int:
        text = _read_text(path)
        zones = self._settings().zones if self._options.settings else {}
        policy = read_policy(text, path, set(zones.values()))
        scope = "regions checked against the settings" if zones else "regions not checked: no --settings with Zones"
        print(f"sound: version {policy['version']}, {len(policy['rules'])} rules; {scope}")
        return EXIT_OK

    async def _put(self, path: str) -> int:
        settings = self._settings()
        text = _read_text(path)
        read_policy(text, path, set(settings.zones.values()))
        async with ControlPlane(settings) as control_plane:
            expected_version = self._options.match
            if expected_version is None:
                current = await control_plane.call("GET", "/api/policy")
                expected_version = current.document["Version"] if current.status == HTTP_OK else 0
            headers = {"If-Match": str(expected_version)}
            answer = await control_plane.call("PUT", "/api/policy", text.encode(), headers)
        print(f"version {answer.check()['Version']} is in force")
        return EXIT_OK

    async def _get(self) -> int:
        async with ControlPlane(self._settings()) as control_plane:
            answer = await control_plane.call("GET", "/api/policy")
        print(answer.check()["Text"], end="")
        return EXIT_OK

    async def _regions(self) -> int:
        async with ControlPlane(self._settings()) as control_plane:
            answer = await control_plane.call("GET", "/api/regions")
        for row in answer.check()["RegionTable"]:
            print("\n".join(_describe_region(row)))
        return EXIT_OK

    async def _set_state(self, region: str, state: str) -> int:
        order = orjson.dumps({"OperState": state, "Reason": self._options.reason or ""})
        async with ControlPlane(self._settings()) as control_plane:
            answer = await control_plane.call("POST", f"/api/regions/{quote(region, safe='')}", order)
        print(f"{region} is {state}, epoch {answer.check()['Epoch']}")
        return EXIT_OK

    async def _out(self, region: str) -> int:
        return await self._set_state(region, "out")

    async def _in(self, region: str) -> int:
        return await self._set_state(region, "in")

    async def _explain(self, path: str | None = None) -> int:
        options = self._options
        if not options.route and not (options.host and options.path):
            print(USAGE, file=sys.stderr)
            return EXIT_USAGE
        situation = await self._load_situation(path)
        route = self._find_route(situation.routes)
        if route is None:
            raise CommandFailedError("the configuration has no such route")
        for line in explain(situation.view, route, options.regions_out or []):
            print(line)
        return EXIT_OK

    def _find_route(self, routes: RoutingTable) -> Route | None:
        """Returns the route that the options name; a name wins over host and path."""
        options = self._options
        if options.route:
            return next((route for route in routes.routes() if route.name == options.route), None)
        return routes.find_route(options.host or "", options.path or "")

    async def _load_situation(self, path: str | None) -> _Situation:
        """Loads configuration, policy and regions; what the files do not give is asked of the control plane."""
        text = _read_text(path) if path else None
        plan_path = self._options.plan
        if text and plan_path:
            zones = self._settings().zones if self._options.settings else {}
            return _Situation(_read_routes(plan_path), _view(text, path, zones, []))
        settings = self._settings()
        zones = settings.zones
        regions: list[dict] = []
        routes = _read_routes(plan_path) if plan_path else None
        async with ControlPlane(settings) as control_plane:
            if routes is None:
                routes = _read_served_routes((await control_plane.call("GET", "/api/config")).check())
            current = await control_plane.call("GET", "/api/policy")
            if current.status == HTTP_OK:
                regions = (await control_plane.call("GET", "/api/regions")).check()["RegionTable"]
                zones = current.document["ZoneMap"]
                text = text or current.document["Text"]
        return _Situation(routes, _view(text, path, zones, regions))


def _read_text(path: str) -> str:
    try:
        return Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise CommandFailedError(f"{path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise CommandFailedError(f"{path}:1: (file): is not UTF-8") from error


def _read_routes(path: str) -> RoutingTable:
    try:
        return RoutingTable.from_document(orjson.loads(_read_text(path)))
    except (orjson.JSONDecodeError, InvalidConfigError) as error:
        raise CommandFailedError(f"{path}: {error}") from error


def _read_served_routes(document: object) -> RoutingTable:
    try:
        return RoutingTable.from_document(document)
    except InvalidConfigError as error:
        raise CommandFailedError(f"the configuration in force cannot be read: {error}") from error


def _view(text: str | None, path: str | None, zones: dict, region_rows: list[dict]) -> dict:
    """Returns policy and regions as the feed carries them, from a policy's text and the rows of a region table."""
    if text is None:
        return {}
    policy = read_policy(text, path or "the policy in force", set(zones.values()))
    regions = {
        row["Name"]: {"epoch": row["Epoch"], "out": {out["Rule"]: out for out in row["OutTable"]}}
        for row in region_rows
    }
    return {**policy_view({"policy": {**policy, "zones": zones}}), "regions": regions}


def _describe_region(row: dict) -> list[str]:
    zones = ", ".join(row["ZoneList"]) or "none"
    lines = [f"{row['Name']}: {row['OperState']}, epoch {row['Epoch']}, zones {zones}"]
    for out in row["OutTable"]:
        scope = "all rules" if out["Rule"] == "*" else out["Rule"]
        lines.append(f"  out for {scope} since epoch {out['Epoch']}, by {out['By']}: {out['Reason']}")
    return lines
