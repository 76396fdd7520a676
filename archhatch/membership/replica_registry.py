"""The registry of replicas, built from their heartbeats: in memory, spread among control nodes without a sync."""

from __future__ import annotations

from .change_order import changed_after
from .replica_entry import DRAINING, GONE, UP, HeartbeatSummary, ReplicaEntry, without_marks

GONE_RETENTION_S = 90.0  # longer than a heartbeat can be delayed on its way through other control nodes
SILENT_RETENTION_S = 4 * GONE_RETENTION_S  # a replica that never said goodbye may be cut off, and come back
STATE_ORDER = {UP: 0, DRAINING: 1, GONE: 2}


class ReplicaRegistry:
    """Replicas by id, with two orders of changes: one for readers, one for the other control nodes.

    Readers are told what changes how requests are placed, control nodes every heartbeat.

    An address has one replica at a time: the one that was heard for the first time last. The others are marked as
    superseded, and readers are told nothing of them after their successor. The order in which news of them arrives
    does not matter, so neither does a dead incarnation's late heartbeat or the mark of its silence.

    Attributes:
        replicas: The entry of each replica, by id.
        last_heard: When each was last heard, here or by another control node, in seconds of the monotonic clock.
        first_heard: When each was first heard, likewise.
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
        self.first_heard: dict[str, float] = {}
        self._owners: dict[str, str] = {}  # the id of the latest incarnation at each address
        self.version = 0
        self.heartbeat_version = 0
        self._versions: dict[str, int] = {}  # in the order of the versions, for changed_after
        self._heartbeat_versions: dict[str, int] = {}  # likewise
        self._content_versions: dict[str, int] = {}  # of the last heartbeat that said more than 'still here'

    def record_heartbeat(self, entry: ReplicaEntry, now: float, first_heard: float | None = None) -> bool:
        """Records a heartbeat, or an entry that another control node sent.

        Args:
            entry: The entry; the registry keeps it, so the caller must not change it.
            now: When it was heard, in seconds of the monotonic clock.
            first_heard: When the replica was first heard, if another control node has told so; likewise.

        Returns:
            False if the entry is older than the known one and was ignored.
        """
        replica_id = entry["id"]
        known = self.replicas.get(replica_id)
        is_newer = known is None or _is_newer(known, entry)
        if is_newer:
            self._store(known, entry, now)
        began = now if first_heard is None else first_heard
        self.first_heard[replica_id] = min(began, self.first_heard.get(replica_id, began))
        self._settle_address(self.replicas[replica_id])
        return is_newer

    def _store(self, known: ReplicaEntry | None, entry: ReplicaEntry, now: float) -> None:
        replica_id = entry["id"]
        if known is not None:
            if entry["state"] == GONE:
                entry = {**known, "state": GONE, "seq": max(known["seq"], entry["seq"])}
            elif known.get("superseded"):
                entry = {**entry, "superseded": True}
        self.replicas[replica_id] = entry
        self.last_heard[replica_id] = max(now, self.last_heard.get(replica_id, now))
        self.heartbeat_version += 1
        self._heartbeat_versions.pop(replica_id, None)
        self._heartbeat_versions[replica_id] = self.heartbeat_version
        if known is None or {**known, "seq": 0} != {**entry, "seq": 0}:
            self._record_change(replica_id)
            self._content_versions[replica_id] = self.heartbeat_version

    def _record_change(self, replica_id: str) -> None:
        self.version += 1
        self._versions.pop(replica_id, None)
        self._versions[replica_id] = self.version

    # -- which incarnation has an address

    def _settle_address(self, entry: ReplicaEntry) -> None:
        """Gives a replica its address if it is the latest incarnation there, else marks it as superseded."""
        address, replica_id = entry.get("addr"), entry["id"]
        if not address or entry["state"] == GONE:
            return
        owner = self._owner_of(address)
        if owner is None or self.first_heard[replica_id] > self.first_heard[owner["id"]]:
            self._assign_address(address, replica_id)
        elif owner["id"] != replica_id and not entry.get("superseded"):
            self._mark_superseded(replica_id, owner["id"])

    def _owner_of(self, address: str) -> ReplicaEntry | None:
        owner = self.replicas.get(self._owners.get(address, ""))
        return owner if owner is not None and owner.get("addr") == address else None

    def _assign_address(self, address: str, replica_id: str) -> None:
        former = self._owner_of(address)
        self._owners[address] = replica_id
        if former is not None and former["id"] != replica_id and former["state"] != GONE:
            self._mark_superseded(former["id"], replica_id)
        entry = self.replicas[replica_id]
        if entry.get("superseded"):
            self.replicas[replica_id] = {**entry, "superseded": False}
            self._record_change(replica_id)

    def _mark_superseded(self, replica_id: str, successor_id: str) -> None:
        """Marks an entry; its successor is told after it, since older readers know one replica by address, the last."""
        self.replicas[replica_id] = {**self.replicas[replica_id], "superseded": True}
        self._record_change(replica_id)
        self._record_change(successor_id)

    def _is_wrongly_superseded(self, replica_id: str, now: float, silent_after_s: float) -> bool:
        """Whether a superseded replica is still heard and its supposed successor is not.

        A control node that has just started may hear a dead incarnation's delayed heartbeat as its first.
        """
        owner = self._owner_of(self.replicas[replica_id].get("addr", ""))
        if owner is None:
            return True
        owner_heard = self.last_heard[owner["id"]]
        return now - owner_heard > silent_after_s and owner_heard < self.last_heard[replica_id]

    # -- silence

    def sweep(self, now: float, silent_after_s: float) -> bool:
        """Marks replicas whose heartbeats stopped or came back, and removes those long gone.

        Args:
            now: The monotonic clock.
            silent_after_s: Seconds without a heartbeat after which a replica is marked as silent.

        Returns:
            Whether a mark changed that readers are told of.
        """
        version = self.version
        for replica_id in list(self.replicas):
            entry = self.replicas[replica_id]
            age_s = now - self.last_heard[replica_id]
            if age_s > GONE_RETENTION_S and (entry["state"] == GONE or age_s > SILENT_RETENTION_S):
                self._remove(replica_id)
                continue
            is_silent = age_s > silent_after_s
            if entry.get("silent", False) != is_silent:
                self.replicas[replica_id] = {**entry, "silent": is_silent}
                if not entry.get("superseded"):
                    self._record_change(replica_id)
            is_heard = not is_silent and entry["state"] != GONE
            if entry.get("superseded") and is_heard and self._is_wrongly_superseded(replica_id, now, silent_after_s):
                self._assign_address(entry["addr"], replica_id)
        return self.version != version

    def _remove(self, replica_id: str) -> None:
        entry = self.replicas.pop(replica_id)
        self.last_heard.pop(replica_id, None)
        self.first_heard.pop(replica_id, None)
        address = entry.get("addr", "")
        if self._owners.get(address) == replica_id:
            del self._owners[address]
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
                first_age_s = now - self.first_heard[replica_id]
                heartbeats.append({**without_marks(entry), "age": age_s, "first_age": first_age_s})
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


def _is_newer(known: ReplicaEntry, entry: ReplicaEntry) -> bool:
    """Whether an entry is newer than the known one of the same replica."""
    known_order, order = STATE_ORDER[known["state"]], STATE_ORDER[entry["state"]]
    if known_order != order:
        return order > known_order
    return entry["seq"] > known["seq"]
