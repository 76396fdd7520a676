"""Keys in the order of their last change, to answer what changed after a version that a reader has."""

from __future__ import annotations

from typing import TypeVar

Key = TypeVar("Key")


def changed_after(versions: dict[Key, int], version: int) -> list[Key]:
    """Returns the keys that changed after a version, the oldest change first.

    Takes time by the number of those keys, not by that of all.

    Args:
        versions: The version of each key's last change. The dictionary must be ordered by version: whoever changes a
            key removes it and inserts it again, at the end.
        version: The version that the reader has.

    >>> changed_after({"a": 1, "b": 2, "c": 3}, 1)
    ['b', 'c']
    """
    keys = []
    for key in reversed(versions):
        if versions[key] <= version:
            break
        keys.append(key)
    keys.reverse()
    return keys
