"""Changes to named items of a configuration."""

from __future__ import annotations

from .schemas import InvalidConfigError

NAMED_TABLES = ("RouteTable", "ServiceTable", "TenantTable")  # lists of items that have a Name


def merge(plan: dict, change: dict) -> dict:
    """A configuration with a change's Upsert and Withdraw applied; the change's Revision is its own.

    >>> merge({"Revision": 1, "RouteTable": [{"Name": "a"}]}, {"Revision": 2, "Withdraw": {"RouteTable": ["a"]}})
    {'Revision': 2, 'RouteTable': []}
    """
    out = dict(plan)
    for key, value in change.items():
        if key not in ("Upsert", "Withdraw", "Revision"):
            raise InvalidConfigError(f"{key}: no such field of a change")
    if "Revision" not in change:
        raise InvalidConfigError("Revision: is missing")
    out["Revision"] = change["Revision"]
    for table, names in _tables(change, "Withdraw"):
        if not all(isinstance(n, str) for n in names):
            raise InvalidConfigError(f"Withdraw.{table}: must list names")
        out[table] = [it for it in out.get(table, []) if it.get("Name") not in names]
    for table, items in _tables(change, "Upsert"):
        if table == "Limits":
            out["Limits"] = items
            continue
        if not all(isinstance(it, dict) and "Name" in it for it in items):
            raise InvalidConfigError(f"Upsert.{table}: must list items with names")
        rows = {it["Name"]: it for it in out.get(table, [])}
        rows.update({it["Name"]: it for it in items})
        out[table] = list(rows.values())
    return out


def _tables(change: dict, key: str):
    doc = change.get(key, {})
    if not isinstance(doc, dict):
        raise InvalidConfigError(f"{key}: must be an object")
    for table, rows in doc.items():
        if table not in (*NAMED_TABLES, "Limits") or (table != "Limits" and not isinstance(rows, list)):
            raise InvalidConfigError(f"{key}.{table}: no such table")
        yield table, rows
