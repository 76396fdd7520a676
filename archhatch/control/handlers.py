"""What a control node answers to other nodes."""

from __future__ import annotations

from ..membership import shard_of
from ..rpc import Handlers, CallRefusedError
from .registers import SERVICE_SHARDS

UNREACHED = 3003
ANY_SERVICE = "of:"  # prefix of a service's name in place of a register's: the register that holds the service


def register_handlers(node) -> Handlers:
    """All handlers of a control node."""
    handlers = Handlers()
    _votes(node, handlers)
    _commands(node, handlers)
    _peers(node, handlers)
    return handlers


def _votes(node, handlers) -> None:
    acceptors = node.registers

    @handlers.on("part.prepare")
    async def _prepare(doc, body):
        return {"me": node.id, **await acceptors.acceptors[doc["part"]].prepare(doc["ballot"])}

    @handlers.on("part.accept")
    async def _accept(doc, body):
        return {"me": node.id, **await acceptors.acceptors[doc["part"]].accept(doc["ballot"], doc["state"])}

    @handlers.on("part.confirm")
    async def _confirm(doc, body):
        return {"me": node.id, **await acceptors.acceptors[doc["part"]].confirm(doc["ballot"])}

    @handlers.on("part.commit")
    async def _commit(doc, body):
        if not node.registers.learn_accepted(doc["part"], doc["stamp"], doc["ballot"]):
            node.task_group.spawn("hear", node.peers.fetch_state, doc["addr"], doc["part"], "")

    @handlers.on("part.hear")
    async def _hear(doc, body):
        return node.registers.known.get(doc["part"])


def _commands(node, handlers) -> None:
    @handlers.on("part.do")
    async def _do(doc, body):
        code, out = await node.registers.run_here(doc["part"], doc["name"], doc["args"], doc["within"])
        return {"code": code, "doc": out}

    @handlers.on("do")
    async def _route(doc, body):
        if not node.check_serving():
            raise CallRefusedError(UNREACHED)
        shard = doc["part"]
        if shard.startswith(ANY_SERVICE):
            shard = shard_of(shard.removeprefix(ANY_SERVICE), SERVICE_SHARDS)
        code, out = await node.registers.run(shard, doc["name"], doc["args"])
        if code != 1000:
            raise CallRefusedError(code, out)
        return out


def _peers(node, handlers) -> None:
    @handlers.on("core.ping")
    async def _ping(doc, body):
        lack = node.peers.merge_ping(doc)
        return {**node.peers.ping_document(None), "lack": lack}

    @handlers.on("roll.push")
    async def _push(doc, body):
        node.peers.merge_replicas(doc["roll"])
        return {"me": node.id}

    @handlers.on("fitness")
    async def _fitness(doc, body):
        return node.condition()

    @handlers.on("live")
    async def _live(doc, body):
        if not doc.get("spread", True):
            node.peers.merge_live_totals(doc["id"], doc["live"])
            return
        node.peers.merge_live_requests(doc["id"], doc["live"])
        word = {"id": node.id, "live": node.live.edge_totals(node.clock.now()), "spread": False}
        for card in list(node.cores.cards.values()):
            node.task_group.spawn("live", node.call, card["addr"], "live", word)

    @handlers.on("news")
    async def _news(doc, body):
        return await node.feed.answer(doc)
