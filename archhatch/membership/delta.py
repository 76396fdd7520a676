"""Differences between two versions of a JSON document: what the feed sends to a reader that has the older one.

A change is one of

- `{"is": value}`: the value replaces the old one;
- `{"in": {key: change, ...}, "drop": [key, ...]}`: for an object, the members that changed and those that are gone;
- `{"rows": [row, ...], "drop": [name, ...]}`: for a list of objects with a `Name` each, the rows that are new or differ
  and the names that are gone. Known rows keep their places, new ones follow at the end; where that would not give the
  newer list, the list is sent whole.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, TypeGuard

NAME = "Name"  # the key that identifies a row


def diff(old: object, new: object) -> dict | None:
    """Returns the change that turns `old` into `new`; None if they are equal.

    >>> diff({"a": 1, "b": {"c": 2}}, {"b": {"c": 3}})
    {'in': {'b': {'in': {'c': {'is': 3}}, 'drop': []}}, 'drop': ['a']}
    >>> diff([{"Name": "x", "n": 1}, {"Name": "y"}], [{"Name": "x", "n": 2}])
    {'rows': [{'Name': 'x', 'n': 2}], 'drop': ['y']}
    >>> diff([1], [1]) is None
    True
    """
    if old == new:
        return None
    if isinstance(old, dict) and isinstance(new, dict):
        return _diff_members(old, new)
    if _is_table(old) and _is_table(new):
        change = _diff_rows(old, new)
        if apply(old, change) == new:
            return change
    return {"is": new}


def apply(old: Any, change: dict) -> Any:  # noqa: ANN401 - any JSON
    """Returns the newer document; the older one stays as it is, and the two share what did not change.

    >>> apply({"a": 1}, {"in": {"b": {"is": 2}}, "drop": ["a"]}), apply([{"Name": "x"}], {"rows": [], "drop": ["x"]})
    ({'b': 2}, [])
    """
    if "is" in change:
        return change["is"]
    if "in" in change:
        members = {key: value for key, value in old.items() if key not in change["drop"]}
        for key, inner in change["in"].items():
            members[key] = apply(members.get(key), inner)
        return members
    rows = {row[NAME]: row for row in old if row[NAME] not in change["drop"]}
    rows.update({row[NAME]: row for row in change["rows"]})
    return list(rows.values())


def apply_all(old: Any, changes: Iterable[dict]) -> Any:  # noqa: ANN401 - any JSON
    """Returns the document after several changes, the oldest first.

    >>> apply_all({"a": 1}, [{"in": {"a": {"is": 2}}, "drop": []}, {"in": {"b": {"is": 3}}, "drop": []}])
    {'a': 2, 'b': 3}
    """
    for change in changes:
        old = apply(old, change)
    return old


def _diff_members(old: dict, new: dict) -> dict:
    """Returns the change between two objects."""
    changed = {}
    for key, value in new.items():
        change = {"is": value} if key not in old else diff(old[key], value)
        if change is not None:
            changed[key] = change
    return {"in": changed, "drop": [key for key in old if key not in new]}


def _diff_rows(old: list[dict], new: list[dict]) -> dict:
    """Returns the change between two lists of named rows; it loses their order, so the caller must check it."""
    before = {row[NAME]: row for row in old}
    names = {row[NAME] for row in new}
    return {
        "rows": [row for row in new if before.get(row[NAME]) != row],
        "drop": [name for name in before if name not in names],
    }


def _is_table(value: object) -> TypeGuard[list[dict]]:
    """Whether a value is a list of objects with a name each, and all names differ."""
    if not isinstance(value, list) or not all(isinstance(row, dict) for row in value):
        return False
    names = [row.get(NAME) for row in value]
    return all(isinstance(name, str) for name in names) and len(set(names)) == len(names)
