"""Pings between control nodes: who is there, what each holds, and what each has heard of replicas and stores."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol, cast

from ..membership import without_marks
from ..runtime.message import MALFORMED_ERRORS
from . import topics
from .messages import CommitNotice, Ping

if TYPE_CHECKING:
    from ..consensus import ProposalNumber
    from ..membership import LiveRequests, NodeCard, PeerSet, ReplicaEntry, ReplicaRegistry
    from ..membership.agreed_time import AgreedTime
    from ..membership.replica_entry import HeartbeatSummary
    from ..region_policy.region_monitor import RegionMonitor
    from ..runtime import Clock, Counters, Settings, StateBoard, TaskGroup
    from .agreement import Registers
    from .contact import MajorityContact

FORGET_AFTER = 4.0  # times quiet_s: a node that was not heard for so long is not named to others any more
MAX_PING_SLOWDOWN = 3.0  # times the usual interval between pings, to a node that has long been unreachable
PING_JITTER = (0.9, 1.1)  # of the interval, so that the nodes' pings do not run in step


@dataclass(frozen=True, slots=True)
class PeerReport:
    """What one incarnation of another control node has surely taken up.

    Attributes:
        incarnation: The incarnation of the node's process.
        heartbeat_version: The version of the registry up to which it knows the replicas.
        store_version: The version of their table up to which it knows the stores.
        control_nodes: The ids of the control nodes that were named to it.
    """

    incarnation: str
    heartbeat_version: int = 0
    store_version: int = 0
    control_nodes: tuple[str, ...] = ()


NOTHING_REPORTED = PeerReport("")


class PeersHost(Protocol):
    """What the pings use of their control node.

    Attributes:
        id: The node's id.
        address: Where it takes calls.
        incarnation: The incarnation of its process.
        leaving: Whether it is about to end.
        heartbeat_interval_s: The interval between pings.
        quiet_s: After this many seconds without an answer a node counts as unreachable.
    """

    id: str
    address: str
    incarnation: str
    leaving: bool
    heartbeat_interval_s: float
    quiet_s: float
    settings: Settings
    clock: Clock
    counters: Counters
    log: Any
    task_group: TaskGroup
    state_board: StateBoard
    registers: Registers
    contact: MajorityContact
    registry: ReplicaRegistry
    cores: PeerSet
    stores: PeerSet
    live: LiveRequests
    regions: RegionMonitor
    agreed_time: AgreedTime

    def card(self) -> NodeCard:
        """Returns what others keep of the node."""

    def is_disk_healthy(self) -> bool:
        """Returns whether the node's log takes records."""

    def check_serving(self) -> bool:
        """Returns whether the node may answer callers; notes a loss of contact."""

    async def call(self, address: str, verb: str, document: dict, timeout_s: float | None = None, to: str = "") -> Any:  # noqa: ANN401 - any JSON
        """Calls another node; None if it does not answer."""


