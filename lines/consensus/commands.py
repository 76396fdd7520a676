"""Commands on a part's value, by name: each says what came of it and whether it changed the value."""


class Commands:
    """A table of commands, filled by a decorator.

    >>> c = Commands()
    >>> @c.on("inc")
    ... def inc(val, args): val["n"] = val.get("n", 0) + 1; return 1000, val["n"], True
    >>> v = {}; c.run(v, "inc", {}), v
    ((1000, 1, True), {'n': 1})
    """

    def __init__(self):
        self.table: dict = {}

    def on(self, name: str):
        def put(fn):
            self.table[name] = fn
            return fn
        return put

    def run(self, val: dict, name: str, args: dict):
        fn = self.table.get(name)
        if fn is None:
            return 2009, None, False
        return fn(val, args)
