"""Commands on the membership of the stores, the runs' leases and the retirement of machines.

The `plan` register holds the stores and, for each run, the highest leadership term that has begun (`runs`); the lease
itself stands in one of the other registers, by the run's name. A term begins by `run.begin`: from then on no older
holder's `store.clear` counts, so a leaving store stays a member until the current holder of every run has declared that
its copies are not needed.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from ..consensus import Commands
from ..jobs import Quorum, active_members
from ..runtime.message import Message, wire
from .leases import LeaseClaim, claim_lease
from .register_values import (
    ACTIVE,
    LEAVING,
    NOT_BEGUN,
    RegisterValue,
    StoreRecord,
    begun_term,
    dropped_stores_of,
    retirements_of,
    run_leases_of,
    runs_of,
    stores_of,
    voter_groups_of,
)
from .result_codes import (
    DONE,
    STALE_TERM_OR_MEMBERSHIP,
    TOO_FEW_MACHINES_LEFT,
    UNCERTAIN,
    UNKNOWN_MACHINE,
)

MAX_DROPPED_IDS = 64  # ids of dropped stores that are remembered
MAX_RETIREMENT_REFUSALS = 64  # machines whose refused retirement is remembered by name
NEVER = -1  # below every version of a register
RETIREMENT_ACTIVE, RETIREMENT_COMPLETE = "active", "complete"

commands = Commands()


@dataclass(frozen=True, slots=True)
class StoreJoin(Message):
    """A store with a disk of its own asks to become a member."""

    store_id: str = wire("id")
    machine: str = wire("name")
    ip_address: str = wire("ip")
    zone: str = wire("zone")


@dataclass(frozen=True, slots=True)
class StoreLeave(Message):
    """A store is to leave.

    Attributes:
        store_id: The store.
        quorum: The tolerated losses; they come with the command, because all nodes must decide alike whatever settings
            they were started with.
    """

    store_id: str = wire("id")
    quorum: dict | None = wire("quorum", default=None)


@dataclass(frozen=True, slots=True)
class StoreClear(Message):
    """A run's lease holder declares that a leaving store is not needed for the run.

    Attributes:
        store_id: The leaving store.
        run_id: The run.
        term: The term of the run's lease.
        counted_stores: The stores on which the holder has counted copies instead.
    """

    store_id: str = wire("id")
    run_id: str = wire("run")
    term: int = wire("term")
    counted_stores: Sequence[str] = wire("counted", default=())


@dataclass(frozen=True, slots=True)
class RunBegin(Message):
    """A leadership term of a run begins."""

    run_id: str = wire("run")
    term: int = wire("term")


@dataclass(frozen=True, slots=True)
class RetirementOrder(Message):
    """An operator wants a machine emptied.

    Attributes:
        machine: The machine's name.
        quorum: The tolerated losses.
        seen_version: The register's version that the receiver of the operator's call held; identifies copies of an
            order that was refused. None if the sender gave none.
        current_version: The register's version when the command runs.
    """

    machine: str = wire("node")
    quorum: dict | None = wire("quorum", default=None)
    seen_version: int | None = wire("seen", default=None)
    current_version: int = wire("at_version", default=0)


@dataclass(frozen=True, slots=True)
class VoterGroupChange(Message):
    """New voters of a register of the stores, written under the version that the register has with them."""

    register: str = wire("key")
    voters: dict[str, str] = wire("voters")
    version: int = wire("stamp")


# -- decisions


def _enough_stay(value: RegisterValue, leaving_id: str, quorum: dict | None) -> bool:
    """Returns whether enough active stores stay without one."""
    staying = {
        store_id: store for store_id, store in active_members(stores_of(value)).items() if store_id != leaving_id
    }
    return Quorum.from_document(quorum).tolerates_losses(staying)


def is_cleared(value: RegisterValue, store: StoreRecord) -> bool:
    """Returns whether the current holder of every run has declared that a store is not needed.

    >>> is_cleared({"runs": {"a": 2}}, {"clear": {"a": 1}}), is_cleared({"runs": {"a": 2}}, {"clear": {"a": 2}})
    (False, True)
    """
    cleared_terms = store["clear"]
    return all(
        run_id in cleared_terms and cleared_terms[run_id] >= begun_term(value, run_id) for run_id in runs_of(value)
    )


def is_voter(value: RegisterValue, store_id: str) -> bool:
    """Returns whether a store votes in the newest known group of any register of the stores.

    >>> is_voter({"ledger": {"n": {"voters": {"a": "1:1"}, "stamp": 3}}}, "a"), is_voter({}, "a")
    (True, False)
    """
    return any(store_id in group["voters"] for group in voter_groups_of(value).values())


def _is_copy_of_refused(value: RegisterValue, order: RetirementOrder) -> bool:
    """Returns whether an order may be a copy of one that was refused after it was sent."""
    if order.seen_version is None:
        return False
    refused_at = max(value.get("retire_refused", {}).get(order.machine, NEVER), value.get("retire_floor", NEVER))
    return order.seen_version <= refused_at


# -- membership


@commands.on("store.list")
def store_list(value: RegisterValue, _args: dict) -> tuple:
    """Reads the stores and the runs; a majority confirms that they are the newest."""
    return DONE, {"stores": stores_of(value), "runs": runs_of(value)}, False


@commands.on("store.join")
def store_join(value: RegisterValue, args: dict) -> tuple:
    """Adds a store: {"id", "name", "ip", "zone"}. A store that stood at its place before is to leave."""
    join = StoreJoin.from_document(args)
    stores = value.setdefault("stores", {})
    if join.store_id in stores:
        return DONE, None, False
    if join.store_id in dropped_stores_of(value) or join.machine in retirements_of(value):
        return UNKNOWN_MACHINE, "dropped", False
    for store_id, store in list(stores.items()):
        if store["name"] == join.machine or store["ip"] == join.ip_address:
            store["state"] = LEAVING
            _drop_if_cleared(value, store_id)
    value["count"] = value.get("count", 0) + 1
    stores[join.store_id] = _new_record(join, value["count"])
    return DONE, None, True


def _new_record(join: StoreJoin, number: int) -> StoreRecord:
    return {
        "name": join.machine,
        "ip": join.ip_address,
        "zone": join.zone,
        "state": ACTIVE,
        "no": number,
        "clear": {},
    }


def _drop_if_cleared(value: RegisterValue, store_id: str) -> None:
    """Ends the membership of a leaving store that nobody needs; only then is its retirement complete."""
    store = value["stores"][store_id]
    if store["state"] != LEAVING or not is_cleared(value, store) or is_voter(value, store_id):
        return
    del value["stores"][store_id]
    dropped = value.setdefault("dropped", {})
    dropped[store_id] = 1
    while len(dropped) > MAX_DROPPED_IDS:
        del dropped[next(iter(dropped))]
    if store.get("retire"):
        value.setdefault("retired", {})[store["name"]] = RETIREMENT_COMPLETE


@commands.on("store.leave")
def store_leave(value: RegisterValue, args: dict) -> tuple:
    """Marks a store as leaving: {"id", "quorum"}."""
    leave = StoreLeave.from_document(args)
    store = stores_of(value).get(leave.store_id)
    if store is None or store["state"] == LEAVING:
        return DONE, None, False
    if not _enough_stay(value, leave.store_id, leave.quorum):
        return TOO_FEW_MACHINES_LEFT, None, False
    store["state"] = LEAVING
    _drop_if_cleared(value, leave.store_id)
    return DONE, None, True


@commands.on("store.clear")
def store_clear(value: RegisterValue, args: dict) -> tuple:
    """Notes that a run does not need a leaving store: {"id", "run", "term", "counted"}.

    STALE_TERM_OR_MEMBERSHIP if a newer term of the run has begun, or if one of the counted stores is to leave by now:
    the holder judged by an older membership.
    """
    clear = StoreClear.from_document(args)
    stores = stores_of(value)
    store = stores.get(clear.store_id)
    if store is None or store["state"] != LEAVING:
        return DONE, None, False
    current_term = begun_term(value, clear.run_id)
    if clear.term < current_term:
        return STALE_TERM_OR_MEMBERSHIP, current_term, False
    if any(other not in stores or stores[other]["state"] != ACTIVE for other in clear.counted_stores):
        return STALE_TERM_OR_MEMBERSHIP, "membership", False
    if store["clear"].get(clear.run_id, NOT_BEGUN) >= clear.term:
        return DONE, None, False
    store["clear"][clear.run_id] = clear.term
    _drop_if_cleared(value, clear.store_id)
    return DONE, None, True


# -- runs


@commands.on("run.open")
def run_open(value: RegisterValue, args: dict) -> tuple:
    """Opens the runs of a service, which have leases from now on: {"run"}, the service's name."""
    run_id = args["run"]
    runs = value.setdefault("runs", {})
    if run_id in runs:
        return DONE, None, False
    runs[run_id] = NOT_BEGUN
    for store in stores_of(value).values():
        store["clear"].pop(run_id, None)
    return DONE, None, True


