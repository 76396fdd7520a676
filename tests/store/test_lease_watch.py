"""Leases are kept alive by leading: who holds a run while holders fail, freeze, lose their disks or claim at once."""

import asyncio

import orjson
import pytest
from tests.jobs.test_batch_job import LOT
from tests.jobs.test_quorum import Site
from tests.support.lease_rig import Leases


def end_of_its_own(site, node):
    node.leaderships["s"].step_down()


def no_renewal(site, node):
    """Its watch stands still, and its term ended."""
    node.lease_watch.check_leases = lambda: None
    node.leaderships["s"].step_down()


def reading_without_end(site, node):
    leadership = node.leaderships["s"]
    leadership.state = "reading"
    node.lease_watch.check_leases = lambda: None


def full_disk(site, node):
    node.record_store.wal.full = True
    node.disk._note_failure("disk.failed")


def freeze(site, node):
    site.dark.add(node.place)


TROUBLES = [  # what befalls the holder; whether another leads after it; within how long (ContactMs is 3 s)
    ("its term ends of its own", end_of_its_own, False, 0.2),
    ("it does not renew", no_renewal, True, 1.2),
    ("its reading never ends", reading_without_end, True, 3.3),
    ("its disk is full", full_disk, True, 0.2),
    ("it is frozen", freeze, True, 0.2),
]


@pytest.mark.parametrize("why, trouble, moves, within_s", TROUBLES, ids=[t[0] for t in TROUBLES])
def test_a_run_is_led_again_soon(run, clock, why, trouble, moves, within_s):
    async def go():
        site = Leases(clock)
        old, _ = await site.until_held()
        term = site.lease()["term"]
        await site.look(2.0)
        assert site.lease()["term"] == term and site.holder() is old  # while it leads nobody else claims
        assert await site.serves(old, "before")
        trouble(site, old)
        new, took = await site.until_held(but=old if moves else None, within_s=within_s)
        assert (new is not old) is moves and site.lease()["term"] == term + 1, took
        assert "before" in new.leaderships["s"].batch_jobs and await site.serves(new)
        after = site.lease()["term"]
        site.dark.clear()  # thawed, if it was frozen
        await site.look(2.0)
        assert site.holders() == [new] and site.lease()["term"] == after

    run(go())


FULL = [  # f, stores, which are full: the holder or so many followers; whether leadership moves
    (1, 3, "holder", 0, True),
    (1, 3, "followers", 1, False),
    (2, 5, "followers", 2, False),
    (2, 5, "holder", 1, True),
    (1, 4, "holder", 1, False),
]  # the last: all but f + 1, and nobody could gather: the holder serves on


@pytest.mark.parametrize("f, n, who, more, moves", FULL)
def test_full_disks_are_left_out_and_taken_in_again(run, clock, f, n, who, more, moves):
    async def go():
        site = Leases(clock, f, n)
        old, _ = await site.until_held()
        full = ([old] if who == "holder" else []) + [x for x in site.at.values() if x is not old][:more]
        for node in full:
            full_disk(site, node)
        await site.look(0.4)
        new, _ = await site.until_held()
        assert (new is not old) is moves
        assert await site.serves(new) and not set(Site.holders(site, "new")) & {x.place for x in full}
        for node in full:
            assert new.membership.takes(node.id) is False
            node.record_store.wal.full = False
            await node.repair.write_probe()
        await site.look(0.4)
        assert all(new.membership.takes(x.id) for x in full) and site.holder() is not None

    run(go())


def test_a_disk_that_stands_still_is_told_by_its_oldest_write(run, clock):
    async def go():
        site = Leases(clock)
        old, _ = await site.until_held()
        old.record_store.wal.gate.clear()
        put = asyncio.ensure_future(
            old.leaderships["s"].accept_job({"lot": "l", "host": "h", "path": "/p/"}, orjson.dumps(LOT))
        )
        new, took = await site.until_held(but=old, within_s=1.0)
        assert new is not old and not old.disk.takes and took < 0.8
        old.record_store.wal.gate.set()
        await asyncio.gather(put, return_exceptions=True)
        await site.look(1.0)
        assert old.disk.should_probe()
        await old.repair.write_probe()
        assert old.disk.takes and site.holders() == [new]

    run(go())


def test_a_lease_handed_on_twice_moves_once(run, clock):
    async def go():
        site = Leases(clock)
        old, _ = await site.until_held()
        term = site.lease()["term"]
        moved = [await old.lease_watch.transfer("s", term) for _ in range(2)]
        assert moved[0] and site.lease()["term"] == term + 1 and old.leaderships["s"].state == "over"
        new, _ = await site.until_held()
        assert new is not old and site.lease()["term"] == term + 1

    run(go())


def test_two_that_claim_at_once_get_one_lease(run, clock):
    async def go():
        site = Leases(clock)
        old, _ = await site.until_held()
        site.dark.add(old.place)
        rest = [n for n in site.at.values() if n is not old]
        got = await asyncio.gather(*(n.lease_watch.claim("s", site.lease()["term"], n.id, n.incarnation) for n in rest))
        assert sorted(got) == [False, True] and site.lease()["holder"] == rest[got.index(True)].id
        new, _ = await site.until_held()
        assert site.holders() == [new]

    run(go())


def test_terms_that_end_as_they_begin_are_renewed_ever_more_slowly_until_another_leads(run, clock):
    async def go():
        site = Leases(clock)
        old, _ = await site.until_held()
        old.heartbeat_interval_s, terms = 0.2, []  # the waits are counted in heartbeats of the watch
        for _ in range(50):
            leadership = old.leaderships["s"]
            if leadership.term == site.lease()["term"]:
                leadership.step_down()
            await site.look()
            terms.append(site.lease()["term"])
        assert 2 <= terms[-1] - terms[0] <= 5 and site.lease()["holder"] != old.id

    run(go())
