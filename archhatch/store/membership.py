"""The other stores as this one sees them: heartbeats, who is in touch, and what each last said of itself."""

from __future__ import annotations

import asyncio

from ..jobs import active_members
from ..membership import PeerSet
from ..rpc import CallError
from .heartbeat import HeartbeatStatus

SLOW = 4.0  # times later than the middle one's timers: a node that should not lead
SLOW_FLOOR = 0.4  # of a heartbeat: timers that are late by less say nothing
LAG_WEIGHT = 0.3  # of the newest look at this node's timers


class Membership:
    """Pings the stores of the membership and keeps their words.

    >>> # membership = Membership(store); task_group.run_forever("pings", membership.run); membership.alive(sid)
    """

    def __init__(self, store):
        self.store = store
        self.cards = PeerSet()
        self.woke = store.clock.now()  # the end of this node's last stand-still, or its start
        self.met: dict[str, float] = {}  # when this node first heard of a store
        self.proofs: dict[str, tuple] = {}  # store -> (when it was asked, the terms that it had promised)
        self.words: dict[str, HeartbeatStatus] = {}
        self._pings: dict[str, asyncio.Task] = {}
        self.lag = 0.0  # how late this node's timers are, lately

    # -- what is known of others

    def silent(self, sid: str) -> bool:
        """Whether a store has not been heard for so long that it passes for gone."""
        now = self.store.clock.now()
        met = self.met.setdefault(sid, now)  # one just heard of has not had its time to speak
        return min(self.cards.silence_s(sid, now), now - max(self.woke, met)) >= self.store.quiet_s

    def alive(self, sid: str) -> bool:
        """Whether a store is in touch."""
        return sid == self.store.id or not self.silent(sid)

    def takes(self, sid: str) -> bool:
        """Whether a store's disk takes records, by its own word."""
        if sid == self.store.id:
            return self.store.disk.takes
        word = self.words.get(sid)
        return word is None or word.takes

    def admits(self, job_id: str, size: int) -> bool:
        """Whether a new lot may be taken: enough stores in touch have the room for its copies."""
        members = active_members(self.store.members())
        roomy = [
            sid
            for sid in members
            if sid != self.store.id
            and self.stays(sid)
            and self.takes(sid)
            and (sid not in self.words or self.words[sid].roomy)
        ]
        here = [self.store.id] if self.store.disk.takes and self.store.record_store.can_admit(job_id, size) else []
        return self.store.quorum.has_enough_copies(roomy + here, members)

    def departing(self, sid: str) -> bool:
        """Whether a store said that it is about to end."""
        if sid == self.store.id:
            return self.store.leaving
        word = self.words.get(sid)
        return word is not None and word.departing

    def stays(self, sid: str) -> bool:
        """Whether copies may count on a store: it is in touch and not about to end."""
        return self.store.alive(sid) and not self.departing(sid)

    def confirmed(self, run: str, term: int, timeout_s: float) -> bool:
        """Whether so many stores, this one among them, said within secs that they know no higher term of a run that no
        other can have gathered its holder's right without one of them."""
        if self.store.record_store.promised_terms.get(run, 0) > term:
            return False
        now = self.store.clock.now()
        good = {
            sid for sid, (at, promised) in self.proofs.items() if now - at <= timeout_s and promised.get(run, 0) <= term
        }
        return self.store.quorum.has_enough_copies(good | {self.store.id}, active_members(self.store.members()))

    def hears_enough(self) -> bool:
        """Whether this store hears so many that a gather could succeed: the others would not do better."""
        members = self.store.members()
        return self.store.quorum.has_heard_enough([sid for sid in members if self.store.alive(sid)], members)

    def gatherable(self) -> bool:
        """Whether enough stores are in touch and can write down a promise that a successor's gather could succeed."""
        members = self.store.members()
        able = [sid for sid in members if self.store.alive(sid) and self.takes(sid)]
        return self.store.quorum.has_heard_enough(able, members)

    def lags(self, names) -> dict:
        """How late the timers of these stores are."""
        return {sid: self.lag if sid == self.store.id else self._lag(sid) for sid in names}

    def _lag(self, sid: str) -> float:
        word = self.words.get(sid)
        return word.lag if word is not None else 0.0

    def slow(self) -> bool:
        """Whether this node's timers are far later than those of most others that it hears."""
        others = sorted(self._lag(sid) for sid in self.words if sid in self.store.members() and self.alive(sid))
        return bool(others) and self.lag > max(
            SLOW * others[len(others) // 2], self.store.heartbeat_interval_s * SLOW_FLOOR
        )

    def fit_to_lead(self) -> list:
        """The active stores in touch whose disks take records, without those that are slow if others are left."""
        members = active_members(self.store.members())
        names = [sid for sid in members if self.stays(sid) and self.takes(sid)]
        lags = self.lags(names)
        row = sorted(lags.values())
        bound = max(SLOW * row[len(row) // 2], self.store.heartbeat_interval_s * SLOW_FLOOR) if row else 0.0
        return [sid for sid in names if lags[sid] <= bound] or names

    def life_of(self, sid: str) -> str | None:
        """The life that a store last named."""
        return self.store.incarnation if sid == self.store.id else self.cards.cards.get(sid, {}).get("life")

    def places_wanted(self, service: str) -> float:
        """The places that a service's runs need, by the word of the stores in touch that lead them."""
        words = [word for sid, word in self.words.items() if self.alive(sid)]
        here = self.store.leader.demand().get(service, 0.0)
        return here + sum(word.demand.get(service, 0.0) for word in words)

    # -- heartbeats

    def word(self) -> HeartbeatStatus:
        """What others are told at a ping. A store that has not read all terms yet proves nothing about them."""
        store = self.store
        return HeartbeatStatus(
            store.card(),
            store.record_store.promised_terms if store.ready else None,
            self.lag,
            takes=store.disk.takes and store.ready and not store.leaving,
            roomy=store.record_store.has_room(0),
            departing=store.leaving,
            oldest_write_s=store.disk.oldest_write_s(),
            demand=store.leader.demand() if store.capacity.enabled else {},
            leads={
                run: leadership.heartbeat_entry()
                for run, leadership in store.leaderships.items()
                if leadership.state != "over"
            },
        )

    def hear(self, doc: dict, asked_at: float) -> None:
        """Take up a store's word, given in answer to a ping that was sent at asked_at."""
        word = HeartbeatStatus.read(doc)
        sid = word.card["id"]
        self.cards.record_contact(word.card, self.store.clock.now())
        before, self.words[sid] = self.words.get(sid), word
        if before is None or (before.takes, before.departing) != (word.takes, word.departing):
            self.store.state_board.notify("members")
        if word.promised is not None:
            self.proofs[sid] = (asked_at, word.promised)

    async def run(self) -> None:
        """Ping every member at each heartbeat, and notice when this node stood still."""
        store = self.store
        while True:
            self.ping_all()
            before = store.clock.now()
            await asyncio.sleep(store.heartbeat_interval_s)
            self.look_at_timers(store.clock.now() - before)
            store.disk.judge([word.oldest_write_s for sid, word in self.words.items() if self.alive(sid)])

    def ping_all(self, only_new: bool = False) -> None:
        """Ping every member that has no ping under way, or only those that have not said anything yet."""
        store = self.store
        for sid, member in store.members().items():
            task = self._pings.get(sid)
            if sid == store.id or (task is not None and not task.done()) or (only_new and sid in self.words):
                continue
            self._pings[sid] = store.task_group.spawn("ping", self.ping, sid, member["addr"])

    def look_at_timers(self, slept_s: float) -> None:
        """Judge this node by how late it woke from one heartbeat's sleep."""
        late = max(0.0, slept_s - self.store.heartbeat_interval_s)
        self.lag += LAG_WEIGHT * (late - self.lag)
        if slept_s > self.store.quiet_s:
            self.woke = self.store.clock.now()
            self.proofs.clear()
            self.store.counters.add("woke")

    async def ping(self, sid: str, address: str) -> None:
        """Ask a store for its word; what another life at its address answers is not believed."""
        at = self.store.clock.now()
        try:
            code, doc, _ = await self.store.connections.to(address).call(
                "store.ping", {"to": sid, "card": self.store.card()}, timeout_s=self.store.quiet_s
            )
        except CallError:
            return
        if code == 2008 or (code == 1000 and doc["card"]["id"] != sid):
            self.store.counters.add("ping.other_life")
        elif code == 1000:
            self.hear(doc, at)
