"""What an acceptor answers, by the numbers it promised and the state it accepted."""

import asyncio

import pytest
from tests.support.fakes import MemBook

from archhatch.consensus import Acceptor, ProposalNumber
from archhatch.runtime import Counters

VOTERS = dict(zip("abc", "abc"))


@pytest.mark.parametrize(
    "verb, proposal_number, ok",
    [
        ("prepare", (1, "a"), False),
        ("prepare", (2, "a"), False),
        ("prepare", (2, "b"), True),
        ("prepare", (3, "a"), True),
        ("accept", (1, "z"), False),
        ("accept", (2, "a"), False),
        ("accept", (2, "b"), True),
        ("confirm", (2, "b"), True),
        ("confirm", (2, "a"), False),
    ],
)
def test_acceptor_answers_by_proposal_number(run, verb, proposal_number, ok):
    async def go():
        acceptor = Acceptor("p", MemBook(), Counters())
        await acceptor.prepare((2, "b"))
        args = (
            (proposal_number, {"stamp": 1, "val": {}, "voters": {}, "prev": None})
            if verb == "accept"
            else (proposal_number,)
        )
        assert (await getattr(acceptor, verb)(*args))["ok"] is ok

    run(go())


def test_acceptor_rejects_an_older_state_of_the_same_number(run):
    async def go():
        acceptor = Acceptor("p", MemBook(), Counters())
        new, old = ({"stamp": s, "val": {}, "voters": {}, "prev": None} for s in (5, 4))
        assert (await acceptor.accept((2, "b"), new))["ok"] and not (await acceptor.accept((2, "b"), old))["ok"]
        assert acceptor.counters.counts["consensus.accept_stale"] == 1

    run(go())


@pytest.mark.parametrize("proposal_number, ok", [((1, "a"), False), ((2, "a"), True), ((3, "a"), False)])
def test_a_confirmation_under_another_number_is_counted(run, proposal_number, ok):
    async def go():
        counters = Counters()
        acceptor = Acceptor("p", MemBook(), counters)
        await acceptor.prepare((2, "a"))
        assert (await acceptor.confirm(proposal_number))["ok"] is ok and counters.counts[
            "consensus.confirm_refused"
        ] == (not ok)

    run(go())


@pytest.mark.parametrize(
    "promised, asked, ok",
    [
        ((5, "a", "1"), (5, "a", "1"), True),  # a repeated message
        ((5, "a", "2"), (5, "a", "1"), False),
        ((5, "a", "1"), (5, "a", "2"), True),  # another incarnation, another number
        ((5, "a"), (5, "a", "1"), True),
        ((5, "b"), (5, "a", "1"), False),
    ],
)  # promises of earlier releases
def test_proposal_numbers_of_incarnations_are_ordered_without_ties(run, promised, asked, ok):
    async def go():
        acceptor = Acceptor("plan", MemBook(), Counters())
        assert (await acceptor.prepare(promised))["ok"]
        assert (await acceptor.prepare(asked))["ok"] is ok
        assert acceptor.promised == max(ProposalNumber.from_wire(promised), ProposalNumber.from_wire(asked))

    run(go())


def test_one_number_gives_a_version_to_one_state():
    """An accept that comes twice is answered without a second write."""
    acceptor = Acceptor("plan", MemBook(), Counters())
    state = {"stamp": 1, "val": {"x": 1}, "voters": VOTERS, "prev": None}
    for _ in range(2):
        assert asyncio.run(acceptor.accept((1, "a", "1"), state))["ok"]
    assert len(acceptor.wal.raws) == 1
