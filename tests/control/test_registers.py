"""Commands on the parts, in case tables."""

import copy

import pytest
from tests.routing.test_routing import BAD, GOOD, ROUTE, changed

from archhatch.control.registers import commands


def do(value, cmd, /, **args):
    code, doc, did = commands.run(value, cmd, args)
    return code, did


def put(value, doc, match):
    return do(value, "plan.put", doc=copy.deepcopy(doc), match=match)


def test_put_once_and_again():
    value = {}
    assert put(value, GOOD, 0) == (1000, True)
    assert put(value, GOOD, 0) == (1000, False)  # the same call once more
    nxt = {**GOOD, "Revision": 9}
    assert put(value, nxt, 3) == (1000, True)
    assert put(value, GOOD, 0) == (1000, False)  # it was taken, even though another stands on it
    assert value["plan"]["Revision"] == 9


# a change refused for an If-Match ahead of the version is written down (did), so that no copy of it is taken later
@pytest.mark.parametrize(
    "rev, match, code, did_change",
    [(4, 3, 1000, True), (4, 2, 2011, False), (4, 4, 2011, True), (3, 3, 2005, False), (2, 3, 2005, False)],
)
def test_match_and_revision(rev, match, code, did_change):
    value = {}
    put(value, GOOD, 0)
    doc = {**changed(lambda d: d["RouteTable"][0].update(TimeoutMs=7)), "Revision": rev}
    got, did = put(value, doc, match)
    assert got == code and did is did_change
    assert value["plan"]["Revision"] == (rev if code == 1000 else 3)
    assert put(value, doc, match) == (code, False)


def test_race_on_one_stamp_has_one_winner():
    value = {}
    put(value, GOOD, 0)
    a, b = {**GOOD, "Revision": 5}, {**GOOD, "Revision": 6}
    assert put(value, a, 3)[0] == 1000 and put(value, b, 3)[0] == 2011
    assert value["plan"]["Revision"] == 5


@pytest.mark.parametrize("why", sorted(set(BAD) - {"no revision"}))
def test_invalid_is_never_in_force(why):
    value = {}
    put(value, GOOD, 0)
    before = copy.deepcopy(value)
    assert put(value, {**changed(BAD[why]), "Revision": 8}, 3) == (2002, False)
    assert value == before


def test_patch_and_bad_patch():
    value = {}
    put(value, GOOD, 0)
    row = {**ROUTE, "TimeoutMs": 77}
    assert do(value, "plan.patch", doc={"Revision": 4, "Upsert": {"RouteTable": [row]}}, match=3) == (1000, True)
    assert value["plan"]["RouteTable"][0] == row
    bad = {"Revision": 5, "Withdraw": {"ServiceTable": ["s1"]}}
    assert do(value, "plan.patch", doc=bad, match=4) == (2002, False)
    assert value["plan"]["Revision"] == 4


def stores(n, runs=()):
    value = {"runs": {r: "svc" for r in runs}}
    for i in range(n):
        do(value, "store.join", id=f"s{i}", name=f"n{i}", ip=f"1.0.0.{i}", zone="z")
    return value


def test_store_that_lost_its_disk_takes_the_place_of_its_old_self():
    value = stores(3, runs=["m"])
    assert do(value, "store.join", id="new", name="n0", ip="1.0.0.0", zone="z") == (1000, True)
    assert value["stores"]["s0"]["state"] == "leaving" and value["stores"]["new"]["state"] == "active"
    assert do(value, "store.clear", id="s0", run="m", term=1) == (1000, True)
    assert "s0" not in value["stores"] and "s0" in value["dropped"]
    assert do(value, "store.join", id="s0", name="n0", ip="1.0.0.0", zone="z") == (2008, False)


@pytest.mark.parametrize("n, code", [(3, 2013), (4, 1000), (5, 1000)])
def test_retire_needs_enough_left(n, code):
    value = stores(n, runs=["m"])
    assert do(value, "retire.start", node="n1")[0] == code
    assert do(value, "retire.start", node="nope")[0] == 2008


@pytest.mark.parametrize(
    "f, zones, n, code",
    [
        (0, 0, 1, 2013),
        (0, 0, 2, 1000),
        (1, 0, 3, 2013),
        (1, 0, 4, 1000),
        (2, 0, 5, 2013),
        (2, 0, 6, 1000),
        (3, 0, 7, 2013),
        (1, 1, 6, 2013),
    ],
)
@pytest.mark.parametrize("cmd, args", [("retire.start", {"node": "n1"}), ("store.leave", {"id": "s1"})])
@pytest.mark.parametrize("gone", [0, 1])
def test_enough_stores_must_stay(gone, cmd, args, f, zones, n, code):
    value = stores(n + gone, runs=["m"])
    if gone:  # one that leaves already is none of those that stay
        value["stores"]["s0"]["state"] = "leaving"
    if n + gone == 1:
        args = {"node": "n0", "id": "s0"}
    quorum = {"machines": f, "zones": zones, "regions": 0, "region_of": {}}
    assert do(value, cmd, **args, quorum=quorum)[0] == code


def test_retire_is_complete_when_every_run_is_clear():
    value = stores(4, runs=["m", "k"])
    do(value, "retire.start", node="n1")
    do(value, "store.clear", id="s1", run="m", term=1)
    assert commands.run(value, "retire.get", {"node": "n1"})[1] == {"OperState": "active"}
    do(value, "store.clear", id="s1", run="k", term=1)
    assert commands.run(value, "retire.get", {"node": "n1"})[1] == {"OperState": "complete"}
    assert commands.run(value, "retire.start", {"node": "n1"})[1] == {"OperState": "complete"}
    # a machine that is about to be taken away must not come back under another id
    assert do(value, "store.join", id="again", name="n1", ip="1.0.0.1", zone="z") == (2008, False)


def test_run_that_opens_late_must_be_cleared_too():
    value = stores(4, runs=["m"])
    value["stores"]["s1"]["state"] = "leaving"
    do(value, "run.open", run="k")
    do(value, "store.clear", id="s1", run="m", term=1)
    assert "s1" in value["stores"]


@pytest.mark.parametrize("rev, code, did, now", [(2, 1000, False, 5), (5, 1000, False, 5), (6, 1000, True, 6)])
def test_named_versions_only_rise(rev, code, did, now):
    value = {"named": {"m": 5}}
    assert do(value, "named.put", model="m", rev=rev) == (code, did)
    assert value["named"]["m"] == now


@pytest.mark.parametrize(
    "seen, holder, incarnation, code, term",
    [
        (3, "b", "x", 1000, 4),  # the term seen is the newest: granted
        (2, "b", "x", 2011, 3),  # somebody was faster
        (2, "a", "l", 1000, 3),  # the same claim once more
        (3, "a", "new", 1000, 4),
    ],
)  # the holder's next life takes a new term
def test_tenure(seen, holder, incarnation, code, term):
    value = {"tenures": {"m": {"holder": "a", "life": "l", "term": 3}}}
    assert do(value, "tenure.claim", run="m", holder=holder, life=incarnation, seen=seen)[0] == code
    assert value["tenures"]["m"]["term"] == term
