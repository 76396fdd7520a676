"""Rollouts use the gaps between live requests, and give places back when those return."""

import asyncio

import pytest
from tests.support.standins import World, batch_job, plan

from archhatch.membership import LiveRequests
from archhatch.runtime import StateBoard
from archhatch.rollout_controller.load_limit import LoadLimit
from archhatch.data_plane.live_requests import LiveRequestTracker


@pytest.mark.parametrize(
    "busy, slots, replicas, places",
    [
        ({}, 12, 3, 12),
        ({"other": 5}, 12, 3, 12),
        ({"s": 0.01}, 12, 3, 11),
        ({"s": 1.5}, 12, 3, 11),
        ({"s": 1.6}, 12, 3, 10),
        ({"s": 6}, 12, 3, 8),
        ({"s": 99}, 12, 3, 1),
        ({"s": 1}, 1, 1, 1),
        ({"s": 1}, 4, 0, 2),
    ],
)
def test_places(busy, slots, replicas, places):
    load_limit = LoadLimit()
    load_limit.update(busy)
    assert load_limit.usable_slots("s", slots, replicas) == places


WORDS = [  # words as (edge, live, at), asked at, busy
    ([("a", {"s": 1}, 0.0)], 1.0, {"s": 1}),
    ([("a", {"s": 1}, 0.0)], 2.1, {}),
    ([("a", {"s": 1}, 0.0), ("b", {"s": 2}, 1.0)], 1.5, {"s": 3}),
    ([("a", {"s": 1}, 1.0), ("a", {"s": 5}, 0.5)], 1.5, {"s": 1}),  # the older word comes late
    ([("a", {"s": 3}, 0.0), ("a", {"s": 0}, 1.0)], 1.5, {"s": 3}),  # nothing is no word
    ([("a", {"s": 1, "t": 1}, 0.0), ("a", {"t": 2}, 1.5)], 2.5, {"t": 2}),
]


@pytest.mark.parametrize("words, now, busy", WORDS)
def test_live_requests_are_summed(words, now, busy):
    live_requests = LiveRequests(2.0)
    for word in words:
        live_requests.record_edge(*word)
    assert live_requests.totals(now) == busy


def test_live_tells_the_first_after_a_pause_at_once(clock):
    state_board = StateBoard()
    live = LiveRequestTracker(state_board, clock, 1.0)
    live.begin("s")
    live.begin("s")
    clock.at += 0.5
    live.finish("s")
    clock.at += 0.5
    assert state_board.version("live") == 1 and live.tally() == {"s": 1.5}
    clock.at += 0.9
    assert live.tally() == {"s": 1.0}
    live.finish("s")
    clock.at += 0.9
    live.begin("s")
    assert state_board.version("live") == 1
    live.finish("s")
    assert live.tally() == {"s": 0.01} and live.tally() == {}
    clock.at += 1.1
    live.begin("s")
    assert state_board.version("live") == 2


def test_places_are_given_back_and_nothing_is_lost_or_doubled(run, tmp_path):
    async def go():
        w = await World(str(tmp_path)).start()
        try:
            await w.put_plan(plan(), 0)
            r = await w.add_replica("llm", {"m": 1})
            await w.add_replica("quote")
            await w.until(w.edge.state_board, "roll", lambda: len(w.edge.load_balancer.replicas) == 2)
            for s in w.stores.values():
                s.replica_pause_s = lambda: 5.0  # streams that stand still on purpose are not taken for dead ones
            r.gate.clear()
            assert await w.hand_in("lot1", batch_job(groups=2)) == 202
            store = await asyncio.wait_for(wait_busy(w, r, 4), 30)
            # live requests return: rollouts leave their places, and the answer does not wait for them
            assert (await w.ask("POST", "/v/live", b"now", rid="v1"))[0] == 200
            await w.until(store.state_board, "work", lambda: store.counters.counts["item.recalled"] >= 1)
            await w.until(store.state_board, "work", lambda: store.engines.all[r.iid].running_count() <= 3)
            # the pause of live requests is back: they go on behind the events that were kept
            await w.until(store.state_board, "work", lambda: store.engines.all[r.iid].running_count() == 4)
            r.gate.set()
            rows = await w.read_all("lot1")
            assert len(rows) == len({x["InstanceId"] for x in rows}) == 4
            for x in rows:
                assert x["Text"].split("\n") == [f"{x['InstanceId']}/{n}" for n in (1, 2, 3, 4)]
            firsts = sorted(first for _, first, _ in r.runs)
            assert firsts[:4] == [1, 1, 1, 1] and firsts[4:] and set(firsts[4:]) == {3}
            assert sum(1 for s in r.seen if s[1] == "/v/live") == 1
        finally:
            await w.end()

    run(go())


async def wait_busy(w, r, n):
    while True:
        for s in w.stores.values():
            e = s.engines.all.get(r.iid)
            if (
                e is not None
                and e.running_count() == n
                and len(r.runs) == n
                and all(
                    len(j.texts) == 2
                    for o in w.stores.values()
                    for d in o.worker.sessions.values()
                    for j in d.entries.values()
                )
            ):
                return s
        await w.edge.state_board.wait_for_change("nothing", 0, 0.02)


SUMS = [  # the last words of other control nodes as (node, live, at), asked at 2.5, busy beside the own word {"s": 1}
    ([("c", {"s": 2}, 2.0)], {"s": 3}),
    ([("c", {"s": 2}, 2.0), ("d", {"s": 4, "t": 1}, 2.0)], {"s": 7, "t": 1}),
    ([("c", {"s": 2}, 1.0), ("c", {}, 2.0)], {"s": 1}),  # its edges are at rest: its old word is gone at once
    ([("c", {"s": 2}, 2.0), ("c", {"s": 9}, 1.0)], {"s": 3}),  # an older word that comes late
    ([("c", {"s": 2}, 0.4)], {"s": 1}),  # it has not been heard for a window
]


@pytest.mark.parametrize("words, busy", SUMS)
def test_what_other_control_nodes_sum_up(words, busy):
    live_requests = LiveRequests(2.0)
    live_requests.record_edge("edge", {"s": 1}, 1.0)
    for word in words:
        live_requests.record_node(*word)
    assert live_requests.totals(2.5) == busy and live_requests.edge_totals(2.5) == {"s": 1}
