"""The other stores as this one sees them: heartbeats, who is in touch, and what each last reported of itself."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

from ..jobs import active_members
from ..memory import StoreShares
from ..membership import NodeCard, PeerSet
from ..rpc import CallError
from ..runtime.message import InvalidFieldError
from ..runtime.schema import any_object, read_message
from .heartbeat import HeartbeatStatus
from .result_codes import DONE, OTHER_INCARNATION

if TYPE_CHECKING:
    from loguru import Logger

    from ..autoscaler.controller import CapacityController
    from ..jobs import Quorum, RecordStore
    from ..rollout_controller import LeadershipTerm
    from ..rpc import ConnectionPool
    from ..runtime import Clock, Counters, Settings, StateBoard, TaskGroup
    from ..share_group import PartitionLeader
    from .disk import DiskState

SLOW_LAG_RATIO = 4.0  # times the median lag: from here a node's timers are too late for it to lead
SLOW_LAG_HEARTBEATS = 0.4  # lags below this fraction of a heartbeat say nothing
LAG_WEIGHT = 0.3  # of the newest observation in the moving average of this node's timer lag


class MembershipHost(Protocol):
    """What the membership uses of its store."""

    settings: Settings
    clock: Clock
    counters: Counters
    task_group: TaskGroup
    state_board: StateBoard
    connections: ConnectionPool
    log: Logger
    heartbeat_interval_s: float
    quiet_s: float
    incarnation: str
    ready: bool
    leaving: bool
    quorum: Quorum
    leaderships: dict[str, LeadershipTerm]
    record_store: RecordStore
    leader: PartitionLeader
    disk: DiskState
    capacity: CapacityController

    @property
    def id(self) -> str:
        """The store's id."""

    def identity(self) -> NodeCard:
        """How the store introduces itself."""

    def members(self) -> dict:
        """All stores of the membership."""

    def alive(self, store_id: str) -> bool:
        """Whether a store is in touch."""


@dataclass(frozen=True, slots=True)
class TermProof:
    """The terms that a store had promised when it answered a heartbeat call.

    Attributes:
        asked_at: When the call was sent: the proof is as old as that.
        promised_terms: The terms, by run.
    """

    asked_at: float
    promised_terms: dict[str, int]


