"""Leaders and workers of share groups on a whole system: killed, frozen past their locks, two at once, leaving."""

import asyncio

import orjson
import pytest
from tests.support.standins import batch_job
from tests.system.test_system import holder, world

from archhatch.share_group.acquired_entry import WorkState
from archhatch.share_group.messages import CancelReason
from archhatch.rpc import CallRefusedError


def workers(w, but=None):
    return [s for s in w.stores.values() if s is not but]


def count(w, name):
    return sum(s.counters.counts[name] for s in w.stores.values())


def whole(rows, total):
    assert len(rows) == len({r["InstanceId"] for r in rows}) == total
    for r in rows:
        assert r["OperState"] == "complete"
        assert r["Text"].split("\n") == [f"{r['InstanceId']}/{n}" for n in (1, 2, 3, 4)]


async def stand_still(w, job_id, groups=2):
    """A lot whose streams stand still after two events, and the store that leads."""
    for s in w.stores.values():
        s.replica_pause_s = lambda: 5.0  # streams that stand still on purpose are not taken for dead ones
    for r in w.replicas[:2]:
        r.gate.clear()
    assert await w.hand_in(job_id, batch_job(groups=groups)) == 202
    await w.until(
        w.edge.state_board,
        "nothing",
        lambda: (
            running(w) == groups * 2
            and all(
                len(j.texts) == 2
                for s in w.stores.values()
                for d in s.worker.sessions.values()
                for j in d.entries.values()
            )
        ),
    )
    return holder(w)


def running(w):
    return sum(len(d.entries) for s in w.stores.values() for d in s.worker.sessions.values())


def go_on(w):
    for r in w.replicas[:2]:
        r.gate.set()


def driver(w):
    """A worker with work in hand, and its place."""
    return next((i, s) for i, s in w.stores.items() if any(d.entries for d in s.worker.sessions.values()))


def test_workers_drive_the_replicas_and_the_leader_does_not(run, tmp_path):
    async def go():
        w = await world(tmp_path)
        try:
            assert await w.hand_in("lot1", batch_job(groups=4)) == 202
            whole(await w.read_all("lot1"), 8)
            lead = holder(w)
            assert lead.counters.counts["item.send"] == 0 and lead.counters.counts["share.acquired"] == 8
            assert count(w, "item.send") == 8 and lead.counters.counts["share.accept"] == 8
        finally:
            await w.end()

    run(go())


def test_a_worker_is_killed_and_its_batch_presented_again(run, tmp_path):
    async def go():
        w = await world(tmp_path)
        try:
            lead = await stand_still(w, "lot1")
            i, gone = driver(w)
            assert gone is not lead
            await w.kill(w.stores.pop(i))
            go_on(w)
            whole(await w.read_all("lot1"), 4)
            assert lead.counters.counts["share.worker_gone"] >= 1
        finally:
            go_on(w)
            await w.end()

    run(go())


def test_a_worker_that_slept_past_its_locks_settles_nothing(run, tmp_path):
    async def go():
        w = await world(tmp_path)
        try:
            lead = await stand_still(w, "lot1")
            shard = next(iter(lead.leader.runs.values()))
            held = {
                e.offset: (e.worker, e.delivery_count) for win in shard.windows.values() for e in win.locked.values()
            }
            sleepers = {worker for worker, _ in held.values()}
            for win in shard.windows.values():  # their locks ran out while they slept
                for e in win.locked.values():
                    e.locked_until = 0.0
            lead.leader.sync()
            go_on(w)
            whole(await w.read_all("lot1"), 4)
            assert lead.counters.counts["share.lock_expired"] == 4
            # and what they wanted to settle late counts for nothing, whatever it says
            doc = {"InstanceId": "a0-0", "OperState": "complete", "Text": "stale", "WeightVersions": [1], "Score": "x"}
            leadership = holder(w).leaderships["llm"]
            rows = [
                {"part": "m", "off": o, "dc": dc, "kind": "accept", "engine": "", "signs": [], "doc": doc}
                for o, (_, dc) in held.items()
            ]
            for worker in sleepers:
                out = await lead.leader.commit(
                    {"worker": worker, "run": "llm", "epoch": leadership.term}, orjson.dumps(rows)
                )
                assert out["done"] == [False] * 4
            whole(await w.read_all("lot1"), 4)
        finally:
            go_on(w)
            await w.end()

    run(go())


def test_leader_dies_between_settlement_and_commit_and_no_work_is_lost(run, tmp_path):
    async def go():
        w = await world(tmp_path)
        try:
            lead = await stand_still(w, "lot1")
            never = asyncio.Event()

            async def hang(*a):
                await never.wait()

            for leadership in lead.leaderships.values():
                leadership.append_result = hang  # settlements arrive, and are never committed
            go_on(w)
            await w.until(
                w.edge.state_board,
                "nothing",
                lambda: any(
                    e.is_acknowledging
                    for r in lead.leader.runs.values()
                    for win in r.windows.values()
                    for e in win.locked.values()
                ),
            )
            i = next(i for i, s in w.stores.items() if s is lead)
            await w.kill(w.stores.pop(i))
            whole(await w.read_all("lot1"), 4)
            after = holder(w)
            assert after is not lead and after.counters.counts["share.attached"] >= 1
            firsts = [first for r in w.replicas[:2] for _, first, _ in r.runs]
            assert firsts == [1] * 4  # each ran once: the new leader took up what workers still held
        finally:
            go_on(w)
            await w.end()

    run(go())


