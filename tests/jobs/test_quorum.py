"""Copies, gathers and proofs outlive what the settings say may be lost: stores in one process, disks in memory."""

import asyncio
import itertools
from types import SimpleNamespace

import orjson
import pytest
from tests.support.fakes import MemBook
from tests.jobs.test_batch_job import LOT

from archhatch.membership import rank
from archhatch.control.registers import commands
from archhatch.store.disk import DiskState
from archhatch.store.handlers import StoreHandlers, check_missing
from archhatch.store.membership import Membership, TermProof
from archhatch.store.node import StoreNode
from archhatch.runtime import StateBoard, Counters, TaskGroup, open_logs
from archhatch.runtime.settings import check_settings
from archhatch.rollout_controller import LeadershipTerm
from archhatch.data_plane.job_handlers import JobHandlers
from archhatch.jobs import Replicator, Quorum, Record, RecordStore, active_members
from archhatch.jobs.replicator import LATE_PENALTY
from archhatch.jobs.record import pack_many, unpack_many
from archhatch.rpc import CallError

LOG = open_logs("t", "CRITICAL")


def quorum_settings(**tolerance):
    return check_settings(
        {"NodeName": "n", "IpAddress": "1.1.1.1", "InternalPorts": [1, 9], "FaultTolerance": tolerance}
    )


def _holds_job(record_store, job_id):
    stored = record_store.batch_jobs.get(job_id)
    return stored is not None and stored.job is not None


class Site:
    """Stores by place; what the control nodes agreed on; which places are dark."""

    node = property(lambda self: Node)

    def __init__(self, clock, settings, n, zones=("z",)):
        self.clock, self.settings, self.value, self.at, self.dark = clock, settings, {"runs": {"s": 1}}, {}, set()
        self.ids, self.zones = itertools.count(), zones
        for i in range(n):
            self.start(f"p{i}", MemBook())

    def start(self, place, wal, sid=None):
        """A process on this disk; an empty one has a new id and joins."""
        node = self.at[place] = self.node(self, place, wal, sid or f"s{next(self.ids)}")
        zone = self.zones[int(place[1:]) % len(self.zones)]
        commands.run(self.value, "store.join", {"id": node.id, "name": place, "ip": place, "zone": zone})
        return node

    def wipe(self, place):
        return self.start(place, MemBook())

    def power(self, place):
        """Lose what was not synced, and start again."""
        old = self.at[place]
        return self.start(place, old.record_store.wal, old.id)

    def holders(self, job_id):
        return [p for p, n in self.at.items() if _holds_job(n.record_store, job_id)]

    def to(self, address):
        return SimpleNamespace(call=lambda *a, **kwargs: self.call(address, *a, **kwargs))

    async def call(self, address, verb, doc, body=b"", timeout_s=1.0):
        if address in self.dark:
            raise CallError(address, sent=True)
        node = self.at[address]
        if verb == "store.ping":
            return 1000, orjson.loads(orjson.dumps(node.membership.status().to_document())), b""
        if verb == "shelf.lacks":
            return 1000, check_missing(node, doc["lot"]).to_document(), b""
        if doc["to"] != node.id:
            return 2008, None, b""
        if verb == "shelf.append":
            return 1000, await node.record_store.append(unpack_many(body)), b""
        if verb == "shelf.drop":
            return 1000, (await StoreHandlers(node)._drop_jobs(doc, b"")), b""
        if verb == "shelf.claim":
            return 1000, (await StoreHandlers(node)._claim_job(doc, b"")), b""
        if verb == "shelf.prepare":
            return 1000, orjson.loads(orjson.dumps(await node.record_store.prepare(doc["run"], doc["term"]))), b""
        assert verb == "shelf.fetch"
        return 1000, None, pack_many(node.record_store.fetch(doc["lot"], doc["poss"], doc["want_lot"]))


