"""Planned evacuations over loopback, judged by a checker that sees only what clients, replicas and the tenant saw."""

import asyncio
import time

import pytest
from tests.support.evacuation_rig import KEY, POLICY, EvacuationDay, Parting, Seen, seen_of, sound
from tests.region_policy.test_regions_system import ZONES, RegionReplica

KEEPALIVE_MS = (
    1000  # replicas here send heartbeats five times as often: late ones must not look silent on a busy machine
)
# How long a move waits for live requests follows from StatusS, not from the routes' time-out: a request that is held in
# its middle must not run out of time on a busy machine.
BOUNDS = {"ConvergeMs": 300, "StatusS": 1.5}


@pytest.fixture
def timed(monkeypatch):
    """Replicas note when they took requests up."""
    serve = RegionReplica.serve

    async def noting(self, request):
        times = self.__dict__.setdefault("times", [])
        if not request.raw_path.startswith("/api/"):
            times.append(time.monotonic())
        return await serve(self, request)

    monkeypatch.setattr(RegionReplica, "serve", noting)
    monkeypatch.setattr(RegionReplica, "times", (), raising=False)


def day(tmp_path):
    key = tmp_path / "notice.key"
    key.write_bytes(KEY)
    return EvacuationDay(
        str(tmp_path), stores=4, Zones=ZONES, KeepaliveMs=KEEPALIVE_MS, Bounds=BOUNDS, NoticeKeyFile=str(key)
    ).begin()


@pytest.mark.parametrize("killed_in", [None, "announced", "preparing", "moving", "returning"])
def test_a_move_and_the_way_home(run, tmp_path, timed, killed_in):
    """Load of each kind before, during and after; a request of each kind is at work when the move begins."""
    run(a_move_and_the_way_home(tmp_path, killed_in), 100)


def test_a_move_and_the_way_home_with_streams_that_stand_still(run, tmp_path, timed):
    """The same, where a stream that stands still is not taken for a dead one: every held item has to be recalled."""
    run(a_move_and_the_way_home(tmp_path, "moving", silent_s=5.0), 100)


async def a_move_and_the_way_home(tmp_path, killed_in, silent_s=None):
    w = await day(tmp_path)
    if silent_s is not None:
        for store in w.stores.values():
            store.replica_pause_s = lambda: silent_s
    try:
        await w.load("before", lambda k: k >= 4)
        assert (await w.planned())[0] == 200 and not w.tenant.notices
        if killed_in == "announced":
            w.tenant.mood = "refusing"
        held = [asyncio.ensure_future(w.one("n", "cut", "held", 1)), asyncio.ensure_future(w.batch_jobs("cut", "held"))]
        held.append(asyncio.ensure_future(w.one("s", "cut", "held", 0)))
        at_work = {"n", "s", "roll"}
        await w.until(w.edge.state_board, "nothing", lambda: at_work <= kinds_at_work(w, "attica"))
        assert (await w.evacuate("/e1/start"))[0] == 200
        await w.load_until("moving", move(w, killed_in))
        assert w.regions_of("before") == {"attica"}
        await w.load("away", lambda k: k >= 4)
        await asyncio.gather(*held)
        held_lot = runs_of(w, "thessaly", "cut.lot.held")
        assert w.regions_of("away") == {"thessaly"}
        assert 3 in held_lot and set(held_lot) <= {1, 3}  # what ran went on behind its text, the rest began there
        streams = [(r.zone, first) for r in w.replicas for rid, first, _ in r.runs if rid == "cut.s.held.0"]
        assert sorted(streams) == [("z1", 1), ("z2", 4)]  # after the event that came when the move was on
        assert (await w.evacuate("/e1/return"))[0] == 200
        await w.load_until("home", home(w, killed_in))
        await w.load("after", lambda k: k >= 4)
        assert w.regions_of("after") == {"attica"}
        assert not seen_of(w).faults()
        names = [notice.name for notice in w.tenant.acknowledged]
        assert {"e1.move", "e1.return"} == set(names) and all(sound(n) for n in w.tenant.notices)
        assert w.tenant.notices[0].document["Tenant"] == "yards"
    finally:
        await w.finish()


def kinds_at_work(w, region):
    return {
        path.split("/")[1]
        for r in w.of(region)
        for _, path, _, rid, _ in r.seen
        if rid.startswith("cut.") and ".held" in rid
    }


def runs_of(w, region, prefix):
    """The first event of each run of requests with a prefix, at replicas of a region."""
    return [first for r in w.of(region) for rid, first, _ in r.runs if rid.startswith(prefix)]


async def move(w, killed_in):
    if killed_in == "announced":
        await w.reach("announced")
        await w.until(w.edge.state_board, "nothing", lambda: w.tenant.notices)
        await w.kill_holder()
        w.tenant.mood = "well"
    if killed_in == "preparing":
        await w.reach("preparing", "moving")
        await w.kill_holder()
    await w.reach("moving")
    if killed_in == "moving":
        await w.kill_holder()
    await w.all_place("thessaly")
    await w.until(
        w.edge.state_board, "nothing", lambda: any(runs_of(w, "thessaly", "cut.lot.held"))
    )  # recalled, not ended
    for r in w.replicas:
        r.hold.set()  # what is held in attica gives its next event, or ends
    await w.reach("moved")


