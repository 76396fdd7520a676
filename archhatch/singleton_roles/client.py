"""The command line of duties: list, show and reset."""

from __future__ import annotations

import asyncio
import sys
from urllib.parse import quote

from ..region_policy.control_plane import CommandFailedError, ControlPlane
from ..runtime import SettingsError, read_settings

USE = """archhatch: duties: say one of
  duties list          each duty's state, fence and holder
  duties show KEY      one duty with its audit trail
  duties reset KEY     allow a duty that failed to be tried again"""


class SingletonRoleClient:
    """Runs one command; its status: 0 done, 1 a fault, 2 wrong use.

    >>> # status = SingletonRoleClient(FLAGS).run(["list"])
    """

    def __init__(self, options):
        self.options = options
        self.table = {("list", 0): self._list, ("show", 1): self._show, ("reset", 1): self._reset}

    def run(self, args: list) -> int:
        """One command."""
        command = self.table.get((args[0], len(args) - 1)) if args else None
        if command is None:
            print(USE, file=sys.stderr)
            return 2
        try:
            asyncio.run(command(*args[1:]))
        except (SettingsError, CommandFailedError) as e:
            print(f"archhatch: {e}", file=sys.stderr)
            return 1
        return 0

    async def _call(self, method: str, path: str = "") -> dict:
        async with ControlPlane(read_settings(self.options.settings)) as control:
            status, answer = await control.call(method, f"/api/duties{path}")
        if status != 200:
            raise CommandFailedError(f"code {answer.get('Error')} {answer.get('Says')}: {answer.get('Why')}")
        return answer

    async def _list(self) -> None:
        for duty in (await self._call("GET"))["DutyList"]:
            print(_line(duty))

    async def _show(self, key: str) -> None:
        duty = (await self._call("GET", "/" + quote(key, safe="")))["DutyList"][0]
        print(_line(duty))
        for entry in duty["Audit"]:
            print(f"  {entry['Event']:<10} fence {entry['FenceToken']:<6} {entry['Owner']}")
        if duty["Error"]:
            print(f"  failed: {duty['Error']}")

    async def _reset(self, key: str) -> None:
        await self._call("POST", "/" + quote(key, safe="") + "/reset")
        print(f"{key}: may be tried again")


def _line(duty: dict) -> str:
    owner = duty["Owner"] or "nobody"
    return f"{duty['Name']:<40} {duty['OperState']:<10} fence {duty['FenceToken']:<6} {owner}"
