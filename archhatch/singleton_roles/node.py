"""What singleton roles use of the store node that runs them."""

from __future__ import annotations

from typing import Any, Protocol

from ..runtime import Clock, Counters, Settings, StateBoard


class RoleNode(Protocol):
    """A store node, as the role register, its group and the leases see it.

    Attributes:
        settings: The node's settings.
        log: The node's log.
        clock: A steady clock; `now()` in seconds.
        counters: The node's counters.
        state_board: Wakes those who wait for a change.
        connections: Connections to other nodes.
        config_watcher: The newest configuration seen; there once the node has started.
        membership: What the node sees of the other stores.
        quorum: How many losses the stores have to bear.
        disk: Watches the disk; refuses while it is full or slow.
        verbs: The table of calls that the node answers.
        incarnation: This process, drawn at random at its start.
        heartbeat_interval_s: Seconds between two heartbeats.
        quiet_s: Seconds of silence after which a peer no longer counts as alive.
        ready: Whether the node is a member and knows all that was granted before it was one.
        leaving: Whether the node is on its planned way out.
        plan: The routing table; None until there is one.
    """

    settings: Settings
    log: Any
    clock: Clock
    counters: Counters
    state_board: StateBoard
    connections: Any
    config_watcher: Any
    membership: Any
    quorum: Any
    disk: Any
    verbs: Any
    incarnation: str
    heartbeat_interval_s: float
    quiet_s: float
    ready: bool
    leaving: bool
    plan: Any

    @property
    def id(self) -> str:
        """The store's id."""

    @property
    def ledger(self) -> Any:  # noqa: ANN401 - the register host, which takes this protocol itself
        """The node's register host."""

    def members(self) -> dict[str, dict]:
        """All stores of the membership by id, each with its address under `addr`."""

    def addr_of(self, member: dict) -> str:
        """The address at which a member answers calls."""