class Node:
    """What a leadership term needs of a store."""

    confirmed, fetch_records, call_store = StoreNode.confirmed, StoreNode.fetch_records, StoreNode.call_store

    def __init__(self, site, place, wal, sid):
        self.site, self.place, self.id, self.clock, self.settings = site, place, sid, site.clock, site.settings
        self.log, self.counters, self.state_board, self.heartbeat_interval_s, self.quiet_s = (
            LOG,
            Counters(),
            StateBoard(),
            0.001,
            0.05,
        )
        self.record_store = RecordStore(wal, self.clock, self.counters)
        self.record_store.load(wal.raws)
        self.task_group, self.connections, self.config_watcher, self.quorum = (
            TaskGroup(LOG, self.counters),
            site,
            self,
            Quorum.from_settings(site.settings),
        )
        self.replicator = Replicator(
            sid, self.record_store, site, self.members, self.alive, self.task_group, self.counters, 0.05, self.quorum
        )
        self.ready, self.leaving, self.leaderships, self.incarnation = True, False, {}, "life"
        self.disk = DiskState(self.clock, 3.0, self.counters)
        self.membership = Membership(self)
        self.capacity = SimpleNamespace(enabled=False)
        self.proofs, self.ping = self.membership.proofs, self.membership.ping
        self.verbs = SimpleNamespace(table={"shelf.prepare": self._prepare})

    async def _prepare(self, doc, body):
        return await self.record_store.prepare(doc["run"], doc["term"])

    async def run_command(self, shard, name, args):
        code, doc, _ = commands.run(self.site.value, name, args)
        return code, orjson.loads(orjson.dumps(doc))

    def identity(self):
        return {"id": self.id}

    def members(self):
        return {s: {**m, "addr": m["ip"]} for s, m in self.site.value["stores"].items()}

    def addr_of(self, m):
        return m["ip"]

    def alive(self, sid):
        m = self.site.value["stores"].get(sid)
        return m is not None and m["ip"] not in self.site.dark and self.site.at[m["ip"]].id == sid

    def hear(self, names):
        """What pings would have brought from these stores."""
        for sid in names:
            place = self.site.value["stores"][sid]["ip"]
            self.proofs[sid] = TermProof(self.clock.now(), dict(self.site.at[place].record_store.promised_terms))

    async def leadership(self, term):
        leadership = LeadershipTerm(self, "s", term)
        await leadership.begin()
        self.hear(s for s in self.members() if self.alive(s) and s != self.id)
        return leadership


async def accepted(site, at, term=1):
    """A holder that took a lot and listed a result."""
    leadership = await site.at[at].leadership(term)
    await leadership.accept_job({"lot": "l", "run": "s", "host": "h", "path": "/p/"}, orjson.dumps(LOT))
    await leadership.append_result(leadership.batch_jobs["l"], "i1", {"a": 1})
    assert leadership.batch_jobs["l"].listed_count == 1
    return leadership


SIZES = [
    ({"Machines": 0}, 1),
    ({"Machines": 0}, 3),
    ({"Machines": 1}, 3),
    ({"Machines": 1}, 4),
    ({"Machines": 2}, 5),
    ({"Machines": 2}, 9),
    ({"Machines": 3}, 7),
]
IDS = [f"{t['Machines']} of {n}" for t, n in SIZES]


@pytest.mark.parametrize("tol, n", SIZES, ids=IDS)
def test_an_acknowledgement_has_just_enough_copies(run, clock, tol, n):
    async def go():
        site = Site(clock, quorum_settings(**tol), n)
        await accepted(site, "p0")
        assert len(site.holders("l")) == tol["Machines"] + 1 and "p0" in site.holders("l")

    run(go())


