"""The agreement of one part, over nodes that are cut off, wiped, lose power, or come late."""

import asyncio

import orjson
import pytest
from tests.support.fakes import MemBook

from archhatch.runtime import Counters
from archhatch.consensus import Commands, Acceptor, Proposer, UnclearResultError, RegisterState, is_majority, is_quorum

commands = Commands()


@commands.on("put")
def put(value, args):
    if value.get("v") == args["v"]:
        return 1000, value["v"], False
    if args.get("match", value.get("v")) != value.get("v"):
        return 2011, value.get("v"), False
    value["v"] = args["v"]
    return 1000, args["v"], True


@commands.on("get")
def get(value, args):
    return 1000, value.get("v"), False


class Net:
    """Nodes with a keeper and an owner each; cut holds those that do not answer."""

    def __init__(self, founders):
        self.founders = {n: n for n in founders}
        self.nodes, self.cut, self.split = {}, set(), None
        for n in founders:
            self.add(n)

    def add(self, n, address=None, base=True):
        counters = Counters()
        keeper = Acceptor("p", MemBook(), counters)
        node = {"id": n, "addr": address or n, "keeper": keeper, "known": None, "ctr": counters, "founder": base}
        self.nodes[n] = node
        node["owner"] = Proposer(
            "p",
            n,
            commands,
            lambda a, v, d, n=n: self.ask(n, a, v, d),
            lambda n=n: self.base(n),
            lambda p, s, n=n: self.publish(n, s),
            counters,
            timeout_s=0.2,
        )

    def base(self, n):
        node = self.nodes[n]
        best = node["known"]
        if node["keeper"].state and (not best or node["keeper"].state["stamp"] > best["stamp"]):
            best = node["keeper"].state
        if best is None and node["founder"]:
            best = {"stamp": 0, "val": {}, "voters": self.founders, "prev": None}
        return best

    def publish(self, n, state):
        self.nodes[n]["known"] = state

    def reach(self, a, b):
        return (
            a not in self.cut and b not in self.cut and (self.split is None or (a in self.split) == (b in self.split))
        )

    async def ask(self, me, address, verb, doc):
        await asyncio.sleep(0)
        node = next((x for x in self.nodes.values() if x["addr"] == address), None)
        if node is None or (node["id"] != me and not self.reach(me, node["id"])):
            return None
        doc = orjson.loads(orjson.dumps(doc))
        k = node["keeper"]
        if verb == "part.prepare":
            out = await k.prepare(tuple(doc["ballot"]))
        elif verb == "part.accept":
            out = await k.accept(tuple(doc["ballot"]), doc["state"])
        else:
            out = await k.confirm(tuple(doc["ballot"]))
        return orjson.loads(orjson.dumps({"me": node["id"], **out}))

    def power_cycle(self, n):
        """All that is left is what the book holds."""
        wal = self.nodes[n]["keeper"].wal
        founder = self.nodes[n]["founder"]
        self.add(n, self.nodes[n]["addr"], founder)
        self.nodes[n]["keeper"].wal = wal
        for raw in wal.raws:
            self.nodes[n]["keeper"].adopt(orjson.loads(raw))

    def wipe(self, n, new):
        """The machine comes back at its address with an empty disk: another node."""
        address = self.nodes.pop(n)["addr"]
        self.add(new, address, base=False)

    async def do(self, n, name, **args):
        return await self.nodes[n]["owner"].execute(name, args)


@pytest.mark.parametrize(
    "ids, voters, ok",
    [
        ("ab", "abc", True),
        ("a", "abc", False),
        ("ad", "abc", False),
        ("abc", "abcde", True),
        ("ab", "abcd", False),
        ("a", "a", True),
    ],
)
def test_is_majority(ids, voters, ok):
    assert is_majority(set(ids), dict.fromkeys(voters)) is ok


@pytest.mark.parametrize(
    "ids, voters, prev, ok",
    [("ab", "abc", None, True), ("ab", "abd", "abc", True), ("bd", "abd", "abc", False), ("ac", "abd", "abc", False)],
)
def test_quorum_of_both_groups(ids, voters, prev, ok):
    assert is_quorum(set(ids), {"voters": dict.fromkeys(voters), "prev": dict.fromkeys(prev) if prev else None}) is ok


