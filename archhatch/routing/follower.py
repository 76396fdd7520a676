"""Follows the configuration in force and survives one that cannot be read."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from .configuration import InvalidConfigError
from .routing_table import RoutingTable

if TYPE_CHECKING:
    from ..runtime import Counters


class ConfigurationFollower:
    """Holds the routing table of the newest configuration that could be read.

    A version of this software may have stored what the present one refuses. A node then keeps the last good
    configuration, or stays without one, and takes the next.

    Attributes:
        table: The routing table; None before the first configuration.
    """

    def __init__(self, log: Any, counters: Counters) -> None:  # noqa: ANN401 - loguru's logger, or a stand-in
        self._log = log
        self._counters = counters
        self._document: object = None
        self.table: RoutingTable | None = None

    def update(self, document: object) -> bool:
        """Takes up a configuration unless it is as old as the one in force.

        Args:
            document: The configuration as a register holds it; None if there is none.

        Returns:
            Whether the table is a new one.
        """
        if document is None or document is self._document:
            return False
        self._document = document
        if self.table is not None and not self._is_newer(document, self.table.revision):
            return False
        try:
            self.table = RoutingTable.from_document(document)
        except InvalidConfigError as error:
            self._counters.add("config.unreadable")
            in_force = self.table.revision if self.table is not None else None
            self._log.error("configuration cannot be read, the last one is kept: kept={} error={}", in_force, error)
            return False
        return True

    @staticmethod
    def _is_newer(document: object, revision: int) -> bool:
        """Whether a configuration is newer than a revision; one that does not say counts as newer."""
        found = document.get("Revision") if isinstance(document, dict) else None
        return not isinstance(found, int) or found > revision
