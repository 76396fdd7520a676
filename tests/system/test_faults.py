"""Troubles brought about on a whole system over real sockets: disks lost, machines emptied, taken away, stopped."""

import asyncio
import shutil

import orjson
import pytest
from tests.support.standins import batch_job, plan
from tests.system.test_system import holder, world

from archhatch.jobs import DeposedError
from archhatch.rpc import CallError


def copies(w, job_id, total):
    return sum(
        1
        for s in w.stores.values()
        if (stored := s.record_store.batch_jobs.get(job_id)) is not None
        and stored.job is not None
        and len(stored.results) == total
    )


async def lose_disk(w, i):
    """A store dies, loses its disk, and comes back at its address."""
    old = w.stores.pop(i)
    await w.kill(old)
    shutil.rmtree(old.settings.data_dir)
    await w.add_store(i, first=False)
    return old.id


async def kill_store(w, i):
    await w.kill(w.stores.pop(i))


@pytest.mark.parametrize("which", ["holder", "other"])
def test_a_disk_is_lost_repaired_and_then_another(run, tmp_path, which):
    async def go():
        w = await world(tmp_path)
        try:
            assert await w.hand_in("lot1", batch_job()) == 202
            rows = await w.read_all("lot1")
            first = next(i for i, s in w.stores.items() if (s is holder(w)) is (which == "holder"))
            gone = await lose_disk(w, first)
            edge = w.edge
            # repaired: the old disk is no member any more, and two stores hold everything
            await w.until(
                edge.state_board,
                "parts",
                lambda: (
                    gone not in edge.config_watcher.shards["plan"]["stores"]
                    and w.stores[first].id in edge.config_watcher.shards["plan"]["stores"]
                ),
            )
            await w.until(edge.state_board, "parts", lambda: copies(w, "lot1", 4) >= 2)
            second = next(i for i, s in w.stores.items() if i != first)
            await lose_disk(w, second)
            assert await w.read_all("lot1") == rows
            assert await w.hand_in("lot2", batch_job(name="b")) == 202
            assert len(await w.read_all("lot2")) == 4
        finally:
            await w.end()

    run(go())


@pytest.mark.parametrize("others", ["stay", "lose power"])
def test_two_disks_are_lost_at_once_where_two_may_be(run, tmp_path, others):
    async def go():
        w = await world(tmp_path, stores=6, tolerate=2)
        try:
            assert await w.hand_in("lot1", batch_job()) == 202
            rows = await w.read_all("lot1")
            have = sorted(i for i, s in w.stores.items() if "lot1" in s.record_store.batch_jobs)
            gone = {w.stores[i].id for i in have[:2]}
            old = {i: w.stores.pop(i) for i in list(w.stores) if others == "lose power" or i in have[:2]}
            for s in old.values():
                await w.kill(s)
            for i, s in old.items():
                if i in have[:2]:
                    shutil.rmtree(s.settings.data_dir)
                await w.add_store(i, first=False)
            assert await w.read_all("lot1") == rows
            edge = w.edge
            await w.until(
                edge.state_board, "parts", lambda: not gone & edge.config_watcher.shards["plan"]["stores"].keys()
            )
            assert copies(w, "lot1", 4) >= 3
            assert await w.hand_in("lot2", batch_job(name="b")) == 202
            assert len(await w.read_all("lot2")) == 4
        finally:
            await w.end()

    run(go())


def test_a_store_is_emptied_and_taken_away(run, tmp_path):
    async def go():
        w = await world(tmp_path, stores=4)
        try:
            assert await w.hand_in("lot1", batch_job()) == 202
            rows = await w.read_all("lot1")
            i = next(i for i, s in w.stores.items() if s is holder(w))
            name = w.stores[i].settings.node_name
            assert (await w.call("POST", "/api/retire/nobody", {"DeadlineS": 9}))[0] == 404
            assert (await w.call("POST", f"/api/retire/{name}", {"DeadlineS": 9}))[0] == 200
            while (await w.call("GET", f"/api/retire/{name}"))[1]["OperState"] != "complete":
                pass
            await kill_store(w, i)
            other = next(s.settings.node_name for s in w.stores.values())
            assert (await w.call("POST", f"/api/retire/{other}", {"DeadlineS": 9}))[0] == 409
            await lose_disk(w, next(iter(w.stores)))
            assert await w.read_all("lot1") == rows
        finally:
            await w.end()

    run(go())