@commands.on("run.begin")
def run_begin(value: RegisterValue, args: dict) -> tuple:
    """Begins a leadership term: {"run", "term"}; from now on declarations of older terms do not count.

    The answer names the stores whose records the new leader is to read. STALE_TERM_OR_MEMBERSHIP if a higher term has
    begun already.
    """
    begin = RunBegin.from_document(args)
    runs = value.setdefault("runs", {})
    previous_term = begun_term(value, begin.run_id)
    if begin.term < previous_term:
        return STALE_TERM_OR_MEMBERSHIP, previous_term, False
    has_changed = runs.get(begin.run_id) != begin.term
    runs[begin.run_id] = begin.term
    return DONE, {"stores": stores_of(value), "runs": runs}, has_changed


@commands.on("tenure.claim")
def tenure_claim(value: RegisterValue, args: dict) -> tuple:
    """Claims a run's lease: {"run", "holder", "life", "seen"}."""
    return claim_lease(value.setdefault("tenures", {}), args["run"], LeaseClaim.from_document(args))


@commands.on("tenure.list")
def tenure_list(value: RegisterValue, _args: dict) -> tuple:
    """Reads all runs' leases of the register; a majority confirms that they are the newest."""
    return DONE, run_leases_of(value), False


# -- retirement of machines


