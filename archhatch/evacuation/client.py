"""The command line of evacuations: plan, start, status, cancel and return."""

from __future__ import annotations

import asyncio
import sys
import tomllib
from dataclasses import dataclass
from urllib.parse import quote

import orjson

from ..region_policy.control_plane import CommandFailedError, ControlPlane
from ..runtime import SettingsError, read_settings
from .plans import InvalidPlanError, read_plan

USE = """archhatch: evacuate: say one of
  evacuate plan FILE [--dry_run]    check a plan (TOML) and have it taken; --dry_run: only say what would be taken
  evacuate start ID                 tell the tenant, prepare the target, move
  evacuate status [ID]              where it stands, and how it came there
  evacuate cancel ID [--reason=WHY] give it up; what is moving goes home
  evacuate return ID [--reason=WHY] bring the tenant home"""


@dataclass(frozen=True, slots=True)
class EvacuationOptions:
    """The options of the command line.

    Attributes:
        settings: The settings file; None for the usual place.
        reason: cancel, return: why.
        dry_run: plan: only say what would be taken.
    """

    settings: str | None = None
    reason: str | None = None
    dry_run: bool = False


class EvacuationClient:
    """Runs one command; its status: 0 done, 1 a fault, 2 wrong use.

    >>> # status = EvacuationClient(EvacuationOptions()).run(["status"])
    """

    def __init__(self, options: EvacuationOptions):
        self.options = options
        self.table = {
            ("plan", 1): self._plan,
            ("start", 1): self._start,
            ("status", 0): self._status,
            ("status", 1): self._status,
            ("cancel", 1): self._cancel,
            ("return", 1): self._return,
        }

    def run(self, args: list) -> int:
        """One command."""
        command = self.table.get((args[0], len(args) - 1)) if args else None
        if command is None:
            print(USE, file=sys.stderr)
            return 2
        try:
            return asyncio.run(command(*args[1:]))
        except (SettingsError, CommandFailedError) as e:
            print(f"archhatch: {e}", file=sys.stderr)
        except InvalidPlanError as e:
            print(f"archhatch: evacuate: {args[1]}: {e}", file=sys.stderr)
        return 1

    async def _call(self, method: str, path: str, doc: dict | None = None) -> dict:
        async with ControlPlane(read_settings(self.options.settings)) as control:
            body = None if doc is None else orjson.dumps(doc)
            status, answer = await control.call(method, f"/api/evacuations{path}", body)
        if status != 200:
            raise CommandFailedError(f"code {answer.get('Error')} {answer.get('Says')}: {answer.get('Why')}")
        return answer

    async def _plan(self, path: str) -> int:
        try:
            with open(path, "rb") as file:
                doc = tomllib.load(file)
        except OSError as e:
            raise CommandFailedError(f"{path}: {e.strerror}") from e
        except (tomllib.TOMLDecodeError, UnicodeDecodeError) as e:
            raise CommandFailedError(f"{path}: is not TOML: {e}") from e
        plan = read_plan(doc)
        got = await self._call("POST", "", {**plan, "DryRun": bool(self.options.dry_run)})
        print("would be taken:" if self.options.dry_run else "taken:")
        print("\n".join(describe(got)))
        return 0

    async def _order(self, name: str, order: str) -> int:
        doc = {"Reason": self.options.reason or ""}
        print("\n".join(describe(await self._call("POST", f"/{quote(name, safe='')}/{order}", doc))))
        return 0

    async def _start(self, name: str) -> int:
        return await self._order(name, "start")

    async def _cancel(self, name: str) -> int:
        return await self._order(name, "cancel")

    async def _return(self, name: str) -> int:
        return await self._order(name, "return")

    async def _status(self, name: str | None = None) -> int:
        got = await self._call("GET", "" if name is None else f"/{quote(name, safe='')}")
        rows = got["EvacuationTable"] if name is None else [got]
        print("\n".join(line for row in rows for line in describe(row)) or "no evacuation is known")
        return 0


def describe(record: dict) -> list:
    """Lines on one evacuation.

    >>> describe({"Id": "e", "Tenant": "t", "Origin": "a", "Target": "b", "OperState": "moved", "Placed": "target",
    ...           "RuleList": ["q"], "NoticeTable": {}, "RunTable": {}, "Log": []})[0]
    'e: moved; tenant t (rules q) from a to b; new requests go to b'
    """
    place = record["Target"] if record["Placed"] == "target" else record["Origin"]
    rows = [
        f"{record['Id']}: {record['OperState']}; tenant {record['Tenant']} (rules {', '.join(record['RuleList'])}) "
        f"from {record['Origin']} to {record['Target']}; new requests go to {place}"
    ]
    rows += [f"  notice {kind}: {word}" for kind, word in record["NoticeTable"].items()]
    for run, report in record["RunTable"].items():
        words = [word for word in ("copied", "drained") if report[word]]
        rows.append(f"  run {run}, term {report['term']}: {', '.join(words) or 'not copied yet'}")
    for row in record["Log"]:
        words = f"  after {row['AgeS']:.0f} s {row['OperState']} by {row['By']}"
        rows.append(words + (f": {row['Why']}" if row["Why"] else ""))
    return rows
