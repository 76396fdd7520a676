"""Changes to named entries of a configuration."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ..runtime.message import InvalidFieldError, Message, wire
from ..runtime.schema import list_of, object_of, read_message, text
from .configuration import InvalidConfigError, read_revision

Entry = dict[str, Any]

NAMED_TABLES = ("RouteTable", "ServiceTable", "TenantTable")  # lists of entries that have a Name
LIMITS = "Limits"  # an object, which a change replaces as a whole
CHANGE_FIELDS = ("Upsert", "Withdraw", "Revision")

_name = text(min_length=1)


def _read_entry(value: object) -> Entry:
    """Reads an entry of a table: an object with a name. The rest is read with the whole configuration."""
    if not isinstance(value, dict):
        raise InvalidFieldError("must be an object")
    if "Name" not in value:
        raise InvalidFieldError("is missing", "Name")
    try:
        _name(value["Name"])
    except InvalidFieldError as error:
        raise error.within("Name") from None
    return value


def _read_limits(value: object) -> Entry:
    if not isinstance(value, dict):
        raise InvalidFieldError("must be an object")
    return value


@dataclass(frozen=True, slots=True)
class Withdrawal(Message):
    """The names that a change removes from each table; None for tables that it does not name."""

    routes: tuple[str, ...] | None = wire("RouteTable", default=None, decode=list_of(_name))
    services: tuple[str, ...] | None = wire("ServiceTable", default=None, decode=list_of(_name))
    tenants: tuple[str, ...] | None = wire("TenantTable", default=None, decode=list_of(_name))


@dataclass(frozen=True, slots=True)
class Replacement(Message):
    """The entries that a change adds to each table or puts in place of those of their names, and its Limits.

    None stands for what it does not name.
    """

    routes: tuple[Entry, ...] | None = wire("RouteTable", default=None, decode=list_of(_read_entry))
    services: tuple[Entry, ...] | None = wire("ServiceTable", default=None, decode=list_of(_read_entry))
    tenants: tuple[Entry, ...] | None = wire("TenantTable", default=None, decode=list_of(_read_entry))
    limits: Entry | None = wire(LIMITS, default=None, decode=_read_limits)


@dataclass(frozen=True, slots=True)
class ConfigurationChange(Message):
    """A change; its Revision is read apart."""

    withdraw: Withdrawal = wire("Withdraw", default=Withdrawal(), decode=object_of(Withdrawal))
    upsert: Replacement = wire("Upsert", default=Replacement(), decode=object_of(Replacement))


def merge(config: dict[str, Any], change: dict[str, Any]) -> dict[str, Any]:
    """Returns a configuration with a change's Upsert and Withdraw applied; the change's Revision is its own.

    >>> merge({"Revision": 1, "RouteTable": [{"Name": "a"}]}, {"Revision": 2, "Withdraw": {"RouteTable": ["a"]}})
    {'Revision': 2, 'RouteTable': []}

    Raises:
        InvalidConfigError: The change is malformed. Its result is not checked here.
    """
    _check_names(change, "", CHANGE_FIELDS, "field of a change")
    read = _read_change(change)
    _check_names(change.get("Withdraw", {}), "Withdraw.", NAMED_TABLES, "table")
    _check_names(change.get("Upsert", {}), "Upsert.", (*NAMED_TABLES, LIMITS), "table")
    merged = {**config, "Revision": read_revision(change)}
    withdrawn = (read.withdraw.routes, read.withdraw.services, read.withdraw.tenants)
    replaced = (read.upsert.routes, read.upsert.services, read.upsert.tenants)
    for table, names, entries in zip(NAMED_TABLES, withdrawn, replaced, strict=True):
        if names is not None or entries is not None:
            merged[table] = _merged_table(merged.get(table, []), names or (), entries or ())
    if read.upsert.limits is not None:
        merged[LIMITS] = read.upsert.limits
    return merged


def _read_change(change: dict[str, Any]) -> ConfigurationChange:
    try:
        return read_message(ConfigurationChange, change)
    except InvalidFieldError as error:
        raise InvalidConfigError(str(error)) from None


def _check_names(document: dict[str, Any], place: str, names: tuple[str, ...], kind: str) -> None:
    for name in document:
        if name not in names:
            raise InvalidConfigError(f"{place}{name}: no such {kind}")


def _merged_table(present: list[Entry], names: tuple[str, ...], entries: tuple[Entry, ...]) -> list[Entry]:
    """Returns a table without some names and with some entries; entries that stay keep their places."""
    withdrawn = frozenset(names)
    by_name = {entry["Name"]: entry for entry in present if entry["Name"] not in withdrawn}
    by_name.update({entry["Name"]: entry for entry in entries})
    return list(by_name.values())
