"""Messages of the configuration feed: what a reader asks a control node, and what that answers.

A reader names the versions that it has; the control node answers at once if it has newer ones, else when it has.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from ..runtime.message import Message, wire
from ..runtime.schema import any_object, integer, list_of, mapping_of, nullable, number, object_of, text
from .peer_set import NodeCard
from .replica_entry import ReplicaEntry, read_entry

MAX_VERSION = 2**63 - 1
MAX_LIVE_REQUESTS = 1e12
MAX_WALL_TIME_S = 1e11  # since 1970: some thousand years

_version = integer(0, MAX_VERSION)
_read_objects = list_of(any_object)


def _read_changes(value: object) -> list[dict] | None:
    return None if value is None else list(_read_objects(value))


@dataclass(frozen=True, slots=True)
class FeedQuery(Message):
    """Asks a control node for what is newer than the reader's versions.

    Attributes:
        live: The live requests that this node has in progress, by service; empty if it takes none.
        busy_services: The services for which the reader knows of live requests anywhere, sorted.
        card: Who asks.
        versions: The reader's version of each shard.
        incarnation: The incarnation of the control node that gave `registry_version`.
        registry_version: The version of the replica registry that the reader has.
        hold_s: How long the control node may wait for something new, in seconds.
        successes: Successful answers of replicas, by zone; left out if there is nothing to report.
    """

    live: dict[str, float] = wire("live")
    busy_services: list[str] = wire("busy")
    card: NodeCard = wire("who")
    versions: dict[str, int] = wire("stamps")
    incarnation: str = wire("life")
    registry_version: int = wire("turn")
    hold_s: float = wire("hold")
    successes: list = wire("served", default_factory=list, optional=True)


@dataclass(frozen=True, slots=True)
class ShardUpdate(Message):
    """A shard's register: its value, or the changes to it since the version `base`.

    Attributes:
        version: The version that the update leads to.
        value: The whole value; None if changes are sent.
        base: The version to which the changes apply; None if the whole value is sent.
        changes: The changes, the oldest first (see delta); None if the whole value is sent.
    """

    version: int = wire("stamp", decode=_version)
    value: Any = wire("val", default=None)
    base: int | None = wire("base", default=None, decode=nullable(_version, None))
    changes: list[dict] | None = wire("changes", default=None, decode=_read_changes)


@dataclass(frozen=True, slots=True)
class FeedAnswer(Message):
    """What a control node has that is newer than the reader's versions.

    Attributes:
        shards: The shards of which the reader has an older version, by name.
        replicas: The entries of replicas that changed. They stay dictionaries, see replica_entry.
        incarnation: The incarnation of the control node.
        registry_version: The control node's version of the replica registry.
        addresses: The addresses of the control nodes that it can reach, its own first.
        live_totals: The live requests in progress on all edges, by service.
        node_id: The control node's id; empty from nodes that do not send it.
        newest_versions: The newest version of each shard of which the control node has heard.
        wall_time: The agreed time of day; None if the control node has none.
    """

    shards: dict[str, ShardUpdate] = wire("parts", decode=mapping_of(object_of(ShardUpdate)))
    replicas: Sequence[ReplicaEntry] = wire("roll", decode=list_of(read_entry))
    incarnation: str = wire("life", decode=text())
    registry_version: int = wire("turn", decode=_version)
    addresses: Sequence[str] = wire("cores", decode=list_of(text(min_length=1)))
    live_totals: dict[str, float] = wire("busy", decode=mapping_of(number(0, MAX_LIVE_REQUESTS)))
    node_id: str = wire("id", default="", decode=text())
    newest_versions: dict[str, int] | None = wire("newest", default=None, decode=nullable(mapping_of(_version), None))
    wall_time: float | None = wire("time", default=None, decode=nullable(number(0, MAX_WALL_TIME_S), None))
