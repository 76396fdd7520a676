"""Commands on a register's value, by name: each says what came of it and whether it changed the value."""

from __future__ import annotations

import orjson

MALFORMED = 2001
UNKNOWN = 2009


class Commands:
    """A table of commands, filled by a decorator.

    >>> c = Commands()
    >>> @c.on("inc")
    ... def inc(value, args): value["n"] = value.get("n", 0) + 1; return 1000, value["n"], True
    >>> v = {}; c.run(v, "inc", {}), v
    ((1000, 1, True), {'n': 1})
    """

    def __init__(self):
        self.table: dict = {}

    def on(self, name: str):
        """Register a command: a function of the value and the arguments that gives (code, document, changed)."""

        def put(function):
            self.table[name] = function
            return function

        return put

    def run(self, value: dict, name: str, args: dict):
        """Run one command on the value in place: (code, document, changed)."""
        function = self.table.get(name)
        if function is None:
            return UNKNOWN, None, False
        return function(value, args)

    def run_isolated(self, value: dict, name: str, args: dict):
        """Run one command of a batch: (code, document, changed, value after it).

        A command that fails on what it was given is refused alone. It works on a copy, so that no trace of it is left
        in the value that the others of the batch see.

        >>> c = Commands()
        >>> @c.on("bad")
        ... def bad(value, args): value["x"] = 1; raise KeyError("y")
        >>> c.run_isolated({}, "bad", {})
        (2001, "KeyError('y')", False, {})
        """
        trial = orjson.loads(orjson.dumps(value))
        try:
            code, doc, changed = self.run(trial, name, args)
        except (KeyError, TypeError, ValueError, AttributeError, IndexError) as e:
            return MALFORMED, repr(e), False, value
        return code, doc, changed, trial if changed else value
