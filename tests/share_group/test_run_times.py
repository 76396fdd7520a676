"""More replicas load a version only where the items that wait would not be done well before they are due."""

from types import SimpleNamespace

import pytest
from tests.support.fakes import HandClock

from archhatch.share_group import PartitionLeader
from archhatch.share_group.run_times import RunTimes
from archhatch.share_group.led_partitions import LedPartitions
from archhatch.routing import RoutingTable
from archhatch.runtime import StateBoard
from archhatch.rollout_controller import Engines

ROW = {
    "Name": "l",
    "HostName": "h",
    "PathPrefix": "/l/",
    "RouteClass": "rollout",
    "Service": "s",
    "ResultDueMs": 10000,
}
CASES = [  # seconds an item takes, waiting, engines that hold the version and are full, lot's age, short
    (None, 4, 2, 0.0, True),  # nothing is known yet: as many as there are
    (0.5, 4, 2, 0.0, False),  # two rounds of half a second, due in ten
    (0.5, 40, 2, 0.0, True),  # eleven rounds
    (0.5, 4, 2, 8.5, True),  # due in a second and a half
    (0.5, 4, 2, 20.0, True),  # late already
    (0.5, 4, 0, 0.0, True),  # nobody holds it
    (0.5, 0, 2, 0.0, False),  # nothing waits that the trainer waits for
]


def leader(took, waiting, full, age):
    clock, engines = HandClock(), Engines()
    engines.apply_entries(
        [
            {
                "id": f"e{n}",
                "addr": f"a{n}:1",
                "service": "s",
                "zone": "z",
                "slots": 2,
                "state": "up",
                "models": {"m": 2},
            }
            for n in range(full)
        ]
    )
    for engine in engines.of_service("s"):
        engine.running_items["m"] = 2
    plan = RoutingTable.from_document({"Revision": 1, "RouteTable": [ROW], "ServiceTable": [{"Name": "s"}]})
    store = SimpleNamespace(clock=clock, engines=engines, plan=plan, state_board=StateBoard(), quiet_s=1.0)
    batch_job = SimpleNamespace(
        model="m", is_ended=False, min_revision=2, accepted_at=clock.now() - age, host="h", path="/l/x"
    )
    leadership = SimpleNamespace(run="s", batch_jobs={"lot": batch_job})
    it = PartitionLeader(store)
    run = it.runs["s"] = LedPartitions(leadership, clock.now(), 30.0, 200)
    run.queues["lot"] = SimpleNamespace(promote_delayed=lambda now: None, wanted_count=waiting, surplus_count=0)
    if took is not None:
        run.times.note("m", took)
    return it, leadership


@pytest.mark.parametrize("took, waiting, full, age, short", CASES)
def test_when_more_replicas_are_wanted(took, waiting, full, age, short):
    it, leadership = leader(took, waiting, full, age)
    assert it.lacks_replicas(leadership, "m") is short
    if full:
        it.host.engines.all["e0"].running_items["m"] = 1  # a place is free
        assert it.lacks_replicas(leadership, "m") is False


def test_times_follow_what_is_seen():
    times = RunTimes()
    for _ in range(100):
        times.note("m", 2.0)
    assert times.forecast("m", 1, 1) == pytest.approx(4.0) and times.forecast("m", 1, 0) is None
    assert times.forecast("other", 1, 1) is None
