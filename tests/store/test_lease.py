"""Leases are kept alive by leading: who holds a run while holders fail, freeze, lose their disks or claim at once."""

import asyncio
from types import SimpleNamespace

import orjson
import pytest
from tests.support.fakes import MemBook
from tests.jobs.test_batch_job import LOT
from tests.jobs.test_quorum import Node, Site, quorum_settings

from archhatch.region_policy import Placement
from archhatch.store.departure import Departure
from archhatch.store.handlers import may_be_taken
from archhatch.store.heartbeat import HeartbeatStatus, Leading
from archhatch.store.lease import OthersLease, OwnLease, Phase, Step, others_step, own_step
from archhatch.store.evacuation import EvacuationSupport
from archhatch.store.lease_watch import LeaseWatch
from archhatch.store.node import StoreNode
from archhatch.store.repair import Repair
from archhatch.wal import LogError

LOOK_S = 0.04  # between two looks of these tests: below the stand-ins' quiet time

OWN = [  # the holder's own state -> what it does
    (OwnLease(Phase.NONE), Step.BEGIN),
    (OwnLease(Phase.READING), Step.WAIT),
    (OwnLease(Phase.HOLDING), Step.WAIT),
    (OwnLease(Phase.OVER), Step.RENEW),
    (OwnLease(Phase.HOLDING, slow=True), Step.HAND_ON),
    (OwnLease(Phase.HOLDING, takes=False), Step.HAND_ON),
    (OwnLease(Phase.READING, takes=False), Step.HAND_ON),
    (OwnLease(Phase.OVER, takes=False), Step.HAND_ON),
    (OwnLease(Phase.NONE, takes=False), Step.HAND_ON),
    (OwnLease(Phase.HOLDING, takes=False, successor=False), Step.WAIT),
    (OwnLease(Phase.OVER, takes=False, successor=False), Step.WAIT),
    (OwnLease(Phase.HOLDING, takes=False, gatherable=False), Step.WAIT),
]  # nobody could take over: it serves on


@pytest.mark.parametrize("own, step", OWN)
def test_what_a_holder_does(own, step):
    assert own_step(own) is step


@pytest.mark.parametrize(
    "lease, step",
    [
        (OthersLease(None), Step.WAIT),
        (OthersLease(9.0, may_lead=False), Step.WAIT),
        (OthersLease(0.0), Step.CLAIM),
        (OthersLease(0.5, place=1), Step.WAIT),
        (OthersLease(0.6, place=1), Step.CLAIM),
        (OthersLease(1.1, place=2), Step.WAIT),
        (OthersLease(1.2, place=2), Step.CLAIM),
    ],
)
def test_what_the_others_do(lease, step):
    assert others_step(lease, 0.6) is step


class Disk(MemBook):
    """A log in memory whose disk may be full, or stand still."""

    def __init__(self):
        super().__init__()
        self.full, self.gate = False, asyncio.Event()
        self.gate.set()

    async def append(self, *raws):
        await self.gate.wait()
        if self.full:
            raise LogError("full")
        await super().append(*raws)


class Store(Node):
    """A store with its lease watch; what the registers hold it knows at once."""

    leases = StoreNode.leases

    def __init__(self, site, place, wal, sid):
        super().__init__(site, place, wal, sid)
        self.incarnation, self.frozen = f"life of {sid}", False
        self.plan, self.leader = SimpleNamespace(models=lambda: {"m": "s"}), SimpleNamespace(sync=lambda: None)
        self.replicator.takes, self.replicator.watch = self.membership.takes, self.disk.watch
        self.placement, self.evacuation = Placement(), EvacuationSupport(self)
        self.lease_watch, self.repair, self.wal = LeaseWatch(self), Repair(self), wal

    @property
    def shards(self):
        return {"plan": self.site.value}

    async def _prepare(self, doc, body):
        try:
            out = await self.disk.watch(self.record_store.prepare(doc["run"], doc["term"]))
        except LogError:
            return None
        leadership = self.leaderships.get(doc["run"])
        if out["ok"] and leadership is not None and leadership.term < doc["term"]:
            leadership.step_down()
        return out

    def card(self):
        return {"id": self.id, "life": self.incarnation}


