"""The registers of a control node: its acceptors, its proposers, and the states that it knows to be chosen."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, Any, Protocol, cast

import orjson

from ..consensus import Acceptor, Proposer, UnclearResultError, members
from ..membership import rank
from ..rpc import CallError, CallRefusedError, ConnectionPool
from ..wal import LogError, WriteAheadLog
from . import topics
from .contact import NO_VERSION
from .messages import RegisterCommand, RegisterCommandResult
from .registers import PLAN, SHARDS, commands
from .result_codes import DONE, NO_MAJORITY

if TYPE_CHECKING:
    from ..consensus import ProposalNumber
    from ..runtime import Clock, Counters, Settings, StateBoard
    from .contact import MajorityContact
    from .peers import Peers

REWRITE_BYTES = 1 << 20  # the log is rewritten from this length on,
REWRITE_GROWTH = 4  # ... once it is so many times as long as after the last rewrite
MAX_OWNERS_TRIED = 2  # the register's owner, and the next one if that does not answer
COMMAND_TIMEOUT_SHARE = 0.4  # of ContactMs: for a command at one owner
ROUND_TIMEOUT_SHARE = 0.25  # of ContactMs: for one round of a proposer


class RegistersHost(Protocol):
    """What the registers use of their control node.

    Attributes:
        id: The node's id; set when the log is loaded or the node first starts.
    """

    id: str
    settings: Settings
    clock: Clock
    counters: Counters
    state_board: StateBoard
    connections: ConnectionPool
    contact: MajorityContact
    peers: Peers
    wal: WriteAheadLog

    def available(self, node_id: str) -> bool:
        """Returns whether a control node is up and about to stay."""

    async def ask(self, address: str, verb: str, document: dict) -> Any:  # noqa: ANN401 - any JSON
        """Puts a proposer's question to a voter, this node among them."""


