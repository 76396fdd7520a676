"""The reader of the configuration feed.

A node asks a control node for what is newer than its versions, and again as soon as it has the answer.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Sequence
from typing import Any, Protocol

from ..rpc import CallError, ConnectionPool, is_misdirected
from ..runtime import Clock, Counters, Settings, StateBoard
from ..runtime.message import InvalidFieldError, InvalidMessageError
from .config_sources import ConfigSources, Verdict
from .delta import apply_all
from .feed_messages import FeedAnswer, FeedQuery, ShardUpdate
from .peer_set import NodeCard
from .replica_entry import DRAINING, GONE, UP, ReplicaEntry, marks_of

DONE = 1000
NO_CONFIGURATION = 3001
NO_MAJORITY = 3003

WALL_TIMES_KEPT = 4  # answers whose time of day is compared
HOLD_RATIO = 1 / 3  # of ContactMs: how long a control node may hold a query that it has nothing new for
GRACE_RATIO = 0.2  # of ContactMs: how much longer than the hold an answer may take
HURRY_RATIO = 0.125  # of the usual hold, while a newer version is known to exist
MIN_RETRY_DELAY_S = 0.02  # after a source that gave no answer; drawn at random, so that readers do not come in waves
MAX_RETRY_DELAY_S = 0.06
COMMAND_TIMEOUT_S = 1.5
COMMAND_ROUNDS = 2  # how often all control nodes are tried for a command
NEVER = float("-inf")


class LiveRequestTally(Protocol):
    """Counts the live requests of this node."""

    def tally(self) -> dict[str, float]:
        """Returns the live requests in progress, by service."""


class SuccessReports(Protocol):
    """Successful answers of replicas, for the control nodes."""

    def answer_ages(self, now: float) -> list[list[Any]]:
        """Returns the answers that are not confirmed yet, as the feed's query carries them."""

    def confirm_answers(self, until: float) -> None:
        """Forgets the answers up to a time: a control node has been told of them."""


