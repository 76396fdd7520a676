"""Where the items of an accepted batch job go once the configuration has changed its route or its model's service."""

from types import SimpleNamespace

import orjson
import pytest
from tests.support.fakes import HandClock

from archhatch.jobs.batch_job import read_job
from archhatch.region_policy import Placement
from archhatch.rollout_controller.engines import Engines
from archhatch.routing import RoutingTable
from archhatch.runtime import Counters, StateBoard
from archhatch.share_group.acquisition import EntryAcquisition
from archhatch.share_group.led_partitions import WorkerState
from archhatch.share_group.leader import PartitionLeader

ITEMS = 12
SLOTS = 4


def configuration(route, models):
    """A version whose route, if there is one, leads to services, and in which services have models."""
    rows = []
    if route:
        split = [{"Service": service, "Weight": 1} for service in route]
        kind = {"Name": "r", "HostName": "h", "PathPrefix": "/l/", "RouteClass": "rollout", "ResultDueMs": 30000}
        rows = [{**kind, "TimeoutMs": 9000, "TargetLatencyMs": 400, "Service": route[0], "TrafficSplit": split}]
    services = [
        {"Name": name, "Engine": {"SlotCount": SLOTS, "ModelList": [{"Name": m} for m in models.get(name, ())]}}
        for name in ("old", "new", "other")
    ]
    return RoutingTable.from_document({"Revision": 1, "RouteTable": rows, "ServiceTable": services})


def leader(plan):
    """A leader of the run "old" with one accepted batch job, and an engine of each service; "other" lacks the model."""
    body = {"Model": "m", "TrainStep": 0, "Entries": [{"InstanceId": f"i{n}", "Path": "/l/1"} for n in range(ITEMS)]}
    clock, engines = HandClock(), Engines()
    head = {"lot": "lot1", "run": "old", "host": "h", "path": "/l/step"}
    leadership = SimpleNamespace(
        run="old",
        term=3,
        state="holding",
        batch_jobs={"lot1": read_job(head, orjson.dumps(body), clock.now())},
        window_records=[],
        is_confirmed=lambda: True,
    )
    common = {"zone": "z", "slots": SLOTS, "state": "up"}
    for service, models in (("old", {"m": 1}), ("new", {"m": 1}), ("other", {"x": 1})):
        engines.apply_entries([{**common, "id": service, "addr": f"{service}:1", "service": service, "models": models}])
    host = SimpleNamespace(
        id="s1",
        clock=clock,
        engines=engines,
        plan=plan,
        leaderships={"old": leadership},
        counters=Counters(),
        state_board=StateBoard(),
        quiet_s=1.0,
        heartbeat_interval_s=1.0,
        placement=Placement(),
        members=dict,
        alive=lambda node_id: True,
    )
    it = PartitionLeader(host)
    it.sync()
    it.runs["old"].workers["w1"] = WorkerState("w1", "l", "z", last_poll_at=clock.now())
    return it, host


def acquired_by_service(it, host):
    acquisition = EntryAcquisition(host, it.led_runs, it.slots)
    run = it.runs["old"]
    services = [item.document["service"] for item in acquisition.acquire_batch(run, run.workers["w1"], 100.0)]
    return {service: services.count(service) for service in sorted(set(services))}


FIRST = configuration(["old"], {"old": ["m"]})
VERSIONS = [
    ("unchanged", FIRST, {"old": 4}),
    ("route and model moved", configuration(["new"], {"new": ["m"]}), {"new": 4}),
    ("route moved, model listed nowhere", configuration(["new"], {}), {"new": 4}),
    ("route split", configuration(["old", "new"], {"old": ["m"]}), {"new": 4, "old": 4}),
    ("model moved, route stays", configuration(["old"], {"new": ["m"]}), {"old": 4}),
    ("route moved to where the model is not", configuration(["other"], {"other": ["x"]}), {}),
    ("route dropped", configuration([], {"old": ["m"]}), {}),
]


# Items of accepted batch jobs were at no replica for good once their route and model had moved (review/4).
@pytest.mark.parametrize("plan, services", [row[1:] for row in VERSIONS], ids=[row[0] for row in VERSIONS])
def test_items_go_where_the_configuration_in_force_leads(plan, services):
    it, host = leader(FIRST)
    host.plan = plan
    it.sync()
    assert acquired_by_service(it, host) == services


def test_a_route_that_moves_away_and_back_or_is_dropped_and_added_again_finds_its_items():
    it, host = leader(FIRST)
    for row in (VERSIONS[1], VERSIONS[6], VERSIONS[0]):
        host.plan = row[1]
        it.sync()
        assert acquired_by_service(it, host) == row[2]
    assert host.engines.all["old"].running_count() == SLOTS == host.engines.all["new"].running_count()


@pytest.mark.parametrize("plan, service", [(FIRST, "old"), (VERSIONS[1][1], "new"), (VERSIONS[3][1], "old")])
def test_slots_are_asked_for_and_weights_are_ordered_where_the_items_go(plan, service):
    it, host = leader(FIRST)
    host.plan = plan
    it.sync()
    it.runs["old"].times.note("m", 0.5)
    assert {name for name, slots in it.demand().items() if slots} == {service}
    for engine in host.engines.all.values():
        engine.running_items["m"] = SLOTS  # the replicas that hold the version are full
    it.runs["old"].times.note("m", 500.0)
    assert it.lacks_replicas(SimpleNamespace(run=service), "m")