def test_power_is_lost_by_all_stores_and_control_nodes(run, tmp_path):
    async def go():
        w = await world(tmp_path)
        try:
            assert await w.hand_in("lot1", batch_job()) == 202
            rows = await w.read_all("lot1")
            assert await w.put_plan(plan(8), 1) == 200
            for s in list(w.stores.values()):
                await w.kill(s)
            for c in list(w.cores.values()):
                await w.kill(c)
            w.stores, w.cores = {}, {}
            for i in (1, 2, 3):
                await w.add_core(i, first=False)
                await w.add_store(i, first=False)
            assert (await w.call("GET", "/api/config"))[1] == plan(8)
            for r in w.replicas:
                await w.beat(r)
            assert await w.read_all("lot1") == rows
        finally:
            await w.end()

    run(go())


def test_holder_that_ends_in_order_names_its_successor(run, tmp_path):
    async def go():
        w = await world(tmp_path)
        try:
            assert await w.hand_in("lot1", batch_job()) == 202
            rows = await w.read_all("lot1")
            i = next(i for i, s in w.stores.items() if s is holder(w))
            old = w.stores.pop(i)
            await old.leave()
            assert old.counters.counts["lease.claim.1000"] >= 2  # its own, and the one it made for the next
            assert await w.read_all("lot1") == rows
        finally:
            await w.end()

    run(go())


def test_edge_ends_in_order_under_load(run, tmp_path):
    async def go():
        w = await world(tmp_path)
        try:
            asks = [asyncio.ensure_future(w.ask("POST", "/q/x", b"%d" % n, rid=f"r{n}")) for n in range(20)]
            end = asyncio.ensure_future(w.edge.leave())
            await w.until(w.edge.state_board, "nothing", lambda: w.edge.state == "leaving")
            async with w.http.get(f"http://{w.net}.3.1:{w.ready}/api/readiness") as response:
                assert response.status == 503
            late = await w.ask("POST", "/q/late", b"late", rid="late")
            assert late[0] == 200 and late[2]["Connection"] == "close"
            assert [(s, b) for s, b, _ in await asyncio.gather(*asks)] == [
                (200, b"answer to %d" % n) for n in range(20)
            ]
            await end
        finally:
            await w.end()

    run(go())


def test_control_node_that_is_cut_off_refuses_and_others_go_on(run, tmp_path):
    async def go():
        w = await world(tmp_path)
        try:
            lone = w.cores[1]
            cut = Cut(lone, lambda ip: True)  # it is heard no more, though it still hears the others
            await w.until(lone.state_board, "nothing", lambda: not lone.check_serving())
            async with w.http.put(f"http://{w.net}.1.1:{w.control}/api/instances/i", data=b"{}") as response:
                assert response.status == 400  # what cannot be read is refused by anyone
            beat = orjson.dumps(w.replicas[2].beat("draining"))
            async with w.http.put(
                f"http://{w.net}.1.1:{w.control}/api/instances/{w.replicas[2].iid}", data=beat
            ) as response:
                assert response.status == 503  # a draining that it cannot spread is not acknowledged
            assert await w.put_plan(plan(5), 1) == 200
            await w.until(w.edge.state_board, "parts", lambda: w.edge.plan.revision == 5)
            assert lone.registers.chosen["plan"] > 0 and not lone.check_serving()
            cut.heal()
            await w.until(
                lone.state_board, "feed", lone.check_serving
            )  # it serves again, and no older version than the others
            assert lone.known["plan"]["val"]["plan"]["Revision"] == 5
        finally:
            await w.end()

    run(go())


def test_seeds_are_exchanged_for_others(run, tmp_path):
    async def go():
        w = await world(tmp_path)
        try:
            for new, old in ((4, 1), (5, 2), (6, 3)):
                await w.add_core(new, first=False)
                node = w.cores[new]
                await w.until(node.state_board, "feed", lambda: len(node.known) == 4 and node.check_serving())
                gone = w.cores.pop(old)
                await gone.leave()  # a spare takes its place in every group before it ends
                await w.until(
                    node.state_board,
                    "feed",
                    lambda: all(
                        node.id in s["voters"] and gone.id not in s["voters"] and not s["prev"]
                        for s in node.known.values()
                    ),
                )
            assert await w.put_plan(plan(5), 1) == 200
            assert (await w.call("GET", "/api/config"))[1] == plan(5)
            await w.until(w.edge.state_board, "parts", lambda: w.edge.plan.revision == 5)
        finally:
            await w.end()

    run(go())


def test_an_address_is_used_again_by_another_service(run, tmp_path):
    async def go():
        w = await world(tmp_path)
        try:
            other = await w.add_replica("quote")
            await w.until(w.edge.state_board, "roll", lambda: other.iid in w.edge.load_balancer.replicas)
            w.edge.load_balancer.replicas[other.iid].in_flight = 50
            w.replicas[2].iid = "i-somebody-else"  # its machine now serves another
            status, data, _ = await w.ask("POST", "/n/x", b"once")
            assert (status, data) == (200, b"answer to once") and w.replicas[2].seen == []
        finally:
            await w.end()

    run(go())