def test_put_get_and_a_lost_node(run):
    async def go():
        net = Net("abc")
        assert await net.do("a", "put", v=1) == (1000, 1)
        net.cut = {"c"}
        assert await net.do("a", "put", v=2, match=1) == (1000, 2)
        net.cut = {"a"}
        assert await net.do("b", "get") == (1000, 2)

    run(go())


def test_no_majority_is_unclear_never_refused(run):
    async def go():
        net = Net("abc")
        await net.do("a", "put", v=1)
        net.cut = {"b", "c"}
        with pytest.raises(UnclearResultError):
            await net.do("a", "put", v=2, match=9)  # would be a 412 if this node alone were believed
        with pytest.raises(UnclearResultError):
            await net.do("a", "get")

    run(go())


def test_two_race_one_prevails(run):
    async def go():
        net = Net("abc")
        await net.do("a", "put", v=1)
        out = await asyncio.gather(
            net.do("a", "put", v=2, match=1), net.do("b", "put", v=3, match=1), return_exceptions=True
        )
        codes = sorted(o[0] if isinstance(o, tuple) else 9999 for o in out)
        assert codes.count(1000) <= 1
        _, now = await net.do("c", "get")
        won = [o[1] for o in out if isinstance(o, tuple) and o[0] == 1000]
        assert now == won[0] if won else now in (1, 2, 3)

    run(go())


def test_old_owner_that_thaws_neither_writes_nor_reads(run):
    async def go():
        net = Net("abc")
        await net.do("a", "put", v=1)
        lead = net.nodes["a"]["owner"].prepared_number
        net.cut = {"a"}
        await net.do("b", "put", v=2, match=1)
        net.cut = set()
        assert net.nodes["a"]["owner"].prepared_number == lead
        assert await net.do("a", "get") == (1000, 2)
        assert (await net.do("a", "put", v=9, match=1))[0] == 2011

    run(go())


WIPES = [(a, b, c) for a, b, c in ("abc", "bca", "cab", "acb")]


@pytest.mark.parametrize("ack1, ack2, stale", WIPES)
def test_acked_on_two_one_wiped_all_lose_power(run, ack1, ack2, stale):
    """Acknowledged on two, the third stale; one of the two loses its disk, then all lose power: one alone has it."""

    async def go():
        net = Net("abc")
        await net.do(ack1, "put", v=1)
        net.cut = {stale}
        assert (await net.do(ack1, "put", v=2, match=1))[0] == 1000
        net.wipe(ack1, "n")
        for n in (ack2, stale):
            net.power_cycle(n)
        net.cut = set()
        assert net.base("n") is None and not await net.nodes["n"]["owner"]._prepare()  # it founds nothing
        assert await net.do(stale, "get") == (1000, 2)

    run(go())


def test_wiped_node_and_stale_one_are_no_majority(run):
    async def go():
        net = Net("abc")
        await net.do("a", "put", v=1)
        net.cut = {"c"}
        await net.do("a", "put", v=2, match=1)
        net.wipe("a", "n")
        net.cut = {"b"}
        with pytest.raises(UnclearResultError):
            await net.do("c", "get")

    run(go())


def test_replaced_node_joins_and_votes(run):
    async def go():
        net = Net("abc")
        await net.do("a", "put", v=1)
        net.wipe("a", "n")
        assert await net.nodes["b"]["owner"].reconfigure({"b": "b", "c": "c", "n": "a"})
        net.cut = {"c"}
        assert await net.do("b", "put", v=2, match=1) == (1000, 2)
        assert net.nodes["n"]["keeper"].state["val"] == {"v": 2}
        net.cut = {"b"}
        assert await net.do("c", "get") == (1000, 2)

    run(go())


def test_stale_voter_follows_the_chain_of_groups(run):
    """A node that slept through a change of the group still asks its way to the newest one."""

    async def go():
        net = Net("abc")
        await net.do("a", "put", v=1)
        net.cut = {"c"}
        net.add("d", base=False)
        assert await net.nodes["a"]["owner"].reconfigure({"a": "a", "b": "b", "d": "d"})
        assert await net.do("a", "put", v=2, match=1) == (1000, 2)
        net.cut = set()
        net.nodes["c"]["known"] = None
        assert await net.do("c", "get") == (1000, 2)

    run(go())


