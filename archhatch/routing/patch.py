"""Changes to named entries of a configuration."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from .configuration import InvalidConfigError

NAMED_TABLES = ("RouteTable", "ServiceTable", "TenantTable")  # lists of entries that have a Name
CHANGE_FIELDS = ("Upsert", "Withdraw", "Revision")


def merge(config: dict[str, Any], change: dict[str, Any]) -> dict[str, Any]:
    """Returns a configuration with a change's Upsert and Withdraw applied; the change's Revision is its own.

    >>> merge({"Revision": 1, "RouteTable": [{"Name": "a"}]}, {"Revision": 2, "Withdraw": {"RouteTable": ["a"]}})
    {'Revision': 2, 'RouteTable': []}

    Raises:
        InvalidConfigError: The change is malformed. Its result is not checked here.
    """
    merged = dict(config)
    for key in change:
        if key not in CHANGE_FIELDS:
            raise InvalidConfigError(f"{key}: no such field of a change")
    if "Revision" not in change:
        raise InvalidConfigError("Revision: is missing")
    merged["Revision"] = change["Revision"]
    for table, names in _tables(change, "Withdraw"):
        merged[table] = _without(merged.get(table, []), names, table)
    for table, entries in _tables(change, "Upsert"):
        merged[table] = entries if table == "Limits" else _with(merged.get(table, []), entries, table)
    return merged


def _without(present: list[dict[str, Any]], names: list[Any], table: str) -> list[dict[str, Any]]:
    if not all(isinstance(name, str) for name in names):
        raise InvalidConfigError(f"Withdraw.{table}: must list names")
    return [entry for entry in present if entry.get("Name") not in names]


def _with(present: list[dict[str, Any]], entries: list[Any], table: str) -> list[dict[str, Any]]:
    if not all(isinstance(entry, dict) and "Name" in entry for entry in entries):
        raise InvalidConfigError(f"Upsert.{table}: must list items with names")
    by_name = {entry["Name"]: entry for entry in present}
    by_name.update({entry["Name"]: entry for entry in entries})
    return list(by_name.values())


def _tables(change: dict[str, Any], key: str) -> Iterator[tuple[str, Any]]:
    tables = change.get(key, {})
    if not isinstance(tables, dict):
        raise InvalidConfigError(f"{key}: must be an object")
    for table, entries in tables.items():
        is_named = table in NAMED_TABLES and isinstance(entries, list)
        if not is_named and table != "Limits":
            raise InvalidConfigError(f"{key}.{table}: no such table")
        yield table, entries
