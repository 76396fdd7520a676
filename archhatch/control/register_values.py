"""What the registers hold: the stored records and their keys, in one place.

A register's value is a JSON object. Commands change it in place, because stored data keeps its bytes: keys, their order
and whatever a newer version of the software has added. The records are therefore typed dictionaries, which cost nothing
at run time, and the functions below read them.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NotRequired, TypedDict

from ..runtime.message import Message, wire

RegisterValue = dict[str, Any]

ACTIVE, LEAVING = "active", "leaving"  # states of a store's membership
NOT_BEGUN = 0  # the term of an opened run whose first leadership term has not begun


class StoreRecord(TypedDict):
    """A store's membership, in `stores` of the plan register.

    Attributes:
        name: The machine's name in the settings.
        ip: The machine's address.
        zone: The machine's zone.
        state: ACTIVE or LEAVING.
        no: The number of the store in the order of joining.
        clear: For each run, the term whose leader has declared that it does not need this store.
        retire: Whether an operator has asked for the machine to be emptied; absent otherwise.
    """

    name: str
    ip: str
    zone: str
    state: str
    no: int
    clear: dict[str, int]
    retire: NotRequired[bool]


class VoterGroup(TypedDict):
    """The voters of a register of the stores, in `ledger` of the plan register.

    Attributes:
        voters: Address by store id.
        stamp: The version of the register that has this group.
    """

    voters: dict[str, str]
    stamp: int


@dataclass(frozen=True, slots=True)
class Lease(Message):
    """A lease as a register holds it: of a run in `tenures`, of a task of the control nodes in `leases`.

    Attributes:
        holder_id: The node that holds it.
        incarnation: The incarnation of the holder's process.
        term: Rises by one with each grant.
    """

    holder_id: str = wire("holder")
    incarnation: str = wire("life")
    term: int = wire("term")


def config_revision(value: RegisterValue) -> int:
    """Returns the revision of the configuration in force, 0 before the first one."""
    return value.get("plan", {}).get("Revision", 0)


def stores_of(value: RegisterValue) -> dict[str, StoreRecord]:
    """Returns the members by store id."""
    return value.get("stores", {})


def runs_of(value: RegisterValue) -> dict[str, Any]:
    """Returns the highest leadership term that has begun by run; see begun_term for marks of older versions."""
    return value.get("runs", {})


def run_leases_of(value: RegisterValue) -> dict[str, dict]:
    """Returns the encoded leases by run."""
    return value.get("tenures", {})


def task_leases_of(value: RegisterValue) -> dict[str, dict]:
    """Returns the encoded leases of the control nodes' tasks by the task's name."""
    return value.get("leases", {})


def voter_groups_of(value: RegisterValue) -> dict[str, VoterGroup]:
    """Returns the voters of the stores' registers by register."""
    return value.get("ledger", {})


def retirements_of(value: RegisterValue) -> dict[str, str]:
    """Returns the state of each finished retirement by machine."""
    return value.get("retired", {})


def dropped_stores_of(value: RegisterValue) -> dict[str, int]:
    """Returns the ids of stores whose membership has ended, the oldest first."""
    return value.get("dropped", {})


def begun_term(value: RegisterValue, run_id: str) -> int:
    """Returns the highest leadership term of a run that has begun.

    Registers written before terms were stored hold other marks; these count as NOT_BEGUN.

    >>> value = {"runs": {"a": 3, "b": "old"}}
    >>> begun_term(value, "a"), begun_term(value, "b"), begun_term({}, "a")
    (3, 0, 0)
    """
    term = runs_of(value).get(run_id)
    return term if isinstance(term, int) else NOT_BEGUN
