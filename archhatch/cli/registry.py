"""The commands of `archhatch`, as the modules of this package register them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..runtime.tool_commands import EXIT_FAILURE, EXIT_OK, EXIT_USAGE

Handler = Callable[[list[str]], int]  # takes the arguments that are no flags, returns the exit status


@dataclass(frozen=True, slots=True)
class Command:
    """A command of the command line.

    Attributes:
        name: The word that selects it.
        summary: What the help says of it.
        handler: Runs it.
    """

    name: str
    summary: str
    handler: Handler


__all__ = ["COMMANDS", "EXIT_FAILURE", "EXIT_OK", "EXIT_USAGE", "Command", "command"]

COMMANDS: dict[str, Command] = {}  # in the order of the help


def command(name: str, summary: str) -> Callable[[Handler], Handler]:
    """Registers a function as the handler of a command.

    >>> @command("example", "do nothing")
    ... def example(args): return EXIT_OK
    >>> COMMANDS.pop("example").summary
    'do nothing'
    """

    def register(handler: Handler) -> Handler:
        COMMANDS[name] = Command(name, summary, handler)
        return handler

    return register
