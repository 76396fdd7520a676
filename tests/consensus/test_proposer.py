"""Agreement on one register, over nodes that are cut off, wiped, lose power, or come late."""

import asyncio

import pytest
from tests.support.register_group import RegisterGroup

from archhatch.consensus import RegisterState, UnclearResultError


def test_put_get_and_a_lost_node(run):
    async def go():
        group = RegisterGroup("abc")
        assert await group.do("a", "put", v=1) == (1000, 1)
        group.cut = {"c"}
        assert await group.do("a", "put", v=2, match=1) == (1000, 2)
        group.cut = {"a"}
        assert await group.do("b", "get") == (1000, 2)

    run(go())


def test_no_majority_is_unclear_never_refused(run):
    async def go():
        group = RegisterGroup("abc")
        await group.do("a", "put", v=1)
        group.cut = {"b", "c"}
        with pytest.raises(UnclearResultError):
            await group.do("a", "put", v=2, match=9)  # would be a 412 if this node alone were believed
        with pytest.raises(UnclearResultError):
            await group.do("a", "get")

    run(go())


def test_two_race_one_prevails(run):
    async def go():
        group = RegisterGroup("abc")
        await group.do("a", "put", v=1)
        out = await asyncio.gather(
            group.do("a", "put", v=2, match=1), group.do("b", "put", v=3, match=1), return_exceptions=True
        )
        codes = sorted(o[0] if isinstance(o, tuple) else 9999 for o in out)
        assert codes.count(1000) <= 1
        _, now = await group.do("c", "get")
        won = [o[1] for o in out if isinstance(o, tuple) and o[0] == 1000]
        assert now == won[0] if won else now in (1, 2, 3)

    run(go())


def test_old_proposer_that_thaws_neither_writes_nor_reads(run):
    async def go():
        group = RegisterGroup("abc")
        await group.do("a", "put", v=1)
        lead = group.nodes["a"]["proposer"].prepared_number
        group.cut = {"a"}
        await group.do("b", "put", v=2, match=1)
        group.cut = set()
        assert group.nodes["a"]["proposer"].prepared_number == lead
        assert await group.do("a", "get") == (1000, 2)
        assert (await group.do("a", "put", v=9, match=1))[0] == 2011

    run(go())


WIPES = [(a, b, c) for a, b, c in ("abc", "bca", "cab", "acb")]


@pytest.mark.parametrize("ack1, ack2, stale", WIPES)
def test_acked_on_two_one_wiped_all_lose_power(run, ack1, ack2, stale):
    """Acknowledged on two, the third stale; one of the two loses its disk, then all lose power: one alone has it."""

    async def go():
        group = RegisterGroup("abc")
        await group.do(ack1, "put", v=1)
        group.cut = {stale}
        assert (await group.do(ack1, "put", v=2, match=1))[0] == 1000
        group.wipe(ack1, "n")
        for n in (ack2, stale):
            group.power_cycle(n)
        group.cut = set()
        assert group.base("n") is None and not await group.nodes["n"]["proposer"]._prepare()  # it founds nothing
        assert await group.do(stale, "get") == (1000, 2)

    run(go())


def test_wiped_node_and_stale_one_are_no_majority(run):
    async def go():
        group = RegisterGroup("abc")
        await group.do("a", "put", v=1)
        group.cut = {"c"}
        await group.do("a", "put", v=2, match=1)
        group.wipe("a", "n")
        group.cut = {"b"}
        with pytest.raises(UnclearResultError):
            await group.do("c", "get")

    run(go())


def test_replaced_node_joins_and_votes(run):
    async def go():
        group = RegisterGroup("abc")
        await group.do("a", "put", v=1)
        group.wipe("a", "n")
        assert await group.nodes["b"]["proposer"].reconfigure({"b": "b", "c": "c", "n": "a"})
        group.cut = {"c"}
        assert await group.do("b", "put", v=2, match=1) == (1000, 2)
        assert group.nodes["n"]["acceptor"].state["val"] == {"v": 2}
        group.cut = {"b"}
        assert await group.do("c", "get") == (1000, 2)

    run(go())