async def home(w, killed_in):
    if killed_in == "returning":
        await w.reach("returning")
        await w.kill_holder()
    await w.reach("returned")
    await w.all_place("attica")


def test_a_move_that_is_cancelled_in_its_middle_goes_home(run, tmp_path, timed):
    async def go():
        w = await day(tmp_path)
        try:
            assert (await w.planned())[0] == 200
            await w.evacuate("/e1/start")
            await w.load_until("moving", w.reach("moving"))
            assert (await w.evacuate("/e1/cancel", {"Reason": "the works are put off"}))[0] == 200
            await w.load_until("back", w.reach("cancelled"))
            await w.all_place("attica")
            await w.load("after", lambda k: k >= 4)
            assert w.regions_of("after") == {"attica"} and not seen_of(w).faults()
            assert (await w.evacuate("/e1/start"))[0] == 409
        finally:
            await w.finish()

    run(go(), 60)


@pytest.mark.parametrize(
    "mood, plan, state",
    [
        ("silent", {"NoticeWait": "term", "NoticeTermS": 1.0}, "moving"),
        ("refusing", {"NoticeWait": "term", "NoticeTermS": 1.0}, "moving"),
        ("refusing", {"NoticeWait": "acknowledged", "NoticeTermS": 0.5, "DeadlineS": 2}, "failed"),
    ],
)
def test_a_tenant_that_does_not_answer(run, tmp_path, timed, mood, plan, state):
    async def go():
        w = await day(tmp_path)
        try:
            w.tenant.mood = mood
            assert (await w.planned(**plan))[0] == 200
            began = time.monotonic()
            await w.evacuate("/e1/start")
            got = await w.reach(state)
            assert w.tenant.notices and w.tenant.notices[0].at >= began
            if state == "failed":
                await w.load("after", lambda k: k >= 4)
                assert w.regions_of("after") == {"attica"} and "deadline" in got["Log"][-1]["Why"]
            else:
                assert got["NoticeTable"]["move"] == "term over"
                await w.reach("moved")
            assert not seen_of(w).faults(must_be_notified=False)
        finally:
            await w.finish()

    run(go(), 60)


BAD = [  # change of the plan, status, code
    ({"Tenant": "nobody"}, 404, 2203),
    ({"Origin": "nowhere"}, 404, 2102),
    ({"Target": "attica"}, 400, 2201),
    ({"Target": "crete"}, 409, 2207),
    ({"StartAfterS": -5.0}, 400, 2201),
    ({"NoticeUrl": "tenant"}, 400, 2201),
    ({"Room": 3.0}, 409, 2204),
    ({"DryRun": "yes"}, 400, 2201),
]


def test_bad_plans_change_nothing_and_good_ones_are_taken_once(run, tmp_path):
    async def go():
        w = await day(tmp_path)
        try:
            for change, status, code in BAD:
                got = await w.planned(**change)
                assert (got[0], got[1]["Error"]) == (status, code), (change, got)
            assert (await w.evacuate(method="GET"))[1]["EvacuationTable"] == []
            assert (await w.planned(DryRun=True))[0] == 200
            assert (await w.evacuate(method="GET"))[1]["EvacuationTable"] == []
            assert (await w.planned())[0] == (await w.planned())[0] == 200
            assert (await w.planned(Id="e2"))[1]["Error"] == 2205
            assert (await w.evacuate("/e9/start"))[0] == 404
            for r in w.of("thessaly", "llm"):  # it fills up, or falls away, after the plan was taken
                w.up.discard(r)
                await w.beat(r, "draining")
            await w.evacuate("/e1/start")
            got = await w.reach("failed")
            assert "places in thessaly" in got["Log"][-1]["Why"] and got["Placed"] == "origin"
        finally:
            await w.finish()

    run(go(), 60)


PLANTED = [  # what is planted, words of the fault
    (lambda s: s.runs.append(("a.n.1", "n", "attica")), "ran 2 times"),
    (lambda s: s.runs.remove(("a.n.1", "n", "attica")), "never ran"),
    (lambda s: setattr(s, "moved_at", 1.0), "before the tenant was notified"),
    (lambda s: s.notices.clear(), "before the tenant was notified"),
    (lambda s: s.unclear.append(("a.n.1", 502)), "no clear answer"),
    (lambda s: s.runs.append(("a.q.1", "q", "crete")), "ran in crete"),
]


@pytest.mark.parametrize("plant, words", PLANTED)
def test_the_checker_finds_what_is_planted(plant, words):
    seen = Seen({"a.n.1": 1, "a.q.1": 1}, [], [("a.n.1", "n", "attica")], [("e1.move", 2.0)], moved_at=3.0)
    assert not seen.faults()
    plant(seen)
    assert any(words in fault for fault in seen.faults())