REFUSED = [  # what a worker asks of a leader, how it is refused
    ("share.commit", {"to": "another"}, 2008),
    ("share.fetch", {"to": "another"}, 2008),
    ("share.commit", {"epoch": -1}, 3007),
    ("share.commit", {"epoch": 99}, 3007),
    ("share.commit", {"run": "x"}, 3005),
    ("share.fetch", {"epoch": 99}, 3007),
    ("share.fetch", {"run": "x"}, 3005),
    ("share.fetch", {"worker": "s-unknown"}, 3007),
    ("share.fetch", {"life": "another"}, 3007),
]


def test_other_epochs_and_unknown_workers_are_refused_and_counted(run, tmp_path):
    async def go():
        w = await world(tmp_path)
        try:
            assert await w.hand_in("lot1", batch_job()) == 202
            rows = await w.read_all("lot1")
            lead = holder(w)
            worker = next(iter(lead.leader.runs["llm"].workers.values()))
            good = {
                "to": lead.id,
                "worker": worker.worker_id,
                "life": worker.incarnation,
                "zone": "z1",
                "lag": 0.0,
                "run": "llm",
                "epoch": lead.leaderships["llm"].term,
                "poll": 10**6,
                "hold": 0.0,
                "off": [],
                "got": [],
                "holding": None,
            }
            for verb, change, code in REFUSED:
                with pytest.raises(CallRefusedError) as no:
                    await lead.verbs.table[verb]({**good, **change}, b"[]")
                assert no.value.code == code, (verb, change)
            assert (
                lead.counters.counts["share.other_epoch"] == 3 and lead.counters.counts["call.other_incarnation"] == 2
            )
            bad = [
                {"part": p, "off": o, "dc": 1, "kind": "accept", "engine": "", "signs": [], "doc": {}}
                for p, o in (("m", 0), ("m", 10**9), ("m", -1), ("nobody", 0))
            ]
            out = await lead.leader.commit(good, orjson.dumps(bad))
            assert out["done"] == [False] * 4 and lead.counters.counts["share.refused"] == 4
            assert await w.read_all("lot1") == rows
        finally:
            await w.end()

    run(go())


def test_an_older_leader_commits_nothing(run, tmp_path):
    async def go():
        w = await world(tmp_path)
        try:
            old = await stand_still(w, "lot1")
            leadership, i = old.leaderships["llm"], next(i for i, s in w.stores.items() if s is old)
            other = next(s for s in w.stores.values() if s is not old)
            held = [
                (e.offset, e.worker, e.delivery_count)
                for win in old.leader.runs["llm"].windows.values()
                for e in win.locked.values()
            ]
            # the old one is cut off from news and pings, and thinks that it leads
            old.lease_watch.check_leases = lambda: None
            await other.lease_watch.claim("llm", leadership.term, other.id, other.incarnation)
            await w.until(
                other.state_board,
                "work",
                lambda: "llm" in other.leaderships and other.leaderships["llm"].state == "holding",
            )
            if leadership.state == "holding":
                offset, worker, delivery = held[0]
                row = {
                    "part": "m",
                    "off": offset,
                    "dc": delivery,
                    "kind": "accept",
                    "engine": "",
                    "signs": [],
                    "doc": {
                        "InstanceId": "a0-0",
                        "OperState": "complete",
                        "Text": "zombie",
                        "WeightVersions": [1],
                        "Score": "x",
                    },
                }
                try:
                    out = await old.leader.commit(
                        {"worker": worker, "run": "llm", "epoch": leadership.term}, orjson.dumps([row])
                    )
                    assert out["done"] == [False]
                except CallRefusedError as no:
                    assert no.code == 3005
            assert i in w.stores and leadership.state == "over"
            go_on(w)
            whole(await w.read_all("lot1"), 4)
        finally:
            go_on(w)
            await w.end()

    run(go())


def test_a_worker_that_leaves_gives_back_what_it_made(run, tmp_path):
    async def go():
        w = await world(tmp_path)
        try:
            lead = await stand_still(w, "lot1")
            i, leaver = driver(w)
            w.stores.pop(i)
            await leaver.leave()
            assert lead.counters.counts["share.release"] >= 1
            go_on(w)
            whole(await w.read_all("lot1"), 4)
            assert 3 in [
                first for r in w.replicas[:2] for _, first, _ in r.runs
            ]  # behind the two events that were kept
        finally:
            go_on(w)
            await w.end()

    run(go())


