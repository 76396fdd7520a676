"""Who recalls the items of a planned move: the leader of the run, unless another is to lead it."""

from types import SimpleNamespace

import pytest

from archhatch.share_group.led_partitions import RECALL
from archhatch.share_group.job_queue import JobQueue
from archhatch.share_group.recalls import Recalls
from archhatch.share_group.window import SharePartition
from archhatch.runtime.counters import Counters


def leader(elsewhere):
    """A leader of one run, with an item of one lot at a replica that it should leave, and a free place elsewhere."""
    batch_job = SimpleNamespace(job_id="lot1", host="h.example", path="/roll/x")
    window = SharePartition("m", 1, lock_s=30.0, max_locks=200)
    entry = window.append(batch_job, SimpleNamespace(item_id="0-0", group="0"), 0)
    window.acquire(entry, "w1", 0.0)
    entry.engine = SimpleNamespace(instance_id="i-1", zone="z1")
    run = SimpleNamespace(
        leadership=SimpleNamespace(run="llm", batch_jobs={"lot1": batch_job}),
        queues={"lot1": JobQueue(0)},
        windows={"m": window},
    )
    store = SimpleNamespace(
        counters=Counters(),
        plan=SimpleNamespace(route=lambda host, path: "lane"),
        engines=SimpleNamespace(all={}),
        placement=SimpleNamespace(
            moves=SimpleNamespace(all=[SimpleNamespace(settling=True)]), leaves=lambda route, zone: zone == "z1"
        ),
        evacuation=SimpleNamespace(leads_elsewhere=lambda name: name in elsewhere),
    )
    broken = []
    return SimpleNamespace(
        store=store,
        slots=SimpleNamespace(free_slots_on=lambda run, routes: len(routes)),
        runs={"llm": run},
        break_off=lambda run, entry, why: broken.append((entry.offset, why)),
        broken=broken,
        entry=entry,
    )


@pytest.mark.parametrize(
    "elsewhere, broken", [(set(), [(0, RECALL)]), ({"quote"}, [(0, RECALL)]), ({"llm"}, [])], ids=str
)
def test_a_leader_that_is_to_hand_its_run_on_recalls_nothing(elsewhere, broken):
    one = leader(elsewhere)
    for _ in range(2):
        Recalls(one).recall_for_moves()
    assert one.broken == broken and one.entry.recalled is bool(broken)


def test_what_one_leader_left_running_the_next_one_recalls():
    elsewhere = {"llm"}
    one = leader(elsewhere)
    Recalls(one).recall_for_moves()
    assert not one.broken
    elsewhere.clear()
    Recalls(one).recall_for_moves()
    assert one.broken == [(0, RECALL)]
