"""Maintains the groups of voters that hold the role registers.

The first group of a namespace is written into the control plane's `plan` register, once; each later one as well, after
the role register itself has it. Who knows no voter any more finds the group there, and a store stays a member for as
long as the newest group written there names it.
"""

from __future__ import annotations

from typing import Any, Protocol

from ..membership import rank
from .group_planner import GroupPlanner
from .node import RoleNode

SETTLING_HEARTBEATS = 4  # heartbeats for which a store has been up before it changes groups: it must know the others


class GroupRegisters(Protocol):
    """What the maintenance uses of the register host.

    Attributes:
        known: The newest state known to be chosen, by namespace.
        proposers: The proposer of each namespace.
    """

    known: dict[str, dict]
    proposers: dict[str, Any]

    def base(self, namespace: str) -> dict | None:
        """The newest state seen, chosen or not."""

    def owner(self, namespace: str) -> str | None:
        """The id of the store that runs the namespace's commands."""

    def published_group(self, namespace: str) -> dict | None:
        """The group that the control plane's register has."""

    def learn(self, namespace: str, state: dict) -> None:
        """Takes in a state that is known to be chosen."""


class GroupMaintenance:
    """Creates, settles and changes the groups that are this store's to look after."""

    def __init__(self, node: RoleNode, registers: GroupRegisters) -> None:
        self._node = node
        self._registers = registers
        self._planner = GroupPlanner(node)

    async def maintain(self, namespace: str) -> None:
        """Does once what a namespace's group needs, if it is this store's to do."""
        if self._registers.base(namespace) is None:
            await self._create_group(namespace)
        elif self._registers.owner(namespace) == self._node.id:
            await self._update_group(namespace)

    def _has_settled(self) -> bool:
        up_s = self._node.clock.now() - self._planner.started_at
        return up_s >= self._node.heartbeat_interval_s * SETTLING_HEARTBEATS

    async def _create_group(self, namespace: str) -> None:
        """Has the first group written down, if this store is the one to do it."""
        voters = self._planner.first_voters(namespace)
        reachable = [store_id for store_id in self._node.members() if self._node.membership.stays(store_id)]
        is_first = rank(namespace, reachable)[:1] == [self._node.id]
        if voters is None or not is_first or not self._has_settled():
            return
        code = await self._publish(namespace, voters, 0)
        self._node.counters.add(f"ledger.group_created.{code}")

    async def _update_group(self, namespace: str) -> None:
        """Settles what is not known to be chosen, and brings the group to what it should be."""
        proposer = self._registers.proposers[namespace]
        base = self._registers.base(namespace)
        if base is None:
            return
        known = self._registers.known.get(namespace)
        # A newer state than the chosen one that is known here may be chosen as well, by a proposer that is gone.
        is_behind = known is None or known["stamp"] < base["stamp"]
        voters = self._planner.next_voters(base) if not is_behind and self._has_settled() else None
        is_unsettled = base["prev"] or proposer.prepared_number is None or not proposer.is_committed
        if voters or is_behind or is_unsettled:
            if voters:
                self._node.log.info("ledger {}: group changes, voters={}", namespace, sorted(voters))
            await proposer.reconfigure(voters or {})
            if proposer.is_committed and proposer.state is not None:
                self._registers.learn(namespace, proposer.state.document)
        await self._publish_group(namespace)

    async def _publish_group(self, namespace: str) -> None:
        """Writes the group of the chosen state to the control plane, unless that has it or the group is changing."""
        known = self._registers.known.get(namespace)
        published = self._registers.published_group(namespace)
        if known is None or published is None:
            return
        if known["prev"] or known["voters"] == published["voters"]:
            return
        code = await self._publish(namespace, known["voters"], known["stamp"])
        self._node.counters.add(f"ledger.group_published.{code}")

    async def _publish(self, namespace: str, voters: dict[str, str], version: int) -> int:
        group = {"key": namespace, "voters": voters, "stamp": version}
        code, _ = await self._node.config_watcher.run_command("plan", "ledger.group", group)
        return code
