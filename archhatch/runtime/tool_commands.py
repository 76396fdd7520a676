"""Commands of an operator's tool, such as `policy put FILE`, and the exit status of a command line."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_USAGE = 2  # wrong use, or settings that cannot be used

ToolCommands = Mapping[tuple[str, int], Callable[..., Coroutine[Any, Any, int]]]  # by name and number of arguments


def run_tool_command(commands: ToolCommands, args: list[str], usage: str) -> int:
    """Runs the command that a command line names.

    Args:
        commands: The tool's commands; each takes its arguments, and returns the exit status.
        args: The command's name and its arguments.
        usage: Printed if there is no such command.

    Returns:
        The exit status: EXIT_USAGE for wrong use.

    >>> async def show(name): print(name); return EXIT_OK
    >>> run_tool_command({("show", 1): show}, ["show", "x"], "say: show NAME"), run_tool_command({}, [], "nothing")
    x
    (0, 2)
    """
    command = commands.get((args[0], len(args) - 1)) if args else None
    if command is None:
        print(usage, file=sys.stderr)
        return EXIT_USAGE
    return asyncio.run(command(*args[1:]))