@pytest.mark.parametrize("from_end", [False, True], ids=["first copies", "last copies"])
@pytest.mark.parametrize("tol, n", SIZES, ids=IDS)
def test_disks_are_wiped_right_after_the_acknowledgement_and_all_others_lose_power(run, clock, tol, n, from_end):
    async def go():
        f = tol["Machines"]
        site = Site(clock, quorum_settings(**tol), n)
        await accepted(site, "p0")
        # twice: what was repaired must be as good as what was accepted
        for term in (2, 3):
            held = site.holders("l")
            lost = held[len(held) - f :] if from_end else held[:f]
            for p in list(site.at):
                (site.wipe if p in lost else site.power)(p)
            assert sum(m["state"] == "leaving" for m in site.value["stores"].values()) == f
            new = next(p for p in site.at if p in lost or n == 1 or p not in held)
            leadership = await site.at[new].leadership(term)
            batch_job = leadership.batch_jobs["l"]
            assert batch_job.listed_count == 1 and batch_job.page(0)[0] == [b'{"a":1}']
            await leadership.repair()
            assert all(m["state"] == "active" for m in site.value["stores"].values())  # and none leaves any more
            assert all(site.at[new].replicator.has_enough_copies(r) for r in batch_job.records)
            assert len([p for p in site.holders("l") if site.at[p].id in site.value["stores"]]) >= f + 1

    run(go())


@pytest.mark.parametrize("tol, n, dark", [(t, n, d) for t, n in SIZES for d in range(min(n, 5))])
def test_a_gather_needs_all_but_what_may_be_lost(run, clock, tol, n, dark):
    async def go():
        site = Site(clock, quorum_settings(**tol), n)
        await accepted(site, "p0")
        held = site.holders("l")
        site.dark = set((held + [p for p in site.at if p not in held])[:dark])
        at = site.at[next(p for p in reversed(list(site.at)) if p not in site.dark)]
        leadership = LeadershipTerm(at, "s", 2)
        assert await leadership.takeover.gather() is (dark <= tol["Machines"])
        assert ("l" in leadership.batch_jobs) is (dark <= tol["Machines"])

    run(go())


# so many of the lot's copies were wiped, so many stores are dark; the lot asked for is there ("l"), or not
NOWHERE = [
    (f, n, wiped, dark, batch_job)
    for f, n in [(0, 3), (1, 3), (1, 4), (2, 5), (2, 9)]
    for wiped in range(f + 1)
    for dark in range(n)
    for batch_job in ("l", "x")
]


@pytest.mark.parametrize("f, n, wiped, dark, batch_job", NOWHERE)
def test_no_such_lot_is_said_only_when_it_is_sure(run, clock, f, n, wiped, dark, batch_job):
    async def go():
        site = Site(clock, quorum_settings(Machines=f), n)
        await accepted(site, "p0")
        held = site.holders("l")
        for p in held[:wiped]:
            site.wipe(p)
        site.dark = set(([p for p in held[wiped:]] + [p for p in site.at if p not in held])[:dark])
        config_watcher = SimpleNamespace(shards={"plan": site.value})
        desk = JobHandlers(site.settings, config_watcher, site, Counters(), clock)
        site.to = lambda address, to=site.to: to(address.rsplit(":", 1)[0])
        assert await desk._is_absent(batch_job) is (batch_job == "x" and wiped + dark <= f)

    run(go())


def test_an_edge_with_old_news_does_not_say_that_a_job_is_gone(run, clock):
    async def go():
        site = Site(clock, quorum_settings(Machines=1), 3)
        old = orjson.loads(orjson.dumps(site.value))
        for p in ("p3", "p4"):
            site.start(p, MemBook())
        site.at["p4"].replicator.prefers = lambda run: {site.at["p3"].id, site.at["p4"].id}
        leadership = LeadershipTerm(site.at["p4"], "s", 1)
        leadership.gathered()  # the lot comes to stores that the edge has not heard of
        await leadership.accept_job({"lot": "l", "run": "s", "host": "h", "path": "/p/"}, orjson.dumps(LOT))
        assert site.holders("l") == ["p3", "p4"]
        site.to = lambda address, to=site.to: to(address.rsplit(":", 1)[0])
        config_source = SimpleNamespace(shards={"plan": old})
        desk = JobHandlers(site.settings, config_source, site, Counters(), clock)
        assert not await desk._is_absent("l")
        config_source.shards["plan"] = site.value
        assert not await desk._is_absent("l") and await desk._is_absent("x")
        site.at["p0"].id = "another"  # what stands there now is not the member that was asked
        assert await desk._ask_absence("p0:9", "s0", "x") is None and desk.counters.counts["job.wrong_process"] == 1

    run(go())