TWO_TENANTS = """version = 2

[[rule]]
name = "yards"
routes = ["q"]
regions = ["attica", "thessaly"]
tenant = "yards"

[[rule]]
name = "mills"
routes = ["n"]
regions = ["thessaly", "attica"]
tenant = "mills"
"""


def test_two_tenants_move_at_once_into_what_the_other_leaves(run, tmp_path, timed):
    async def go():
        w = await day(tmp_path)
        try:
            assert (await w.put_policy(TWO_TENANTS, 1))[0] == 200
            for node in w.nodes():
                await w.until(node.state_board, "parts", lambda n=node: n.placement.policy.version == 2)
            mills = {"Id": "e2", "Tenant": "mills", "Origin": "thessaly", "Target": "attica"}
            assert (await w.planned())[0] == (await w.planned(**mills))[0] == 200
            assert (await w.evacuate("/e1/start"))[0] == (await w.evacuate("/e2/start"))[0] == 200
            both = asyncio.gather(w.reach("moved"), w.reach("moved", name="e2"))
            await asyncio.gather(both, *(clients(w, kind, "moving", both) for kind in "qn"))
            for node in w.nodes():
                await w.until(node.state_board, "parts", lambda n=node: len(n.placement.moves.all) == 2)
            await asyncio.gather(*(w.one(kind, "away", k, 0) for kind in "qn" for k in range(6)))
            seen = w.seen()
            assert seen["away", "q", "thessaly"] == seen["away", "n", "attica"] == 6
            assert not seen["away", "q", "attica"] and not seen["away", "n", "thessaly"]
            assert {n.document["Tenant"] for n in w.tenant.acknowledged} == {"yards", "mills"}
            assert not seen_of(w).faults(must_be_notified=False)  # requests of one always run where the other goes
        finally:
            await w.finish()

    run(go(), 60)


async def clients(w, kind, phase, until):
    k = 0
    while not until.done():
        await w.one(kind, phase, k, k % 2)
        k += 1


def test_half_of_the_target_is_lost_in_the_middle_of_a_move(run, tmp_path, timed):
    """A store that got copies, and one replica of each service there, while items are at work."""

    async def go():
        w = await day(tmp_path)
        try:
            assert (await w.planned())[0] == 200
            held = [asyncio.ensure_future(w.batch_jobs("cut", "held"))]
            await w.until(w.edge.state_board, "nothing", lambda: "roll" in kinds_at_work(w, "attica"))
            assert (await w.evacuate("/e1/start"))[0] == 200
            await w.load_until("moving", lose_half(w))
            await asyncio.gather(*held)
            await w.load("away", lambda k: k >= 4)
            assert w.regions_of("away") == {"thessaly"}
            faults = [fault for fault in seen_of(w).faults() if "no clear answer" not in fault]
            assert not faults and len(w.odd) <= 4  # what may run once and was at a replica that was killed
        finally:
            await w.finish()

    run(go(), 80)


async def lose_half(w):
    await w.reach("moving")
    await w.kill(w.stores.pop(4))
    for service in ("quote", "llm"):
        replica = w.of("thessaly", service)[0]
        w.up.discard(replica)
        await replica.cut("killed")
    for r in w.replicas:
        r.hold.set()
    await w.reach("moved")


def test_the_regions_part_in_the_middle_of_a_move_and_meet_again(run, tmp_path, timed):
    """For longer than a region may be silent: the target is out for the rules, the origin serves as what is left;
    when they meet again, the move goes on from where it stood."""

    async def go():
        w = await day(tmp_path)
        try:
            quick = POLICY.replace("version = 1", "version = 2").replace(
                'tenant = "yards"', "return_after_s = 1\ntenant = 'yards'"
            )
            assert (await w.put_policy(quick, 1))[0] == 200
            parting = Parting(w, "z2")
            assert (await w.planned())[0] == 200
            await w.load("before", lambda k: k >= 4)
            assert (await w.evacuate("/e1/start"))[0] == 200
            await w.reach("moving")
            parting.begin()
            await w.until(w.edge.state_board, "parts", lambda: is_out(w.edge, "thessaly"))
            assert (await w.record())["OperState"] == "moving"
            await asyncio.gather(*(w.one(kind, "parted", k, 0) for kind in "qn" for k in range(4)))
            parting.end()
            await w.load_until("met", w.reach("moved"))
            await w.all_place("thessaly")
            await w.load("away", lambda k: k >= 4)
            assert w.regions_of("away") == {"thessaly"} and w.regions_of("before") == {"attica"}
            assert w.regions_of("parted") == {"attica"} and not seen_of(w).faults()
        finally:
            await w.finish()

    run(go(), 80)


def is_out(edge, region):
    return bool(edge.placement.facts.get(region, {}).get("out"))
