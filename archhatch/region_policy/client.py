"""The operator's side of a placement policy: check, put, get and explain it, and a word on a region."""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass
from urllib.parse import quote

import aiohttp
import orjson

from ..routing import RoutingTable
from ..routing.schemas import InvalidConfigError, check_config
from ..runtime import Settings, SettingsError, read_settings
from .explain import explain
from .commands import policy_view
from .errors import PolicyError
from .reader import read_policy

USE = """archhatch: policy: say one of
  policy check FILE                 look for faults, by file and line
  policy put FILE [--match=N]       make it the policy in force, on top of version N (else the newest)
  policy get                        the policy in force, as it was written
  policy explain [FILE] --route=NAME | --host=H --path=P [--regions_out=REGION,...] [--plan=plan.json]
  policy regions                    which regions are in or out, since when and why
  policy out REGION --reason=WHY    an operator's word: nothing new goes there
  policy in REGION --reason=WHY     it is in again, for all rules"""


class PolicyClientError(Exception):
    """What keeps a command from being done: one line."""


class ControlPlane:
    """Calls control nodes, one seed after the other, until one gives a clear answer.

    >>> # async with ControlPlane(settings) as cp: status, doc = await cp.call("GET", "/api/policy")
    """

    ROUNDS = 3

    def __init__(self, settings: Settings):
        self.settings = settings

    async def __aenter__(self):
        self.http = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=self.settings.seconds("AckTimeoutMs", 0.5))
        )
        return self

    async def __aexit__(self, *exc):
        await self.http.close()

    async def call(self, method: str, path: str, body: bytes | None = None, heads: dict | None = None) -> tuple:
        why = "SeedPeers is empty"
        for _ in range(self.ROUNDS):
            for seed in self.settings.seed_peers:
                try:
                    async with self.http.request(method, f"http://{seed}{path}", data=body, headers=heads) as response:
                        data = await response.read()
                        if response.status < 500:
                            return response.status, orjson.loads(data)
                        why = f"{seed}: status {response.status}"
                except (aiohttp.ClientError, asyncio.TimeoutError, orjson.JSONDecodeError) as e:
                    why = f"{seed}: {e or type(e).__name__}"
        raise PolicyClientError(f"no control node gives a clear answer; the last: {why}")


def _text(path: str) -> str:
    try:
        with open(path, encoding="utf-8") as f:
            return f.read()
    except OSError as e:
        raise PolicyClientError(f"{path}: {e.strerror}") from e
    except UnicodeDecodeError as e:
        raise PolicyClientError(f"{path}:1: (file): is not UTF-8") from e


def _good(got: tuple) -> dict:
    status, doc = got
    if status != 200:
        raise PolicyClientError(f"code {doc.get('Error')} {doc.get('Says')}: {doc.get('Why')}")
    return doc


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


