"""A register's group in memory: an acceptor and a proposer a node, whose calls may be cut, wiped or split."""

import asyncio

import orjson
from tests.support.fakes import MemBook

from archhatch.consensus import Acceptor, Commands, Proposer
from archhatch.runtime import Counters

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


class RegisterGroup:
    """Nodes with a acceptor and an owner each; cut holds those that do not answer."""

    def __init__(self, founders):
        self.founders = {n: n for n in founders}
        self.nodes, self.cut, self.split = {}, set(), None
        for n in founders:
            self.add(n)

    def add(self, n, address=None, base=True):
        counters = Counters()
        acceptor = Acceptor("p", MemBook(), counters)
        node = {
            "id": n,
            "addr": address or n,
            "acceptor": acceptor,
            "known": None,
            "counters": counters,
            "founder": base,
        }
        self.nodes[n] = node
        node["proposer"] = Proposer(
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
        if node["acceptor"].state and (not best or node["acceptor"].state["stamp"] > best["stamp"]):
            best = node["acceptor"].state
        if best is None and node["founder"]:
            best = {"stamp": 0, "val": {}, "voters": self.founders, "prev": None}
        return best

    def publish(self, n, state):
        self.nodes[n]["known"] = state

    def reach(self, a, b):
        return (
            a not in self.cut and b not in self.cut and (self.split is None or (a in self.split) == (b in self.split))
        )

    async def ask(self, me, address, verb, document):
        await asyncio.sleep(0)
        node = next((x for x in self.nodes.values() if x["addr"] == address), None)
        if node is None or (node["id"] != me and not self.reach(me, node["id"])):
            return None
        document = orjson.loads(orjson.dumps(document))
        acceptor = node["acceptor"]
        if verb == "part.prepare":
            out = await acceptor.prepare(tuple(document["ballot"]))
        elif verb == "part.accept":
            out = await acceptor.accept(tuple(document["ballot"]), document["state"])
        else:
            out = await acceptor.confirm(tuple(document["ballot"]))
        return orjson.loads(orjson.dumps({"me": node["id"], **out}))

    def power_cycle(self, n):
        """All that is left is what the log holds."""
        wal = self.nodes[n]["acceptor"].wal
        founder = self.nodes[n]["founder"]
        self.add(n, self.nodes[n]["addr"], founder)
        self.nodes[n]["acceptor"].wal = wal
        for raw in wal.raws:
            self.nodes[n]["acceptor"].adopt(orjson.loads(raw))

    def wipe(self, n, new):
        """The machine comes back at its address with an empty disk: another node."""
        address = self.nodes.pop(n)["addr"]
        self.add(new, address, base=False)

    async def do(self, n, name, **args):
        return await self.nodes[n]["proposer"].execute(name, args)
