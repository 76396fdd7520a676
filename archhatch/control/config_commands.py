"""Commands on the configuration.

A change is identified by its revision, its content and the version that it builds on. What was acknowledged stays
acknowledged for whoever sends it again, and what was refused can never come into force through a copy that is still on
its way:

- A change in force leaves its digest under its revision. The digests of the last MAX_APPLIED_DIGESTS changes are kept;
  a revision at or below the highest one that was dropped since gets no clear answer, as nobody can tell any more.
- A change whose `If-Match` lies below the current version can never be applied, as versions only rise.
- A change whose `If-Match` lies above the current version could be applied later, by a copy that is still on its way,
  if that version comes. Its refusal is therefore written into the register, until the versions have passed it.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import orjson

from ..consensus import Commands
from ..routing.patch import merge
from ..routing import InvalidConfigError, read_configuration
from ..routing.configuration import check_depth, read_revision
from ..routing.stored_configuration import (
    StoredConfiguration,
    set_fallback,
    newest_configuration,
    put_configuration,
    fallback_configuration,
)
from ..runtime.message import Message, wire
from .register_values import RegisterValue, config_revision
from .result_codes import DONE, INVALID_CONFIG, NO_CONFIG, REVISION_NOT_HIGHER, UNCERTAIN, VERSION_MISMATCH

MAX_APPLIED_DIGESTS = 1024  # applied changes whose digest is kept
MAX_AHEAD_REFUSALS = 64  # refusals that wait for the versions to pass them; beyond that there is no clear answer
DIGEST_BYTES = 8

commands = Commands()


@dataclass(frozen=True, slots=True)
class ConfigChange(Message):
    """The arguments of a change of the configuration.

    Attributes:
        document: The whole configuration, or the named items to change.
        expected_revision: The revision that the change builds on, from `If-Match`.
    """

    document: Any = wire("doc")
    expected_revision: int = wire("match")


def digest(kind: str, document: object, expected_revision: int) -> str:
    """Returns what identifies a change: its kind, its content and what it builds on.

    >>> digest("put", {"b": 1, "a": 2}, 3) == digest("put", {"a": 2, "b": 1}, 3) != digest("put", {"a": 2, "b": 1}, 4)
    True
    """
    raw = orjson.dumps([kind, document, expected_revision], option=orjson.OPT_SORT_KEYS)
    return hashlib.blake2b(raw, digest_size=DIGEST_BYTES).hexdigest()


def why_invalid(value: RegisterValue, kind: str, change: ConfigChange) -> str | None:
    """Returns why a change cannot be put in force, as far as it can be told without the register's owner.

    The owner checks each change, but may run a version of this software that takes what this one refuses.

    Args:
        value: The register's value, as it is known here.
        kind: "put" or "patch".
        change: The change.

    Returns:
        What is wrong; None if nothing is, or the owner has to tell.
    """
    expected, current = change.expected_revision, config_revision(value)
    if expected < current or (kind == "patch" and expected != current) or _is_applied(value, kind, change):
        return None
    try:
        read_configuration(change.document if kind == "put" else merge(_present_document(value), change.document))
    except InvalidConfigError as error:
        return str(error)
    return None


def _is_applied(value: RegisterValue, kind: str, change: ConfigChange) -> bool:
    applied_digest = value.get("taken", {}).get(str(change.document.get("Revision")))
    return applied_digest == digest(kind, change.document, change.expected_revision)


def is_readable(stored: StoredConfiguration) -> bool:
    """Whether a stored configuration can be read."""
    try:
        stored.read()
    except InvalidConfigError:
        return False
    return True


def _present_document(value: RegisterValue) -> dict:
    """Returns the newest configuration in the present form; empty before the first one."""
    newest = newest_configuration(value)
    return newest.present_document() if newest is not None else {}


def _apply(value: RegisterValue, kind: str, change: ConfigChange, build: Callable[[], Any]) -> tuple:
    """Applies a change unless it was applied or refused before, or builds on another version."""
    current = config_revision(value)
    answer = {"Revision": current}
    try:
        check_depth(change.document)
        revision = read_revision(change.document)
    except InvalidConfigError as error:
        return INVALID_CONFIG, str(error), False
    expected = change.expected_revision
    change_digest = digest(kind, change.document, expected)

    applied_digest = value.get("taken", {}).get(str(revision))
    if applied_digest == change_digest:
        return DONE, answer, False
    if applied_digest is None and revision <= value.get("taken_floor", 0):
        return UNCERTAIN, answer, False
    if expected > current:
        return _refuse_ahead(value, change_digest, expected, current)
    if expected < current or change_digest in value.get("refused", {}):
        return VERSION_MISMATCH, answer, False
    return _put_in_force(value, change_digest, revision, build)


def _put_in_force(value: RegisterValue, change_digest: str, revision: int, build: Callable[[], Any]) -> tuple:
    current = config_revision(value)
    try:
        document = build()
        configuration = read_configuration(document)
    except InvalidConfigError as error:
        return INVALID_CONFIG, str(error), False
    if configuration.revision <= current:
        return REVISION_NOT_HIGHER, {"Revision": current}, False
    put_configuration(value, configuration, document)
    _remember_applied(value, revision, change_digest)
    return DONE, {"Revision": revision}, True


def _refuse_ahead(value: RegisterValue, change_digest: str, expected: int, current: int) -> tuple:
    """Refuses a change that builds on a version which may still come, so that no copy of it is ever applied."""
    refused = value.setdefault("refused", {})
    if change_digest in refused:
        return VERSION_MISMATCH, {"Revision": current}, False
    if len(refused) >= MAX_AHEAD_REFUSALS:
        return UNCERTAIN, {"Revision": current}, False
    refused[change_digest] = expected
    return VERSION_MISMATCH, {"Revision": current}, True


def _remember_applied(value: RegisterValue, revision: int, change_digest: str) -> None:
    """Keeps the digest of a change that came into force; drops the refusals that no copy can bring back."""
    applied = value.setdefault("taken", {})
    applied[str(revision)] = change_digest
    while len(applied) > MAX_APPLIED_DIGESTS:
        oldest = next(iter(applied))
        del applied[oldest]
        value["taken_floor"] = int(oldest)
    if "refused" in value:
        value["refused"] = {refused: expected for refused, expected in value["refused"].items() if expected >= revision}


@commands.on("plan.put")
def plan_put(value: RegisterValue, args: dict) -> tuple:
    """Replaces the whole configuration: {"doc": ..., "match": 5}."""
    change = ConfigChange.from_document(args)
    return _apply(value, "put", change, lambda: change.document)


@commands.on("plan.patch")
def plan_patch(value: RegisterValue, args: dict) -> tuple:
    """Changes named items: {"doc": {"Revision": 9, "Upsert": ...}, "match": 7}."""
    change = ConfigChange.from_document(args)
    return _apply(value, "patch", change, lambda: merge(_present_document(value), change.document))


@commands.on("plan.get")
def plan_get(value: RegisterValue, _args: dict) -> tuple:
    """Reads the configuration in force; a majority confirms that it is the newest."""
    return (DONE, _present_document(value), False) if "plan" in value else (NO_CONFIG, None, False)


@commands.on("plan.fallback")
def plan_fallback(value: RegisterValue, args: dict) -> tuple:
    """Stores the newest readable configuration while a newer one, of another version, cannot be read."""
    offered = StoredConfiguration.from_document(args)
    stored, newest = fallback_configuration(value), newest_configuration(value)
    is_stored = stored is not None and stored.revision >= offered.revision
    if newest is None or is_stored or offered.revision >= newest.revision or is_readable(newest):
        return DONE, None, False
    set_fallback(value, offered)
    return DONE, None, True
