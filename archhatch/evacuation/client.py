"""The command line of evacuations: plan, start, status, cancel and return."""

from __future__ import annotations

import sys
import tomllib
from dataclasses import dataclass
from pathlib import Path
from urllib.parse import quote

import orjson

from ..region_policy.control_plane import CommandFailedError, ControlPlane
from ..runtime import SettingsError, read_settings
from ..runtime.tool_commands import EXIT_FAILURE, EXIT_OK, ToolCommands, run_tool_command
from .plans import InvalidPlanError, read_plan

USAGE = """archhatch: evacuate: say one of
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
    """Runs a command of the command line."""

    def __init__(self, options: EvacuationOptions) -> None:
        self._options = options
        self._commands: ToolCommands = {
            ("plan", 1): self._plan,
            ("start", 1): self._start,
            ("status", 0): self._status,
            ("status", 1): self._status,
            ("cancel", 1): self._cancel,
            ("return", 1): self._return,
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
        except (SettingsError, CommandFailedError) as error:
            print(f"archhatch: {error}", file=sys.stderr)
        except InvalidPlanError as error:
            print(f"archhatch: evacuate: {args[1]}: {error}", file=sys.stderr)
        return EXIT_FAILURE

    async def _call(self, method: str, path: str, document: dict | None = None) -> dict:
        async with ControlPlane(read_settings(self._options.settings)) as control_plane:
            body = None if document is None else orjson.dumps(document)
            answer = await control_plane.call(method, f"/api/evacuations{path}", body)
        return answer.check()

    async def _plan(self, path: str) -> int:
        plan = read_plan(_read_toml(path))
        is_dry_run = bool(self._options.dry_run)
        record = await self._call("POST", "", {**plan, "DryRun": is_dry_run})
        print("would be taken:" if is_dry_run else "taken:")
        print("\n".join(describe(record)))
        return EXIT_OK

    async def _order(self, name: str, order: str) -> int:
        reason = {"Reason": self._options.reason or ""}
        record = await self._call("POST", f"/{quote(name, safe='')}/{order}", reason)
        print("\n".join(describe(record)))
        return EXIT_OK

    async def _start(self, name: str) -> int:
        return await self._order(name, "start")

    async def _cancel(self, name: str) -> int:
        return await self._order(name, "cancel")

    async def _return(self, name: str) -> int:
        return await self._order(name, "return")

    async def _status(self, name: str | None = None) -> int:
        if name is None:
            records = (await self._call("GET", ""))["EvacuationTable"]
        else:
            records = [await self._call("GET", f"/{quote(name, safe='')}")]
        print("\n".join(line for record in records for line in describe(record)) or "no evacuation is known")
        return EXIT_OK


def _read_toml(path: str) -> dict:
    try:
        with Path(path).open("rb") as file:
            return tomllib.load(file)
    except OSError as error:
        raise CommandFailedError(f"{path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise CommandFailedError(f"{path}: is not TOML: {error}") from error


def describe(record: dict) -> list[str]:
    """Returns lines on one evacuation, as the control plane shows it.

    >>> describe({"Id": "e", "Tenant": "t", "Origin": "a", "Target": "b", "OperState": "moved", "Placed": "target",
    ...           "RuleList": ["q"], "NoticeTable": {}, "RunTable": {}, "Log": []})[0]
    'e: moved; tenant t (rules q) from a to b; new requests go to b'
    """
    place = record["Target"] if record["Placed"] == "target" else record["Origin"]
    lines = [
        f"{record['Id']}: {record['OperState']}; tenant {record['Tenant']} (rules {', '.join(record['RuleList'])}) "
        f"from {record['Origin']} to {record['Target']}; new requests go to {place}"
    ]
    lines += [f"  notice {kind}: {outcome}" for kind, outcome in record["NoticeTable"].items()]
    for run, report in record["RunTable"].items():
        done = [key for key in ("copied", "drained") if report[key]]
        lines.append(f"  run {run}, term {report['term']}: {', '.join(done) or 'not copied yet'}")
    for row in record["Log"]:
        line = f"  after {row['AgeS']:.0f} s {row['OperState']} by {row['By']}"
        lines.append(f"{line}: {row['Why']}" if row["Why"] else line)
    return lines
