"""Keeps the registers settled and their groups of voters right."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from ..consensus import members
from ..consensus.reconfiguration import GroupSize, GroupView, UnreachableTimeouts, desired_group
from .registers import SHARDS

if TYPE_CHECKING:
    from ..membership import PeerSet
    from ..runtime import Clock, Settings
    from .agreement import Registers
    from .peers import Peers

OVERDUE_AFTER = 2  # times quiet_s: so long an owner may take to settle a register
REPLACE_VOTER_SHARE = 0.5  # of ContactMs: a voter unreachable for so long is replaced, where a spare stands by
REMOVE_VOTER_SHARE = 2  # of ContactMs: ... or left out, where none does and enough others vote


class GroupMaintenanceHost(Protocol):
    """What the maintenance uses of its control node.

    Attributes:
        id: The node's id.
        address: Where it takes calls.
        leaving: Whether it is about to end.
        started: When it started, or last stood still; how long others were silent counts from then.
        quiet_s: After this many seconds without an answer a node counts as unreachable.
    """

    id: str
    address: str
    leaving: bool
    started: float
    quiet_s: float
    settings: Settings
    clock: Clock
    log: Any
    cores: PeerSet
    peers: Peers

    def available(self, node_id: str) -> bool:
        """Returns whether a control node is up and about to stay."""


class GroupMaintainer:
    """Finishes what other proposers began, and replaces voters that are gone.

    Attributes:
        size: How many voters the tolerated losses need.
        timeouts: After which time an unreachable voter is replaced or left out.
    """

    def __init__(self, node: GroupMaintenanceHost, registers: Registers) -> None:
        self.node = node
        self.registers = registers
        settings = node.settings
        self.size = GroupSize.for_losses(settings.tolerated_machines)
        self.timeouts = UnreachableTimeouts(
            settings.seconds("ContactMs", REPLACE_VOTER_SHARE), settings.seconds("ContactMs", REMOVE_VOTER_SHARE)
        )
        self._behind_since: dict[str, float] = {}  # since when a newer version of a register than held is known of

    def update_overdue(self, shard: str) -> bool:
        """Returns whether nobody has settled a register for so long that this node is to, whoever owns it.

        Nodes may disagree on the owner, or each may be waiting for one that stands still; the next in rank comes after
        another while. Notes since when the register has been behind.
        """
        now = self.node.clock.now()
        if shard not in self.registers.behind():
            self._behind_since.pop(shard, None)
            return False
        since = self._behind_since.setdefault(shard, now)
        owners = self.registers.owners(shard)
        position = owners.index(self.node.id) if self.node.id in owners else len(owners)
        return now - since > self.node.quiet_s * (OVERDUE_AFTER + position)

    async def maintain(self, shard: str, can_judge_peers: bool) -> None:
        """Finishes what others began, settles what is not known to be chosen, and keeps the group right.

        Args:
            shard: The register.
            can_judge_peers: Whether this node has been up for long enough that the silence of others says something.
        """
        registers = self.registers
        proposer, state, group = registers.proposers[shard], registers.newest_state(shard), registers.group(shard)
        voters = None
        # a group is changed from the one that counts: what is unsettled is settled first
        if can_judge_peers and group is not None and shard not in registers.behind():
            voters = self._desired_voters(group)
        is_uncommitted = proposer.prepared_number is not None and not proposer.is_committed
        is_unsettled = shard not in registers.known or shard in registers.behind()
        is_changing = state is not None and bool(state["prev"])
        if is_unsettled or is_changing or is_uncommitted or voters:
            if voters:
                self.node.log.info("register {}: group changes, voters={}", shard, sorted(voters))
            await proposer.reconfigure(voters or {})

    def _desired_voters(self, group: dict) -> dict | None:
        """Returns the voters that should be, None if the present ones are right."""
        node, now, voters = self.node, self.node.clock.now(), group["voters"]
        cards = node.cores.cards
        spares = {key: card["addr"] for key, card in cards.items() if key not in voters and node.available(key)}
        if node.id not in voters and not node.leaving:
            spares[node.id] = node.address
        unreachable_s = {
            voter: max(self._unreachable_s(voter, now), node.peers.disk_fails_for_s(voter)) for voter in voters
        }
        zones = {key: card["zone"] for key, card in cards.items()} | {node.id: node.settings.zone}
        view = GroupView(voters, spares, unreachable_s, node.peers.leaving & voters.keys(), zones)
        return desired_group(view, self.size, self.timeouts, node.quiet_s)

    def _unreachable_s(self, voter: str, now: float) -> float:
        """Returns for how long a voter was not heard, no longer than this node has been up."""
        node = self.node
        return 0.0 if voter == node.id else min(node.cores.silence_s(voter, now), now - node.started)

    def is_needed_for_leaving(self) -> bool:
        """Returns whether this node, which is to end, still votes somewhere although another could take its place."""
        node = self.node
        states = [state for state in map(self.registers.group, SHARDS) if state is not None]
        voted_states = [state for state in states if node.id in members(state)]
        has_spare = any(
            node.available(key) and any(key not in state["voters"] for state in voted_states)
            for key in node.cores.cards
        )
        return any(has_spare or len(state["voters"]) > self.size.minimum for state in voted_states)
