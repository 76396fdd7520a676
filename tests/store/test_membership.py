"""What a store makes of the others' reports: whether a new job may be taken."""

from types import SimpleNamespace

import pytest
from tests.support.lease_rig import Leases


@pytest.mark.parametrize(
    "f, n, roomless, admitted", [(1, 3, 0, True), (1, 3, 1, True), (1, 3, 2, False), (2, 5, 2, True), (2, 5, 3, False)]
)
def test_a_lot_is_refused_only_if_too_few_have_the_room(run, clock, f, n, roomless, admitted):
    async def go():
        site = Leases(clock, f, n)
        lead, _ = await site.until_held()
        # the holder itself is the first without room: the others make up for its copy
        for node in [lead, *(x for x in site.at.values() if x is not lead)][:roomless]:
            node.record_store.has_room = lambda more: False
        await site.look()
        assert lead.membership.can_admit("new", 100) is admitted
        if admitted:
            assert await site.serves(lead)

    run(go())


def test_a_job_is_refused_if_the_open_ones_would_not_leave_it_memory(run, clock):
    """Guards against a leader, and then its successor, killed for its memory: admission looked at disks alone."""

    async def go():
        site = Leases(clock)
        lead, _ = await site.until_held()
        assert await site.serves(lead)
        assert lead.leaderships["s"].open_job_bytes() > 0
        mb = lead.settings.memory_mb
        assert lead.membership.can_admit("new", mb * 100_000) and not lead.membership.can_admit("new", mb * 120_000)
        lead.leaderships["s"].open_job_bytes = lambda: mb * 250_000
        assert not lead.membership.can_admit("new", 100)
        assert lead.counters.counts["job.no_memory"] == 2

    run(go())


@pytest.mark.parametrize(
    "key, value", [("promised", {"s": "4"}), ("lag", "slow"), ("card", None), ("demand", {"s": None})]
)
def test_a_malformed_answer_to_a_ping_counts_as_none_from_that_store_alone(run, clock, key, value):
    """Guards against a leader that could not tell whether it led, as one store's terms were no numbers."""

    async def go():
        site = Leases(clock)
        lead, _ = await site.until_held()
        other = next(node for node in site.at.values() if node is not lead)
        last, document = lead.membership.statuses[other.id], other.membership.status().to_document()
        other.membership.status = lambda: SimpleNamespace(to_document=lambda: {**document, key: value})
        await site.look()
        assert lead.counters.counts["ping.malformed"] > 0
        assert lead.membership.statuses[other.id] == last
        assert await site.serves(lead) and lead.leaderships["s"].is_confirmed()
        assert lead.membership.fit_to_lead() and not lead.membership.is_slow()

    run(go())
