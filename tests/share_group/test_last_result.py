"""A lot whose last results are on their way to the stores: whatever the leader looks at meanwhile, they are listed."""

import asyncio
from types import SimpleNamespace

import orjson
import pytest

from archhatch.share_group import PartitionLeader, EntryState
from archhatch.share_group.leader import WorkerState
from archhatch.routing import RoutingTable
from archhatch.runtime import StateBoard, Counters
from archhatch.rollout_controller import Engines

PLAN = RoutingTable(
    {
        "Revision": 1,
        "ServiceTable": [{"Name": "s"}],
        "RouteTable": [{"Name": "l", "HostName": "h", "PathPrefix": "/", "RouteClass": "rollout", "Service": "s"}],
    }
)


class FakeReign:
    """Lists a result once its gate opens, as a reign does whose copies take their time."""

    def __init__(self, lot):
        self.run, self.term, self.state, self.lots, self.window_recs = "s", 3, "holding", {"lot": lot}, []
        self.gate, self.asked = asyncio.Event(), []

    async def list_result(self, lot, iid, doc):
        if iid in lot.done or lot.ended:
            return
        lot.done.add(iid)
        self.asked.append(iid)
        await self.gate.wait()
        lot.listed += 1


def setup(clock):
    items = {i: SimpleNamespace(iid=i, group="g", at=n) for n, i in enumerate("ab")}
    lot = SimpleNamespace(
        lid="lot",
        host="h",
        path="/x",
        taken=0.0,
        items=items,
        done=set(),
        total=2,
        want=0,
        base=0,
        model="m",
        ended=False,
        listed=0,
    )
    reign = FakeReign(lot)
    st = SimpleNamespace(
        plan=PLAN,
        reigns={"s": reign},
        clock=clock,
        quiet_s=1.0,
        beat_s=0.1,
        board=StateBoard(),
        id="me",
        ctr=Counters(),
        leaving=False,
        alive=lambda sid: True,
        engines=Engines(),
        members=dict,
    )
    lead = PartitionLeader(st)
    lead.sync()
    part = lead.runs["s"]
    part.seats["w"] = WorkerState("w", "life", heard=clock.now())
    win = part.windows["m"]
    for e in list(win.entries.values()):
        win.acquire(e, "w", clock.now())
    return lead, reign, lot, win


def row(offset):
    return {"part": "m", "off": offset, "dc": 1, "kind": "accept", "engine": "", "signs": [], "doc": {}}


@pytest.mark.parametrize("meanwhile", ["nothing", "sync", "ended", "lock", "worker"])
@pytest.mark.parametrize("settled", ["a", "ab"])
def test_settlements_under_way_are_listed_whatever_happens(run, clock, meanwhile, settled):
    async def go():
        lead, reign, lot, win = setup(clock)
        call = asyncio.ensure_future(
            lead.commit({"worker": "w", "run": "s", "epoch": 3}, orjson.dumps([row("ab".index(i)) for i in settled]))
        )
        while len(reign.asked) < len(settled):
            await asyncio.sleep(0)
        if meanwhile == "ended":
            lot.ended = True
        elif meanwhile == "lock":
            for e in win.locked.values():
                e.until = 0.0
        elif meanwhile == "worker":
            lead.st.alive = lambda sid: False
        if meanwhile != "nothing":
            lead.sync()
        reign.gate.set()
        assert (await call)["done"] == [True] * len(settled)
        assert lot.listed == len(settled) and lot.done == set(settled)
        # nothing of what is settled is presented again; what is not settled is, unless its lot ended
        states = {o: e.state for o, e in win.entries.items()}
        rest = [] if settled == "ab" or meanwhile == "ended" else [1]
        assert list(states) == rest
        if rest:
            assert states[1] is (EntryState.AVAILABLE if meanwhile in ("lock", "worker") else EntryState.ACQUIRED)

    run(go())