@commands.on("retire.start")
def retire_start(value: RegisterValue, args: dict) -> tuple:
    """Begins to empty a machine for good: {"node", "quorum", "seen"}."""
    order = RetirementOrder.from_document(args)
    if order.machine in retirements_of(value):
        return DONE, _retirement(retirements_of(value)[order.machine]), False
    for store_id, store in stores_of(value).items():
        if store["name"] == order.machine and store["state"] == ACTIVE:
            return _retire_store(value, store_id, order)
    for store in stores_of(value).values():
        if store["name"] == order.machine:
            has_changed = not store.get("retire")
            store["retire"] = True
            return DONE, _retirement(RETIREMENT_ACTIVE), has_changed
    return _refuse_retirement(value, order, UNKNOWN_MACHINE)


def _retire_store(value: RegisterValue, store_id: str, order: RetirementOrder) -> tuple:
    """Lets the active store of a machine leave, if enough others stay."""
    if not _enough_stay(value, store_id, order.quorum):
        return _refuse_retirement(value, order, TOO_FEW_MACHINES_LEFT)
    if _is_copy_of_refused(value, order):
        return UNCERTAIN, None, False
    store = stores_of(value)[store_id]
    store["state"] = LEAVING
    store["retire"] = True
    _drop_if_cleared(value, store_id)
    return DONE, _retirement(RETIREMENT_ACTIVE), True


def _refuse_retirement(value: RegisterValue, order: RetirementOrder, code: int) -> tuple:
    """Refuses an order, so that copies of it that were sent before this refusal are not carried out either."""
    refused = value.setdefault("retire_refused", {})
    refused.pop(order.machine, None)  # the newest refusal stands last
    refused[order.machine] = order.current_version
    while len(refused) > MAX_RETIREMENT_REFUSALS:
        value["retire_floor"] = refused.pop(next(iter(refused)))
    return code, None, True


@commands.on("retire.get")
def retire_get(value: RegisterValue, args: dict) -> tuple:
    """Reads how far a machine's retirement is: {"node"}."""
    machine = args["node"]
    if machine in retirements_of(value):
        return DONE, _retirement(retirements_of(value)[machine]), False
    if any(store["name"] == machine and store.get("retire") for store in stores_of(value).values()):
        return DONE, _retirement(RETIREMENT_ACTIVE), False
    return UNKNOWN_MACHINE, None, False


def _retirement(state: str) -> dict[str, Any]:
    return {"OperState": state}


# -- registers of the stores


@commands.on("ledger.group")
def ledger_group(value: RegisterValue, args: dict) -> tuple:
    """Notes the voters of a register of the stores: {"key", "voters", "stamp"}.

    The first voters are written once, later ones under the version that the register has with them.
    """
    change = VoterGroupChange.from_document(args)
    groups = value.setdefault("ledger", {})
    current = groups.get(change.register)
    if current is not None and change.version <= current["stamp"]:
        return DONE, current, False
    if any(store_id not in stores_of(value) for store_id in change.voters):
        return STALE_TERM_OR_MEMBERSHIP, current, False
    groups[change.register] = {"voters": change.voters, "stamp": change.version}
    for store_id in list(stores_of(value)):
        _drop_if_cleared(value, store_id)
    return DONE, groups[change.register], True