@pytest.mark.parametrize(
    "f, n, heard, good",
    [
        (0, 1, 0, True),
        (0, 3, 0, True),
        (1, 3, 0, False),
        (1, 3, 1, True),
        (2, 5, 1, False),
        (2, 5, 2, True),
        (2, 9, 1, False),
        (2, 9, 2, True),
        (3, 7, 2, False),
        (3, 7, 3, True),
    ],
)
def test_reads_and_orders_need_so_many_others(run, clock, f, n, heard, good):
    async def go():
        site = Site(clock, quorum_settings(Machines=f), n)
        leadership = await accepted(site, "p0")
        leadership.host.proofs.clear()
        leadership.host.hear([site.at[f"p{i}"].id for i in range(1, heard + 1)])
        assert leadership.is_confirmed() is good and leadership.may_order() is good
        clock.at += 30  # what was said long ago proves nothing
        assert leadership.is_confirmed() is (f == 0) and leadership.may_order() is (f == 0)

    run(go())


@pytest.mark.parametrize("f, n", [(1, 3), (2, 5), (2, 9)])
def test_an_old_holder_is_not_confirmed_by_those_whom_the_new_one_did_not_hear(run, clock, f, n):
    """The new holder hears all but the old one and as many others as may be lost with it; these confirm the old one."""

    async def go():
        site = Site(clock, quorum_settings(Machines=f), n)
        old = await accepted(site, "p0")
        unheard = [f"p{i}" for i in range(f)]
        site.dark = set(unheard)
        new = await site.at[f"p{n - 1}"].leadership(2)
        assert new.state == "holding"
        site.dark = set()
        old.host.proofs.clear()
        old.host.hear([site.at[p].id for p in unheard[1:]])
        assert not old.is_confirmed() and not old.may_order() and old.state == "holding"
        old.host.hear([n.id for n in site.at.values()])
        assert not old.is_confirmed() and not old.may_order()
        assert new.is_confirmed() and new.may_order()

    run(go())


@pytest.mark.parametrize(
    "why, who, good",
    [
        ("a member that leaves proves nothing", "leaving", False),
        ("one that is no member proves nothing", "gone", False),
        ("one that knows a higher term proves nothing", "promised", False),
        ("another does", "well", True),
    ],
)
def test_whose_word_counts(run, clock, why, who, good):
    async def go():
        site = Site(clock, quorum_settings(Machines=1), 4)
        leadership = await accepted(site, "p0")
        other = site.at["p1"]
        if who == "promised":
            await other.record_store.prepare("s", 9)
        leadership.host.proofs.clear()
        leadership.host.hear([other.id])
        if who == "leaving":
            site.value["stores"][other.id]["state"] = "leaving"
        if who == "gone":
            del site.value["stores"][other.id]
        assert leadership.is_confirmed() is good

    run(go())


