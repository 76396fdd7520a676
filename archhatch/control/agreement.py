"""The registers of a control node: its votes, its proposers, and what it knows to be chosen."""

from __future__ import annotations

import orjson

from ..consensus import Acceptor, Proposer, UnclearResultError, members
from ..membership import rank
from ..rpc import CallError, Refusal
from ..wal import LogError
from ..consensus.reconfiguration import GroupSize, Patience, Sight, wanted_group
from .registers import PARTS, PLAN, commands

UNREACHED = 3003
OVERDUE = 2  # times the time after which a node counts as silent: so long an owner may take to settle a register
NOTHING = -1  # below the version of a register that was never changed, which is 0
REWRITE_BYTES = 1 << 20  # the log is rewritten from this length on,
REWRITE_GROWTH = 4  # ... once it is so many times as long as after the last rewrite


class Registers:
    """Runs commands on the registers, wherever their owner is, and keeps their groups right.

    >>> # registers = Registers(node); await registers.run("plan", "plan.get", {})
    """

    def __init__(self, node):
        self.node = node
        boot = node.boot
        self.known: dict[str, dict] = {}  # register -> the newest state that is known to be chosen
        self.chosen: dict[str, int] = {}  # register -> the highest version that anyone told to be chosen
        self.acceptors = {part: Acceptor(part, None, node.ctr) for part in PARTS}
        self.proposers: dict[str, Proposer] = {}
        self.founders: dict | None = None
        self.size = GroupSize.for_losses(boot.tolerate)
        self.patience = Patience(boot.secs("ContactMs", 0.5), boot.secs("ContactMs", 2))
        self._rewritten = 0
        self._open_since: dict[str, float] = {}  # register -> since when a newer version than the one held is known of

    # -- life

    def load(self, book, recs) -> None:
        """Take up what the log holds; the identity of the node, if it has one already, comes back."""
        for acceptor in self.acceptors.values():
            acceptor.book = book
        for raw in recs:
            rec = orjson.loads(raw)
            if "id" in rec:
                self.node.id, self.founders = rec["id"], rec["founders"]
            else:
                self.acceptors[rec["p"]].adopt(rec)

    def start(self) -> None:
        """Make the proposers; needs the node's identity."""
        node = self.node
        for part in PARTS:
            self.proposers[part] = Proposer(
                part,
                node.id,
                commands,
                node.ask,
                lambda part=part: self.base(part),
                self.publish,
                node.ctr,
                secs=node.boot.secs("ContactMs", 0.25),
                least=lambda part=part: self.version(part),
            )

    def identity(self) -> bytes:
        """The record that names this node."""
        return orjson.dumps({"id": self.node.id, "founders": self.founders})

    def snapshot(self) -> list[bytes]:
        """All that must outlive the process; the log asks for it while no vote is on its way to the disk."""
        return [self.identity()] + [a.record() for a in self.acceptors.values()]

    async def rewrite_if_long(self) -> None:
        """Replace the log by a snapshot once it has grown long."""
        book = self.node.book
        if book.size <= REWRITE_BYTES or book.size <= self._rewritten * REWRITE_GROWTH:
            return
        try:
            await book.rewrite()
        except LogError:
            self.node.ctr.add("log.rewrite_failed")  # the log before it still holds everything
            return
        self._rewritten = book.size

    # -- what is known

    def base(self, part: str) -> dict | None:
        """The newest state seen, chosen or not: it names whom to ask."""
        best, mine = self.known.get(part), self.acceptors[part].state
        if mine is not None and (best is None or mine["stamp"] > best["stamp"]):
            best = mine
        if best is None and self.founders:
            best = {"stamp": 0, "val": {}, "voters": self.founders, "prev": None}
        return best

    def group(self, part: str) -> dict | None:
        """The state whose voters count here: the newest that is known to be chosen, else the newest seen.

        A state that some have accepted may never be chosen; whoever ranked the owners by it would disagree with those
        that have not seen it, and each could take another one for the owner.
        """
        return self.known.get(part) or self.base(part)

    def version(self, part: str) -> int:
        """The version that this node knows to be chosen; NOTHING if it knows none."""
        return self.known[part]["stamp"] if part in self.known else NOTHING

    def versions(self) -> dict:
        """The same of all registers."""
        return {part: state["stamp"] for part, state in self.known.items()}

    def accepted(self) -> dict:
        """The versions that this node has accepted, synced: what it tells at a ping."""
        return {part: a.version for part, a in self.acceptors.items() if a.version}

    def told_chosen(self, versions: dict) -> list:
        """Another node knows these versions to be chosen; the registers of which it has a newer one."""
        for part, version in versions.items():
            self.chosen[part] = max(version, self.chosen.get(part, NOTHING))
        return [part for part, version in versions.items() if version > self.version(part)]

    def behind(self) -> set:
        """Registers of which this node knows a newer version than it holds: chosen, or accepted by a voter."""
        node, now, out = self.node, self.node.clock.now(), set()
        for part in PARTS:
            group = self.group(part)
            voters = members(group) if group else {}
            newest = max(self.chosen.get(part, NOTHING), node.contact.newest(part, voters, now))
            if newest > self.version(part):
                out.add(part)
        return out

    def publish(self, part: str, state: dict) -> None:
        """A state was chosen here: keep it, and tell the others."""
        if self.learn(part, state):
            self.node.peers.spread_commit(part, state["stamp"], self.proposers[part].lead)

    def learn(self, part: str, state: dict) -> bool:
        """A state is known to be chosen; True if it is news."""
        if state["stamp"] <= self.version(part):
            return False
        self.known[part] = state
        self.chosen[part] = max(state["stamp"], self.chosen.get(part, NOTHING))
        if part == PLAN:
            self.node.board.touch("plan")
        self.node.board.touch("news")
        return True

    def learn_accepted(self, part: str, version: int, ballot) -> bool:
        """A state that this node has accepted under a ballot was chosen; False if it has another one."""
        acceptor = self.acceptors[part]
        if version <= self.version(part):
            return True
        if acceptor.state is None or acceptor.version != version or list(acceptor.ballot) != list(ballot):
            return False
        self.learn(part, acceptor.state)
        return True

    # -- commands

    def owners(self, part: str) -> list:
        """The voters that are up, the one that should run the register's commands first."""
        group = self.group(part)
        if group is None:
            return []
        return rank(part, [v for v in group["voters"] if self.node.available(v)])

    def owns(self, part: str) -> bool:
        """Whether this node is the one to run a register's commands, as far as it knows."""
        return self.owners(part)[:1] == [self.node.id]

    async def run_here(self, part: str, name: str, args: dict, within: float):
        """Run a command with this node's own proposer: (code, document). Refusal 3003 if that stays unclear."""
        try:
            return await self.proposers[part].do(name, args, within)
        except UnclearResultError:
            raise Refusal(UNREACHED) from None

    async def run(self, part: str, name: str, args: dict):
        """Run a command where the register's owner is: (code, document). Refusal 3003 if the outcome is unclear."""
        node = self.node
        within = node.boot.secs("ContactMs", 0.4)
        for owner in self.owners(part)[:2] or [node.id]:
            if owner == node.id:
                return await self.run_here(part, name, args, within)
            addr = self.group(part)["voters"][owner]
            doc = {"part": part, "name": name, "args": args, "within": within}
            try:
                code, out, _ = await node.lines.to(addr).call("part.do", doc, secs=within, to=owner)
            except CallError:
                node.ctr.add("part.owner_silent")
                continue
            if code == 1000:
                return out["code"], out["doc"]
            node.ctr.add(f"part.owner_refused.{code}")  # another node stands there, or it reaches no majority
        raise Refusal(UNREACHED)

    # -- groups

    def overdue(self, part: str) -> bool:
        """Whether nobody has settled a register for so long that this node is to, whoever owns it.

        Nodes may disagree on the owner, or each may be waiting for one that stands still; the next in the row comes
        after another while.
        """
        now = self.node.clock.now()
        if part not in self.behind():
            self._open_since.pop(part, None)
            return False
        since = self._open_since.setdefault(part, now)
        row = self.owners(part)
        place = row.index(self.node.id) if self.node.id in row else len(row)
        return now - since > self.node.quiet_s * (OVERDUE + place)

    async def tend(self, part: str, settled: bool) -> None:
        """Finish what others began, settle what is not known to be chosen, and keep the group right."""
        proposer, base = self.proposers[part], self.base(part)
        # a group is changed from the one that counts: what is open is settled first
        want = self._wanted(self.group(part)) if settled and part not in self.behind() else None
        open_end = proposer.lead is not None and not proposer.settled
        if part not in self.known or part in self.behind() or base["prev"] or open_end or want:
            if want:
                self.node.log.info("part {}: the group becomes {}", part, sorted(want))
            await proposer.regroup(want or {})

    def _wanted(self, base: dict) -> dict | None:
        node, now, voters = self.node, self.node.clock.now(), base["voters"]
        cards = node.cores.cards
        spares = {i: c["addr"] for i, c in cards.items() if i not in voters and node.available(i)}
        if node.id not in voters and not node.leaving:
            spares[node.id] = node.addr
        silent = {v: max(self._silent(v, now), node.peers.disk_fails_for(v)) for v in voters}
        zones = {i: c["zone"] for i, c in cards.items()} | {node.id: node.boot.zone}
        sight = Sight(voters, spares, silent, node.peers.leaving & voters.keys(), zones)
        return wanted_group(sight, self.size, self.patience, node.quiet_s)

    def _silent(self, voter: str, now: float) -> float:
        node = self.node
        return 0.0 if voter == node.id else min(node.cores.silent(voter, now), now - node.started)

    def needed_for_leaving(self) -> bool:
        """Whether this node, which is to end, still votes somewhere although another could take its place."""
        node = self.node
        states = [s for s in map(self.group, PARTS) if s is not None]
        voting = [s for s in states if node.id in members(s)]
        spares = [i for i in node.cores.cards if node.available(i) and any(i not in s["voters"] for s in voting)]
        return any(spares or len(s["voters"]) > self.size.least for s in voting)
