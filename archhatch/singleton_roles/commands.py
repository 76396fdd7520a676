"""Commands on a ledger register. Its value holds the duties of one namespace, by key.

Keys carry meaning, as `accounting` or `accounting/window:356302007`: the part before the slash is the namespace, and
the key that is the namespace alone is the standing lease under which the effects below it are done. An effect's key
ends in a number that rises; finished effects are dropped from the oldest on, and a number at or below the highest that
was dropped is never begun again.
"""

from __future__ import annotations

import orjson

from ..consensus import Commands
from . import state_machine as machine
from .state_machine import RoleRequestRefused
from .record import SingletonRole, RoleState, LeaseHolder

DONE = 1000
KEEP_FINISHED = 8  # finished effects of each kind that are kept
MOST_BYTES = 64 << 10  # of an intent or a result

commands = Commands()


def split_key(key: str) -> tuple[str, str, int]:
    """A key's namespace, the kind of its effect and its number.

    >>> split_key("accounting/window:17"), split_key("accounting")
    (('accounting', 'window', 17), ('accounting', '', 0))
    """
    namespace, _, effect = key.partition("/")
    kind, _, number = effect.rpartition(":")
    return namespace, kind, int(number) if number else 0


def _command(name: str):
    """Register a function of (value, record, holder, args) that changes the record and gives the answer."""

    def put(function):
        @commands.on(name)
        def run(value, args):
            before = value.get("duties", {}).get(args["key"])
            record = SingletonRole.read(before)
            holder = LeaseHolder(args["node"], args.get("life", ""))
            try:
                answer = function(value, record, holder, args)
            except RoleRequestRefused as e:
                return e.code, e.doc, False
            after = record.doc()
            if after != before:
                value.setdefault("duties", {})[args["key"]] = after
                _drop_finished(value)
            return DONE, answer, after != before

        return run

    return put


def _answer(outcome: machine.Granted | machine.Cached) -> dict:
    if isinstance(outcome, machine.Cached):
        return {"cached": True, "result": outcome.result}
    return {"cached": False, "fence": outcome.fence, "prior": outcome.prior.value, "intent": outcome.intent}


def _lapsed(record: SingletonRole, args: dict) -> bool:
    """Whether the node that runs the command has seen this very grant or renewal outlive its length."""
    return args.get("seen") == [record.fence, record.renewals] and args.get("seen_s", 0.0) >= record.lease_s


def _under(value: dict, holder: LeaseHolder, args: dict) -> None:
    """RoleRequestRefused unless the caller holds the lease that an effect stands under."""
    lease_key = split_key(args["key"])[0]
    machine.check_holder(SingletonRole.read(value.get("duties", {}).get(lease_key)), holder, args["fence"])


def _bounded(doc: object) -> object:
    if len(orjson.dumps(doc)) > MOST_BYTES:
        raise RoleRequestRefused(machine.TOO_LARGE)
    return doc


def _is_effect(key: str) -> bool:
    return "/" in key


@_command("duty.request")
def _request(value, record, holder, args):
    return _answer(machine.request(record, holder, args["lease_s"], _lapsed(record, args)))


@_command("duty.renew")
def _renew(value, record, holder, args):
    machine.renew(record, holder, args["fence"])


@_command("duty.release")
def _release(value, record, holder, args):
    machine.release(record, holder, args["fence"], args["rest_s"])


@_command("duty.intend")
def _intend(value, record, holder, args):
    _under(value, holder, args)
    _, kind, number = split_key(args["key"])
    if record.fence == 0 and number <= value.get("floors", {}).get(kind, 0):
        raise RoleRequestRefused(machine.UNKNOWN_DUTY, "it was done, and is forgotten")
    return _answer(machine.intend(record, holder, args["fence"], _bounded(args["intent"])))


@_command("duty.commit")
def _commit(value, record, holder, args):
    if _is_effect(args["key"]):
        _under(value, holder, args)
    machine.commit(record, holder, args["fence"], _bounded(args["result"]))


@_command("duty.fail")
def _fail(value, record, holder, args):
    if _is_effect(args["key"]):
        _under(value, holder, args)
    machine.fail(record, holder, args["fence"], str(args["error"])[:200])


@_command("duty.reset")
def _reset(value, record, holder, args):
    if args["key"] not in value.get("duties", {}):
        raise RoleRequestRefused(machine.UNKNOWN_DUTY, args["key"])
    machine.reset(record, holder.node)


@commands.on("duty.list")
def _list(value, args):
    """All duties of the namespace, sure to be the newest."""
    return DONE, value.get("duties", {}), False


@commands.on("duty.settle")
def _settle(value, args):
    """Nothing but proof of a majority."""
    return DONE, None, False


def _drop_finished(value: dict) -> None:
    """Forget the oldest finished effects of each kind beyond those that are kept; their numbers are not begun again."""
    finished: dict[str, list] = {}
    for key, doc in value["duties"].items():
        if _is_effect(key) and doc["state"] == RoleState.COMMITTED.value:
            finished.setdefault(split_key(key)[1], []).append(key)
    floors = value.setdefault("floors", {})
    for kind, keys in finished.items():
        keys.sort(key=lambda key: split_key(key)[2])
        for key in keys[:-KEEP_FINISHED]:
            floors[kind] = max(split_key(key)[2], floors.get(kind, 0))
            del value["duties"][key]