def test_released_texts_outlive_a_leader_that_hands_its_run_on(run, tmp_path):
    """Guards against items that begin anew after a planned change of the leader: texts were in its memory."""

    async def go():
        w = await world(tmp_path)
        try:
            lead = await stand_still(w, "lot1")
            led = lead.leader.runs["llm"]
            lead.leader._fetch_handler.acquisition.acquire_batch = lambda *_args: []
            for entry in led.windows["m"].locked.values():
                led.cancel(entry, CancelReason.RECALL)
            lead.leader.notify_workers()
            await w.until(lead.state_board, "nothing", lambda: not led.windows["m"].locked)
            assert all(len(entry.texts) == 2 for entry in led.windows["m"].entries.values())
            assert await lead.lease_watch.transfer("llm", led.leadership.term)
            await w.until(w.edge.state_board, "nothing", lambda: holder(w) not in (None, lead))
            go_on(w)
            whole(await w.read_all("lot1"), 4)
            assert sorted(first for r in w.replicas[:2] for _, first, _ in r.runs) == [1, 1, 1, 1, 3, 3, 3, 3]
        finally:
            go_on(w)
            await w.end()

    run(go())


def test_a_handover_that_fails_goes_on_being_served(run, tmp_path):
    async def go():
        w = await world(tmp_path)
        try:
            lead = await stand_still(w, "lot1")

            async def refused(*_args):
                return False

            lead.lease_watch.claim = refused
            assert not await lead.lease_watch.transfer("llm", lead.leader.runs["llm"].leadership.term)
            go_on(w)
            whole(await w.read_all("lot1"), 4)
            assert holder(w) is lead
        finally:
            go_on(w)
            await w.end()

    run(go())


def test_a_lot_that_is_ended_stops_at_the_workers(run, tmp_path):
    async def go():
        w = await world(tmp_path)
        try:
            await stand_still(w, "lot1")
            assert (await w.ask("DELETE", "/api/lots/lot1"))[0] == 200
            await w.until(w.edge.state_board, "nothing", lambda: running(w) == 0)
            lead = holder(w)
            await w.until(
                lead.state_board, "work", lambda: all(e.running_count() == 0 for e in lead.engines.all.values())
            )
            assert all(
                not win.locked and win.start_offset == win.next_offset
                for win in lead.leader.runs["llm"].windows.values()
            )
            go_on(w)
            assert await w.hand_in("lot2", batch_job(name="b")) == 202
            whole(await w.read_all("lot2"), 4)
        finally:
            go_on(w)
            await w.end()

    run(go())


def test_delivery_counts_outlive_the_leader(run, tmp_path):
    async def go():
        w = await world(tmp_path)
        try:
            lead = await stand_still(w, "lot1")
            for win in lead.leader.runs["llm"].windows.values():
                for e in win.locked.values():
                    e.locked_until = 0.0
            lead.leader.sync()
            await w.until(
                lead.state_board,
                "work",
                lambda: (
                    sum(
                        e.delivery_count == 2
                        for win in lead.leader.runs["llm"].windows.values()
                        for e in win.locked.values()
                    )
                    == 4
                ),
            )
            await w.until(
                lead.state_board,
                "work",
                lambda: (
                    sum(
                        1
                        for s in w.stores.values()
                        for r in s.record_store.windows.get(("llm", "m"), [])[-1:]
                        if orjson.loads(r.body)["batches"]
                    )
                    >= 2
                ),
            )
            await w.kill(w.stores.pop(next(i for i, s in w.stores.items() if s is lead)))
            await w.until(w.edge.state_board, "nothing", lambda: holder(w) is not None and holder(w).leader.runs)
            entries = [e for e in holder(w).leader.runs["llm"].windows["m"].entries.values()]
            assert len(entries) == 4 and all(e.delivery_count >= 1 for e in entries)
            go_on(w)
            whole(await w.read_all("lot1"), 4)
        finally:
            go_on(w)
            await w.end()

    run(go())


def test_a_recall_that_comes_when_the_stream_has_ended_takes_nothing_back(run, tmp_path):
    async def go():
        w = await world(tmp_path)
        try:
            w.replicas[2].mood["*"] = "shed"  # the scorer is full: items wait there, their streams ended
            assert await w.hand_in("lot1", batch_job()) == 202
            await w.until(
                w.edge.state_board,
                "nothing",
                lambda: (
                    sum(
                        j.state is WorkState.SCORING
                        for s in w.stores.values()
                        for d in s.worker.sessions.values()
                        for j in d.entries.values()
                    )
                    == 4
                ),
            )
            lead = holder(w)
            shard = lead.leader.runs["llm"]
            for e in shard.windows["m"].locked.values():
                shard.cancel(e, CancelReason.RECALL)
            lead.leader.notify_workers()
            await w.until(lead.state_board, "nothing", lambda: not any(s.cancellations for s in shard.workers.values()))
            w.replicas[2].mood.clear()
            whole(await w.read_all("lot1"), 4)
            assert lead.counters.counts["share.release"] == 0 and lead.counters.counts["share.acquired"] == 4
        finally:
            await w.end()

    run(go())
