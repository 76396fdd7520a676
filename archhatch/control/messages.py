"""Messages between control nodes, and between these and the nodes that follow the feed; the wire's keys stand here."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NotRequired, TypedDict

from ..membership import NodeCard, ReplicaEntry
from ..membership.replica_entry import HeartbeatSummary
from ..runtime.message import Message, wire


@dataclass(frozen=True, slots=True)
class Ping(Message):
    """A ping between control nodes, or the answer to one.

    Attributes:
        card: The sender's card.
        incarnation: The incarnation of the sender's process.
        chosen_versions: By register, the version that the sender knows to be chosen.
        accepted_versions: By register, the version that the sender has accepted and synced.
        is_leaving: Whether the sender is about to end.
        is_disk_healthy: Whether the sender's disk takes records.
        wall_time: The sender's time of day, in seconds since 1970.
        control_nodes: Cards of the control nodes that the sender knows; None if unchanged since it last sent them.
        served_regions: Answers that data-plane nodes had: [service, zone, seconds ago] each; only in pings.
        live_requests: Live requests that edges reported to the sender, by service; only in pings.
        stores: Sightings of stores, [card or id, seconds ago] each; only in pings.
        replicas: Replicas that the sender heard of, in full or in short form, with their age; only in pings.
        heartbeat_version: The version of the sender's registry up to which `replicas` goes; only in pings.
        is_missing_entries: Whether the sender lacks what a short form refers to; only in answers.
    """

    card: NodeCard = wire("card")
    incarnation: str = wire("life")
    chosen_versions: dict[str, int] = wire("stamps", default_factory=dict)
    accepted_versions: dict[str, int] = wire("accepted", default_factory=dict)
    is_leaving: bool = wire("leaving", default=False)
    is_disk_healthy: bool = wire("takes", default=True)
    wall_time: float | None = wire("wall", default=None)
    control_nodes: list[NodeCard] | None = wire("others", default=None, optional=True)
    served_regions: list | None = wire("served", default=None, optional=True)
    live_requests: dict[str, float] | None = wire("live", default=None, optional=True)
    stores: list | None = wire("stores", default=None, optional=True)
    replicas: list[ReplicaEntry | HeartbeatSummary] | None = wire("roll", default=None, optional=True)
    heartbeat_version: int | None = wire("turn", default=None, optional=True)
    is_missing_entries: bool | None = wire("lack", default=None, optional=True)


@dataclass(frozen=True, slots=True)
class CommitNotice(Message):
    """Tells that a state of a register was chosen; who has not accepted it fetches it from the sender.

    Attributes:
        shard: The register.
        version: The version of the state.
        proposal_number: The number under which it was accepted.
        address: Where the sender takes calls.
    """

    shard: str = wire("part")
    version: int = wire("stamp")
    proposal_number: list = wire("ballot")
    address: str = wire("addr")


@dataclass(frozen=True, slots=True)
class VoteRequest(Message):
    """A proposer's question to an acceptor: prepare or confirm.

    Attributes:
        shard: The register.
        proposal_number: The number of the proposal, in its wire form.
    """

    shard: str = wire("part")
    proposal_number: list = wire("ballot")


@dataclass(frozen=True, slots=True)
class AcceptRequest(Message):
    """Asks an acceptor to accept a state (`part.accept`).

    Attributes:
        shard: The register.
        proposal_number: The number of the proposal, in its wire form.
        state: The state to accept. A call without it is refused, so that it never stands for an empty state.
    """

    shard: str = wire("part")
    proposal_number: list = wire("ballot")
    state: Any = wire("state")


@dataclass(frozen=True, slots=True)
class RegisterCommand(Message):
    """A command for the register's owner, from another control node.

    Attributes:
        shard: The register.
        name: The command.
        args: Its arguments.
        within_s: A command that has not begun after so many seconds is not begun.
    """

    shard: str = wire("part")
    name: str = wire("name")
    args: dict = wire("args")
    within_s: float = wire("within")


@dataclass(frozen=True, slots=True)
class RegisterCommandResult(Message):
    """What came of a RegisterCommand: a numbered code and its document."""

    code: int = wire("code")
    document: Any = wire("doc")


@dataclass(frozen=True, slots=True)
class RoutedCommand(Message):
    """A command from a store or a data-plane node, which any control node passes on to the register's owner.

    Attributes:
        shard: The register, or SERVICE_PREFIX and the name of a service that it holds.
        name: The command.
        args: Its arguments.
    """

    shard: str = wire("part")
    name: str = wire("name")
    args: dict = wire("args")


@dataclass(frozen=True, slots=True)
class LiveRequestsReport(Message):
    """Live requests by service.

    Attributes:
        node_id: The edge, or the control node that adds up the edges that report to it.
        live_requests: How many by service.
        should_spread: Whether the receiver is to pass its sum on to the other control nodes.
    """

    node_id: str = wire("id")
    live_requests: dict[str, float] = wire("live")
    should_spread: bool = wire("spread", default=True)


class FeedQuestion(TypedDict):
    """A long poll of a node that follows the feed.

    A typed dictionary with the keys of membership's FeedQuery, and not that message itself: each node asks anew with
    each change, a control node answers thousands, and each would be decoded into a message.

    Attributes:
        who: The asker's card, with its kind in `klass`.
        live: Live requests at the asker by service.
        busy: The names of the services with live requests, as the asker knows them.
        stamps: By register, the version that the asker has.
        life: The incarnation of the control node that answered last.
        turn: The version of that node's registry up to which the asker knows the replicas.
        hold: For how many seconds the question may wait for something new.
        served: Answers that the asker had, [service, zone, seconds ago] each.
    """

    who: NodeCard
    live: dict[str, float]
    busy: list[str]
    stamps: dict[str, int]
    life: str
    turn: int
    hold: float
    served: NotRequired[list]
