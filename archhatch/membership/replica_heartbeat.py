"""A replica's heartbeat, as it comes from outside."""

from __future__ import annotations

from dataclasses import dataclass

from ..runtime.message import InvalidFieldError, Message, wire
from ..runtime.schema import nullable, number, one_of, text, whole_number
from .replica_entry import DRAINING, UP, ReplicaEntry

MAX_SEQUENCE = 2**53 - 1  # the largest integer that every JSON reader keeps exactly
MAX_REVISION = 2**53 - 1
MAX_SLOTS = 100_000
MAX_WAIT_MS = 366 * 86_400_000
DEFAULT_SLOTS = 1  # slots of a replica whose heartbeat names none
FIRST_MODEL_REVISION = 1  # of a model whose heartbeat names none
ADDRESS = r"[^\s/:]+:[0-9]{1,5}|\[[0-9A-Fa-f:.]+\]:[0-9]{1,5}"

_wait_ms = nullable(number(0, MAX_WAIT_MS), 0.0)


def read_models(value: object) -> dict[str, int]:
    """Reads the rows of a ModelList: the revision of each model by its name.

    A loop of its own, as heartbeats have up to some dozens of rows and come from every replica all the time.

    >>> read_models([{"Name": "m", "Revision": 2, "AdapterList": []}, {"Name": "n"}])
    {'m': 2, 'n': 1}

    Raises:
        InvalidFieldError: Names the row and the field.
    """
    if value is None:
        return {}
    if not isinstance(value, list):
        raise InvalidFieldError("must be a list")
    models: dict[str, int] = {}
    for index, row in enumerate(value):
        if not isinstance(row, dict):
            raise InvalidFieldError("must be an object", f"[{index}]")
        name = row.get("Name")
        revision = row.get("Revision", FIRST_MODEL_REVISION)
        if not isinstance(name, str) or not name:
            raise InvalidFieldError("must be text that is not empty", f"[{index}].Name")
        if type(revision) is not int or not 0 <= revision <= MAX_REVISION:
            raise InvalidFieldError(f"must be an integer from 0 to {MAX_REVISION}", f"[{index}].Revision")
        models[name] = revision
    return models


@dataclass(slots=True)  # not frozen: one is made for each heartbeat, and a frozen dataclass costs more to make
class ReplicaHeartbeat(Message):
    """What a replica says of itself.

    Attributes:
        service: The service that it serves.
        address: Its address as HOST:PORT.
        state: UP or DRAINING.
        sequence: Rises with each heartbeat.
        slot_count: How many requests it handles at once.
        models: The revision of each model that it has loaded, by model.
        zone: Its zone; empty if it names none.
        software_revision: The revision of its software; empty if it names none.
        warmup_left_ms: How much longer it is slow from its start.
        departure_ms: In how long it will be gone; 0 if it does not say.
    """

    service: str = wire("Service", decode=text(min_length=1))
    address: str = wire("Address", decode=text(pattern=ADDRESS, why="must be HOST:PORT"))
    state: str = wire("OperState", decode=one_of((UP, DRAINING)))
    sequence: int = wire("Sequence", default=0, decode=whole_number(0, MAX_SEQUENCE))
    slot_count: int = wire("SlotCount", default=DEFAULT_SLOTS, decode=whole_number(0, MAX_SLOTS))
    models: dict[str, int] = wire("ModelList", default_factory=dict, decode=read_models)
    zone: str = wire("Zone", default="", decode=nullable(text(), ""))
    software_revision: str = wire("Revision", default="", decode=nullable(text(), ""))
    warmup_left_ms: float = wire("WarmupLeftMs", default=0.0, decode=_wait_ms)
    departure_ms: float = wire("DepartureMs", default=0.0, decode=_wait_ms)

    def to_entry(self, replica_id: str) -> ReplicaEntry:
        """Returns the entry that the registry keeps and the feed carries."""
        return {
            "id": replica_id,
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "slots": max(1, self.slot_count),
            "state": self.state,
            "seq": self.sequence,
            "models": self.models,
            "rev": self.software_revision,
        }
