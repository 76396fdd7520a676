"""Typed requests of replicas, operators and trainers, and the errors of those that cannot be read.

`api_requests` decodes them, `AdminApi` runs them.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..exceptions import ArchhatchError
from ..membership.replica_heartbeat import ReplicaHeartbeat
from ..routing.configuration import MAX_REVISION, PRINTABLE
from ..runtime.message import Message, wire
from ..runtime.schema import integer, text
from . import result_codes

PRINTABLE_TEXT = f"{PRINTABLE}*"


class InvalidRequestError(ArchhatchError):
    """A request that cannot be read; each subclass has its numbered code.

    Attributes:
        why: What is wrong, for the caller.
    """

    code: int = result_codes.INVALID_REQUEST

    def __init__(self, why: str = "") -> None:
        super().__init__(why)
        self.why = why


class UnknownCallError(InvalidRequestError):
    """No call has this path."""

    code = result_codes.UNKNOWN_CALL


class MethodNotAllowedError(InvalidRequestError):
    """The path is known, but not with this method."""

    code = result_codes.METHOD_NOT_ALLOWED


class InvalidHeartbeatError(InvalidRequestError):
    """A replica's heartbeat that cannot be read."""

    code = result_codes.INVALID_HEARTBEAT


class InvalidConfigRequestError(InvalidRequestError):
    """A change of the configuration whose body or revision cannot be read."""

    code = result_codes.INVALID_CONFIG


class InvalidIfMatchError(InvalidRequestError):
    """An If-Match header that is missing or holds no number."""

    code = result_codes.INVALID_IF_MATCH


class InvalidPolicyEncodingError(InvalidRequestError):
    """A placement policy that is not UTF-8."""

    code = result_codes.INVALID_POLICY


class InvalidEvacuationRequestError(InvalidRequestError):
    """An evacuation's plan that cannot be used."""

    code = result_codes.INVALID_EVACUATION_PLAN


@dataclass(slots=True)  # not frozen: one is made for each heartbeat, and a frozen dataclass costs more to make
class HeartbeatRequest:
    """A replica's heartbeat.

    Attributes:
        replica_id: The replica.
        heartbeat: What it says.
    """

    replica_id: str
    heartbeat: ReplicaHeartbeat


@dataclass(frozen=True, slots=True)
class DeregisterRequest:
    """A replica ends."""

    replica_id: str


@dataclass(frozen=True, slots=True)
class ChangeConfigRequest:
    """A change of the configuration.

    Attributes:
        kind: "put" for a whole configuration, "patch" for named items.
        document: The configuration, or the items.
        expected_revision: The revision that the change builds on.
    """

    kind: str
    document: dict
    expected_revision: int


@dataclass(frozen=True, slots=True)
class GetConfigRequest:
    """Reads the configuration in force."""


@dataclass(frozen=True, slots=True)
class NameVersionRequest(Message):
    """A trainer names the newest version of a model."""

    model: str = wire(
        "Model", decode=text(min_length=1, pattern=PRINTABLE_TEXT, why="must not have control characters")
    )
    version: int = wire("Revision", decode=integer(1, MAX_REVISION))


@dataclass(frozen=True, slots=True)
class RetirementRequest:
    """Empties a machine for good, or asks how far that is.

    Attributes:
        machine: The machine's name.
        is_query: Whether the request only asks.
    """

    machine: str
    is_query: bool


@dataclass(frozen=True, slots=True)
class PolicyRequest:
    """A request about the placement policy or the regions: a command on the register that holds them."""

    command: str
    args: dict


@dataclass(frozen=True, slots=True)
class EvacuationRequest:
    """A request about evacuations: a command on their records."""

    command: str
    args: dict


@dataclass(frozen=True, slots=True)
class SingletonRoleRequest:
    """A request about singleton roles; without a key, about all of them."""

    command: str
    key: str = ""


ApiRequest = (
    HeartbeatRequest
    | DeregisterRequest
    | ChangeConfigRequest
    | GetConfigRequest
    | NameVersionRequest
    | RetirementRequest
    | PolicyRequest
    | EvacuationRequest
    | SingletonRoleRequest
)
