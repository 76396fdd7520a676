"""The feed sends changes to readers that have an older version, and what they make of them is the newest version."""

import random
import types

import orjson
import pytest
from tests.support.fakes import HandClock

from archhatch.control.feed import ConfigFeed
from archhatch.control.history import MAX_CHANGES, RegisterHistory
from archhatch.membership import ConfigWatcher, FeedAnswer
from archhatch.membership.delta import apply, apply_all, diff
from archhatch.runtime import StateBoard, Counters


def rows(*names, **more):
    return [{"Name": name, **more} for name in names]


CASES = [  # older, newer, the change if it matters
    ({}, {"a": 1}, {"in": {"a": {"is": 1}}, "drop": []}),
    ({"a": 1}, {}, {"in": {}, "drop": ["a"]}),
    ({"a": {"b": 1, "c": 2}}, {"a": {"b": 1, "c": 3}}, {"in": {"a": {"in": {"c": {"is": 3}}, "drop": []}}, "drop": []}),
    ({"a": None}, {"a": {"b": 1}}, {"in": {"a": {"is": {"b": 1}}}, "drop": []}),
    ({"a": {"b": 1}}, {"a": None}, None),
    (rows("x", "y"), rows("x", "y", "z"), {"rows": rows("z"), "drop": []}),
    (rows("x", "y"), rows("y"), {"rows": [], "drop": ["x"]}),
    (rows("x", "y"), rows("y", "x"), {"is": rows("y", "x")}),  # another order cannot be said in rows
    (rows("x"), rows("x", "x"), {"is": rows("x", "x")}),  # names that are not different
    (rows("x"), [1], {"is": [1]}),
    ([1, 2], [1, 3], {"is": [1, 3]}),
    (rows("x", n=1), rows("x", n=2), {"rows": rows("x", n=2), "drop": []}),
    ([], rows("x"), None),
    ({"is": 1}, {"is": 2}, None),  # names of members that look like those of a change
    ({"rows": {"in": 1}}, {"rows": {"in": 2, "drop": []}}, None),
]


@pytest.mark.parametrize("old, new, change", CASES)
def test_a_change_makes_the_newer_of_the_older(old, new, change):
    before = orjson.dumps(old)
    got = diff(old, new)
    assert change is None or got == change
    assert apply(old, orjson.loads(orjson.dumps(got))) == new and orjson.dumps(old) == before
    assert diff(new, new) is None


def some_document(rng, depth=3):
    kind = rng.randrange(4) if depth else 0
    if kind == 0:
        return rng.choice([None, 1, "x", 2.5, [1, 2]])
    if kind == 1:
        names = rng.sample("pqrstu", rng.randrange(5))
        return [{"Name": name, "v": some_document(rng, depth - 1)} for name in names]
    return {key: some_document(rng, depth - 1) for key in rng.sample("abcd", rng.randrange(5))}


@pytest.mark.parametrize("seed", range(200))
def test_chains_of_changes_between_any_documents(seed):
    rng = random.Random(seed)
    versions = [some_document(rng) for _ in range(6)]
    steps = [diff(a, b) for a, b in zip(versions, versions[1:]) if a != b]
    assert apply_all(versions[0], steps) == versions[-1]


def test_a_history_keeps_only_as_much_as_pays():
    history, fill = RegisterHistory(), "." * 9000
    for version in range(1, 200):
        history.add(version, {"n": version, "fill": fill})
    assert (
        len(history.changes_since(199 - MAX_CHANGES)) == MAX_CHANGES
        and history.changes_since(198 - MAX_CHANGES) is None
    )
    history.add(200, {"n": 200, "fill": "-" * 4000})  # longer than half of the whole: nobody is served by it
    assert history.changes_since(199) is None and history.changes_since(200) == []
    history.add(150, {"n": 150})  # a register never goes back; should it, then no change counts any more
    assert history.changes_since(200) is None


