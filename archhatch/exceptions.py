"""The root of archhatch's errors. Each package derives its own from it."""

from __future__ import annotations


class ArchhatchError(Exception):
    """Base class of every error that archhatch raises on purpose.

    Attributes:
        code: The numbered result code that an answer to a caller carries (docs/codes.md), or None for an error that
            never reaches a caller.
    """

    code: int | None = None