class Membership:
    """Calls the stores of the membership at each heartbeat and keeps their reports.

    Attributes:
        store: The store that it belongs to.
        cards: When each store was last heard, and how it introduced itself.
        resumed_at: The end of this process's last stall, or its start: before it, nobody could be heard.
        first_heard_of: When this node first heard of each store.
        proofs: The newest proof of each store's terms.
        statuses: The newest report of each store.
        timer_lag_s: How late this node's timers are, as a moving average.
    """

    def __init__(self, store: MembershipHost) -> None:
        self.store = store
        self.cards = PeerSet()
        self.resumed_at = store.clock.now()
        self.first_heard_of: dict[str, float] = {}
        self.proofs: dict[str, TermProof] = {}
        self.statuses: dict[str, HeartbeatStatus] = {}
        self.timer_lag_s = 0.0
        self._pings: dict[str, asyncio.Task] = {}

    # -- what is known of others

    def is_silent(self, store_id: str) -> bool:
        """Returns whether a store has not been heard for so long that it passes for gone."""
        now = self.store.clock.now()
        first_heard_of = self.first_heard_of.setdefault(store_id, now)  # a new one has not had its time to answer
        could_be_heard_s = now - max(self.resumed_at, first_heard_of)
        return min(self.cards.silence_s(store_id, now), could_be_heard_s) >= self.store.quiet_s

    def alive(self, store_id: str) -> bool:
        """Returns whether a store is in touch."""
        return store_id == self.store.id or not self.is_silent(store_id)

    def takes(self, store_id: str) -> bool:
        """Returns whether a store's disk takes records, by its own report."""
        if store_id == self.store.id:
            return self.store.disk.takes
        status = self.statuses.get(store_id)
        return status is None or status.accepts_records

    def can_admit(self, job_id: str, size: int) -> bool:
        """Returns whether a new job may be taken: it fits in memory, and enough stores have the room for its copies.

        Args:
            job_id: The job.
            size: Its bytes.
        """
        store = self.store
        open_job_bytes = sum(leadership.open_job_bytes() for leadership in store.leaderships.values())
        if not StoreShares(store.settings.memory_mb).admits(open_job_bytes, size):
            store.counters.add("job.no_memory")
            return False
        members = active_members(store.members())
        with_room = [store_id for store_id in members if store_id != store.id and self._has_room(store_id)]
        if store.disk.takes and store.record_store.can_admit(job_id, size):
            with_room.append(store.id)
        return store.quorum.has_enough_copies(with_room, members)

    def _has_room(self, store_id: str) -> bool:
        if not self.stays(store_id) or not self.takes(store_id):
            return False
        status = self.statuses.get(store_id)
        return status is None or status.has_room

    def departing(self, store_id: str) -> bool:
        """Returns whether a store said that it is about to end."""
        if store_id == self.store.id:
            return self.store.leaving
        status = self.statuses.get(store_id)
        return status is not None and status.is_departing

    def stays(self, store_id: str) -> bool:
        """Returns whether copies may count on a store: it is in touch and not about to end."""
        return self.store.alive(store_id) and not self.departing(store_id)

    def confirmed(self, run: str, term: int, max_age_s: float) -> bool:
        """Returns whether no other store can lead a run under a higher term.

        That is so if enough stores, this one among them, proved lately that they promised no higher term: no other
        can have gathered its right to lead without one of them.

        Args:
            run: The run.
            term: The term under which this store leads it.
            max_age_s: How old a proof may be.
        """
        store = self.store
        if store.record_store.promised_terms.get(run, 0) > term:
            return False
        now = store.clock.now()
        confirming = {
            store_id
            for store_id, proof in self.proofs.items()
            if now - proof.asked_at <= max_age_s and proof.promised_terms.get(run, 0) <= term
        }
        return store.quorum.has_enough_copies(confirming | {store.id}, active_members(store.members()))

    def hears_enough(self) -> bool:
        """Returns whether this store hears so many that a gather could succeed: the others would not do better."""
        members = self.store.members()
        return self.store.quorum.has_heard_enough(
            [store_id for store_id in members if self.store.alive(store_id)], members
        )

    def can_successor_gather(self) -> bool:
        """Returns whether enough stores are in touch and can write a promise, so that a successor could gather."""
        members = self.store.members()
        able = [store_id for store_id in members if self.store.alive(store_id) and self.takes(store_id)]
        return self.store.quorum.has_heard_enough(able, members)

    def timer_lags_s(self, store_ids: Iterable[str]) -> dict[str, float]:
        """Returns how late the timers of these stores are, in seconds."""
        return {store_id: self._timer_lag_s(store_id) for store_id in store_ids}

    def _timer_lag_s(self, store_id: str) -> float:
        if store_id == self.store.id:
            return self.timer_lag_s
        status = self.statuses.get(store_id)
        return status.timer_lag_s if status is not None else 0.0

    def is_slow(self) -> bool:
        """Returns whether this node's timers are far later than those of most others that it hears."""
        members = self.store.members()
        heard = [store_id for store_id in self.statuses if store_id in members and self.alive(store_id)]
        lags_s = [self.statuses[store_id].timer_lag_s for store_id in heard]
        return bool(lags_s) and self.timer_lag_s > self._slow_lag_s(lags_s)

    def _slow_lag_s(self, lags_s: Iterable[float]) -> float:
        """The lag above which a node is slow, given those of the nodes that it is compared with."""
        ordered = sorted(lags_s)
        median_s = ordered[len(ordered) // 2]
        return max(SLOW_LAG_RATIO * median_s, self.store.heartbeat_interval_s * SLOW_LAG_HEARTBEATS)

    def fit_to_lead(self) -> list[str]:
        """Returns the active stores in touch whose disks take records, without slow ones if others are left."""
        able = [
            store_id
            for store_id in active_members(self.store.members())
            if self.stays(store_id) and self.takes(store_id)
        ]
        if not able:
            return able
        lags_s = self.timer_lags_s(able)
        slow_lag_s = self._slow_lag_s(lags_s.values())
        return [store_id for store_id in able if lags_s[store_id] <= slow_lag_s] or able

    def incarnation_of(self, store_id: str) -> str | None:
        """Returns the incarnation that a store last named."""
        if store_id == self.store.id:
            return self.store.incarnation
        card = self.cards.cards.get(store_id)
        return card.get("life") if card is not None else None

    def places_wanted(self, service: str) -> float:
        """Returns the slots that a service's runs need, by the reports of the stores in touch that lead them."""
        statuses = [status for store_id, status in self.statuses.items() if self.alive(store_id)]
        here = self.store.leader.demand().get(service, 0.0)
        return here + sum(status.slots_demanded.get(service, 0.0) for status in statuses)

    # -- heartbeats

    def status(self) -> HeartbeatStatus:
        """Returns this store's report. One that has not read all terms yet proves nothing about them."""
        store = self.store
        return HeartbeatStatus(
            identity=store.identity(),
            promised_terms=store.record_store.promised_terms if store.ready else None,
            timer_lag_s=self.timer_lag_s,
            accepts_records=store.disk.takes and store.ready and not store.leaving,
            has_room=store.record_store.has_room(0),
            is_departing=store.leaving,
            oldest_write_s=store.disk.oldest_write_s(),
            led_runs={
                run: leadership.heartbeat_entry()
                for run, leadership in store.leaderships.items()
                if leadership.state != "over"
            },
            slots_demanded=store.leader.demand() if store.capacity.enabled else {},
        )

    def record_status(self, status: HeartbeatStatus, asked_at: float) -> None:
        """Takes up a store's report.

        Args:
            status: The report.
            asked_at: When the call that it answers was sent.
        """
        store_id = status.identity["id"]
        self.cards.record_contact(status.identity, self.store.clock.now())
        before = self.statuses.get(store_id)
        self.statuses[store_id] = status
        if (
            before is None
            or before.accepts_records != status.accepts_records
            or before.is_departing != status.is_departing
        ):
            self.store.state_board.notify("members")
        if status.promised_terms is not None:
            self.proofs[store_id] = TermProof(asked_at, status.promised_terms)

    async def run(self) -> None:
        """Calls every member at each heartbeat, and notices when this process stood still."""
        store = self.store
        while True:
            self.ping_members()
            before = store.clock.now()
            await asyncio.sleep(store.heartbeat_interval_s)
            self.observe_timer(store.clock.now() - before)
            alive = [status for store_id, status in self.statuses.items() if self.alive(store_id)]
            store.disk.check_for_stall([status.oldest_write_s for status in alive])

    def ping_members(self, only_new: bool = False) -> None:
        """Calls every member that has no heartbeat call under way.

        Args:
            only_new: Whether to call only those that have not reported anything yet.
        """
        store = self.store
        for store_id, member in store.members().items():
            task = self._pings.get(store_id)
            is_pinging = task is not None and not task.done()
            if store_id == store.id or is_pinging or (only_new and store_id in self.statuses):
                continue
            self._pings[store_id] = store.task_group.spawn("ping", self.ping, store_id, member["addr"])

    def observe_timer(self, slept_s: float) -> None:
        """Judges this node by how late it woke from one heartbeat's sleep.

        Args:
            slept_s: How long the sleep took.
        """
        late_s = max(0.0, slept_s - self.store.heartbeat_interval_s)
        self.timer_lag_s += LAG_WEIGHT * (late_s - self.timer_lag_s)
        if slept_s > self.store.quiet_s:
            self.resumed_at = self.store.clock.now()
            self.proofs.clear()
            self.store.counters.add("woke")

    async def ping(self, store_id: str, address: str) -> None:
        """Asks a store for its report; what another incarnation at its address answers is not believed."""
        store = self.store
        asked_at = store.clock.now()
        request = {"to": store_id, "card": store.identity()}
        document: Any
        try:
            code, document, _ = await store.connections.to(address).call("store.ping", request, timeout_s=store.quiet_s)
        except CallError:
            return
        if code == OTHER_INCARNATION:
            store.counters.add("ping.other_incarnation")
        elif code == DONE:
            self._take_answer(store_id, document, asked_at)

    def _take_answer(self, store_id: str, document: object, asked_at: float) -> None:
        """Takes up a store's answer to a ping; one that cannot be read is as good as none."""
        store = self.store
        try:
            status = read_message(HeartbeatStatus, any_object(document))
        except InvalidFieldError as error:
            store.counters.add("ping.malformed")
            store.log.warning("answer of store {} to a ping cannot be read: {}", store_id, error)
            return
        if status.identity["id"] != store_id:
            store.counters.add("ping.other_incarnation")
            return
        self.record_status(status, asked_at)