def test_stale_voter_follows_the_chain_of_groups(run):
    """A node that slept through a change of the group still asks its way to the newest one."""

    async def go():
        group = RegisterGroup("abc")
        await group.do("a", "put", v=1)
        group.cut = {"c"}
        group.add("d", base=False)
        assert await group.nodes["a"]["proposer"].reconfigure({"a": "a", "b": "b", "d": "d"})
        assert await group.do("a", "put", v=2, match=1) == (1000, 2)
        group.cut = set()
        group.nodes["c"]["known"] = None
        assert await group.do("c", "get") == (1000, 2)

    run(go())


def test_half_finished_change_of_group_is_finished_by_the_next_proposer(run):
    async def go():
        group = RegisterGroup("abc")
        await group.do("a", "put", v=1)
        group.add("d", base=False)
        proposer = group.nodes["a"]["proposer"]
        state = {
            **proposer.state.document,
            "voters": {"a": "a", "b": "b", "d": "d"},
            "prev": proposer.state.voters,
            "stamp": proposer.state.version + 1,
        }
        assert await proposer._accept(RegisterState(state))
        group.cut = {"a"}
        assert await group.nodes["b"]["proposer"].reconfigure({})
        assert group.nodes["b"]["proposer"].state.previous_voters is None
        assert await group.do("b", "put", v=5, match=1) == (1000, 5)

    run(go())


def test_settling_learns_what_another_proposer_has_chosen_since(run):
    """Guards against a proposer that counts as leading by its old number, and settles nothing."""

    async def go():
        group = RegisterGroup("abc")
        await group.do("a", "put", v=1)
        assert await group.do("b", "put", v=2, match=1) == (1000, 2)
        group.cut = {"b"}
        assert group.nodes["a"]["known"]["val"] == {"v": 1}
        assert await group.nodes["a"]["proposer"].reconfigure({})
        assert group.nodes["a"]["known"]["val"] == {"v": 2}

    run(go())


def test_repeated_command_is_taken_once(run):
    async def go():
        group = RegisterGroup("abc")
        assert await group.do("a", "put", v=1) == (1000, 1)
        version = group.nodes["a"]["proposer"].state.version
        assert await group.do("b", "put", v=1) == (1000, 1)
        assert group.nodes["b"]["proposer"].state.version == version

    run(go())


def test_cut_in_two_only_the_larger_side_goes_on(run):
    async def go():
        group = RegisterGroup("abcde")
        await group.do("a", "put", v=1)
        group.split = {"a", "b"}
        with pytest.raises(UnclearResultError):
            await group.do("a", "put", v=2, match=1)
        assert await group.do("c", "put", v=3, match=1) == (1000, 3)
        group.split = None
        assert await group.do("a", "get") == (1000, 3) and await group.do("b", "get") == (1000, 3)

    run(go())


@pytest.mark.parametrize(
    "why, other, count",
    [
        (
            "its answers are those of another incarnation",
            lambda answer: {**answer, "me": "another"},
            "consensus.other_incarnation",
        ),
        ("it promised a higher number since", lambda answer: {**answer, "ok": False, "promised": [99, "x"]}, None),
    ],
)
def test_one_that_answers_for_another_or_another_number_is_not_counted_in(run, why, other, count):
    async def go():
        group = RegisterGroup(["a", "b", "c"])
        group.cut = {"c"}
        proposer = group.nodes["a"]["proposer"]
        assert (await proposer.execute("put", {"v": 1}))[0] == 1000
        ask = proposer._voters.ask

        async def turned(address, verb, document):
            answer = await ask(address, verb, document)
            return other(answer) if address == "b" and answer is not None else answer

        proposer._voters.ask = turned
        with pytest.raises(UnclearResultError):
            await proposer.execute("put", {"v": 2})
        assert count is None or group.nodes["a"]["counters"].counts[count] >= 1
        proposer._voters.ask = ask
        assert await proposer.execute("put", {"v": 3}) == (1000, 3)

    run(go())