class Registers:
    """Runs commands on the registers, wherever their owner is, and holds what is known of their states.

    A state is a JSON object: `stamp`, its version; `val`, the value; `voters`, the addresses of the group by id; and
    `prev`, the voters before while the group changes, else None.

    Attributes:
        known: By register, the newest state that is known to be chosen.
        chosen: By register, the highest version that any node has reported as chosen.
        acceptors: By register, this node's acceptor.
        proposers: By register, this node's proposer; made by start().
        founders: The addresses of the first group by id; None on a node that joined later.
    """

    def __init__(self, node: RegistersHost) -> None:
        self.node = node
        self.known: dict[str, dict] = {}
        self.chosen: dict[str, int] = {}
        self.acceptors = {shard: Acceptor(shard, None, node.counters) for shard in SHARDS}
        self.proposers: dict[str, Proposer] = {}
        self.founders: dict[str, str] | None = None
        self._rewritten_bytes = 0

    # -- the log

    def load(self, wal: WriteAheadLog, records: Iterable[bytes]) -> None:
        """Takes up what the log holds, the node's identity included.

        Args:
            wal: The log, to which the acceptors write from now on.
            records: Its records, the oldest first.
        """
        for acceptor in self.acceptors.values():
            acceptor.wal = wal
        for raw in records:
            record = orjson.loads(raw)
            if "id" in record:
                self.node.id = record["id"]
                self.founders = record["founders"]
            else:
                self.acceptors[record["p"]].adopt(record)

    def start(self) -> None:
        """Makes the proposers; needs the node's identity."""
        for shard in SHARDS:
            self.proposers[shard] = self._make_proposer(shard)

    def _make_proposer(self, shard: str) -> Proposer:
        node = self.node
        return Proposer(
            shard,
            node.id,
            commands,
            node.ask,
            lambda: self.newest_state(shard),
            self.publish,
            node.counters,
            timeout_s=node.settings.seconds("ContactMs", ROUND_TIMEOUT_SHARE),
            chosen_version=lambda: self.chosen_version(shard),
        )

    def identity(self) -> bytes:
        """Returns the record that names this node."""
        return orjson.dumps({"id": self.node.id, "founders": self.founders})

    def snapshot(self) -> list[bytes]:
        """Returns all that must outlive the process; the log asks for it while no vote is on its way to the disk."""
        return [self.identity()] + [acceptor.record() for acceptor in self.acceptors.values()]

    async def rewrite_if_long(self) -> None:
        """Replaces the log by a snapshot once it has grown long."""
        wal = self.node.wal
        if wal.size <= REWRITE_BYTES or wal.size <= self._rewritten_bytes * REWRITE_GROWTH:
            return
        try:
            await wal.rewrite()
        except LogError:
            self.node.counters.add("log.rewrite_failed")  # the log before it still holds everything
            return
        self._rewritten_bytes = wal.size

    # -- what is known

    def newest_state(self, shard: str) -> dict | None:
        """Returns the newest state seen, chosen or not: it names whom to ask."""
        newest, accepted = self.known.get(shard), self.acceptors[shard].state
        if accepted is not None and (newest is None or accepted["stamp"] > newest["stamp"]):
            newest = accepted
        if newest is None and self.founders:
            newest = {"stamp": 0, "val": {}, "voters": self.founders, "prev": None}
        return newest

    def group(self, shard: str) -> dict | None:
        """Returns the state whose voters count here: the newest that is known to be chosen, else the newest seen.

        A state that some have accepted may never be chosen; whoever ranked the owners by it would disagree with those
        that have not seen it, and each could take another one for the owner.
        """
        return self.known.get(shard) or self.newest_state(shard)

    def chosen_version(self, shard: str) -> int:
        """Returns the version that this node knows to be chosen and holds; NO_VERSION if it knows none."""
        return self.known[shard]["stamp"] if shard in self.known else NO_VERSION

    def chosen_versions(self) -> dict[str, int]:
        """Returns the chosen version of each register that is known here."""
        return {shard: state["stamp"] for shard, state in self.known.items()}

    def accepted_versions(self) -> dict[str, int]:
        """Returns the versions that this node has accepted and synced, as its pings report them."""
        return {shard: acceptor.version for shard, acceptor in self.acceptors.items() if acceptor.version}

    def note_chosen_versions(self, versions: dict[str, int]) -> list[str]:
        """Notes the versions that another node knows to be chosen; returns the registers of which these are newer."""
        for shard, version in versions.items():
            self.chosen[shard] = max(version, self.chosen.get(shard, NO_VERSION))
        return [shard for shard, version in versions.items() if version > self.chosen_version(shard)]

    def behind(self) -> set[str]:
        """Returns the registers of which a newer version is known than held: chosen, or accepted by a voter."""
        node, now = self.node, self.node.clock.now()
        behind = set()
        for shard in SHARDS:
            group = self.group(shard)
            voters = members(group) if group else {}
            newest = max(self.chosen.get(shard, NO_VERSION), node.contact.newest_accepted(shard, voters, now))
            if newest > self.chosen_version(shard):
                behind.add(shard)
        return behind

    def publish(self, shard: str, state: dict) -> None:
        """Takes up a state that a proposer of this node has chosen, and tells the others."""
        if self.learn_chosen(shard, state):
            self.node.peers.spread_commit(shard, state["stamp"], self.proposers[shard].prepared_number)

    def learn_chosen(self, shard: str, state: dict) -> bool:
        """Takes up a state that is known to be chosen; returns whether it is newer than the one held."""
        if state["stamp"] <= self.chosen_version(shard):
            return False
        self.known[shard] = state
        self.chosen[shard] = max(state["stamp"], self.chosen.get(shard, NO_VERSION))
        if shard == PLAN:
            self.node.state_board.notify(topics.PLAN_REGISTER)
        self.node.state_board.notify(topics.FEED)
        return True

    def learn_accepted(self, shard: str, version: int, proposal_number: ProposalNumber | list) -> bool:
        """Takes up, as chosen, the state that this node has accepted under a proposal number.

        Returns:
            False if this node has accepted another one, and has to fetch the state.
        """
        acceptor = self.acceptors[shard]
        if version <= self.chosen_version(shard):
            return True
        if acceptor.state is None or acceptor.version != version:
            return False
        if list(acceptor.proposal_number) != list(proposal_number):
            return False
        self.learn_chosen(shard, acceptor.state)
        return True

    # -- commands

    def owners(self, shard: str) -> list[str]:
        """Returns the voters that are up, the one that should run the register's commands first."""
        group = self.group(shard)
        if group is None:
            return []
        return rank(shard, [voter for voter in group["voters"] if self.node.available(voter)])

    def owns(self, shard: str) -> bool:
        """Returns whether this node is the one to run a register's commands, as far as it knows."""
        return self.owners(shard)[:1] == [self.node.id]

    async def run_locally(self, shard: str, name: str, args: dict, within_s: float) -> tuple[int, Any]:
        """Runs a command with this node's own proposer.

        Returns:
            The code and the document.

        Raises:
            CallRefusedError: NO_MAJORITY, if the outcome is unclear.
        """
        try:
            return await self.proposers[shard].execute(name, args, within_s)
        except UnclearResultError:
            raise CallRefusedError(NO_MAJORITY) from None

    async def run(self, shard: str, name: str, args: dict) -> tuple[int, Any]:
        """Runs a command where the register's owner is.

        Args:
            shard: The register.
            name: The command.
            args: Its arguments.

        Returns:
            The code and the document.

        Raises:
            CallRefusedError: NO_MAJORITY, if the outcome is unclear.
        """
        node = self.node
        timeout_s = node.settings.seconds("ContactMs", COMMAND_TIMEOUT_SHARE)
        for owner in self.owners(shard)[:MAX_OWNERS_TRIED] or [node.id]:
            if owner == node.id:
                return await self.run_locally(shard, name, args, timeout_s)
            result = await self._run_at(owner, RegisterCommand(shard, name, args, timeout_s))
            if result is not None:
                return result.code, result.document
        raise CallRefusedError(NO_MAJORITY)

    async def _run_at(self, owner: str, command: RegisterCommand) -> RegisterCommandResult | None:
        """Runs a command at another node; None if that does not answer or refuses."""
        node = self.node
        group = self.group(command.shard)
        assert group is not None  # it named the owner
        connection = node.connections.to(group["voters"][owner])
        try:
            code, document, _ = await connection.call(
                "part.do", command.to_document(), timeout_s=command.within_s, to=owner
            )
        except CallError:
            node.counters.add("register.owner_unreachable")
            return None
        if code != DONE:
            # another node stands at its address, or it reaches no majority
            node.counters.add(f"register.owner_refused.{code}")
            return None
        return RegisterCommandResult.from_document(cast(dict, document))
