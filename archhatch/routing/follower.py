"""Follows the configuration in force and survives one that cannot be read."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ..runtime.message import InvalidMessageError
from .configuration import InvalidConfigError
from .routing_table import RoutingTable
from .stored_configuration import StoredConfiguration, newest_configuration, fallback_configuration

if TYPE_CHECKING:
    from ..runtime import Counters


@dataclass(frozen=True, slots=True)
class UnreadableConfiguration:
    """The newest configuration, where it cannot be read.

    Attributes:
        revision: Its revision; 0 if it does not say.
        why: The field, and what is wrong with it.
    """

    revision: int
    why: str


class ConfigurationFollower:
    """Holds the routing table of the newest configuration that can be read.

    Another version of this software may have stored what the present one cannot read. A node then keeps the last good
    configuration, takes the fallback in the register, or stays without one, and takes the next.

    Attributes:
        table: The routing table; None before the first configuration.
        unreadable: The newest configuration, while it cannot be read.
    """

    def __init__(self, log: Any, counters: Counters) -> None:  # noqa: ANN401 - loguru's logger, or a stand-in
        self._log = log
        self._counters = counters
        self._seen: tuple[object, object] = (None, None)  # the documents that were looked at last
        self.table: RoutingTable | None = None
        self.unreadable: UnreadableConfiguration | None = None

    def update(self, register: Mapping[str, Any]) -> bool:
        """Takes up the newest configuration that can be read, unless it is as old as the one in force.

        Args:
            register: The value of the plan register, or the feed's view of it.

        Returns:
            Whether the table is a new one.
        """
        seen = (register.get("plan"), register.get("plan_fallback"))
        if seen[0] is None or (seen[0] is self._seen[0] and seen[1] is self._seen[1]):
            return False
        self._seen = seen
        return self._take_newest(register) or self._take_fallback(register)

    def _take_newest(self, register: Mapping[str, Any]) -> bool:
        newest = newest_configuration(register)
        if newest is None or not self._is_newer(newest):
            return False
        try:
            self.table = RoutingTable(newest.read())
        except (InvalidConfigError, InvalidMessageError) as error:
            self._note_unreadable(newest, error)
            return False
        self.unreadable = None
        return True

    def _take_fallback(self, register: Mapping[str, Any]) -> bool:
        fallback = fallback_configuration(register) if self.unreadable is not None else None
        if fallback is None or not self._is_newer(fallback):
            return False
        try:
            self.table = RoutingTable(fallback.read())
        except (InvalidConfigError, InvalidMessageError):
            self._counters.add("config.fallback_unreadable")
            return False
        self._log.warning("the fallback configuration is in force: revision={}", fallback.revision)
        return True

    def _note_unreadable(self, newest: StoredConfiguration, error: Exception) -> None:
        found = UnreadableConfiguration(newest.revision, str(error))
        if found == self.unreadable:
            return
        self.unreadable = found
        self._counters.add("config.unreadable")
        in_force = self.table.revision if self.table is not None else None
        self._log.error("configuration cannot be read, the last one is kept: kept={} error={}", in_force, error)

    def _is_newer(self, stored: StoredConfiguration) -> bool:
        """Whether a configuration is newer than the one in force; one that does not say counts as newer."""
        return self.table is None or not stored.revision or stored.revision > self.table.revision