def test_two_operators_race_and_one_is_invalid(run, tmp_path):
    async def go():
        w = await world(tmp_path)
        try:
            a, b = plan(5), {**plan(6), "Limits": {"MaxBodyBytes": 7}}
            out = await asyncio.gather(w.put_plan(a, 1), w.put_plan(b, 1))
            assert sorted(out) == [200, 412]
            now = (await w.call("GET", "/api/config"))[1]
            assert now == (a if out[0] == 200 else b)
            bad = {**plan(9), "ServiceTable": []}
            assert await w.put_plan(bad, now["Revision"]) == 400
            assert await w.put_plan(now, 1) == 200  # the one that prevailed, sent once more
            assert (await w.call("GET", "/api/config"))[1] == now
        finally:
            await w.end()

    run(go())


def test_a_store_is_replaced_by_an_empty_one_at_another_address(run, tmp_path):
    async def go():
        w = await world(tmp_path)
        try:
            assert await w.hand_in("lot1", batch_job()) == 202
            rows = await w.read_all("lot1")
            i = next(i for i, s in w.stores.items() if s is not holder(w))
            gone = w.stores[i].id
            await kill_store(w, i)
            await w.add_store(9, first=False)
            await w.until(
                w.edge.state_board, "parts", lambda: gone not in w.edge.config_watcher.shards["plan"]["stores"]
            )
            await w.until(w.edge.state_board, "parts", lambda: copies(w, "lot1", 4) >= 2)
            await kill_store(w, next(i for i in w.stores if i != 9))  # the new one must be as good as the old
            assert await w.read_all("lot1") == rows
        finally:
            await w.end()

    run(go())


def test_a_replica_goes_dark_in_the_middle_of_its_streams(run, tmp_path):
    async def go():
        w = await world(tmp_path)
        try:
            w.replicas[0].gate.clear()  # two events, then silence for good
            assert await w.hand_in("lot1", batch_job(groups=2)) == 202
            rows = await w.read_all("lot1")
            assert len(rows) == 4 and all(x["OperState"] == "complete" for x in rows)
            for x in rows:
                assert x["Text"].split("\n") == [f"{x['InstanceId']}/{n}" for n in (1, 2, 3, 4)]
            assert sum(s.counters.counts["item.timed_out"] for s in w.stores.values()) >= 1  # at its worker
            assert any(first == 3 for _, first, _ in w.replicas[1].runs)  # it went on behind what was there
        finally:
            w.replicas[0].gate.set()
            await w.end()

    run(go())


def test_a_holder_that_stood_still_neither_reads_nor_orders(run, tmp_path):
    async def go():
        w = await world(tmp_path)
        try:
            assert await w.hand_in("lot1", batch_job()) == 202
            await w.read_all("lot1")
            old = holder(w)
            leadership = next(iter(old.leaderships.values()))
            assert leadership.is_confirmed() and leadership.may_order()
            now = old.clock.now
            old.clock.now = lambda: now() + 30  # it wakes 30 s later, before it heard anybody
            assert not leadership.is_confirmed() and not leadership.may_order()
        finally:
            await w.end()

    run(go())


class Cut:
    """Makes calls to some addresses fail, for the lines of one node."""

    def __init__(self, node, far):
        self.real, self.far, self.node = node.connections.to, far, node
        node.connections.to = self.to
        # what is under way is lost too: a held question to the feed, say
        for address, connection in node.connections._connections.items():
            if far(address.rsplit(":", 1)[0]):
                connection.disconnect()

    def to(self, address):
        return self if self.far(address.rsplit(":", 1)[0]) else self.real(address)

    async def call(self, *a, **kwargs):
        await asyncio.sleep(0)
        raise CallError("cut", sent=True)

    def heal(self):
        self.node.connections.to = self.real


