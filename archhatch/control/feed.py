"""The configuration feed: data-plane nodes and stores ask with the versions that they have, and are answered when there
is more. A reader that has a version of which the later changes are known here gets these; any other gets the whole."""

from __future__ import annotations

import orjson

from ..runtime import encode_kept
from ..rpc import CallRefusedError
from .history import RegisterHistory
from .registers import feed_view

UNREACHED = 3003


class ConfigFeed:
    """Answers long polls with bytes that all askers of the same turn share.

    >>> # feed = ConfigFeed(node); raw = await feed.answer(doc)
    """

    def __init__(self, node):
        self.node = node
        self._histories: dict[str, RegisterHistory] = {}
        self._part_bytes: dict[tuple, orjson.Fragment] = {}  # (register, the reader's version) -> what it is sent
        self._roll_bytes: dict = {}

    async def answer(self, doc: dict) -> bytes:
        """Answer a node, at once or when there is news. Raises 3003 while this node may not serve: the asker is to go
        to another one."""
        node, now = self.node, self.node.clock.now()
        if doc["who"]["klass"] == "store":
            node.stores.record_contact(doc["who"], now)
        node.peers.merge_live_requests(doc["who"]["id"], doc["live"])
        node.regions.heed(doc.get("served", ()))
        end = now + doc["hold"]
        while True:
            if node.leaving or not node.check_serving():
                raise CallRefusedError(UNREACHED)
            turn = node.state_board.version("news")
            left = end - node.clock.now()
            news = self._news(doc, left <= 0)
            if news is not None:
                return news
            await node.state_board.wait_for_change("news", turn, min(left, node.quiet_s / 2))

    def _news(self, doc: dict, due: bool) -> bytes | None:
        """The answer, if there is something new or it is due."""
        node = self.node
        known, same = node.registers.known, doc["life"] == node.incarnation
        after = doc["turn"] if same else 0
        shards = {p: doc["stamps"].get(p) for p, s in known.items() if s["stamp"] > doc["stamps"].get(p, 0)}
        busy = node.live.totals(node.clock.now())
        if not (due or shards or node.registry.version > after or not same or sorted(busy) != doc["busy"]):
            return None
        cores = [node.address] + [c["addr"] for i, c in node.cores.cards.items() if node.available(i)]
        return orjson.dumps(
            {
                "parts": {shard: self.shard(shard, base) for shard, base in shards.items()},
                "roll": self.registry(after),
                "life": node.incarnation,
                "turn": node.registry.version,
                "cores": cores,
                "busy": busy,
                "id": node.id,
                "newest": node.registers.chosen,
                "time": node.agreed_time.at(node.clock.now()) if node.agreed_time.is_known else None,
            }
        )

    def shard(self, shard: str, base: int | None) -> orjson.Fragment:
        """What brings a reader from its version of a register, if it has one, to the newest; made once for all that
        have the same."""
        state = self.node.registers.known[shard]
        history = self._histories.setdefault(shard, RegisterHistory())
        if history.version != state["stamp"]:
            history.add(state["stamp"], feed_view(shard, state["val"]))
            self._part_bytes = {key: raw for key, raw in self._part_bytes.items() if key[0] != shard}
        have = self._part_bytes.get((shard, base))
        if have is None:
            have = self._part_bytes[shard, base] = self._encode(history, base)
        return have

    def _encode(self, history: RegisterHistory, base: int | None) -> orjson.Fragment:
        changes = None if base is None else history.changes_since(base)
        doc = {"stamp": history.version, "val": history.encoded_value}
        if changes is not None:
            self.node.counters.add("feed.changes")
            doc = {"stamp": history.version, "base": base, "changes": [orjson.Fragment(raw) for raw in changes]}
        return orjson.Fragment(encode_kept(doc))

    def registry(self, after: int) -> orjson.Fragment:
        """The registry's changes after a turn; made once for all who ask with the same turn."""
        turn = self.node.registry.version
        if self._roll_bytes.get("turn") != turn:
            self._roll_bytes = {"turn": turn}
        have = self._roll_bytes.get(after)
        if have is None:
            have = self._roll_bytes[after] = orjson.Fragment(encode_kept(self.node.registry.changes_since(after)))
        return have
