"""Who recalls the items of a planned move: the leader of the run, unless another is to lead it."""

from types import SimpleNamespace

import pytest

from archhatch.runtime.counters import Counters
from archhatch.share_group.job_queue import JobQueue
from archhatch.share_group.led_partitions import LedPartitions, WorkerState
from archhatch.share_group.messages import Cancellation, CancelReason
from archhatch.share_group.recalls import Recalls
from archhatch.share_group.window import SharePartition

RECALLED = [Cancellation("m", 0, 1, CancelReason.RECALL)]


def recalls(elsewhere):
    """The recalls of a leader of one run, with an item at a replica that it should leave, and a free slot elsewhere."""
    batch_job = SimpleNamespace(job_id="lot1", host="h.example", path="/roll/x", model="m")
    leadership = SimpleNamespace(run="llm", batch_jobs={"lot1": batch_job})
    run = LedPartitions(leadership, 0.0, lock_s=30.0, max_locks=200)
    window = run.windows["m"] = SharePartition("m", 1, lock_s=30.0, max_locks=200)
    run.queues["lot1"] = JobQueue(0)
    run.workers["w1"] = WorkerState("w1", "incarnation")
    entry = window.append(batch_job, SimpleNamespace(item_id="0-0", group="0", at=0), 0)
    window.acquire(entry, "w1", 0.0)
    entry.engine = SimpleNamespace(instance_id="i-1", zone="z1")
    host = SimpleNamespace(
        counters=Counters(),
        plan=SimpleNamespace(find_route=lambda host, path: "route"),
        engines=SimpleNamespace(all={}),
        placement=SimpleNamespace(
            moves=SimpleNamespace(all=[SimpleNamespace(is_settling=True)]), is_leaving=lambda route, zone: zone == "z1"
        ),
        evacuation=SimpleNamespace(leads_elsewhere=lambda name: name in elsewhere),
    )
    slots = SimpleNamespace(free_slots_on=lambda run, routes: len(routes))
    return Recalls(host, {"llm": run}, slots), run, entry


@pytest.mark.parametrize("elsewhere, cancelled", [(set(), RECALLED), ({"quote"}, RECALLED), ({"llm"}, [])], ids=str)
def test_a_leader_that_is_to_hand_its_run_on_recalls_nothing(elsewhere, cancelled):
    it, run, entry = recalls(elsewhere)
    for _ in range(2):
        it.recall_for_moves()
    assert run.workers["w1"].cancellations == cancelled and entry.is_recalled is bool(cancelled)


def test_what_one_leader_left_running_the_next_one_recalls():
    elsewhere = {"llm"}
    it, run, _ = recalls(elsewhere)
    it.recall_for_moves()
    assert not run.workers["w1"].cancellations
    elsewhere.clear()
    it.recall_for_moves()
    assert run.workers["w1"].cancellations == RECALLED