@pytest.mark.parametrize(
    "tol, zones, n, want",
    [
        ({"Machines": 1, "Zones": 1}, ("x", "y", "v"), 6, 2),
        ({"Machines": 2, "Zones": 1}, ("x", "y", "v"), 6, 3),
        ({"Machines": 1, "Zones": 2}, ("x", "y", "v", "u", "t"), 5, 3),
    ],
)
def test_a_whole_zone_is_lost(run, clock, tol, zones, n, want):
    async def go():
        for lost in itertools.combinations(zones, tol["Zones"]):
            site = Site(clock, quorum_settings(**tol), n, zones)
            await accepted(site, "p0")
            assert len(site.holders("l")) == want
            site.dark = {m["ip"] for m in site.value["stores"].values() if m["zone"] in lost}
            at = next(p for p in site.at if p not in site.dark)
            leadership = await site.at[at].leadership(2)
            assert leadership.batch_jobs["l"].listed_count == 1 and leadership.is_confirmed()
            assert not site.at[at].quorum.has_enough_copies(
                [site.at[p].id for p in site.dark], active_members(site.value["stores"])
            )

    run(go())


@pytest.mark.parametrize("how", ["it answers late", "it does not answer"])
def test_a_store_that_is_slow_is_not_waited_for_and_left_alone_for_a_while(run, clock, how):
    async def go():
        site = Site(clock, quorum_settings(Machines=1), 3)
        leadership = await site.at["p0"].leadership(1)
        store, asked, gate = leadership.host, [], asyncio.Event()
        slow = site.value["stores"][next(s for s in store.replicator.targets("l1", {store.id}))]["ip"]
        real = site.call

        async def call(address, verb, *a, **kwargs):
            asked.append(address)
            if address == slow and how == "it answers late":
                await gate.wait()
            elif address == slow:
                raise CallError("lost", sent=True)
            return await real(address, verb, *a, **kwargs)

        site.call = call

        async def put(job_id):
            asked.clear()
            await leadership.accept_job({"lot": job_id, "run": "s", "host": "h", "path": "/p/"}, orjson.dumps(LOT))
            return slow in asked

        assert await put("l1") and slow not in site.holders("l1") and len(site.holders("l1")) == 2
        same = [job_id for job_id in (f"x{n}" for n in range(40)) if rank(job_id, ["s1", "s2"])[0] == site.at[slow].id][
            :2
        ]
        assert not await put(same[0])  # its turn by rendezvous, but it was late lately
        clock.at += store.replicator.timeout_s * LATE_PENALTY
        gate.set()
        assert await put(same[1])

    run(go())


def test_a_silent_copy_is_made_up_for_by_another(run, clock):
    async def go():
        site = Site(clock, quorum_settings(Machines=1), 4)
        leadership = await accepted(site, "p0")
        await leadership.repair()
        assert len(site.holders("l")) == 2 and "repair.records" not in leadership.host.counters.counts
        site.dark = {next(p for p in site.holders("l") if p != "p0")}
        await leadership.repair()
        assert len(site.holders("l")) == 3

    run(go())


@pytest.mark.parametrize(
    "why, change, looked, sent",
    [
        ("nothing changed", lambda site: None, 0, 0),
        ("a store came", lambda site: site.start("p4", MemBook()), 3, 0),
        ("a store without copies fell silent", lambda site: site.dark.add(without(site)), 3, 0),
        ("a store with copies fell silent", lambda site: site.dark.add(with_copies(site)), 3, 2),
        ("a store with copies lost its disk", lambda site: site.wipe(with_copies(site)), 3, 2),
        (
            "a store with copies is to leave",
            lambda site: site.value["stores"][site.at[with_copies(site)].id].update(state="leaving"),
            3,
            2,
        ),
    ],
)
def test_repair_looks_at_all_records_only_when_the_stores_change(run, clock, why, change, looked, sent):
    async def go():
        site = Site(clock, quorum_settings(Machines=1), 4)
        leadership = await accepted(site, "p0")
        counters = leadership.host.counters.counts
        await leadership.repair()
        before = counters["repair.checked"], counters.get("repair.records", 0)
        change(site)
        for _ in range(3):
            await leadership.repair()
        # the lot and its result once in the walk, and what lacks copies once more to send it
        assert (counters["repair.checked"] - before[0], counters.get("repair.records", 0) - before[1]) == (
            looked and 2 + sent,
            sent,
        )
        assert not leadership.record_repair.under_replicated
        await leadership.append_result(leadership.batch_jobs["l"], "i2", {})  # new records need no look
        await leadership.repair()
        assert (
            counters["repair.checked"] - before[0] == (looked and 2 + sent)
            and leadership.batch_jobs["l"].listed_count == 2
        )

    run(go())


