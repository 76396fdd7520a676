"""Imports by name, so that a name that moved is told by that name."""

from __future__ import annotations

import importlib

ROOT = __package__.rsplit(".", 1)[0]


class Missing(Exception):
    """A name that a probe measures is not there any more.

    >>> str(Missing("archhatch.membership.replica_registry: ReplicaRegistry.bet"))
    'archhatch.membership.replica_registry: ReplicaRegistry.bet: no such name; the probe that measures it must follow'
    """

    def __init__(self, name: str):
        super().__init__(f"{name}: no such name; the probe that measures it must follow")
        self.name = name


def need(module: str, name: str, *methods: str):
    """A name of one of our modules, sure to have these methods; Missing tells which lacks.

    >>> need("membership.replica_registry", "ReplicaRegistry", "record_heartbeat", "changes_since").__name__
    'ReplicaRegistry'
    """
    full = f"{ROOT}.{module}"
    try:
        mod = importlib.import_module(full)
    except ModuleNotFoundError as e:
        raise Missing(full) from e
    if not hasattr(mod, name):
        raise Missing(f"{full}: {name}")
    got = getattr(mod, name)
    for method in methods:
        if not hasattr(got, method):
            raise Missing(f"{full}: {name}.{method}")
    return got