class Peers:
    """Keeps pinging the other control nodes, and merges what they report.

    Attributes:
        reports: By address, what the node there has surely taken up.
        leaving: The ids of nodes that are about to end.
    """

    def __init__(self, node: PeersHost) -> None:
        self.node = node
        self.reports: dict[str, PeerReport] = {}
        self.leaving: set[str] = set()
        self._disk_fails_since: dict[str, float] = {}
        port = node.settings.internal_ports[0]
        seeds = {f"{seed.rsplit(':', 1)[0]}:{port}" for seed in node.settings.seed_peers}
        self._seeds = seeds - {node.address}
        self._watched = {node.address} | seeds

    def start(self) -> None:
        """Begins to ping the seeds; others are found through them."""
        for address in sorted(self._seeds):
            self.node.task_group.run_forever("ping", self.ping_loop, address)

    def watch(self, address: str) -> None:
        """Begins to ping an address, unless it is pinged already."""
        if address not in self._watched:
            self._watched.add(address)
            self.node.task_group.run_forever("ping", self.ping_loop, address)

    # -- what is sent

    def ping_document(self, address: str) -> dict:
        """Returns the ping for an address, as a JSON object; replicas and stores since what that node has taken up."""
        node, now = self.node, self.node.clock.now()
        report = self.reports.get(address, NOTHING_REPORTED)
        control_nodes = self._recent_control_nodes()
        has_new_nodes = _ids_of(control_nodes) != report.control_nodes
        return self._ping(
            control_nodes=control_nodes if has_new_nodes else None,
            served_regions=node.regions.recent_answers() if node.regions.answered_at else None,
            live_requests=node.live.edge_totals(now),
            stores=node.stores.changes_since(report.store_version, now),
            replicas=node.registry.heartbeats_since(report.heartbeat_version, now),
            heartbeat_version=node.registry.heartbeat_version,
        ).to_document()

    def ping_answer(self, is_missing_entries: bool) -> Ping:
        """Returns the answer to a ping.

        Args:
            is_missing_entries: Whether the ping referred to replicas or stores that are not known here.
        """
        return self._ping(control_nodes=self._recent_control_nodes(), is_missing_entries=is_missing_entries)

    def _ping(self, **reported: Any) -> Ping:  # noqa: ANN401 - the optional fields of Ping
        node = self.node
        return Ping(
            card=node.card(),
            incarnation=node.incarnation,
            chosen_versions=node.registers.chosen_versions(),
            accepted_versions=node.registers.accepted_versions(),
            is_leaving=node.leaving,
            is_disk_healthy=node.is_disk_healthy(),
            wall_time=node.clock.wall_time(),
            **reported,
        )

    def _recent_control_nodes(self) -> list[NodeCard]:
        """Returns the cards of the control nodes that were heard not too long ago."""
        node, now = self.node, self.node.clock.now()
        forget_s = node.quiet_s * FORGET_AFTER
        return [card for key, card in node.cores.cards.items() if node.cores.silence_s(key, now) < forget_s]

    def announce(self) -> None:
        """Pings all at once: this node has something to report that cannot wait, as that it will end."""
        for card in list(self.node.cores.cards.values()):
            self.node.task_group.spawn("announce", self._ping_once, card["addr"])

    def spread_commit(self, shard: str, version: int, proposal_number: ProposalNumber | None) -> None:
        """Tells all that a state was chosen. Who has accepted it needs no copy of it, others fetch it."""
        document = CommitNotice(shard, version, list(proposal_number or ()), self.node.address).to_document()
        for card in list(self.node.cores.cards.values()):
            self.node.task_group.spawn(
                "commit", self.node.call, card["addr"], "part.commit", document, None, card["id"]
            )

    # -- what is received

    def merge_ping(self, ping: Ping) -> bool:
        """Merges a ping or its answer.

        Args:
            ping: The decoded message.

        Returns:
            Whether it refers to replicas or stores that are not known here.
        """
        node, now = self.node, self.node.clock.now()
        sender = ping.card
        self._merge_sender(sender, now)
        self._merge_leaving(sender["id"], ping.is_leaving)
        self.note_disk_health(sender["id"], ping.is_disk_healthy)
        for card in [*(ping.control_nodes or []), sender]:
            self._merge_control_node(card)
        is_missing_replicas = self.merge_replicas(ping.replicas or [])
        is_missing_stores = self._merge_stores(ping.stores or [], now)
        if ping.live_requests is not None:
            self.merge_live_totals(sender["id"], ping.live_requests)
        node.regions.record_answers(ping.served_regions or [])
        for shard in node.registers.note_chosen_versions(ping.chosen_versions):
            node.task_group.spawn("fetch-state", self.fetch_state, sender["addr"], shard, sender["id"])
        return is_missing_replicas or is_missing_stores

    def _merge_sender(self, card: NodeCard, now: float) -> None:
        node = self.node
        is_new = card["id"] not in node.cores.cards
        for replaced in [key for key in self._ids_at(card["addr"]) if key != card["id"]]:
            # its disk was lost, or another node has taken its address: the old id does not come back
            node.cores.forget(replaced)
            node.agreed_time.forget(replaced)
            node.contact.forget(replaced)
            self.leaving.discard(replaced)
        node.cores.record_contact(card, now)
        if is_new:
            node.log.info("control node {} is known: address={}", card["id"], card["addr"])
            node.state_board.notify(topics.FEED)

    def _merge_control_node(self, card: NodeCard) -> None:
        """Takes up a control node that another one named."""
        node = self.node
        if card["id"] == node.id or card["addr"] == node.address:
            return
        if card["id"] not in node.cores.cards and not self._ids_at(card["addr"]):
            node.cores.update_card(card)
        self.watch(card["addr"])

    def _merge_leaving(self, node_id: str, is_leaving: bool) -> None:
        if is_leaving and node_id not in self.leaving:
            self.leaving.add(node_id)
            self.node.state_board.notify(topics.MAINTENANCE)  # its place in the groups is to be taken before it ends
        elif not is_leaving:
            self.leaving.discard(node_id)

    def note_disk_health(self, node_id: str, is_healthy: bool) -> None:
        """Notes whether a node's disk takes records, as the node itself reports."""
        if is_healthy:
            self._disk_fails_since.pop(node_id, None)
        else:
            self._disk_fails_since.setdefault(node_id, self.node.clock.now())

    def disk_fails_for_s(self, node_id: str) -> float:
        """Returns the seconds since a node first reported that its disk takes no records; 0 if it does."""
        now = self.node.clock.now()
        return now - self._disk_fails_since.get(node_id, now)

    def _ids_at(self, address: str) -> list[str]:
        return [key for key, card in self.node.cores.cards.items() if card["addr"] == address]

    def merge_live_requests(self, edge_id: str, live_requests: dict[str, float]) -> None:
        """Merges the live requests that an edge reported here, by service."""
        self._merge_live(self.node.live.record_edge, edge_id, live_requests)

    def merge_live_totals(self, node_id: str, live_requests: dict[str, float]) -> None:
        """Merges the live requests that were reported to another control node, added up by service."""
        self._merge_live(self.node.live.record_node, node_id, live_requests)

    def _merge_live(self, put: Callable, reporter_id: str, live_requests: dict[str, float]) -> None:
        node, now = self.node, self.node.clock.now()
        before = set(node.live.totals(now))
        put(reporter_id, live_requests, now)
        if set(node.live.totals(now)) != before:
            node.state_board.notify(topics.FEED)

    def _merge_stores(self, sightings: Sequence[tuple[Any, float]], now: float) -> bool:
        """Merges when others heard of stores; returns whether one is named by an id that is not known here."""
        stores, is_missing = self.node.stores, False
        for card_or_id, age_s in sightings:
            if isinstance(card_or_id, dict):
                stores.record_contact(cast("NodeCard", card_or_id), now - age_s)
            elif not stores.record_sighting(card_or_id, now - age_s):
                is_missing = True
        return is_missing

    def merge_replicas(self, entries: Sequence[ReplicaEntry | HeartbeatSummary]) -> bool:
        """Merges what another control node reported of replicas.

        Args:
            entries: Entries with their age; in short form if nothing but the sequence number has changed.

        Returns:
            Whether a short form refers to a replica that is not known here.
        """
        node, now = self.node, self.node.clock.now()
        version, is_missing = node.registry.version, False
        for reported in entries:
            whole = node.registry.expand(reported)
            if whole is None:
                is_missing = True
                continue
            entry: Any = dict(whole)
            age_s = entry.pop("age", 0.0)
            first_age_s = entry.pop("first_age", age_s)
            node.registry.record_heartbeat(without_marks(entry), now - age_s, now - first_age_s)
        if node.registry.version != version:
            node.state_board.notify(topics.FEED)
        return is_missing

    async def fetch_state(self, address: str, shard: str, node_id: str) -> None:
        """Fetches a newer chosen state from the node that reported it."""
        state = await self.node.call(address, "part.hear", {"part": shard}, None, node_id)
        if state is not None:
            self.node.registers.learn_chosen(shard, state)

    # -- pings

    async def ping_loop(self, address: str) -> None:
        """Pings an address for good; one that does not answer less often."""
        node = self.node
        unreachable_since: float | None = None
        while True:
            has_answered = await self._ping_once(address)
            now = node.clock.now()
            unreachable_since = None if has_answered else unreachable_since or now
            slowdown = 1.0
            if unreachable_since is not None:
                slowdown = min(MAX_PING_SLOWDOWN, 1 + (now - unreachable_since) * node.heartbeat_interval_s)
            await asyncio.sleep(node.heartbeat_interval_s * slowdown * random.uniform(*PING_JITTER))

    async def _ping_once(self, address: str) -> bool:
        """Pings an address; returns whether it answered."""
        node = self.node
        heartbeat_version, store_version, sent_at = (
            node.registry.heartbeat_version,
            node.stores.version,
            node.clock.now(),
        )
        control_nodes = _ids_of(self._recent_control_nodes())
        document = await node.call(address, "core.ping", self.ping_document(address))
        node.check_serving()  # a loss of contact is noted before the answer hides it, as after a freeze
        if document is None:
            self.reports.pop(address, None)
            return False
        try:
            answer = Ping.from_document(document)
            node.contact.record_answer(answer.card["id"], sent_at, answer.accepted_versions)
            self._note_time(answer, sent_at)
            self.merge_ping(answer)
        except MALFORMED_ERRORS as error:
            node.counters.add("ping.malformed")
            node.log.warning("answer to a ping cannot be read: address={} error={!r}", address, error)
            self.reports.pop(address, None)
            return False
        node.check_serving()
        last = self.reports.get(address)
        has_restarted = last is not None and last.incarnation != answer.incarnation
        if answer.is_missing_entries or has_restarted:
            # a node that has restarted took up earlier reports in another incarnation: it is sent everything again
            self.reports[address] = PeerReport(answer.incarnation)
        else:
            self.reports[address] = PeerReport(answer.incarnation, heartbeat_version, store_version, control_nodes)
        return True

    def _note_time(self, answer: Ping, sent_at: float) -> None:
        """Merges the time of day of an answer: that of the middle between the ping and the answer's arrival."""
        now = self.node.clock.now()
        self.node.agreed_time.record_clock(self.node.id, self.node.clock.wall_time(), now)
        if answer.wall_time is not None:
            self.node.agreed_time.record_clock(answer.card["id"], answer.wall_time, (sent_at + now) / 2)


def _ids_of(cards: list[NodeCard]) -> tuple[str, ...]:
    return tuple(sorted(card["id"] for card in cards))