def with_copies(site):
    return next(p for p in site.holders("l") if p != "p0")


def without(site):
    return next(p for p in site.at if p not in site.holders("l"))


@pytest.mark.parametrize("answers", [True, False])
def test_what_could_not_be_repaired_is_tried_again(run, clock, answers):
    async def go():
        site = Site(clock, quorum_settings(Machines=1), 3)
        leadership = await accepted(site, "p0")
        gone, spare = with_copies(site), without(site)
        old = site.at[gone].id
        site.wipe(gone)
        site.dark = {gone, spare}
        leadership.host.alive = leadership.host.replicator.alive = lambda sid: True
        await leadership.repair()
        assert len(leadership.record_repair.under_replicated) == 2 and site.value["stores"][old]["state"] == "leaving"
        if answers:
            site.dark = set()
            await leadership.repair()
        assert (old not in site.value["stores"]) is answers and bool(
            leadership.record_repair.under_replicated
        ) is not answers

    run(go())


def test_repair_of_many_lots_shares_its_calls(run, clock):
    async def go():
        site = Site(clock, quorum_settings(Machines=1), 3)
        leadership = await accepted(site, "p0")
        for n in range(40):
            await leadership.accept_job({"lot": f"l{n}", "run": "s", "host": "h", "path": "/p/"}, orjson.dumps(LOT))
        gone, calls = with_copies(site), []
        site.wipe(gone)
        real = site.call

        async def call(address, verb, *a, **kwargs):
            calls.append((address, verb))
            return await real(address, verb, *a, **kwargs)

        site.call = call
        await leadership.repair()
        assert not leadership.record_repair.under_replicated and len(calls) <= 4

    run(go())


REGIONS = {"a1": "a", "a2": "a", "b1": "b", "c1": "c"}
MEMBERS = {z + n: {"zone": z, "state": "active"} for z in REGIONS for n in ("x", "y")}


@pytest.mark.parametrize(
    "q, held, enough",
    [
        (Quorum(0), [], False),
        (Quorum(0), ["a1x"], True),
        (Quorum(0), ["gone"], False),
        (Quorum(1), ["a1x", "gone"], False),
        (Quorum(1), ["a1x", "a1y"], True),
        (Quorum(2), ["a1x", "a1y"], False),
        (Quorum(1, 1), ["a1x", "a1y"], False),
        (Quorum(1, 1), ["a1x", "a2x"], True),
        (Quorum(1, 1, 1, REGIONS), ["a1x", "a2x"], False),
        (Quorum(1, 1, 1, REGIONS), ["a1x", "b1x"], True),
    ],
)
def test_enough(q, held, enough):
    assert q.has_enough_copies(held, MEMBERS) is enough


@pytest.mark.parametrize(
    "q",
    [Quorum(0), Quorum(1), Quorum(2), Quorum(1, 1), Quorum(1, 1, 1, REGIONS), Quorum(2, 2), Quorum(1, 0, 2, REGIONS)],
)
def test_enough_copies_and_a_gather_share_a_store(q):
    names = sorted(MEMBERS)
    sets = [set(c) for k in range(len(names) + 1) for c in itertools.combinations(names, k)]
    small = [
        s for s in sets if q.has_enough_copies(s, MEMBERS) and not any(q.has_enough_copies(s - {x}, MEMBERS) for x in s)
    ]
    heard = [s for s in sets if q.has_heard_enough(s, MEMBERS)]
    assert small and heard and all(a & b for a in small for b in heard)


