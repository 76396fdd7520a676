"""Commands on the configuration. A change is known by its number, its content and the version that it builds on.

What was acknowledged stays acknowledged for whoever sends it again, and what was refused can never come into force
through a copy that is still on its way:

- A change in force leaves its mark under its number. The marks of the last KEEP_TAKEN changes are kept; a number at or
  below the highest one that was dropped since gets no clear answer, as nobody can tell any more.
- A change whose `If-Match` lies below the current version can never be taken, as versions only rise.
- A change whose `If-Match` lies above the current version could be taken later, by a copy that is still on its way,
  if that version comes. Its refusal is therefore written into the register, until the versions have passed it.
"""

from __future__ import annotations

import hashlib

import orjson

from ..consensus import Commands
from ..routing.patch import merge
from ..routing.schemas import InvalidConfigError, check_config

DONE, INVALID, NOT_HIGHER, OTHER_VERSION, NO_PLAN, UNSURE = 1000, 2002, 2005, 2011, 3001, 3004
KEEP_TAKEN = 1024  # changes whose mark is kept
KEEP_REFUSED = 64  # refusals that wait for the versions to pass them; beyond that there is no clear answer

commands = Commands()


def digest(kind: str, doc: object, match: int) -> str:
    """The mark of a change: its kind, its content and what it builds on.

    >>> digest("put", {"b": 1, "a": 2}, 3) == digest("put", {"a": 2, "b": 1}, 3) != digest("put", {"a": 2, "b": 1}, 4)
    True
    """
    raw = orjson.dumps([kind, doc, match], option=orjson.OPT_SORT_KEYS)
    return hashlib.blake2b(raw, digest_size=8).hexdigest()


def _take(value: dict, kind: str, args: dict, build):
    now = value.get("plan", {}).get("Revision", 0)
    number, match = args["doc"]["Revision"], args["match"]
    mark = digest(kind, args["doc"], match)
    taken = value.get("taken", {}).get(str(number))
    if taken == mark:
        return DONE, {"Revision": now}, False
    if taken is None and number <= value.get("taken_floor", 0):
        return UNSURE, {"Revision": now}, False
    if match > now:
        return _refuse_ahead(value, mark, match, now)
    if match < now or mark in value.get("refused", {}):
        return OTHER_VERSION, {"Revision": now}, False
    try:
        doc = check_config(build())
    except InvalidConfigError as e:
        return INVALID, str(e), False
    if doc["Revision"] <= now:
        return NOT_HIGHER, {"Revision": now}, False
    value["plan"] = doc
    _remember(value, number, mark)
    return DONE, {"Revision": number}, True


def _refuse_ahead(value: dict, mark: str, match: int, now: int):
    """Refuse a change that builds on a version which may still come, so that no copy of it is ever taken."""
    refused = value.setdefault("refused", {})
    if mark in refused:
        return OTHER_VERSION, {"Revision": now}, False
    if len(refused) >= KEEP_REFUSED:
        return UNSURE, {"Revision": now}, False
    refused[mark] = match
    return OTHER_VERSION, {"Revision": now}, True


def _remember(value: dict, number: int, mark: str) -> None:
    """Keep the mark of a change that came into force; drop what no copy can bring back."""
    taken = value.setdefault("taken", {})
    taken[str(number)] = mark
    while len(taken) > KEEP_TAKEN:
        oldest = next(iter(taken))
        del taken[oldest]
        value["taken_floor"] = int(oldest)
    if "refused" in value:
        value["refused"] = {m: match for m, match in value["refused"].items() if match >= number}


@commands.on("plan.put")
def plan_put(value, args):
    """A whole configuration: {"doc": ..., "match": 5}."""
    return _take(value, "put", args, lambda: args["doc"])


@commands.on("plan.patch")
def plan_patch(value, args):
    """Named items: {"doc": {"Revision": 9, "Upsert": ...}, "match": 7}."""
    return _take(value, "patch", args, lambda: merge(value.get("plan", {}), args["doc"]))


@commands.on("plan.get")
def plan_get(value, args):
    """The configuration in force, sure to be the newest."""
    return (DONE, value["plan"], False) if "plan" in value else (NO_PLAN, None, False)
