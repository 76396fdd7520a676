"""A lot whose last result is on its way to the stores: the works that list it must not be broken off."""
import asyncio
from types import SimpleNamespace

import pytest

from lines.dialplan import Plan
from lines.supervisor import Dispatch
from lines.supervisor.work import Work

PLAN = Plan({"Revision": 1, "ServiceTable": [{"Name": "s"}], "RouteTable": [
    {"Name": "l", "HostName": "h", "PathPrefix": "/", "RouteClass": "rollout", "Service": "s"}]})


@pytest.mark.parametrize("done, ended, kept", [
    ({"a", "b"}, False, {"a", "b"}),      # all have their positions: their copies are still on the way
    ({"a"}, False, {"a", "b"}),           # the lot goes on
    ({"a"}, True, {"a"}),                 # it was ended: what has no position is broken off
    (set(), True, set())])
def test_works_that_have_a_position_are_never_broken_off(run, done, ended, kept):
    async def go():
        items = {i: SimpleNamespace(iid=i, group="g", at=n) for n, i in enumerate("ab")}
        lot = SimpleNamespace(lid="lot", host="h", path="/x", taken=0.0, items=items, done=set(), total=2, want=0,
                              ended=False)
        reign = SimpleNamespace(state="holding", lots={"lot": lot})
        d = Dispatch(SimpleNamespace(plan=PLAN, reigns={"s": reign}))
        d._sync()
        for w in d.works["lot"].values():
            w.state, w.task = "scoring", asyncio.ensure_future(asyncio.Event().wait())
        tasks = {i: w.task for i, w in d.works["lot"].items()}
        assert all(isinstance(w, Work) for w in d.works["lot"].values())
        lot.done, lot.ended = done, ended
        d._sync()
        await asyncio.wait(tasks.values(), timeout=0)
        assert {i for i, t in tasks.items() if not t.cancelling()} == kept
        for t in tasks.values():
            t.cancel()
    run(go())
