"""The configuration feed: data-plane nodes and stores ask with the versions that they have.

They are answered when there is more. A reader that has a version of which the later changes are known here gets these;
any other gets the whole value.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import orjson

from ..rpc import CallRefusedError
from ..runtime import encode_kept
from . import topics
from .history import RegisterHistory
from .registers import feed_view
from .result_codes import NO_MAJORITY

if TYPE_CHECKING:
    from ..membership import LiveRequests, PeerSet, ReplicaRegistry
    from ..membership.agreed_time import AgreedTime
    from ..region_policy.region_monitor import RegionMonitor
    from ..runtime import Clock, Counters, StateBoard
    from .agreement import Registers
    from .messages import FeedQuestion
    from .peers import Peers

STORE = "store"  # the kind of node whose questions count as its signs of life
MAX_WAIT_SHARE = 0.5  # of quiet_s: a waiting question looks so often whether this node may still serve


class FeedHost(Protocol):
    """What the feed uses of its control node.

    Attributes:
        id: The node's id.
        address: Where it takes calls.
        incarnation: The incarnation of its process.
        leaving: Whether it is about to end.
        quiet_s: After this many seconds without an answer a node counts as unreachable.
    """

    id: str
    address: str
    incarnation: str
    leaving: bool
    quiet_s: float
    clock: Clock
    counters: Counters
    state_board: StateBoard
    registry: ReplicaRegistry
    registers: Registers
    cores: PeerSet
    stores: PeerSet
    live: LiveRequests
    agreed_time: AgreedTime
    peers: Peers
    regions: RegionMonitor

    def check_serving(self) -> bool:
        """Returns whether the node may answer callers."""

    def available(self, node_id: str) -> bool:
        """Returns whether a control node is up and about to stay."""


class ConfigFeed:
    """Answers long polls with bytes that all askers with the same versions share."""

    def __init__(self, node: FeedHost) -> None:
        self.node = node
        self._histories: dict[str, RegisterHistory] = {}
        self._encoded_shards: dict[tuple[str, int | None], orjson.Fragment] = {}  # (register, the reader's version)
        self._encoded_registry: dict[int, orjson.Fragment] = {}  # by the reader's version
        self._encoded_registry_version = -1  # the version of the registry that these bytes are of; none yet

    async def answer(self, question: FeedQuestion) -> bytes:
        """Answers a node, at once or when there is something new.

        Args:
            question: The decoded question.

        Returns:
            The encoded answer.

        Raises:
            CallRefusedError: NO_MAJORITY, while this node may not serve; the asker is to go to another one.
        """
        node, now = self.node, self.node.clock.now()
        if question["who"]["klass"] == STORE:
            node.stores.record_contact(question["who"], now)
        node.peers.merge_live_requests(question["who"]["id"], question["live"])
        node.regions.record_answers(question.get("served", []))
        end = now + question["hold"]
        while True:
            if node.leaving or not node.check_serving():
                raise CallRefusedError(NO_MAJORITY)
            version = node.state_board.version(topics.FEED)
            remaining_s = end - node.clock.now()
            answer = self._answer_if_due(question, is_due=remaining_s <= 0)
            if answer is not None:
                return answer
            await node.state_board.wait_for_change(
                topics.FEED, version, min(remaining_s, node.quiet_s * MAX_WAIT_SHARE)
            )

    def _answer_if_due(self, question: FeedQuestion, is_due: bool) -> bytes | None:
        """Returns the answer if there is something new or the question has waited long enough, else None."""
        node = self.node
        is_same_source = question["life"] == node.incarnation
        after_version = question["turn"] if is_same_source else 0
        held_versions = question["stamps"]
        outdated_shards = {
            shard: held_versions.get(shard)
            for shard, state in node.registers.known.items()
            if state["stamp"] > held_versions.get(shard, 0)
        }
        busy = node.live.totals(node.clock.now())
        has_new_state = bool(outdated_shards) or node.registry.version > after_version or not is_same_source
        if not (is_due or has_new_state or sorted(busy) != question["busy"]):
            return None
        return orjson.dumps(
            {
                "parts": {shard: self.encoded_shard(shard, held) for shard, held in outdated_shards.items()},
                "roll": self.encoded_registry(after_version),
                "life": node.incarnation,
                "turn": node.registry.version,
                "cores": self._control_node_addresses(),
                "busy": busy,
                "id": node.id,
                "newest": node.registers.chosen,
                "time": node.agreed_time.at(node.clock.now()) if node.agreed_time.is_known else None,
            }
        )

    def _control_node_addresses(self) -> list[str]:
        node = self.node
        return [node.address] + [card["addr"] for key, card in node.cores.cards.items() if node.available(key)]

    def encoded_shard(self, shard: str, held_version: int | None) -> orjson.Fragment:
        """Returns what brings a reader to the newest version of a register; made once for all with the same version.

        Args:
            shard: The register.
            held_version: The version that the reader has, None if it has none.

        Returns:
            The encoded changes, or the encoded whole value if not all changes are known here.
        """
        state = self.node.registers.known[shard]
        history = self._histories.setdefault(shard, RegisterHistory())
        if history.version != state["stamp"]:
            history.add(state["stamp"], feed_view(shard, state["val"]))
            self._encoded_shards = {key: raw for key, raw in self._encoded_shards.items() if key[0] != shard}
        encoded = self._encoded_shards.get((shard, held_version))
        if encoded is None:
            encoded = self._encoded_shards[shard, held_version] = self._encode_shard(history, held_version)
        return encoded

    def _encode_shard(self, history: RegisterHistory, held_version: int | None) -> orjson.Fragment:
        changes = None if held_version is None else history.changes_since(held_version)
        document: dict = {"stamp": history.version, "val": history.encoded_value}
        if changes is not None:
            self.node.counters.add("feed.changes")
            fragments = [orjson.Fragment(raw) for raw in changes]
            document = {"stamp": history.version, "base": held_version, "changes": fragments}
        return orjson.Fragment(encode_kept(document))

    def encoded_registry(self, after_version: int) -> orjson.Fragment:
        """Returns the registry's changes after a version, encoded; made once for all who ask with the same version."""
        version = self.node.registry.version
        if self._encoded_registry_version != version:
            self._encoded_registry_version = version
            self._encoded_registry = {}
        encoded = self._encoded_registry.get(after_version)
        if encoded is None:
            encoded = orjson.Fragment(encode_kept(self.node.registry.changes_since(after_version)))
            self._encoded_registry[after_version] = encoded
        return encoded