class PolicyClient:
    """Runs one command; its status: 0 done, 1 a fault, 2 wrong use.

    >>> # status = PolicyClient(PolicyOptions()).run(["check", "policy.toml"])
    """

    def __init__(self, opts: PolicyOptions):
        self.opts = opts
        self.table = {
            ("check", 1): self._check,
            ("put", 1): self._put,
            ("get", 0): self._get,
            ("explain", 0): self._explain,
            ("explain", 1): self._explain,
            ("regions", 0): self._regions,
            ("out", 1): self._out,
            ("in", 1): self._in,
        }

    def run(self, args: list) -> int:
        function = self.table.get((args[0], len(args) - 1)) if args else None
        if function is None:
            print(USE, file=sys.stderr)
            return 2
        try:
            return asyncio.run(function(*args[1:]))
        except SettingsError as e:
            print(f"archhatch: {e}", file=sys.stderr)
        except PolicyClientError as e:
            print(f"archhatch: policy: {e}", file=sys.stderr)
        except PolicyError as e:
            for row in e.faults:
                print(row, file=sys.stderr)
        return 1

    def _boot(self) -> Settings:
        return read_settings(self.opts.settings)

    async def _check(self, path: str) -> int:
        text, zones = _text(path), {}
        if self.opts.settings:
            zones = self._boot().zones
        doc = read_policy(text, path, set(zones.values()))
        print(
            f"sound: version {doc['version']}, {len(doc['rules'])} rules; "
            + ("regions checked against the settings" if zones else "regions not checked: no --settings with Zones")
        )
        return 0

    async def _put(self, path: str) -> int:
        settings, text = self._boot(), _text(path)
        read_policy(text, path, set(settings.zones.values()))
        async with ControlPlane(settings) as cp:
            match = self.opts.match
            if match is None:
                status, doc = await cp.call("GET", "/api/policy")
                match = doc["Version"] if status == 200 else 0
            doc = _good(await cp.call("PUT", "/api/policy", text.encode(), {"If-Match": str(match)}))
        print(f"version {doc['Version']} is in force")
        return 0

    async def _get(self) -> int:
        async with ControlPlane(self._boot()) as cp:
            print(_good(await cp.call("GET", "/api/policy"))["Text"], end="")
        return 0

    async def _regions(self) -> int:
        async with ControlPlane(self._boot()) as cp:
            doc = _good(await cp.call("GET", "/api/regions"))
        for row in doc["RegionTable"]:
            zones = ", ".join(row["ZoneList"]) or "none"
            print(f"{row['Name']}: {row['OperState']}, epoch {row['Epoch']}, zones {zones}")
            for o in row["OutTable"]:
                print(
                    f"  out for {'all rules' if o['Rule'] == '*' else o['Rule']} since epoch {o['Epoch']}, "
                    f"by {o['By']}: {o['Reason']}"
                )
        return 0

    async def _word(self, region: str, state: str) -> int:
        doc = orjson.dumps({"OperState": state, "Reason": self.opts.reason or ""})
        async with ControlPlane(self._boot()) as cp:
            got = _good(await cp.call("POST", f"/api/regions/{quote(region, safe='')}", doc))
        print(f"{region} is {state}, epoch {got['Epoch']}")
        return 0

    async def _out(self, region: str) -> int:
        return await self._word(region, "out")

    async def _in(self, region: str) -> int:
        return await self._word(region, "in")

    async def _explain(self, path: str | None = None) -> int:
        opts = self.opts
        if not opts.route and not (opts.host and opts.path):
            print(USE, file=sys.stderr)
            return 2
        plan, value = await self._facts(path)
        if opts.route:
            route = next((x for x in plan.routes() if x.name == opts.route), None)
        else:
            route = plan.route(opts.host, opts.path)
        if route is None:
            raise PolicyClientError("the configuration has no such route")
        for row in explain(value, route, opts.regions_out or []):
            print(row)
        return 0

    async def _facts(self, path: str | None) -> tuple:
        """The configuration, and what the news of the 'plan' part would say of policy and regions."""
        text = _text(path) if path else None
        settings = self._boot() if not (text and self.opts.plan) or self.opts.settings else None
        zones = settings.zones if settings else {}
        if self.opts.plan:
            try:
                plan = RoutingTable(check_config(orjson.loads(_text(self.opts.plan))))
            except (orjson.JSONDecodeError, InvalidConfigError) as e:
                raise PolicyClientError(f"{self.opts.plan}: {e}") from e
        value: dict = {}
        if not (text and self.opts.plan):
            async with ControlPlane(settings) as cp:
                if not self.opts.plan:
                    plan = RoutingTable(_good(await cp.call("GET", "/api/config")))
                status, now = await cp.call("GET", "/api/policy")
                if status == 200:
                    value = {"regions": _good(await cp.call("GET", "/api/regions"))["RegionTable"]}
                    zones, text = now["ZoneMap"], text or now["Text"]
        regions = {
            r["Name"]: {"epoch": r["Epoch"], "out": {o["Rule"]: o for o in r["OutTable"]}}
            for r in value.get("regions", [])
        }
        if text is None:
            return plan, {}
        doc = read_policy(text, path or "the policy in force", set(zones.values()))
        return plan, {**policy_view({"policy": {**doc, "zones": zones}}), "regions": regions}