@pytest.mark.parametrize(
    "q, held, order, picked",
    [
        (Quorum(1), [], ["a1x", "a1y", "b1x"], ["a1x", "b1x"]),  # other zones before the same
        (Quorum(1), ["a1x"], ["a1y"], ["a1y"]),
        (Quorum(0), ["a1x"], ["b1x"], []),
        (Quorum(2), [], ["a1x"], ["a1x"]),
        (Quorum(1, 1), ["a1x", "a1y"], ["a1x", "b1x", "c1x"], ["b1x"]),
        (Quorum(1, 1), ["a1x", "a1y"], ["a1x"], []),
        (Quorum(1, 1, 1, REGIONS), ["a1x"], ["a2x", "b1x"], ["b1x"]),
        (Quorum(1), ["a1x"], ["gone", "a2x"], ["a2x"]),
    ],
)
def test_pick(q, held, order, picked):
    assert q.choose_copies(order, held, MEMBERS) == picked


async def no_room(records):
    return [None] * len(records)


@pytest.mark.parametrize(
    "why, change, count, out",
    [
        (
            "a higher term was promised",
            lambda site: site.at["p1"].record_store.promised_terms.update(s=9),
            "copy.stale_term",
            False,
        ),
        ("another life stands there", lambda site: setattr(site.at["p1"], "id", "other"), "copy.refused.2008", None),
        ("it is dark", lambda site: site.dark.add("p1"), "copy.unanswered", None),
        (
            "its disk lacks the room",
            lambda site: setattr(site.at["p1"].record_store, "append", no_room),
            "copy.no_room",
            None,
        ),
        ("all is well", lambda site: None, None, True),
    ],
)
def test_what_a_copy_meets_is_counted(run, clock, why, change, count, out):
    async def go():
        site = Site(clock, quorum_settings(Machines=1), 3)
        store = site.at["p0"]
        change(site)
        record = Record({"k": "E", "lot": "l", "run": "s"})
        assert await store.replicator.send("s1", "s", 1, [record]) is out
        got = {k: v for k, v in store.counters.counts.items() if k.startswith("copy.")}
        assert got == ({count: 1} if count else {}) and ("s1" in record.held) is (out is True)

    run(go())


@pytest.mark.parametrize(
    "change, proven, counted",
    [
        (lambda site: None, True, 0),
        (lambda site: setattr(site.at["p1"], "id", "another"), False, 1),
        (lambda site: site.dark.add("p1"), False, 0),
        (lambda site: setattr(site.at["p1"], "ready", False), False, 0),
    ],
)
def test_a_ping_proves_what_a_member_that_knows_the_terms_answers(run, clock, change, proven, counted):
    async def go():
        site = Site(clock, quorum_settings(Machines=1), 3)
        leadership = await accepted(site, "p0")
        store = leadership.host
        store.proofs.clear()
        change(site)
        await store.ping("s1", "p1")
        assert leadership.is_confirmed() is proven and store.counters.counts["ping.other_incarnation"] == counted

    run(go())


def test_a_new_member_does_not_confirm_a_holder_whose_successor_gathered_before_it_joined(run, clock):
    async def go():
        site = Site(clock, quorum_settings(Machines=1), 3)
        old = await accepted(site, "p0")
        site.dark = {"p0"}
        new = await site.at["p1"].leadership(2)
        assert new.state == "holding"
        site.dark = set()
        joined = site.start("p3", MemBook())
        joined.ready = False
        old.host.proofs.clear()
        await old.host.ping(joined.id, "p3")
        assert not old.is_confirmed() and not old.may_order()
        await joined.record_store.prepare("s", 2)  # what it reads of the terms when it joins
        joined.ready = True
        await old.host.ping(joined.id, "p3")
        assert not old.is_confirmed() and not old.may_order()

    run(go())
