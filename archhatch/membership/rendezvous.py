"""Rendezvous hashing: the same few names for the same key, whoever asks."""

from __future__ import annotations

import hashlib


def rank(key: str, names) -> list:
    """All names, the one that suits the key best first.

    >>> rank("k", ["b", "a"]) == rank("k", ["a", "b"])
    True
    """
    return sorted(names, key=lambda n: hashlib.blake2b(f"{key}|{n}".encode(), digest_size=8).digest())


def choose(key: str, names, count: int = 1) -> list:
    """The count names that suit the key best.

    >>> len(choose("k", ["a", "b", "c"], 2))
    2
    """
    return rank(key, names)[:count]


def shard_of(service: str, shards: list) -> str:
    """The part that holds a service's state.

    >>> shard_of("svc", ["p0"])
    'p0'
    """
    return choose(service, shards)[0]
