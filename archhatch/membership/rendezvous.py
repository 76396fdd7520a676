"""Rendezvous hashing (Thaler and Ravishankar, 1998): every node chooses the same names for the same key."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

DIGEST_BYTES = 8


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Returns all names in the order of their hash with a key, the first choice first.

    A name that is added or removed moves only the keys for which it is the first choice.

    >>> rank("k", ["b", "a"]) == rank("k", ["a", "b"])
    True
    """
    return sorted(names, key=lambda name: hashlib.blake2b(f"{key}|{name}".encode(), digest_size=DIGEST_BYTES).digest())


def choose(key: str, names: Iterable[str], count: int = 1) -> list[str]:
    """Returns the first `count` names of the ranking for a key.

    >>> len(choose("k", ["a", "b", "c"], 2))
    2
    """
    return rank(key, names)[:count]


def shard_of(service: str, shards: Iterable[str]) -> str:
    """Returns the shard that holds a service's state.

    >>> shard_of("svc", ["p0"])
    'p0'
    """
    return choose(service, shards)[0]
