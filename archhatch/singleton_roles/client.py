"""The `duties` command of the command line: lists, shows and resets singleton roles."""

from __future__ import annotations

import sys
from http import HTTPStatus
from typing import Any, Protocol
from urllib.parse import quote

from ..region_policy.control_plane import CommandFailedError, ControlPlane
from ..runtime import SettingsError, read_settings
from ..runtime.tool_commands import EXIT_FAILURE, EXIT_OK, ToolCommands, run_tool_command

USAGE = """archhatch: duties: say one of
  duties list          each duty's state, fence and holder
  duties show KEY      one duty with its audit trail
  duties reset KEY     allow a duty that failed to be tried again"""


class CommandLineOptions(Protocol):
    """What the command uses of the command line's options.

    Attributes:
        settings: The path of the settings file.
    """

    settings: Any


class SingletonRoleClient:
    """Runs one `duties` command of the command line."""

    def __init__(self, options: CommandLineOptions) -> None:
        self._options = options
        self._commands: ToolCommands = {
            ("list", 0): self._list,
            ("show", 1): self._show,
            ("reset", 1): self._reset,
        }

    def run(self, args: list[str]) -> int:
        """Runs one command and prints its output.

        Args:
            args: The command's name and its arguments.

        Returns:
            The exit status: 0 done, 1 failed, 2 wrong usage.
        """
        try:
            return run_tool_command(self._commands, args, USAGE)
        except (SettingsError, CommandFailedError) as error:
            print(f"archhatch: {error}", file=sys.stderr)
            return EXIT_FAILURE

    async def _call(self, method: str, path: str = "") -> dict:
        async with ControlPlane(read_settings(self._options.settings)) as control:
            status, answer = await control.call(method, f"/api/duties{path}")
        if status != HTTPStatus.OK:
            raise CommandFailedError(f"code {answer.get('Error')} {answer.get('Says')}: {answer.get('Why')}")
        return answer

    async def _list(self) -> int:
        for role in (await self._call("GET"))["DutyList"]:
            print(_format_role(role))
        return EXIT_OK

    async def _show(self, key: str) -> int:
        role = (await self._call("GET", "/" + quote(key, safe="")))["DutyList"][0]
        print(_format_role(role))
        for entry in role["Audit"]:
            print(f"  {entry['Event']:<10} fence {entry['FenceToken']:<6} {entry['Owner']}")
        if role["Error"]:
            print(f"  failed: {role['Error']}")
        return EXIT_OK

    async def _reset(self, key: str) -> int:
        await self._call("POST", "/" + quote(key, safe="") + "/reset")
        print(f"{key}: may be tried again")
        return EXIT_OK


def _format_role(role: dict) -> str:
    owner = role["Owner"] or "nobody"
    return f"{role['Name']:<40} {role['OperState']:<10} fence {role['FenceToken']:<6} {owner}"