class Leases(Site):
    """Stores that look at the run's lease as time is moved on by hand."""

    node = Store

    def __init__(self, clock, f=1, n=3):
        self.f = f
        super().__init__(clock, quorum_settings(Machines=f), 0)
        for i in range(n):
            self.start(f"p{i}", Disk())

    async def call(self, address, verb, doc, body=b"", timeout_s=1.0):
        if verb in ("shelf.append", "shelf.prepare") and address not in self.dark and doc["to"] == self.at[address].id:
            try:
                node = self.at[address]
                if verb == "shelf.prepare":
                    out = await node._prepare(doc, body)
                    return (1000, orjson.loads(orjson.dumps(out)), b"") if out is not None else (3010, None, b"")
                return await node.disk.watch(super().call(address, verb, doc, body, timeout_s))
            except LogError:
                return 3010, None, b""
        return await super().call(address, verb, doc, body, timeout_s)

    async def look(self, timeout_s=LOOK_S):
        """Time goes on: every store that runs hears the others and looks at the lease."""
        end = self.clock.at + timeout_s
        while self.clock.at < end - 1e-9:
            self.clock.at += LOOK_S
            for node in self.at.values():
                if node.place not in self.dark:
                    for sid, member in node.members().items():
                        if sid != node.id:
                            await node.ping(sid, member["ip"])
            for node in self.at.values():
                if node.place not in self.dark:
                    node.disk.judge([0.0])
                    node.lease_watch.look()
            for _ in range(60):
                await asyncio.sleep(0)
            await asyncio.sleep(0.003)  # what reigns wait in real time: a heartbeat of the stand-ins

    def lease(self):
        return self.value["tenures"]["s"]

    def holders(self, job_id=None):
        if job_id is not None:
            return super().holders(job_id)
        return [
            n
            for n in self.at.values()
            if n.place not in self.dark and "s" in n.leaderships and n.leaderships["s"].state == "holding"
        ]

    def holder(self):
        one = [n for n in self.holders() if n.id == self.lease()["holder"]]
        assert len(one) <= 1
        return one[0] if one else None

    async def until_held(self, but=None, within_s=9.0):
        """Look until a store leads under the newest lease; how long that took."""
        began = self.clock.at
        while (node := self.holder()) is None or node is but or node.leaderships["s"].term != self.lease()["term"]:
            assert self.clock.at - began < within_s, self.value["tenures"]
            await self.look()
        return node, self.clock.at - began

    async def serves(self, node, job_id="new"):
        """Whether a holder takes a lot with its copies."""
        await node.leaderships["s"].accept_job({"lot": job_id, "host": "h", "path": "/p/"}, orjson.dumps(LOT))
        return len(super().holders(job_id)) >= self.f + 1


def end_of_its_own(site, node):
    node.leaderships["s"].step_down()


def no_renewal(site, node):
    """Its watch stands still, and its term ended."""
    node.lease_watch.look = lambda: None
    node.leaderships["s"].step_down()


def reading_without_end(site, node):
    leadership = node.leaderships["s"]
    leadership.state = "reading"
    node.lease_watch.look = lambda: None


def full_disk(site, node):
    node.record_store.wal.full = True
    node.disk._refuse("disk.failed")


def freeze(site, node):
    site.dark.add(node.place)


TROUBLES = [  # what befalls the holder; whether another leads after it; within how long (ContactMs is 3 s)
    ("its term ends of its own", end_of_its_own, False, 0.2),
    ("it does not renew", no_renewal, True, 1.2),
    ("its reading never ends", reading_without_end, True, 3.3),
    ("its disk is full", full_disk, True, 0.2),
    ("it is frozen", freeze, True, 0.2),
]


@pytest.mark.parametrize("why, trouble, moves, within_s", TROUBLES, ids=[t[0] for t in TROUBLES])
def test_a_run_is_led_again_soon(run, clock, why, trouble, moves, within_s):
    async def go():
        site = Leases(clock)
        old, _ = await site.until_held()
        term = site.lease()["term"]
        await site.look(2.0)
        assert site.lease()["term"] == term and site.holder() is old  # while it leads nobody else claims
        assert await site.serves(old, "before")
        trouble(site, old)
        new, took = await site.until_held(but=old if moves else None, within_s=within_s)
        assert (new is not old) is moves and site.lease()["term"] == term + 1, took
        assert "before" in new.leaderships["s"].batch_jobs and await site.serves(new)
        after = site.lease()["term"]
        site.dark.clear()  # thawed, if it was frozen
        await site.look(2.0)
        assert site.holders() == [new] and site.lease()["term"] == after

    run(go())


