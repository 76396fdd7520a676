"""What a store makes of the others' reports: whether a new job may be taken."""

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
