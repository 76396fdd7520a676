"""What is wrong with an operator's policy file: by file, line and field."""

from __future__ import annotations

import re


class PolicyError(Exception):
    """An invalid policy; each fault is one line.

    >>> str(PolicyError(["p.toml:3: rule 1: regions: is empty"]))
    'p.toml:3: rule 1: regions: is empty'
    """

    def __init__(self, faults: list):
        super().__init__("; ".join(faults))
        self.faults = faults


def locate(text: str, path: tuple) -> int:
    """The line of a field in a text: ("version",) at the top, ("rule", 1, "regions") in the second [[rule]].

    >>> locate('version = 1\\n[[rule]]\\nname = "a"\\n', ("rule", 0, "name")), locate("", ("version",))
    (3, 1)
    """
    number, at, best = -1, None, 1
    wanted = path[1] if path[0] == "rule" and len(path) > 1 else None
    key = path[2] if wanted is not None and len(path) > 2 else path[0]
    for line, row in enumerate(text.splitlines(), 1):
        if re.match(r"\s*\[\[\s*rule\s*\]\]", row):
            number += 1
            at = number
            if at == wanted or (path == ("rule",) and best == 1):
                best = line
        elif at is None and re.match(r"\s*rule\s*=", row):
            best = line  # rules written in one line have no headers
        elif at == wanted and re.match(rf"""\s*["']?{re.escape(str(key))}["']?\s*=""", row):
            return line
    return best


def spell(path: tuple) -> str:
    """A path as operators count: rules from 1.

    >>> spell(("rule", 0, "regions", 1)), spell(("version",))
    ('rule 1: regions', 'version')
    """
    if path[0] != "rule" or len(path) < 2:
        return str(path[0])
    return f"rule {path[1] + 1}" + (f": {path[2]}" if len(path) > 2 else "")