FULL = [  # f, stores, which are full: the holder or so many followers; whether leadership moves
    (1, 3, "holder", 0, True),
    (1, 3, "followers", 1, False),
    (2, 5, "followers", 2, False),
    (2, 5, "holder", 1, True),
    (1, 4, "holder", 1, False),
]  # the last: all but f + 1, and nobody could gather: the holder serves on


@pytest.mark.parametrize("f, n, who, more, moves", FULL)
def test_full_disks_are_left_out_and_taken_in_again(run, clock, f, n, who, more, moves):
    async def go():
        site = Leases(clock, f, n)
        old, _ = await site.until_held()
        full = ([old] if who == "holder" else []) + [x for x in site.at.values() if x is not old][:more]
        for node in full:
            full_disk(site, node)
        await site.look(0.4)
        new, _ = await site.until_held()
        assert (new is not old) is moves
        assert await site.serves(new) and not set(Site.holders(site, "new")) & {x.place for x in full}
        for node in full:
            assert new.membership.takes(node.id) is False
            node.record_store.wal.full = False
            await node.repair.probe()
        await site.look(0.4)
        assert all(new.membership.takes(x.id) for x in full) and site.holder() is not None

    run(go())


def test_a_disk_that_stands_still_is_told_by_its_oldest_write(run, clock):
    async def go():
        site = Leases(clock)
        old, _ = await site.until_held()
        old.record_store.wal.gate.clear()
        put = asyncio.ensure_future(
            old.leaderships["s"].accept_job({"lot": "l", "host": "h", "path": "/p/"}, orjson.dumps(LOT))
        )
        new, took = await site.until_held(but=old, within_s=1.0)
        assert new is not old and not old.disk.takes and took < 0.8
        old.record_store.wal.gate.set()
        await asyncio.gather(put, return_exceptions=True)
        await site.look(1.0)
        assert old.disk.may_probe()
        await old.repair.probe()
        assert old.disk.takes and site.holders() == [new]

    run(go())


def test_a_lease_handed_on_twice_moves_once(run, clock):
    async def go():
        site = Leases(clock)
        old, _ = await site.until_held()
        term = site.lease()["term"]
        moved = [await old.lease_watch.hand_on("s", term) for _ in range(2)]
        assert moved[0] and site.lease()["term"] == term + 1 and old.leaderships["s"].state == "over"
        new, _ = await site.until_held()
        assert new is not old and site.lease()["term"] == term + 1

    run(go())


def test_two_that_claim_at_once_get_one_lease(run, clock):
    async def go():
        site = Leases(clock)
        old, _ = await site.until_held()
        site.dark.add(old.place)
        rest = [n for n in site.at.values() if n is not old]
        got = await asyncio.gather(*(n.lease_watch.claim("s", site.lease()["term"], n.id, n.incarnation) for n in rest))
        assert sorted(got) == [False, True] and site.lease()["holder"] == rest[got.index(True)].id
        new, _ = await site.until_held()
        assert site.holders() == [new]

    run(go())


def test_terms_that_end_as_they_begin_are_renewed_ever_more_slowly_until_another_leads(run, clock):
    async def go():
        site = Leases(clock)
        old, _ = await site.until_held()
        old.heartbeat_interval_s, terms = 0.2, []  # the waits are counted in heartbeats of the watch
        for _ in range(50):
            leadership = old.leaderships["s"]
            if leadership.term == site.lease()["term"]:
                leadership.step_down()
            await site.look()
            terms.append(site.lease()["term"])
        assert 2 <= terms[-1] - terms[0] <= 5 and site.lease()["holder"] != old.id

    run(go())


def test_a_departing_store_waits_until_its_copies_are_made_up_for(run, clock):
    async def go():
        site = Leases(clock, 1, 4)
        lead, _ = await site.until_held()
        assert await site.serves(lead, "l")
        leaver = next(site.at[p] for p in Site.holders(site, "l") if p != lead.place)
        leaver.leaving = True
        departure = Departure(leaver)
        await site.look()
        assert departure.needed_for() == {"s"}
        await lead.leaderships["s"].repair()
        await site.look()
        rest = [p for p in Site.holders(site, "l") if p != leaver.place]
        assert departure.needed_for() == set() and len(rest) == 2

    run(go())


