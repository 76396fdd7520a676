"""Sizes and durations as nginx writes them (https://nginx.org/en/docs/syntax.html)."""

from __future__ import annotations

import re

MS_BY_UNIT = {"ms": 1, "": 1000, "s": 1000, "m": 60_000, "h": 3_600_000}
BYTES_BY_UNIT = {"": 1, "k": 1 << 10, "m": 1 << 20, "g": 1 << 30}


def parse_duration_ms(text: str) -> int:
    """Returns the milliseconds of a duration; 0 if the text is none.

    >>> parse_duration_ms("5s"), parse_duration_ms("250ms"), parse_duration_ms("1m"), parse_duration_ms("x")
    (5000, 250, 60000, 0)
    """
    match = re.fullmatch(r"(\d+)(ms|s|m|h|)", text)
    return int(match.group(1)) * MS_BY_UNIT[match.group(2)] if match else 0


def parse_size_bytes(text: str) -> int:
    """Returns the bytes of a size; 0 if the text is none.

    >>> parse_size_bytes("8k"), parse_size_bytes("1M")
    (8192, 1048576)
    """
    match = re.fullmatch(r"(\d+)([kmg]?)", text.lower())
    return int(match.group(1)) * BYTES_BY_UNIT[match.group(2)] if match else 0
