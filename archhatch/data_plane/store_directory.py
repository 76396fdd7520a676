"""The stores as the configuration's shards name them: their addresses, and which of them lead runs.

Shards are kept as documents, as the feed delivers and patches them; this module alone knows their keys.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

ShardDocuments = dict[str, dict[str, Any]]


class ShardSource(Protocol):
    """Has the newest shards of the configuration.

    Attributes:
        shards: The documents by name.
    """

    shards: ShardDocuments


@dataclass(frozen=True, slots=True)
class RunLease:
    """The lease under which a store leads a run.

    Attributes:
        holder_id: The store.
        term: The lease's number; a later lease has a higher one.
    """

    holder_id: str
    term: int


def registered_stores(shards: ShardDocuments) -> dict[str, dict[str, Any]]:
    """Returns the documents of the registered stores by id."""
    return (shards.get("plan") or {}).get("stores", {})


def lease_holders(shards: ShardDocuments) -> set[str]:
    """Returns the stores that hold a lease in any shard."""
    return {lease["holder"] for shard in shards.values() for lease in (shard.get("tenures") or {}).values()}


def newest_leases(shards: ShardDocuments) -> dict[str, RunLease]:
    """Returns the lease of each run; where shards name several, the one of the highest term.

    >>> newest_leases({"p0": {"tenures": {"r": {"holder": "a", "term": 2}}},
    ...                "p1": {"tenures": {"r": {"holder": "b", "term": 1}}}})
    {'r': RunLease(holder_id='a', term=2)}
    """
    newest: dict[str, RunLease] = {}
    for shard in shards.values():
        for run_id, lease in (shard.get("tenures") or {}).items():
            if run_id not in newest or lease["term"] > newest[run_id].term:
                newest[run_id] = RunLease(lease["holder"], lease["term"])
    return newest


def store_address(shards: ShardDocuments, store_id: str | None, port: int) -> str | None:
    """Returns the address for calls to a store, or None if it is not registered."""
    store = registered_stores(shards).get(store_id or "")
    return f"{store['ip']}:{port}" if store else None
