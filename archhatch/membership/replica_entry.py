"""What is known of one replica, as it is spread among control nodes and sent to readers.

Entries stay dictionaries: they are decoded from JSON, kept by the ten thousand and encoded again on every control
node, edge and store, where an object for each would cost memory and a conversion at every hop. `ReplicaEntry` names
their keys for the type checker and costs nothing at run time.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import Any, NotRequired, TypedDict, cast, final

from ..runtime.message import InvalidFieldError


class ReplicaState(enum.StrEnum):
    """How a replica takes part; it only ever moves down this list."""

    UP = "up"
    DRAINING = "draining"  # finishes what it has and takes nothing new
    GONE = "gone"  # kept for a while, so that a late heartbeat does not bring it back


# The values as they stand in entries. Plain strings, since the comparison runs for each heartbeat, and reading the
# value of an enum's member takes longer than comparing it.
UP = ReplicaState.UP.value
DRAINING = ReplicaState.DRAINING.value
GONE = ReplicaState.GONE.value


STATES = frozenset({UP, DRAINING, GONE})
ENTRY_TEXTS = ("id", "state", "addr", "service", "zone")
ENTRY_COUNTS = ("seq", "slots")
MARKS = ("silent", "superseded")  # keys that a control node sets by what it has heard itself; not passed on to others


class ReplicaEntry(TypedDict):
    """The last heartbeat of a replica; the keys are those on the wire.

    Attributes:
        id: The replica's id; a restarted replica has a new one.
        state: A value of ReplicaState.
        seq: The sequence number of its heartbeats.
        addr: Its address as IP:PORT.
        service: The service that it serves.
        zone: Its zone; empty if it named none.
        slots: How many requests it handles at once.
        models: The revision of each model that it has loaded, by model.
        rev: The revision of its software.
        silent: Whether its heartbeats have stopped; set by the registry, absent until then.
        superseded: Whether a later incarnation has its address; set by the registry, absent otherwise.
        age: Seconds since it was heard; only between control nodes.
        first_age: Seconds since it was heard for the first time; only between control nodes.
    """

    id: str
    state: str
    seq: int
    addr: NotRequired[str]
    service: NotRequired[str]
    zone: NotRequired[str]
    slots: NotRequired[int]
    models: NotRequired[dict[str, Any]]
    rev: NotRequired[str]
    silent: NotRequired[bool]
    superseded: NotRequired[bool]
    age: NotRequired[float]
    first_age: NotRequired[float]


@final
class HeartbeatSummary(TypedDict):
    """What control nodes send in place of an entry whose heartbeat said nothing new.

    Attributes:
        id: The replica's id.
        seq: The sequence number of the heartbeat.
        age: Seconds since it was heard.
    """

    id: str
    seq: int
    age: float


def read_entry(value: object) -> ReplicaEntry:
    """Reads an entry that another node sent; it stays the dictionary that came.

    Raises:
        InvalidFieldError: It is no entry; names the key.
    """
    if not isinstance(value, dict):
        raise InvalidFieldError("must be an object")
    for key in ENTRY_TEXTS:
        if not isinstance(value.get(key), str):
            raise InvalidFieldError("must be text", key)
    if value["state"] not in STATES:
        raise InvalidFieldError("is no state of a replica", "state")
    for key in ENTRY_COUNTS:
        if type(value.get(key)) is not int:
            raise InvalidFieldError("must be an integer", key)
    models = value.get("models")
    if not isinstance(models, dict) or not all(type(revision) is int for revision in models.values()):
        raise InvalidFieldError("must be revisions by model", "models")
    return cast(ReplicaEntry, value)


def marks_of(entry: ReplicaEntry) -> tuple[bool, bool]:
    """Returns whether an entry is marked as silent, and whether as superseded.

    >>> marks_of({"id": "a", "state": "up", "seq": 1, "silent": True})
    (True, False)
    """
    return bool(entry.get("silent")), bool(entry.get("superseded"))


def without_marks(entry: ReplicaEntry) -> ReplicaEntry:
    """Returns an entry as it is sent to another control node, which makes its own marks."""
    return {key: value for key, value in entry.items() if key not in MARKS}  # type: ignore[return-value] # fewer keys


def takes_requests(entry: Mapping[str, Any]) -> bool:
    """Returns whether a replica is up and heard, and the latest incarnation at its address."""
    return entry["state"] == UP and not entry.get("silent") and not entry.get("superseded")