class ConfigWatcher:
    """Holds the newest shards and replica entries; within one process neither ever goes back to an older version.

    Attributes:
        card: Who this node is.
        addresses: Addresses of control nodes, in the order in which they are asked.
        source_index: The index of the address that is asked at present.
        versions: The version of each shard.
        shards: The value of each shard.
        replicas: The entry of each replica, by id.
        live_totals: The live requests in progress on all edges, by service.
        incarnation: The incarnation of the control node that gave the last answer.
        registry_version: That control node's version of the replica registry.
        applied_at: When the last answer was applied.
        confirmed_at: When the last query was sent whose answer came from a current source.
        plan: The routing table that the node made of the shard "plan"; set by the node.
        live: Counts the live requests of this node; set by a node that takes some.
        successes: Successful answers of replicas by zone, which queries carry until one is answered; set by the node.
    """

    def __init__(
        self,
        settings: Settings,
        card: NodeCard,
        connections: ConnectionPool,
        state_board: StateBoard,
        clock: Clock,
        counters: Counters,
    ) -> None:
        self.card = card
        self.connections = connections
        self.state_board = state_board
        self.clock = clock
        self.counters = counters
        port = settings.internal_ports[0]
        self.addresses = [f"{peer.rsplit(':', 1)[0]}:{port}" for peer in settings.seed_peers]
        random.shuffle(self.addresses)
        self.source_index = 0
        self.versions: dict[str, int] = {}
        self.shards: dict[str, Any] = {}
        self.replicas: dict[str, ReplicaEntry] = {}
        self.live_totals: dict[str, float] = {}
        self.incarnation = ""
        self.registry_version = 0
        self.applied_at = NEVER
        self.confirmed_at = NEVER
        self.hold_s = settings.seconds("ContactMs", HOLD_RATIO)
        self.grace_s = settings.seconds("ContactMs", GRACE_RATIO)
        self.sources = ConfigSources(self.hold_s)
        self.plan: Any = None
        self.live: LiveRequestTally | None = None
        self.successes: SuccessReports | None = None
        self._changed_replicas: list[ReplicaEntry] = []
        self._to_fetch_whole: set[str] = set()  # shards to which changes could not be applied
        self._wall_offsets_s: deque[float] = deque(maxlen=WALL_TIMES_KEPT)
        self._has_failed = False  # whether the last query had no answer

    def agreed_time(self, now: float) -> float | None:
        """Returns the agreed time of day when this node's monotonic clock shows `now`.

        An answer that was delayed on its way shows a time that is behind, so the least delayed of the last ones counts.

        Returns:
            Seconds since 1970-01-01T00:00Z, or None before the first answer.
        """
        return now + max(self._wall_offsets_s) if self._wall_offsets_s else None

    def source_addresses(self) -> list[str]:
        """Returns the addresses of control nodes, the present source first."""
        return self.addresses[self.source_index :] + self.addresses[: self.source_index]

    async def run(self) -> None:
        """Sends one query after the other, for ever."""
        while True:
            self._has_failed = not await self.ask_once()
            if self._has_failed:
                self.counters.add("config.no_answer")
                self.source_index = (self.source_index + 1) % len(self.addresses)
                await asyncio.sleep(random.uniform(MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S))

    async def ask_once(self) -> bool:
        """Sends a query to the present source and applies its answer; returns False if it gave none."""
        address = self.addresses[self.source_index % len(self.addresses)]
        asked_at = self.clock.now()
        should_hurry = self._has_failed or self.sources.should_hurry(self.versions, asked_at)
        hold_s = self.hold_s * (HURRY_RATIO if should_hurry else 1.0)
        newest_before = dict(self.sources.newest_versions)
        try:
            query = self._query(hold_s, asked_at).to_document()
            code, document, _ = await self.call(address, "news", query, hold_s + self.grace_s)
        except CallError:
            return False
        if code != DONE:
            return False
        if self.successes is not None:
            self.successes.confirm_answers(asked_at)
        if self.clock.now() - asked_at > hold_s + self.grace_s:
            # This node was suspended: the answer waited for it, and may be outdated by now.
            self.counters.add("config.answer_outdated")
            return True
        try:
            verdict = self.accept_answer(address, document, newest_before)
        except InvalidMessageError:
            self.counters.add("config.malformed_answer")  # as if the source had not answered: the next one is asked
            return False
        if verdict is Verdict.CURRENT:
            self.confirmed_at = max(self.confirmed_at, asked_at)
        return True

    def _query(self, hold_s: float, now: float) -> FeedQuery:
        return FeedQuery(
            successes=self.successes.answer_ages(now) if self.successes is not None else [],
            live=self.live.tally() if self.live is not None else {},
            busy_services=sorted(self.live_totals),
            card=self.card,
            versions={shard: held for shard, held in self.versions.items() if shard not in self._to_fetch_whole},
            incarnation=self.incarnation,
            registry_version=self.registry_version,
            hold_s=hold_s,
        )

    def accept_answer(self, address: str, document: dict, newest_before: dict[str, int]) -> Verdict:
        """Applies an answer, unless it is from an ended incarnation, and leaves its source if that is behind.

        Args:
            address: The source.
            document: Its answer.
            newest_before: The newest versions known when the query was sent.

        Returns:
            What the answer shows of its source.
        """
        answer = FeedAnswer.from_document(document)
        verdict = Verdict.ENDED
        if self.sources.record_answer(address, answer.incarnation, answer.node_id):
            newest = {shard: update.version for shard, update in answer.shards.items()}
            newest.update(answer.newest_versions or {})
            self.apply_answer(answer)
            verdict = self.sources.judge(self.versions, newest_before, newest)
        if verdict is not Verdict.CURRENT:
            self.counters.add(f"config.source_{verdict.value}")
        next_address = self.sources.choose_next(verdict, self.addresses, address, self.clock.now())
        if next_address in self.addresses:
            self.source_index = self.addresses.index(next_address)
        return verdict

    async def call(self, address: str, verb: str, document: dict, timeout_s: float) -> tuple[int, Any, bytes]:
        """Calls a control node, by its id where that is known.

        If another node is at the address by now, its id is forgotten, so that the next call there succeeds.

        Returns:
            The result code, the document and the body of the answer.

        Raises:
            CallError: No answer came.
        """
        node_id = self.sources.node_id(address)
        answer = await self.connections.to(address).call(verb, document, timeout_s=timeout_s, to=node_id)
        code, result, _ = answer
        if node_id and is_misdirected(code, result):
            self.counters.add("config.other_node")
            self.sources.forget_node(address)
        return answer

    def apply_answer(self, answer: FeedAnswer) -> None:
        """Applies an answer and announces what changed on the state board, as "work", "roll" and "parts"."""
        has_new_shards = False  # shards first: a change that cannot be applied leaves the rest as it was
        for shard, update in answer.shards.items():
            has_new_shards = self._apply_shard(shard, update) or has_new_shards
        self.applied_at = self.clock.now()
        if answer.wall_time is not None:
            self._wall_offsets_s.append(answer.wall_time - self.applied_at)
        self.incarnation = answer.incarnation
        self.registry_version = answer.registry_version
        self._update_addresses(list(answer.addresses))
        if answer.live_totals != self.live_totals:
            self.live_totals = answer.live_totals
            self.state_board.notify("work")
        changed = self._apply_replicas(answer.replicas)
        if changed:
            self._changed_replicas.extend(changed)
            self.state_board.notify("roll")
        if has_new_shards:
            self.state_board.notify("parts")

    def _update_addresses(self, addresses: list[str]) -> None:
        """Takes over the addresses that a control node sent; keeps the present source, as it is known to answer."""
        if not addresses:
            return
        source = self.addresses[self.source_index % len(self.addresses)]
        self.addresses = list(dict.fromkeys(addresses + ([source] if source not in addresses else [])))
        self.source_index = self.addresses.index(source)

    def _apply_replicas(self, entries: Sequence[ReplicaEntry]) -> list[ReplicaEntry]:
        """Takes over entries, and returns those that changed something.

        What a replica said is never replaced by something older, as a lagging node sends it, and a replica never comes
        back from draining or from being gone. The marks are always those of the node that answers: it sends them again
        only when they change.
        """
        replicas = self.replicas
        changed = []
        for entry in entries:
            known = replicas.get(entry["id"])
            if known is not None:
                known_state = known["state"]
                has_left = known_state == GONE or (known_state == DRAINING and entry["state"] == UP)
                if has_left or (entry["seq"] < known["seq"] and entry["state"] == known_state):
                    self.counters.add("config.late_replica")
                    if known_state == GONE or marks_of(entry) == marks_of(known):
                        continue
                    is_silent, is_superseded = marks_of(entry)
                    entry = {**known, "silent": is_silent, "superseded": is_superseded}
            replicas[entry["id"]] = entry
            changed.append(entry)
        return changed

    def _apply_shard(self, shard: str, update: ShardUpdate) -> bool:
        """Takes over a shard, whole or by its changes; returns whether this node's version is newer now."""
        held_version = self.versions.get(shard, 0)
        is_wanted_again = update.version == held_version and shard in self._to_fetch_whole
        if update.version <= held_version and not is_wanted_again:
            self.counters.add("config.late_shard")
            return False
        if update.changes is None:
            value = update.value
            self._to_fetch_whole.discard(shard)
        elif update.base == held_version:
            value = self._apply_changes(shard, update.changes)
        else:
            # The changes are for another version; the next query names the one that this node has.
            self.counters.add("config.other_base")
            return False
        self.versions[shard] = update.version
        self.shards[shard] = value
        return True

    def _apply_changes(self, shard: str, changes: Sequence[dict]) -> Any:  # noqa: ANN401 - any JSON
        """Returns a shard's value after changes.

        A control node of another version may show the same version of a register with other keys, so that changes by
        one do not fit what is held from the other; the whole value is asked for then.

        Raises:
            InvalidFieldError: They are no changes of the value that is held.
        """
        try:
            return apply_all(self.shards[shard], changes)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            self._to_fetch_whole.add(shard)
            raise InvalidFieldError(f"are no changes of the value that is held: {error!r}", f"parts.{shard}") from error

    def take_changed_replicas(self) -> list[ReplicaEntry]:
        """Returns the entries that came since the last call."""
        changed = self._changed_replicas
        self._changed_replicas = []
        return changed

    async def run_command(
        self, shard: str, name: str, args: dict, timeout_s: float = COMMAND_TIMEOUT_S
    ) -> tuple[int, Any]:
        """Runs a command on a shard's register, through any control node that can.

        Args:
            shard: The shard.
            name: The command.
            args: Its arguments.
            timeout_s: Seconds that each control node is given.

        Returns:
            The result code and the document of the answer; NO_MAJORITY without a document if no control node could
            run it.
        """
        command = {"part": shard, "name": name, "args": args}
        for _ in range(COMMAND_ROUNDS):
            for address in self.source_addresses():
                try:
                    code, document, _ = await self.call(address, "do", command, timeout_s)
                except CallError:
                    continue
                if code not in (NO_CONFIGURATION, NO_MAJORITY) and not is_misdirected(code, document):
                    return code, document
        return NO_MAJORITY, None
