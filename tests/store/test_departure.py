"""A store that ends waits until nobody needs its copies."""

import pytest
from tests.jobs.test_quorum import Site
from tests.support.lease_rig import Leases

from archhatch.store.departure import Departure


def test_a_departing_store_waits_until_its_copies_are_made_up_for(run, clock):
    async def go():
        site = Leases(clock, 1, 4)
        lead, _ = await site.until_held()
        assert await site.serves(lead, "l")
        leaver = next(site.at[p] for p in Site.holders(site, "l") if p != lead.place)
        leaver.leaving = True
        departure = Departure(leaver)
        await site.look()
        assert departure.runs_in_need() == {"s"}
        await lead.leaderships["s"].repair()
        await site.look()
        rest = [p for p in Site.holders(site, "l") if p != leaver.place]
        assert departure.runs_in_need() == set() and len(rest) == 2

    run(go())


DEPARTURES = [  # why, what the registers say of the store that ends, whether others stay; the runs that need it
    ("a member with copies", {}, True, {"s"}),
    ("it was dropped", None, True, set()),
    ("the current holder has cleared it", {"state": "leaving", "clear": {"s": 9}}, True, set()),
    ("a dead term cleared it", {"state": "leaving", "clear": {"s": 0}}, True, {"s"}),
    ("all end at once", {}, False, {"s"}),
]


@pytest.mark.parametrize("why, entry, others, needed", DEPARTURES, ids=[d[0] for d in DEPARTURES])
def test_who_needs_a_store_that_ends(run, clock, why, entry, others, needed):
    async def go():
        site = Leases(clock, 1, 4)
        lead, _ = await site.until_held()
        assert await site.serves(lead, "l")
        leaver = next(site.at[p] for p in Site.holders(site, "l") if p != lead.place)
        leaver.leaving = True
        if entry is None:
            del site.value["stores"][leaver.id]
        else:
            site.value["stores"][leaver.id].update(entry)
        if not others:
            site.dark = set(site.at) - {leaver.place}
        departure = Departure(leaver)
        assert departure.runs_in_need() == needed and departure.has_staying_peer() is others

    run(go())


def test_a_leaving_store_with_the_only_copy_stays_until_the_current_holder_has_another(run, clock):
    async def go():
        site = Leases(clock, 0, 3)  # nothing may be lost: one copy
        first, _ = await site.until_held()
        assert await site.serves(first, "l") and Site.holders(site, "l") == [first.place]
        dead = first.leaderships["s"].term
        site.value["stores"][first.id].update(state="leaving", retire=True)
        new, _ = await site.until_held(but=first)
        out = await first.run_command("plan", "store.clear", {"id": first.id, "run": "s", "term": dead})
        assert out[0] == 2018 and first.id in site.value["stores"]
        await new.leaderships["s"].repair()
        assert first.id not in site.value["stores"] and new.place in Site.holders(site, "l")
        assert site.value["retired"] == {first.place: "complete"}

    run(go())
