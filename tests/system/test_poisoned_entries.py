"""Duties over many entries: one that fails, whatever the cause, is passed over, and the others are served."""

import asyncio
from types import SimpleNamespace

import pytest
from tests.rollout_controller.test_scoring import setup as scoring_setup
from tests.rollout_controller.test_scoring import work
from tests.rollout_controller.test_weight_orders import FakeReplica
from tests.rollout_controller.test_weight_orders import setup as weights_setup
from tests.support.fakes import HandClock
from tests.support.lease_rig import Leases

from archhatch.autoscaler.controller import CapacityController
from archhatch.evacuation.controller import EvacuationController
from archhatch.runtime import Counters, EntryGuard, open_logs
from archhatch.share_group.acknowledgement_sender import AcknowledgementSender
from archhatch.usage.reporter import UsageReporter


def guard(duty):
    counters = Counters()
    return EntryGuard(duty, open_logs("t", "CRITICAL"), counters, HandClock()), counters


def test_weight_orders_serve_the_other_models(clock):
    store, _, orders = weights_setup(clock, FakeReplica(), models=("a", "b", "c"))
    store.named = lambda: {"a": 2, "b": None, "c": 2}
    loaded = []
    while (load := orders._next_load()) is not None:
        loaded.append(load.model)
        load.engine.record_revision(load.model, load.revision)
    assert sorted(loaded) == ["a", "c"] and store.counters.counts["skipped.weight_orders.s/b"] >= 1


def test_the_autoscaler_checks_the_other_services():
    controller, checked = CapacityController.__new__(CapacityController), []
    controller._guard, counters = guard("autoscaler")
    services = dict.fromkeys("abc", SimpleNamespace(autoscale=SimpleNamespace(min_count=1, max_count=2, boot_s=0.0)))
    services["b"] = None
    controller._node = SimpleNamespace(
        plan=SimpleNamespace(services=services), ledger=SimpleNamespace(roles=lambda _namespace: {})
    )
    controller._check_service = lambda name, *_args: checked.append(name)
    controller.check_services()
    assert checked == ["a", "c"] and counters.counts["skipped.autoscaler.b"] == 1


def test_the_lease_watch_takes_up_the_other_runs(run, clock):
    async def go():
        site = Leases(clock)
        for node in site.at.values():
            node.plan = SimpleNamespace(service_by_model=lambda: {"x": "a", "m": "s", "y": "z"})
            leases = node.leases
            node.leases = lambda leases=leases: {"a": {"holder": 5}, **leases()}
        holder, _ = await site.until_held()
        assert holder.counters.counts["skipped.lease_watch.a"] >= 1

    run(go())


def test_usage_goes_on_with_the_other_windows():
    reporter = UsageReporter.__new__(UsageReporter)
    reporter._guard, counters = guard("usage")
    running = {"state": "RUNNING"}
    roles = {"accounting/window:7": running, "accounting/window:8": 5, "accounting/window:9": running}
    assert reporter._begun_windows(roles) == ["accounting/window:7", "accounting/window:9"]
    assert counters.counts["skipped.usage.accounting/window:8"] == 1


def test_evacuations_drive_the_other_records(run):
    async def go():
        controller, driven = EvacuationController.__new__(EvacuationController), []
        controller._guard, counters = guard("evacuation")
        controller._node, controller._since = SimpleNamespace(clock=HandClock()), {}
        record = {"state": "moving", "placed": "origin"}
        records = {"e1": record, "e2": {"state": "moving"}, "e3": record}
        controller.readiness = SimpleNamespace(open_records=lambda: records)

        async def done(*_args):
            return True

        async def drive(situation):
            driven.append(situation.name)

        controller._acquire_lease, controller._record_age, controller._drive = done, done, drive
        controller._age_s = lambda *_args: 0.0
        await controller.drive_all()
        assert driven == ["e1", "e3"] and counters.counts["skipped.evacuation.e2"] == 1

    run(go())


def test_scoring_gives_slots_to_the_other_calls(run, clock):
    async def go():
        store, scoring = scoring_setup(clock)
        store.upstream_client.gate.set()
        poisoned = SimpleNamespace(item=SimpleNamespace(scorer={"InstanceId": "b"}), score_fails=0)
        calls = [scoring.score(work("a"), (0,)), scoring.score(poisoned, (1,)), scoring.score(work("c"), (2,))]
        loop = asyncio.ensure_future(scoring.run())
        results = await asyncio.gather(*calls, return_exceptions=True)
        loop.cancel()
        assert results[::2] == ["seal.a", "seal.c"] and isinstance(results[1], KeyError)

    run(go())


@pytest.mark.parametrize("poison", ["\udc80", {"n": 2**70}])
def test_a_worker_sends_the_other_acknowledgements(poison):
    counters, dropped = Counters(), []
    host = SimpleNamespace(counters=counters, log=open_logs("t", "CRITICAL"))
    sender = AcknowledgementSender(host, client=None)
    session = SimpleNamespace(drop=dropped.append)

    def waiting(name, value):
        entry = SimpleNamespace(record=SimpleNamespace(item_id=name))
        return entry, SimpleNamespace(to_document=lambda: {"doc": value})

    rows = [waiting("a", 1), waiting("b", poison), waiting("c", 3)]
    sent, encoded = sender._encode(session, rows)
    assert sent == [rows[0], rows[2]] and encoded == [b'{"doc":1}', b'{"doc":3}'] and dropped == [rows[1][0]]
    assert counters.counts["share.acknowledgement_unencodable"] == 1


def test_a_failing_entry_is_logged_once_in_a_while():
    lines, clock = [], HandClock()
    log = SimpleNamespace(opt=lambda **_: SimpleNamespace(error=lambda *args: lines.append(args)))
    failing, counters = EntryGuard("d", log, counters := Counters(), clock), counters
    for seconds in (0.0, 1.0, 40.0):
        clock.at += seconds
        with failing.entry("x"):
            raise ValueError("odd")
    assert len(lines) == 2 and counters.counts["skipped.d.x"] == 3
