"""News as it reaches a node: never back in one life, whichever control node tells it, however late."""
import pytest
from conftest import HandClock

from lines.directory import Newsreader
from lines.frame import Board, Counters
from lines.frame.boot import check_boot
from lines.rpc import ConnectionPool

BOOT = check_boot({"NodeName": "n", "IpAddress": "1.1.1.1", "InternalPorts": [7, 9], "SeedPeers": ["1.1.1.1:80", "1.1.1.2:80"]})


def reader():
    return Newsreader(BOOT, {"id": "n"}, ConnectionPool(Counters()), Board(), HandClock(), Counters())


def news(parts=None, roll=(), life="a", turn=1, cores=("1.1.1.1:7",)):
    return {"parts": {p: {"stamp": s, "val": {"n": s}} for p, s in (parts or {}).items()}, "roll": list(roll),
            "life": life, "turn": turn, "cores": list(cores), "busy": {}}


@pytest.mark.parametrize("stamps, held", [
    ([5, 6], 6), ([6, 5], 6), ([6, 6], 6), ([1], 1), ([3, 9, 4], 9)])
def test_parts_only_rise(stamps, held):
    r = reader()
    for n, s in enumerate(stamps):
        r.fold(news({"plan": s}, life=f"core-{n}"))
    assert r.stamps == {"plan": held} and r.parts["plan"] == {"n": held}
    assert r.ctr.all["news.late_part"] == sum(s <= max(stamps[:n], default=0) for n, s in enumerate(stamps))


def ent(state, seq, **kw):
    return {"id": "r", "state": state, "seq": seq, "addr": "x:1", **kw}


@pytest.mark.parametrize("ents, state, seq, late", [
    ([ent("up", 1), ent("up", 2)], "up", 2, 0),
    ([ent("up", 2), ent("up", 1)], "up", 2, 1),                  # from a control node that lags
    ([ent("draining", 3), ent("up", 9)], "draining", 3, 1),      # told by one that did not hear of the draining
    ([ent("gone", 3), ent("up", 9)], "gone", 3, 1),
    ([ent("up", 4), ent("gone", 2)], "gone", 2, 0),
    ([ent("up", 4), ent("draining", 5), ent("gone", 6)], "gone", 6, 0)])
def test_replicas_never_come_back_from_leaving(ents, state, seq, late):
    r = reader()
    for n, e in enumerate(ents):
        r.fold(news(roll=[e], life=f"core-{n}"))
    assert (r.roll["r"]["state"], r.roll["r"]["seq"]) == (state, seq) and r.ctr.all["news.late_entry"] == late


def test_addresses_are_learnt_and_the_one_that_answers_is_kept():
    r = reader()
    r.addrs, r.at = ["1.1.1.1:7", "1.1.1.2:7"], 1
    r.fold(news(cores=["1.1.1.3:7", "1.1.1.1:7"]))
    assert set(r.addrs) == {"1.1.1.3:7", "1.1.1.1:7", "1.1.1.2:7"} and r.addrs[r.at] == "1.1.1.2:7"
    r.fold(news(cores=[]))
    assert len(r.addrs) == 3


def test_entries_are_taken_once():
    r = reader()
    r.fold(news(roll=[ent("up", 1)]))
    assert [e["seq"] for e in r.take_roll()] == [1] and r.take_roll() == []
