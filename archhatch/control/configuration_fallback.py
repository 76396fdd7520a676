"""The fallback of the configuration: the newest that can be read, stored while the newest one of all cannot.

A control node of another version may have acknowledged what this version cannot read. Nodes that run go on with what
they have in memory; the owner of the plan register stores that configuration in it, so that nodes which start or are
added get it too.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from ..routing import InvalidConfigError, UnreadableConfiguration
from ..routing.stored_configuration import StoredConfiguration, fallback_configuration, newest_configuration
from . import topics
from .registers import PLAN

if TYPE_CHECKING:
    from ..runtime import Counters, StateBoard
    from .register_values import RegisterValue


class ConfigurationFallbackHost(Protocol):
    """What the fallback uses of its control node."""

    heartbeat_interval_s: float
    log: Any
    counters: Counters
    state_board: StateBoard

    @property
    def known(self) -> dict[str, dict]:
        """The newest known state of each register."""

    def owns(self, shard: str) -> bool:
        """Returns whether the node is the one to run a register's commands."""

    async def try_command(self, shard: str, name: str, args: dict) -> tuple[int, Any]:
        """Runs a command of a background task."""


class ConfigurationFallback:
    """Follows the plan register on a control node. It reads each configuration and keeps nothing of what it reads.

    Attributes:
        readable: The newest configuration that can be read, as it is stored.
        unreadable: The newest configuration, while it cannot be read.
    """

    def __init__(self, node: ConfigurationFallbackHost) -> None:
        self._node = node
        self._read: tuple[int, int] | None = None  # the revision and the form that were looked at last
        self.readable: StoredConfiguration | None = None
        self.unreadable: UnreadableConfiguration | None = None

    async def run(self) -> None:
        """Looks at each new state of the register, and at each heartbeat while its configuration cannot be read."""
        node, version = self._node, 0
        while True:
            self.update()
            if self.unreadable is not None and self.readable is not None and node.owns(PLAN):
                await node.try_command(PLAN, "plan.fallback", self.readable.to_document())
            pause_s = node.heartbeat_interval_s if self.unreadable is not None else None
            version = await node.state_board.wait_for_change(topics.PLAN_REGISTER, version, pause_s)

    def update(self) -> None:
        """Takes up the newest known state of the register."""
        register: RegisterValue = (self._node.known.get(PLAN) or {"val": {}})["val"]
        newest = newest_configuration(register)
        if newest is None or self._read == (newest.revision, newest.form):
            return
        self._read = (newest.revision, newest.form)
        try:
            newest.read()
        except InvalidConfigError as error:
            self._note_unreadable(newest, str(error))
            self.readable = self.readable or fallback_configuration(register)
        else:
            self.readable, self.unreadable = newest, None

    def _note_unreadable(self, newest: StoredConfiguration, why: str) -> None:
        self.unreadable = UnreadableConfiguration(newest.revision, why)
        self._node.counters.add("config.unreadable")
        self._node.log.error("configuration cannot be read: revision={} error={}", newest.revision, why)

    def readable_revision(self) -> int:
        """Returns the revision of the newest configuration that can be read; 0 without one."""
        return self.readable.revision if self.readable is not None else 0