class FeedWorld:
    """A feed over registers moved by hand, and readers of it."""

    def __init__(self):
        live = types.SimpleNamespace(totals=lambda now: {})
        peers = types.SimpleNamespace(merge_live_requests=lambda edge, live: None)
        registers = types.SimpleNamespace(known={}, chosen={})
        cores = types.SimpleNamespace(cards={})
        agreed_time = types.SimpleNamespace(is_known=False)
        self.node = types.SimpleNamespace(
            agreed_time=agreed_time,
            clock=HandClock(), registers=registers, live=live, peers=peers, cores=cores, state_board=StateBoard(),
            quiet_s=1.0,
            regions=types.SimpleNamespace(record_answers=lambda words: None), leaving=False, check_serving=lambda: True,
            incarnation="L",
            id="core", address="10.0.0.1:7380", counters=Counters(), available=lambda i: True,
            registry=types.SimpleNamespace(version=0, changes_since=lambda turn: []),
        )  # fmt: skip
        self.feed = ConfigFeed(self.node)

    def know(self, shard, version, value):
        self.node.registers.known[shard] = {"stamp": version, "val": value}

    def reader(self):
        settings = types.SimpleNamespace(
            internal_ports=(7380, 7390), seed_peers=("10.0.0.1:1",), seconds=lambda name, ratio=1.0: ratio
        )
        return ConfigWatcher(settings, {"id": "e", "klass": "edge"}, None, StateBoard(), HandClock(), Counters())

    async def bring(self, reader):
        doc = {"live": {}, "busy": [], "who": reader.card, "stamps": reader.versions, "life": reader.incarnation}
        raw = await self.feed.answer({**doc, "turn": reader.registry_version, "hold": 0.0})
        reader.apply_answer(FeedAnswer.from_document(orjson.loads(raw)))
        return raw


def config(revision, routes=400):
    return {"Revision": revision, "RouteTable": rows(*[f"r{n}" for n in range(routes)], TimeoutMs=revision)}


def test_readers_that_have_a_version_are_sent_what_changed(run):
    async def go():
        world = FeedWorld()
        value = {"plan": {"Revision": 1, "RouteTable": rows(*[f"r{n}" for n in range(400)])}, "stores": {}}
        world.know("plan", 1, value)
        early, late = world.reader(), world.reader()
        whole = await world.bring(early)
        for version in range(2, 12):
            stores = {**value["stores"], f"s{version}": {"zone": "z"}}
            value = {"plan": value["plan"], "stores": stores, "runs": {}, "dropped": {}, "retired": {}}
            world.know("plan", version, value)
            assert len(await world.bring(early)) < len(whole) / 10
            assert early.shards["plan"]["stores"] == stores and early.versions["plan"] == version
        await world.bring(late)
        assert late.shards == early.shards
        assert (
            early.counters.counts.get("config.other_base", 0) == 0 and world.node.counters.counts["feed.changes"] == 10
        )

    run(go())


@pytest.mark.parametrize("held", [0, 3, 99])
def test_who_has_a_version_that_is_not_known_here_is_sent_the_whole(run, held):
    async def go():
        world, reader = FeedWorld(), None
        for version in (5, 6):
            world.know("p0", version, {"named": {"m": version}})
            reader = world.reader()
            if held:
                reader.versions["p0"], reader.shards["p0"] = held, {"named": {"other": 1}}
            await world.bring(reader)
        assert reader.shards.get("p0") == ({"named": {"m": 6}} if held < 6 else {"named": {"other": 1}})

    run(go())


def test_changes_that_stand_on_another_version_are_not_folded():
    reader = FeedWorld().reader()
    reader.versions["p0"], reader.shards["p0"] = 4, {"a": 1}
    change = {"stamp": 6, "base": 5, "changes": [{"in": {"a": {"is": 2}}, "drop": []}]}
    doc = {"life": "L", "turn": 0, "cores": [], "busy": {}, "roll": [], "parts": {"p0": change}}
    reader.apply_answer(FeedAnswer.from_document(doc))
    assert (reader.versions["p0"], reader.shards["p0"]) == (4, {"a": 1}) and reader.counters.counts[
        "config.other_base"
    ] == 1
    reader.apply_answer(FeedAnswer.from_document({**doc, "parts": {"p0": {**change, "base": 4}}}))
    assert (reader.versions["p0"], reader.shards["p0"]) == (6, {"a": 2})