def test_a_holder_that_is_cut_off_neither_reads_nor_orders_while_another_holds(run, tmp_path):
    async def go():
        w = await world(tmp_path)
        try:
            assert await w.hand_in("lot1", batch_job()) == 202
            rows = await w.read_all("lot1")
            old = holder(w)
            leadership = next(r for r in old.leaderships.values() if r.state == "holding")
            ip = old.settings.ip_address
            # the edge still reaches it; stores and control nodes do not, nor it them
            cuts = [Cut(old, lambda a: True)] + [
                Cut(n, lambda a: a == ip) for n in [*w.stores.values(), *w.cores.values()] if n is not old
            ]
            rest = [s for s in w.stores.values() if s is not old]

            def taken_over():
                new = next((r for s in rest for r in s.leaderships.values() if r.state == "holding"), None)
                if new is not None:
                    assert new.term > leadership.term and not leadership.is_confirmed()
                return new

            await w.until(rest[0].state_board, "work", taken_over)
            head = {"lot": "lot9", "run": leadership.run, "host": "h.example", "path": "/roll/x"}
            put = asyncio.ensure_future(leadership.accept_job(head, orjson.dumps(batch_job(name="z"))))
            note = asyncio.ensure_future(
                leadership.record_order_intent(w.replicas[0].iid)
            )  # without which it sends no order
            assert await w.hand_in("lot2", batch_job(name="b")) == 202
            assert await w.read_all("lot1") == rows
            assert len(await w.read_all("lot2")) == 4
            assert leadership.state == "holding" and not put.done() and not note.done()  # it acknowledged nothing
            await w.until(rest[0].state_board, "nothing", lambda: not leadership.may_order())
            for c in cuts:
                c.heal()
            for task in (put, note):
                with pytest.raises(DeposedError):
                    await task
            assert leadership.state == "over"
            assert await w.read_all("lot1") == rows
        finally:
            await w.end()

    run(go())


def test_an_edge_that_stood_still_passes_nothing_wrong_on(run, tmp_path):
    async def go():
        w = await world(tmp_path, stores=4)
        try:
            assert await w.hand_in("lot1", batch_job()) == 202
            rows = await w.read_all("lot1")
            edge = w.edge
            fold, edge.config_watcher.apply_answer = (
                edge.config_watcher.apply_answer,
                lambda doc: None,
            )  # what it knows stands still
            stamps = dict(edge.config_watcher.versions)
            # meanwhile: another holder on another disk, a replica that ended, an address that serves another life
            i = next(i for i, s in w.stores.items() if s is holder(w))
            await lose_disk(w, i)
            new = await w.add_replica("quote")
            await w.replicas[2].stop()
            assert (await w.call("DELETE", f"/api/instances/{w.replicas[2].iid}"))[0] == 200
            w.replicas[0].iid = "i-somebody-else"
            await w.until(edge.state_board, "nothing", lambda: holder(w) is not None)
            assert edge.config_watcher.versions == stamps
            for _ in range(3):
                status, body, _ = await w.ask("GET", "/api/lots/lot1?StartAfter=0")
                assert status == 503 or (status == 200 and orjson.loads(body)["ResultList"] == rows)
            status, _, _ = await w.ask("POST", "/s/x", b"b", rid="st", heads={"X-Archhatch-Model": "m"})
            assert status == 200 and "st" not in [r[0] for r in w.replicas[0].runs]
            proxies, edge.request_forwarder.proxies = edge.request_forwarder.proxies, None
            assert (await w.ask("POST", "/q/x", b"b"))[0] in (502, 503)  # nobody it knows is there
            edge.request_forwarder.proxies = proxies
            # the store that it may ask knows who is there
            assert (await w.ask("POST", "/q/x", b"b"))[:2] == (200, b"answer to b") and len(new.seen) == 1
            edge.config_watcher.apply_answer = fold
            await w.until(edge.state_board, "roll", lambda: new.iid in edge.load_balancer.replicas)
            assert (await w.ask("POST", "/q/x", b"b"))[:2] == (200, b"answer to b")
            assert await w.read_all("lot1") == rows
        finally:
            await w.end()

    run(go())


def test_the_time_of_day_is_read_in_one_place_and_used_in_one():
    """Clocks of machines jump: nothing may hang on one of them. Only `Clock.wall_time` reads it, and only the control
    nodes' pings use that, whose median is the agreed time."""
    import os
    import re

    from tests.support.fakes import ROOT

    bad = re.compile(r"time\.time\(|datetime|utcnow|time_ns\(|localtime|gmtime")
    reads, uses, seen = [], [], 0
    for folder, _, names in os.walk(os.path.join(ROOT, "archhatch")):
        for name in names:
            if name.endswith(".py"):
                seen += 1
                path = os.path.join(folder, name)
                with open(path) as f:
                    text = f.read()
                reads += [os.path.relpath(path, ROOT)] * len(bad.findall(text))
                uses += [os.path.relpath(path, ROOT)] * len(re.findall(r"\.wall_time\(\)", text))
    assert seen > 40
    assert reads == ["archhatch/runtime/clock.py"]
    assert set(uses) == {"archhatch/runtime/clock.py", "archhatch/control/peers.py"}
