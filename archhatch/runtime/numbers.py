"""Strict parsers of numbers in external input: digits only, of bounded length."""

from __future__ import annotations

import re

_COUNT = re.compile(r"[0-9]{1,15}", re.ASCII)
_DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{1,9})?", re.ASCII)


def read_count(text: str) -> int | None:
    """Parses a non-negative integer; returns None for anything else.

    >>> read_count("12"), read_count("-1"), read_count("1e3"), read_count("")
    (12, None, None, None)
    """
    return int(text) if _COUNT.fullmatch(text) else None


def read_decimal(text: str) -> float | None:
    """Parses a non-negative decimal number without exponent; returns None for anything else, such as `nan`.

    >>> read_decimal("1500"), read_decimal("2.5"), read_decimal("nan"), read_decimal("inf"), read_decimal("-1")
    (1500.0, 2.5, None, None, None)
    """
    return float(text) if _DECIMAL.fullmatch(text) else None