DEPARTURES = [  # why, what the registers say of the store that ends, whether others stay; the runs that need it
    ("a member with copies", {}, True, {"s"}),
    ("it was dropped", None, True, set()),
    ("the current holder has cleared it", {"state": "leaving", "clear": {"s": 9}}, True, set()),
    ("a dead term cleared it", {"state": "leaving", "clear": {"s": 0}}, True, {"s"}),
    ("all end at once", {}, False, {"s"}),
]


@pytest.mark.parametrize("why, entry, others, needed", DEPARTURES, ids=[d[0] for d in DEPARTURES])
def test_who_needs_a_store_that_ends(run, clock, why, entry, others, needed):
    async def go():
        site = Leases(clock, 1, 4)
        lead, _ = await site.until_held()
        assert await site.serves(lead, "l")
        leaver = next(site.at[p] for p in Site.holders(site, "l") if p != lead.place)
        leaver.leaving = True
        if entry is None:
            del site.value["stores"][leaver.id]
        else:
            site.value["stores"][leaver.id].update(entry)
        if not others:
            site.dark = set(site.at) - {leaver.place}
        departure = Departure(leaver)
        assert departure.needed_for() == needed and departure._others_stay() is others

    run(go())


@pytest.mark.parametrize(
    "f, n, roomless, admitted", [(1, 3, 0, True), (1, 3, 1, True), (1, 3, 2, False), (2, 5, 2, True), (2, 5, 3, False)]
)
def test_a_lot_is_refused_only_if_too_few_have_the_room(run, clock, f, n, roomless, admitted):
    async def go():
        site = Leases(clock, f, n)
        lead, _ = await site.until_held()
        # the holder itself is the first without room: the others make up for its copy
        for node in [lead, *(x for x in site.at.values() if x is not lead)][:roomless]:
            node.record_store.has_room = lambda more: False
        await site.look()
        assert lead.membership.admits("new", 100) is admitted
        if admitted:
            assert await site.serves(lead)

    run(go())


def test_a_leaving_store_with_the_only_copy_stays_until_the_current_holder_has_another(run, clock):
    async def go():
        site = Leases(clock, 0, 3)  # nothing may be lost: one copy
        first, _ = await site.until_held()
        assert await site.serves(first, "l") and Site.holders(site, "l") == [first.place]
        dead = first.leaderships["s"].term
        site.value["stores"][first.id].update(state="leaving", retire=True)
        new, _ = await site.until_held(but=first)
        out = await first.run_command("plan", "store.clear", {"id": first.id, "run": "s", "term": dead})
        assert out[0] == 2018 and first.id in site.value["stores"]
        await new.leaderships["s"].repair()
        assert first.id not in site.value["stores"] and new.place in Site.holders(site, "l")
        assert site.value["retired"] == {first.place: "complete"}

    run(go())


@pytest.mark.parametrize(
    "why, job_id, state, taken",
    [
        ("nothing is known of it", "x", "holding", False),
        ("a record stands here", "kept", "over", True),
        ("it was offered under a term that is over", "offered", "over", True),
        ("a term begins: it may be found", "x", "reading", True),
    ],
)
def test_when_not_taken_may_not_be_said(clock, why, job_id, state, taken):
    leadership = SimpleNamespace(state=state, offered_jobs={"offered"}, batch_jobs={})
    store = SimpleNamespace(record_store=SimpleNamespace(batch_jobs={"kept": {}}), leaderships={"s": leadership})
    assert may_be_taken(store, "s", job_id) is taken


def test_the_word_of_an_earlier_version_is_read():
    word = HeartbeatStatus.read({"card": {"id": "a"}, "promised": None, "lag": 0.1})
    assert word.takes and not word.departing and word.leads is None
    full = HeartbeatStatus({"id": "a"}, {"s": 1}, 0.2, False, False, True, 1.5, {"s": Leading(4, 0.25, ("b",))})
    assert HeartbeatStatus.read(orjson.loads(orjson.dumps(full.doc()))) == full
