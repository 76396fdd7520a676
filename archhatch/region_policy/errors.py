"""The error of an invalid policy file, and where in the file a fault stands."""

from __future__ import annotations

import re

from ..exceptions import ArchhatchError

_RULE_HEADER = re.compile(r"\s*\[\[\s*rule\s*\]\]")
_INLINE_RULES = re.compile(r"\s*rule\s*=")


class PolicyError(ArchhatchError):
    """An invalid policy.

    >>> str(PolicyError(["p.toml:3: rule 1: regions: is empty"]))
    'p.toml:3: rule 1: regions: is empty'

    Attributes:
        faults: One line for each fault: file, line, field and what is wrong.
    """

    code = 2101

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


def find_line(text: str, path: tuple) -> int:
    r"""Finds the line of a field in a policy's text.

    >>> find_line('version = 1\n[[rule]]\nname = "a"\n', ("rule", 0, "name")), find_line("", ("version",))
    (3, 1)

    Args:
        text: The TOML text.
        path: The field: ("version",) at the top, ("rule", 1, "regions") in the second [[rule]].

    Returns:
        The number of the line, from 1; the line of the rule's header, or 1, if the field has no line of its own.
    """
    wanted_rule = path[1] if path[0] == "rule" and len(path) > 1 else None
    key = path[2] if wanted_rule is not None and len(path) > 2 else path[0]  # noqa: PLR2004 - a path has three parts
    field = re.compile(rf"""\s*["']?{re.escape(str(key))}["']?\s*=""")
    current_rule: int | None = None
    best_line = 1
    for number, line in enumerate(text.splitlines(), 1):
        if _RULE_HEADER.match(line):
            current_rule = 0 if current_rule is None else current_rule + 1
            is_first_of_all_rules = path == ("rule",) and best_line == 1
            if current_rule == wanted_rule or is_first_of_all_rules:
                best_line = number
        elif current_rule is None and _INLINE_RULES.match(line):
            best_line = number  # rules written as an inline array have no headers
        elif current_rule == wanted_rule and field.match(line):
            return number
    return best_line


def format_path(path: tuple) -> str:
    """Formats the path of a field for an operator, who counts rules from 1.

    >>> format_path(("rule", 0, "regions", 1)), format_path(("version",))
    ('rule 1: regions', 'version')
    """
    if path[0] != "rule" or len(path) == 1:
        return str(path[0])
    return ": ".join([f"rule {path[1] + 1}", *map(str, path[2:3])])
