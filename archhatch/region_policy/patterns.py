"""Patterns of route names: * stands for any characters, ? for one."""

from __future__ import annotations

import re
from functools import lru_cache

COMPILED_PATTERNS = 1024  # patterns kept compiled: more than a policy of the permitted size is expected to hold


def matches(pattern: str, name: str) -> bool:
    """Whether a name matches a pattern.

    >>> matches("yard-*", "yard-quote"), matches("yard", "yard-quote")
    (True, False)
    """
    return _compiled(pattern).fullmatch(name) is not None


@lru_cache(maxsize=COMPILED_PATTERNS)
def _compiled(pattern: str) -> re.Pattern[str]:
    return re.compile("".join({"*": ".*", "?": "."}.get(c, re.escape(c)) for c in pattern), re.DOTALL)


def is_literal(pattern: str) -> bool:
    """Whether a pattern has no wildcard, so that it matches one name only."""
    return "*" not in pattern and "?" not in pattern


def overlap(first: str, second: str) -> bool:
    """Whether some name matches both patterns.

    >>> overlap("a*", "*b"), overlap("a*", "b*"), overlap("a?", "a"), overlap("*", "")
    (True, False, False, True)
    """
    # row[j]: the prefix of first that was read and the first j characters of second have a name in common
    row = [False] * (len(second) + 1)
    row[0] = True
    for j, char in enumerate(second):
        row[j + 1] = row[j] and char == "*"
    for char in first:
        row = _next_row(row, char, second)
    return row[-1]


def _next_row(row: list[bool], char: str, second: str) -> list[bool]:
    """The row of overlap() for a prefix that is longer by one character."""
    new = [row[0] and char == "*"]
    for j, other in enumerate(second):
        if "*" in (char, other):
            skips_first = char == "*" and (row[j + 1] or new[j])
            skips_second = other == "*" and (new[j] or row[j + 1])
            new.append(skips_first or skips_second)
        else:
            new.append(row[j] and (char == other or "?" in (char, other)))
    return new