def test_half_made_change_of_group_is_finished_by_the_next_owner(run):
    async def go():
        net = Net("abc")
        await net.do("a", "put", v=1)
        net.add("d", base=False)
        own = net.nodes["a"]["owner"]
        state = {
            **own.state.document,
            "voters": {"a": "a", "b": "b", "d": "d"},
            "prev": own.state.voters,
            "stamp": own.state.version + 1,
        }
        assert await own._accept(RegisterState(state))
        net.cut = {"a"}
        assert await net.nodes["b"]["owner"].reconfigure({})
        assert net.nodes["b"]["owner"].state.previous_voters is None
        assert await net.do("b", "put", v=5, match=1) == (1000, 5)

    run(go())


def test_repeated_command_is_taken_once(run):
    async def go():
        net = Net("abc")
        assert await net.do("a", "put", v=1) == (1000, 1)
        stamp = net.nodes["a"]["owner"].state.version
        assert await net.do("b", "put", v=1) == (1000, 1)
        assert net.nodes["b"]["owner"].state.version == stamp

    run(go())


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
def test_keeper_answers_by_ballot(run, verb, proposal_number, ok):
    async def go():
        k = Acceptor("p", MemBook(), Counters())
        await k.prepare((2, "b"))
        args = (
            (proposal_number, {"stamp": 1, "val": {}, "voters": {}, "prev": None})
            if verb == "accept"
            else (proposal_number,)
        )
        assert (await getattr(k, verb)(*args))["ok"] is ok

    run(go())


def test_keeper_rejects_an_older_state_of_the_same_ballot(run):
    async def go():
        k = Acceptor("p", MemBook(), Counters())
        new, old = ({"stamp": s, "val": {}, "voters": {}, "prev": None} for s in (5, 4))
        assert (await k.accept((2, "b"), new))["ok"] and not (await k.accept((2, "b"), old))["ok"]
        assert k.counters.counts["part.accept_stale"] == 1

    run(go())


def test_cut_in_two_only_the_larger_side_goes_on(run):
    async def go():
        net = Net("abcde")
        await net.do("a", "put", v=1)
        net.split = {"a", "b"}
        with pytest.raises(UnclearResultError):
            await net.do("a", "put", v=2, match=1)
        assert await net.do("c", "put", v=3, match=1) == (1000, 3)
        net.split = None
        assert await net.do("a", "get") == (1000, 3) and await net.do("b", "get") == (1000, 3)

    run(go())


@pytest.mark.parametrize(
    "why, other, count",
    [
        ("its answers are those of another life", lambda answer: {**answer, "me": "another"}, "part.other_incarnation"),
        ("it promised a higher ballot since", lambda answer: {**answer, "ok": False, "promised": [99, "x"]}, None),
    ],
)
def test_one_that_answers_for_another_or_another_ballot_is_not_counted_in(run, why, other, count):
    async def go():
        net = Net(["a", "b", "c"])
        net.cut = {"c"}
        own = net.nodes["a"]["owner"]
        assert (await own.execute("put", {"v": 1}))[0] == 1000
        ask = own._voters.ask

        async def turned(address, verb, doc):
            answer = await ask(address, verb, doc)
            return other(answer) if address == "b" and answer is not None else answer

        own._voters.ask = turned
        with pytest.raises(UnclearResultError):
            await own.execute("put", {"v": 2})
        assert count is None or net.nodes["a"]["ctr"].counts[count] >= 1
        own._voters.ask = ask
        assert await own.execute("put", {"v": 3}) == (1000, 3)

    run(go())


@pytest.mark.parametrize("proposal_number, ok", [((1, "a"), False), ((2, "a"), True), ((3, "a"), False)])
def test_a_confirmation_under_another_ballot_is_counted(run, proposal_number, ok):
    async def go():
        counters = Counters()
        keeper = Acceptor("p", MemBook(), counters)
        await keeper.prepare((2, "a"))
        assert (await keeper.confirm(proposal_number))["ok"] is ok and counters.counts["part.confirm_refused"] == (
            not ok
        )

    run(go())
