"""Patterns of route names: * stands for any characters, ? for one."""

from __future__ import annotations

import re
from functools import lru_cache


def fits(pattern: str, name: str) -> bool:
    """Whether a name fits a pattern.

    >>> fits("yard-*", "yard-quote"), fits("yard", "yard-quote")
    (True, False)
    """
    return _compiled(pattern).fullmatch(name) is not None


@lru_cache(maxsize=1024)
def _compiled(pattern: str):
    return re.compile("".join({"*": ".*", "?": "."}.get(c, re.escape(c)) for c in pattern), re.DOTALL)


def plain(pattern: str) -> bool:
    """Whether a pattern is one name and no more."""
    return "*" not in pattern and "?" not in pattern


def meet(a: str, b: str) -> bool:
    """Whether some name fits both patterns.

    >>> meet("a*", "*b"), meet("a*", "b*"), meet("a?", "a"), meet("*", "")
    (True, False, False, True)
    """
    row = [False] * (len(b) + 1)  # row[j]: the first i characters of a and the first j of b have a name in common
    row[0] = True
    for j, c in enumerate(b):
        row[j + 1] = row[j] and c == "*"
    for c in a:
        new = [row[0] and c == "*"]
        for j, d in enumerate(b):
            if c == "*" or d == "*":
                new.append((c == "*" and (row[j + 1] or new[j])) or (d == "*" and (new[j] or row[j + 1])))
            else:
                new.append(row[j] and (c == d or "?" in (c, d)))
        row = new
    return row[-1]
