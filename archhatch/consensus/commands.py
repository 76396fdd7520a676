"""Commands on a register's value, by name: each tells its result and whether it changed the value."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, TypeVar

import orjson

MALFORMED_CODE = 2001  # result codes: docs/codes.md
UNKNOWN_COMMAND_CODE = 2009

# a function of (value, arguments) that may change the value and returns (code, document, is_changed)
Command = Callable[[dict, dict], tuple[int, object, bool]]
CommandT = TypeVar("CommandT", bound=Callable)


class IsolatedResult(NamedTuple):
    """The result of a command that ran on a copy of the value.

    Attributes:
        code: The result code.
        document: What the command returned.
        is_changed: Whether it changed the value.
        value: The value after it.
    """

    code: int
    document: object
    is_changed: bool
    value: dict


class Commands:
    """A table of commands, filled by a decorator.

    >>> commands = Commands()
    >>> @commands.on("inc")
    ... def inc(value, args): value["n"] = value.get("n", 0) + 1; return 1000, value["n"], True
    >>> value = {}; commands.run(value, "inc", {}), value
    ((1000, 1, True), {'n': 1})

    Attributes:
        table: The commands by name.
    """

    def __init__(self) -> None:
        self.table: dict[str, Command] = {}

    def on(self, name: str) -> Callable[[CommandT], CommandT]:
        """Registers a command.

        Args:
            name: Its name.

        Returns:
            A decorator for a function of the value and the arguments that returns (code, document, is_changed).
        """

        def register(function: CommandT) -> CommandT:
            self.table[name] = function
            return function

        return register

    def run(self, value: dict, name: str, args: dict) -> tuple[int, object, bool]:
        """Runs one command on the value in place.

        Returns:
            The code, the document, and whether the value changed.
        """
        function = self.table.get(name)
        if function is None:
            return UNKNOWN_COMMAND_CODE, None, False
        return function(value, args)

    def run_isolated(self, value: dict, name: str, args: dict) -> IsolatedResult:
        """Runs one command of a batch on a copy of the value.

        A command that fails on its arguments is refused alone: no trace of it is left in the value that the others of
        the batch see.

        >>> commands = Commands()
        >>> @commands.on("bad")
        ... def bad(value, args): value["x"] = 1; raise KeyError("y")
        >>> tuple(commands.run_isolated({}, "bad", {}))
        (2001, "KeyError('y')", False, {})
        """
        copy = orjson.loads(orjson.dumps(value))
        try:
            code, document, is_changed = self.run(copy, name, args)
        except (KeyError, TypeError, ValueError, AttributeError, IndexError) as error:
            return IsolatedResult(MALFORMED_CODE, repr(error), False, value)
        return IsolatedResult(code, document, is_changed, copy if is_changed else value)
