"""The registry of replicas, built from their heartbeats: in memory, spread among control nodes without a sync."""

from __future__ import annotations

from .change_order import changed_after
from .replica_entry import DRAINING, GONE, UP, HeartbeatSummary, ReplicaEntry

GONE_RETENTION_S = 90.0  # longer than a heartbeat can be delayed on its way through other control nodes
SILENT_RETENTION_S = 4 * GONE_RETENTION_S  # a replica that never said goodbye may be cut off, and come back
STATE_ORDER = {UP: 0, DRAINING: 1, GONE: 2}


class ReplicaRegistry:
    """Replicas by id, with two orders of changes: one for readers, one for the other control nodes.

    Readers are told what changes how requests are placed, control nodes every heartbeat.

    Attributes:
        replicas: The entry of each replica, by id.
        last_heard: When each was last heard, here or by another control node, in seconds of the monotonic clock.
        version: The number of changes that matter to readers.
        heartbeat_version: The number of heartbeats.

    >>> registry = ReplicaRegistry(); registry.record_heartbeat({"id": "a", "seq": 2, "state": "up"}, 0.0)
    True
    >>> registry.record_heartbeat({"id": "a", "seq": 1, "state": "up"}, 1.0)
    False
    """

    def __init__(self) -> None:
        self.replicas: dict[str, ReplicaEntry] = {}
        self.last_heard: dict[str, float] = {}
        self.version = 0
        self.heartbeat_version = 0
        self._versions: dict[str, int] = {}  # in the order of the versions, for changed_after
        self._heartbeat_versions: dict[str, int] = {}  # likewise
        self._content_versions: dict[str, int] = {}  # of the last heartbeat that said more than 'still here'

    def record_heartbeat(self, entry: ReplicaEntry, now: float) -> bool:
        """Records a heartbeat, or an entry that another control node sent.

        Args:
            entry: The entry; the registry keeps it, so the caller must not change it.
            now: When it was heard, in seconds of the monotonic clock.

        Returns:
            False if the entry is older than the known one and was ignored.
        """
        replica_id = entry["id"]
        known = self.replicas.get(replica_id)
        if known is not None:
            known_order, order = STATE_ORDER[known["state"]], STATE_ORDER[entry["state"]]
            if known_order > order:
                return False
            if known_order == order and entry["seq"] <= known["seq"]:
                return False
            if entry["state"] == GONE:
                entry = {**known, "state": GONE, "seq": max(known["seq"], entry["seq"])}
        self.replicas[replica_id] = entry
        self.last_heard[replica_id] = max(now, self.last_heard.get(replica_id, now))
        self.heartbeat_version += 1
        self._heartbeat_versions.pop(replica_id, None)
        self._heartbeat_versions[replica_id] = self.heartbeat_version
        if known is None or {**known, "seq": 0} != {**entry, "seq": 0}:
            self._record_change(replica_id)
            self._content_versions[replica_id] = self.heartbeat_version
        return True

    def _record_change(self, replica_id: str) -> None:
        self.version += 1
        self._versions.pop(replica_id, None)
        self._versions[replica_id] = self.version

    def sweep(self, now: float, silent_after_s: float) -> bool:
        """Marks replicas whose heartbeats stopped or came back, and removes those long gone.

        Args:
            now: The monotonic clock.
            silent_after_s: Seconds without a heartbeat after which a replica is marked as silent.

        Returns:
            Whether a mark changed.
        """
        has_changed = False
        for replica_id, entry in list(self.replicas.items()):
            age_s = now - self.last_heard[replica_id]
            if age_s > GONE_RETENTION_S and (entry["state"] == GONE or age_s > SILENT_RETENTION_S):
                self._remove(replica_id)
                continue
            is_silent = age_s > silent_after_s
            if entry.get("silent", False) != is_silent:
                self.replicas[replica_id] = {**entry, "silent": is_silent}
                self._record_change(replica_id)
                has_changed = True
        return has_changed

    def _remove(self, replica_id: str) -> None:
        self.replicas.pop(replica_id, None)
        self.last_heard.pop(replica_id, None)
        for versions in (self._versions, self._heartbeat_versions, self._content_versions):
            versions.pop(replica_id, None)

    def changes_since(self, version: int) -> list[ReplicaEntry]:
        """Returns the entries that changed after a version, the oldest change first.

        >>> registry = ReplicaRegistry(); registry.changes_since(0)
        []
        """
        return [self.replicas[replica_id] for replica_id in changed_after(self._versions, version)]

    def heartbeats_since(self, version: int, now: float) -> list[ReplicaEntry | HeartbeatSummary]:
        """Returns what was heard after a heartbeat version, for a control node that has everything up to it.

        A heartbeat that said nothing new is summed up as id and sequence number; `expand` undoes that.

        >>> registry = ReplicaRegistry(); registry.heartbeats_since(0, 1.0)
        []
        """
        heartbeats: list[ReplicaEntry | HeartbeatSummary] = []
        for replica_id in changed_after(self._heartbeat_versions, version):
            entry = self.replicas[replica_id]
            age_s = now - self.last_heard[replica_id]
            if self._content_versions.get(replica_id, 0) > version:
                heartbeats.append({**entry, "age": age_s})
            else:
                heartbeats.append({"id": replica_id, "seq": entry["seq"], "age": age_s})
        return heartbeats

    def expand(self, heartbeat: ReplicaEntry | HeartbeatSummary) -> ReplicaEntry | None:
        """Returns the entry that another control node sent, perhaps as a summary; None if its replica is not known.

        >>> registry = ReplicaRegistry(); registry.expand({"id": "a", "seq": 2, "age": 0.0}) is None
        True
        """
        if "state" in heartbeat:
            return heartbeat
        known = self.replicas.get(heartbeat["id"])
        return None if known is None else {**known, **heartbeat}
