"""Migrates configurations of stored form 1 to the present form.

Earlier versions checked a configuration with a reader that converts ("2000" passes as a number), stored it as it came,
and did not look at every field. Each function here takes a copy of a table's entry and puts in place of such values
what those versions took them for; a field that they never read and that cannot be read today is left out.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from typing import Any

from ..runtime.logs import escape
from .configuration import (
    MAX_ATTEMPTS,
    MAX_BODY_BYTES,
    MAX_COUNT,
    MAX_DURATION_MS,
    MAX_DURATION_S,
    MAX_HEADER_BYTES,
    MAX_PRIORITY,
    MAX_QUANTITY,
    MAX_WEIGHT,
)

Entry = dict[str, Any]
Convert = Callable[[Any], Any]

# What a conversion raises on a value that it cannot take.
_UNUSABLE = (TypeError, ValueError, OverflowError, KeyError, AttributeError)


def _number(maximum: float) -> Convert:
    """Returns the conversion to a number of at most `maximum`; text that looks like one is one, a boolean is not."""

    def convert(value: object) -> float:
        if isinstance(value, bool) or not isinstance(value, (int, float, str)):
            raise TypeError("is no number")
        found = float(value)
        if not math.isfinite(found):
            raise ValueError("is not finite")
        if found > maximum:
            return float(maximum)
        return found if isinstance(value, str) else value

    return convert


def _whole_number(minimum: int, maximum: int) -> Convert:
    """Returns the conversion to a whole number within bounds; what stands behind the point is cut off."""

    def convert(value: object) -> int:
        if isinstance(value, bool) or not isinstance(value, (int, float, str)):
            raise TypeError("is no number")
        return max(minimum, min(int(value), maximum))

    return convert


def _printable(value: object) -> str:
    """Returns text with an escape sequence in place of each control character."""
    if not isinstance(value, str):
        raise TypeError("is no text")
    return escape(value)


def _name(value: object) -> str:
    if not value:
        raise ValueError("is empty")
    return _printable(value)


def _list_of(convert: Convert) -> Convert:
    def convert_all(value: Any) -> list:  # noqa: ANN401 - any JSON
        return [convert(item) for item in value]

    return convert_all


def _usable_items_of(convert: Convert) -> Convert:
    """Returns the conversion of a list that leaves out the items that cannot be used."""

    def convert_usable(value: Any) -> list:  # noqa: ANN401 - any JSON
        items = []
        for item in value if isinstance(value, list) else []:
            try:
                items.append(convert(item))
            except _UNUSABLE:
                continue
        return items

    return convert_usable


def _entry(read: Mapping[str, Convert], unread: Mapping[str, Convert] | None = None) -> Convert:
    """Returns the conversion of an object.

    Args:
        read: The conversion of each field that earlier versions read.
        unread: That of each field that they passed over; one that cannot be converted is left out.
    """
    unread = unread or {}

    def convert(value: Any) -> Entry:  # noqa: ANN401 - any JSON
        entry = dict(value)
        for key in read.keys() & entry.keys():
            entry[key] = read[key](entry[key])
        for key in unread.keys() & entry.keys():
            try:
                entry[key] = unread[key](entry[key])
            except _UNUSABLE:
                del entry[key]
        return entry

    return convert


_duration_ms = _number(MAX_DURATION_MS)
_duration_s = _number(MAX_DURATION_S)
_count = _whole_number(0, MAX_COUNT)
_quantity = _number(MAX_QUANTITY)
_priority = _whole_number(-MAX_PRIORITY, MAX_PRIORITY)


def _at_least_zero(convert: Convert) -> Convert:
    """Returns a conversion that takes no negative number."""

    def convert_checked(value: object) -> float:
        found = convert(value)
        if found < 0:
            raise ValueError("is negative")
        return found

    return convert_checked


_weighted_service = _entry({"Service": _printable, "Weight": _number(MAX_WEIGHT)})

_route_fields = _entry(
    {
        "Name": _printable,
        "HostName": _printable,
        "PathPrefix": _printable,
        "TimeoutMs": _duration_ms,
        "TargetLatencyMs": _duration_ms,
        "ResultDueMs": _duration_ms,
        "MaxQueueS": _duration_s,
        "MaxAttempts": _whole_number(1, MAX_ATTEMPTS),
        "Priority": _priority,
        "Resumable": bool,
        "SingleVersion": bool,
        "NoAuth": bool,
        "TrafficSplit": _list_of(_weighted_service),
    },
    unread={"Service": _name, "SessionAffinity": bool, "GapTargetMs": _at_least_zero(_duration_ms)},
)

_model = _entry(
    {"Name": _name},
    unread={
        "SizeMb": _at_least_zero(_quantity),
        "LoadS": _at_least_zero(_duration_s),
        "AdapterList": _count,
        "AdapterMb": _at_least_zero(_quantity),
    },
)


def _named_model(value: Any) -> Entry:  # noqa: ANN401 - any JSON
    if "Name" not in value:
        raise KeyError("Name")
    return _model(value)


_engine = _entry(
    {"ModelList": _usable_items_of(_named_model)},
    unread={
        "SlotCount": _count,
        "KvCapacity": _at_least_zero(_quantity),
        "KvTokenBytes": _at_least_zero(_quantity),
        "LinkMbps": _at_least_zero(_quantity),
        "Stride": _at_least_zero(_quantity),
    },
)


def _engine_or_none(value: object) -> Entry | None:
    return None if value is None else _engine(value)


def _autoscale(value: Any) -> Entry | None:  # noqa: ANN401 - any JSON
    """Converts a range of replicas; where it was empty, earlier versions kept to its upper end."""
    if not value:
        return None
    scale = _entry({"MinCount": _count, "MaxCount": _count}, unread={"BootS": _at_least_zero(_duration_s)})(value)
    return {**scale, "MinCount": min(scale["MinCount"], scale["MaxCount"])}


_service = _entry(
    {"Name": _printable, "MaxConnections": _whole_number(1, MAX_COUNT)},
    unread={
        "HealthPath": _printable,
        "Protocol": _printable,
        "TlsMode": bool,
        "WarmupS": _at_least_zero(_duration_s),
        "WarmupPerS": _at_least_zero(_quantity),
        "Engine": _engine_or_none,
        "Autoscale": _autoscale,
    },
)

_tenant = _entry({"Priority": _priority})

_limits = _entry(
    {
        "MaxHeaderBytes": _whole_number(1, MAX_HEADER_BYTES),
        "MaxBodyBytes": _whole_number(0, MAX_BODY_BYTES),
        "HeaderTimeoutMs": _duration_ms,
        "IdleTimeoutMs": _duration_ms,
    }
)

_configuration = _entry(
    {
        "RouteTable": _list_of(_route_fields),
        "ServiceTable": _list_of(_service),
        "TenantTable": _list_of(_tenant),
        "Limits": _limits,
    }
)


def migrate_form_1(document: object) -> object:
    """Returns a configuration of form 1 in the present form; as it is if it was no valid one of form 1 either.

    >>> migrate_form_1({"RouteTable": [{"TimeoutMs": "2000"}]})
    {'RouteTable': [{'TimeoutMs': 2000.0}]}
    """
    try:
        return _configuration(document)
    except _UNUSABLE:
        return document
