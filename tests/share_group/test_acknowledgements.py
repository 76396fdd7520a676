"""A lot whose last results are on their way to the stores: whatever the leader looks at meanwhile, they are listed."""

import asyncio
from types import SimpleNamespace

import orjson
import pytest

from archhatch.share_group import PartitionLeader, EntryState
from archhatch.share_group.led_partitions import WorkerState
from archhatch.routing import RoutingTable
from archhatch.runtime import StateBoard, Counters
from archhatch.rollout_controller import Engines

PLAN = RoutingTable.from_document(
    {
        "Revision": 1,
        "ServiceTable": [{"Name": "s"}],
        "RouteTable": [{"Name": "l", "HostName": "h", "PathPrefix": "/", "RouteClass": "rollout", "Service": "s"}],
    }
)


class FakeReign:
    """Lists a result once its gate opens, as a reign does whose copies take their time."""

    def __init__(self, batch_job):
        self.run, self.term, self.state, self.batch_jobs, self.window_records = (
            "s",
            3,
            "holding",
            {"lot": batch_job},
            [],
        )
        self.gate, self.asked = asyncio.Event(), []

    async def append_result(self, batch_job, iid, doc):
        if iid in batch_job.positioned_items or batch_job.is_ended:
            return
        batch_job.positioned_items.add(iid)
        self.asked.append(iid)
        await self.gate.wait()
        batch_job.listed_count += 1


def setup(clock):
    items = {i: SimpleNamespace(item_id=i, group="g", at=n) for n, i in enumerate("ab")}
    batch_job = SimpleNamespace(
        job_id="lot",
        host="h",
        path="/x",
        accepted_at=0.0,
        items=items,
        positioned_items=set(),
        total=2,
        desired_count=0,
        base_offset=0,
        model="m",
        is_ended=False,
        listed_count=0,
    )
    leadership = FakeReign(batch_job)
    store = SimpleNamespace(
        plan=PLAN,
        leaderships={"s": leadership},
        clock=clock,
        quiet_s=1.0,
        heartbeat_interval_s=0.1,
        state_board=StateBoard(),
        id="me",
        counters=Counters(),
        leaving=False,
        alive=lambda sid: True,
        engines=Engines(),
        members=dict,
    )
    lead = PartitionLeader(store)
    lead.sync()
    shard = lead.runs["s"]
    shard.workers["w"] = WorkerState("w", "life", last_poll_at=clock.now())
    win = shard.windows["m"]
    for e in list(win.entries.values()):
        win.acquire(e, "w", clock.now())
    return lead, leadership, batch_job, win


def row(offset):
    return {"part": "m", "off": offset, "dc": 1, "kind": "accept", "engine": "", "signs": [], "doc": {}}


@pytest.mark.parametrize("meanwhile", ["nothing", "sync", "ended", "lock", "worker"])
@pytest.mark.parametrize("settled", ["a", "ab"])
def test_settlements_under_way_are_listed_whatever_happens(run, clock, meanwhile, settled):
    async def go():
        lead, leadership, batch_job, win = setup(clock)
        call = asyncio.ensure_future(
            lead.commit({"worker": "w", "run": "s", "epoch": 3}, orjson.dumps([row("ab".index(i)) for i in settled]))
        )
        while len(leadership.asked) < len(settled):
            await asyncio.sleep(0)
        if meanwhile == "ended":
            batch_job.is_ended = True
        elif meanwhile == "lock":
            for e in win.locked.values():
                e.locked_until = 0.0
        elif meanwhile == "worker":
            lead.host.alive = lambda sid: False
        if meanwhile != "nothing":
            lead.sync()
        leadership.gate.set()
        assert (await call)["done"] == [True] * len(settled)
        assert batch_job.listed_count == len(settled) and batch_job.positioned_items == set(settled)
        # nothing of what is settled is presented again; what is not settled is, unless its lot ended
        states = {o: e.state for o, e in win.entries.items()}
        rest = [] if settled == "ab" or meanwhile == "ended" else [1]
        assert list(states) == rest
        if rest:
            assert states[1] is (EntryState.AVAILABLE if meanwhile in ("lock", "worker") else EntryState.ACQUIRED)

    run(go())
