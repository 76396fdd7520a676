"""The registers of a control node: its votes, its proposers, and what it knows to be chosen."""

from __future__ import annotations

import orjson

from ..consensus import Acceptor, Proposer, UnclearResultError, members
from ..membership import rank
from ..rpc import CallError, CallRefusedError
from ..wal import LogError
from ..consensus.reconfiguration import GroupSize, UnreachableTimeouts, GroupView, desired_group
from .registers import SHARDS, PLAN, commands

UNREACHED = 3003
OVERDUE = 2  # times the time after which a node counts as silent: so long an owner may take to settle a register
NO_VERSION = -1  # below the version of a register that was never changed, which is 0
REWRITE_BYTES = 1 << 20  # the log is rewritten from this length on,
REWRITE_GROWTH = 4  # ... once it is so many times as long as after the last rewrite


class Registers:
    """Runs commands on the registers, wherever their owner is, and keeps their groups right.

    >>> # registers = Registers(node); await registers.run("plan", "plan.get", {})
    """

    def __init__(self, node):
        self.node = node
        settings = node.settings
        self.known: dict[str, dict] = {}  # register -> the newest state that is known to be chosen
        self.chosen: dict[str, int] = {}  # register -> the highest version that anyone told to be chosen
        self.acceptors = {shard: Acceptor(shard, None, node.counters) for shard in SHARDS}
        self.proposers: dict[str, Proposer] = {}
        self.founders: dict | None = None
        self.size = GroupSize.for_losses(settings.tolerated_machines)
        self.patience = UnreachableTimeouts(settings.seconds("ContactMs", 0.5), settings.seconds("ContactMs", 2))
        self._rewritten = 0
        self._open_since: dict[str, float] = {}  # register -> since when a newer version than the one held is known of

    # -- life

    def load(self, wal, records) -> None:
        """Take up what the log holds; the identity of the node, if it has one already, comes back."""
        for acceptor in self.acceptors.values():
            acceptor.wal = wal
        for raw in records:
            record = orjson.loads(raw)
            if "id" in record:
                self.node.id, self.founders = record["id"], record["founders"]
            else:
                self.acceptors[record["p"]].adopt(record)

    def start(self) -> None:
        """Make the proposers; needs the node's identity."""
        node = self.node
        for shard in SHARDS:
            self.proposers[shard] = Proposer(
                shard,
                node.id,
                commands,
                node.ask,
                lambda shard=shard: self.base(shard),
                self.publish,
                node.counters,
                timeout_s=node.settings.seconds("ContactMs", 0.25),
                chosen_version=lambda shard=shard: self.version(shard),
            )

    def identity(self) -> bytes:
        """The record that names this node."""
        return orjson.dumps({"id": self.node.id, "founders": self.founders})

    def snapshot(self) -> list[bytes]:
        """All that must outlive the process; the log asks for it while no vote is on its way to the disk."""
        return [self.identity()] + [a.record() for a in self.acceptors.values()]

    async def rewrite_if_long(self) -> None:
        """Replace the log by a snapshot once it has grown long."""
        wal = self.node.wal
        if wal.size <= REWRITE_BYTES or wal.size <= self._rewritten * REWRITE_GROWTH:
            return
        try:
            await wal.rewrite()
        except LogError:
            self.node.counters.add("log.rewrite_failed")  # the log before it still holds everything
            return
        self._rewritten = wal.size

    # -- what is known

    def base(self, shard: str) -> dict | None:
        """The newest state seen, chosen or not: it names whom to ask."""
        best, mine = self.known.get(shard), self.acceptors[shard].state
        if mine is not None and (best is None or mine["stamp"] > best["stamp"]):
            best = mine
        if best is None and self.founders:
            best = {"stamp": 0, "val": {}, "voters": self.founders, "prev": None}
        return best

    def group(self, shard: str) -> dict | None:
        """The state whose voters count here: the newest that is known to be chosen, else the newest seen.

        A state that some have accepted may never be chosen; whoever ranked the owners by it would disagree with those
        that have not seen it, and each could take another one for the owner.
        """
        return self.known.get(shard) or self.base(shard)

    def version(self, shard: str) -> int:
        """The version that this node knows to be chosen; NO_VERSION if it knows none."""
        return self.known[shard]["stamp"] if shard in self.known else NO_VERSION

    def versions(self) -> dict:
        """The same of all registers."""
        return {shard: state["stamp"] for shard, state in self.known.items()}

    def accepted(self) -> dict:
        """The versions that this node has accepted, synced: what it tells at a ping."""
        return {shard: a.version for shard, a in self.acceptors.items() if a.version}

    def told_chosen(self, versions: dict) -> list:
        """Another node knows these versions to be chosen; the registers of which it has a newer one."""
        for shard, version in versions.items():
            self.chosen[shard] = max(version, self.chosen.get(shard, NO_VERSION))
        return [shard for shard, version in versions.items() if version > self.version(shard)]

    def behind(self) -> set:
        """Registers of which this node knows a newer version than it holds: chosen, or accepted by a voter."""
        node, now, out = self.node, self.node.clock.now(), set()
        for shard in SHARDS:
            group = self.group(shard)
            voters = members(group) if group else {}
            newest = max(self.chosen.get(shard, NO_VERSION), node.contact.newest_accepted(shard, voters, now))
            if newest > self.version(shard):
                out.add(shard)
        return out

    def publish(self, shard: str, state: dict) -> None:
        """A state was chosen here: keep it, and tell the others."""
        if self.learn(shard, state):
            self.node.peers.spread_commit(shard, state["stamp"], self.proposers[shard].prepared_number)

    def learn(self, shard: str, state: dict) -> bool:
        """A state is known to be chosen; True if it is news."""
        if state["stamp"] <= self.version(shard):
            return False
        self.known[shard] = state
        self.chosen[shard] = max(state["stamp"], self.chosen.get(shard, NO_VERSION))
        if shard == PLAN:
            self.node.state_board.notify("plan")
        self.node.state_board.notify("news")
        return True

    def learn_accepted(self, shard: str, version: int, proposal_number) -> bool:
        """A state that this node has accepted under a ballot was chosen; False if it has another one."""
        acceptor = self.acceptors[shard]
        if version <= self.version(shard):
            return True
        if (
            acceptor.state is None
            or acceptor.version != version
            or list(acceptor.proposal_number) != list(proposal_number)
        ):
            return False
        self.learn(shard, acceptor.state)
        return True

    # -- commands

    def owners(self, shard: str) -> list:
        """The voters that are up, the one that should run the register's commands first."""
        group = self.group(shard)
        if group is None:
            return []
        return rank(shard, [v for v in group["voters"] if self.node.available(v)])

    def owns(self, shard: str) -> bool:
        """Whether this node is the one to run a register's commands, as far as it knows."""
        return self.owners(shard)[:1] == [self.node.id]

    async def run_here(self, shard: str, name: str, args: dict, within: float):
        """Run a command with this node's own proposer: (code, document). Raises 3003 if that stays unclear."""
        try:
            return await self.proposers[shard].execute(name, args, within)
        except UnclearResultError:
            raise CallRefusedError(UNREACHED) from None

    async def run(self, shard: str, name: str, args: dict):
        """Run a command where the register's owner is: (code, document). Raises 3003 if the outcome is unclear."""
        node = self.node
        within = node.settings.seconds("ContactMs", 0.4)
        for owner in self.owners(shard)[:2] or [node.id]:
            if owner == node.id:
                return await self.run_here(shard, name, args, within)
            address = self.group(shard)["voters"][owner]
            doc = {"part": shard, "name": name, "args": args, "within": within}
            try:
                code, out, _ = await node.connections.to(address).call("part.do", doc, timeout_s=within, to=owner)
            except CallError:
                node.counters.add("part.owner_silent")
                continue
            if code == 1000:
                return out["code"], out["doc"]
            node.counters.add(f"part.owner_refused.{code}")  # another node stands there, or it reaches no majority
        raise CallRefusedError(UNREACHED)

    # -- groups

    def overdue(self, shard: str) -> bool:
        """Whether nobody has settled a register for so long that this node is to, whoever owns it.

        Nodes may disagree on the owner, or each may be waiting for one that stands still; the next in the row comes
        after another while.
        """
        now = self.node.clock.now()
        if shard not in self.behind():
            self._open_since.pop(shard, None)
            return False
        since = self._open_since.setdefault(shard, now)
        row = self.owners(shard)
        place = row.index(self.node.id) if self.node.id in row else len(row)
        return now - since > self.node.quiet_s * (OVERDUE + place)

    async def tend(self, shard: str, settled: bool) -> None:
        """Finish what others began, settle what is not known to be chosen, and keep the group right."""
        proposer, base = self.proposers[shard], self.base(shard)
        # a group is changed from the one that counts: what is open is settled first
        want = self._wanted(self.group(shard)) if settled and shard not in self.behind() else None
        open_end = proposer.prepared_number is not None and not proposer.is_committed
        if shard not in self.known or shard in self.behind() or base["prev"] or open_end or want:
            if want:
                self.node.log.info("part {}: the group becomes {}", shard, sorted(want))
            await proposer.reconfigure(want or {})

    def _wanted(self, base: dict) -> dict | None:
        node, now, voters = self.node, self.node.clock.now(), base["voters"]
        cards = node.cores.cards
        spares = {i: c["addr"] for i, c in cards.items() if i not in voters and node.available(i)}
        if node.id not in voters and not node.leaving:
            spares[node.id] = node.address
        silent = {v: max(self._silent(v, now), node.peers.disk_fails_for(v)) for v in voters}
        zones = {i: c["zone"] for i, c in cards.items()} | {node.id: node.settings.zone}
        sight = GroupView(voters, spares, silent, node.peers.leaving & voters.keys(), zones)
        return desired_group(sight, self.size, self.patience, node.quiet_s)

    def _silent(self, voter: str, now: float) -> float:
        node = self.node
        return 0.0 if voter == node.id else min(node.cores.silence_s(voter, now), now - node.started)

    def needed_for_leaving(self) -> bool:
        """Whether this node, which is to end, still votes somewhere although another could take its place."""
        node = self.node
        states = [s for s in map(self.group, SHARDS) if s is not None]
        voting = [s for s in states if node.id in members(s)]
        spares = [i for i in node.cores.cards if node.available(i) and any(i not in s["voters"] for s in voting)]
        return any(spares or len(s["voters"]) > self.size.minimum for s in voting)
