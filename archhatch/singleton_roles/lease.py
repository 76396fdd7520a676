"""A standing lease as its holder has it: requested while it is free, renewed, checked at each act, released."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

from ..rpc import CallError
from .errors import RoleCallError, StaleFenceError, WrongRoleStateError
from .messages import GrantAnswer, LeaseRelease, LeaseRenewal, LeaseRequest
from .node import RoleNode
from .record import LeaseStatus, PriorState, RoleState
from .state_machine import MIN_LEASE_S

DONE = 1000
UNREACHED = 3003  # no majority answered: the command may have been carried out
RENEWAL_POINT = 0.65  # share of the lease after which it is renewed: leaves time for several tries
SAFETY_MARGIN = 0.1  # share of the lease: its holder stops acting so long before its end, as clocks differ
RELEASE_REST = 1.1  # times LeaseMs: how long others wait for a released lease; covers calls that are under way
CHECK_INTERVAL = 2.0  # heartbeats between two checks of the lease


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """One grant of a lease to this process.

    Attributes:
        fencing_token: The token under which this process acts.
        prior: What is known of the attempts before.
    """

    fencing_token: int
    prior: PriorState


class StandingLease:
    """Keeps one namespace's lease on the store that owns the namespace's register, or on the one that has it.

    Only the owner requests it: it sees by itself when the lease has lapsed, so that nobody has to ask in vain.

    Attributes:
        namespace: The namespace; also the key of its lease.
        lease_s: The length of the lease in seconds.
        rest_s: Seconds that others wait for the lease after its release.
        grant: The grant that this process holds; None while it holds none.
    """

    def __init__(self, node: RoleNode, namespace: str) -> None:
        settings = node.settings
        self.namespace = namespace
        self.lease_s = max(MIN_LEASE_S, settings.seconds("LeaseMs"))
        self.rest_s = settings.seconds("LeaseMs", RELEASE_REST)
        self.grant: LeaseGrant | None = None
        self._node = node
        self._until = float("-inf")  # steady clock: the end of the lease, counted from before it was requested

    # -- acting

    def may_act(self) -> bool:
        """Whether this process holds the lease now; to be asked at the moment of each write to the outside."""
        return self.grant is not None and self._node.clock.now() < self._until - self.lease_s * SAFETY_MARGIN

    async def call(self, name: str, key: str, **arguments: object) -> Any:  # noqa: ANN401 - a JSON document
        """Runs a command under the lease's fencing token.

        Args:
            name: The command, such as `duty.commit`.
            key: The role's key.
            **arguments: The command's own arguments, by their keys on the wire.

        Returns:
            The answer's document.

        Raises:
            RoleCallError: The lease has ended, or the command was not carried out.
        """
        grant = self.grant
        if grant is None:
            raise RoleCallError(StaleFenceError.code)
        requester = {"node": self._node.settings.node_name, "life": self._node.incarnation}
        document = {"key": key, "fence": grant.fencing_token, **arguments, **requester}
        code, answer = await self._run(name, document)
        if code != DONE:
            raise RoleCallError(code, answer)
        return answer

    # -- holding

    async def run(self) -> None:
        """Requests the lease when it is free and this store is the one to ask, and renews it while held; for good."""
        while True:
            await self.check()
            await asyncio.sleep(self._node.heartbeat_interval_s * CHECK_INTERVAL)

    async def check(self) -> None:
        """Does once what is due: requests, renews or releases the lease."""
        now = self._node.clock.now()
        if self.grant is not None and now >= self._until:
            self._lose("lapsed")
        if self.grant is None:
            if self._may_request():
                await self._request()
            return
        if self._node.leaving:
            await self.release()
        elif now >= self._until - self.lease_s * (1.0 - RENEWAL_POINT):
            await self._renew(self.grant)

    def _may_request(self) -> bool:
        node = self._node
        can_serve = not node.leaving and node.ready and node.disk.takes
        return can_serve and self._is_free()

    def _is_free(self) -> bool:
        """Whether a request may be granted, as far as this store knows.

        It owns the register, and no other node holds the lease.
        """
        ledger = self._node.ledger
        if ledger.owner(self.namespace) != self._node.id or self.namespace not in ledger.known:
            return False
        role = self._newest_status()
        if role is None or role.lease_holder is None or role.lease_holder.node == self._node.settings.node_name:
            return True
        return ledger.watch.unchanged_s(self.namespace, self._node.clock.now()) >= role.lease_s

    async def _request(self) -> None:
        requested_at = self._node.clock.now()
        request = LeaseRequest(self.namespace, self.lease_s, self._node.settings.node_name, self._node.incarnation)
        code, answer = await self._run("duty.request", request.to_document())
        self._node.counters.add(f"role.request.{code}")
        if code != DONE:
            return
        granted = GrantAnswer.from_document(answer)
        self.grant = LeaseGrant(granted.fencing_token, PriorState(granted.prior))
        self._until = requested_at + self.lease_s
        self._node.log.info("role {}: lease acquired, fencing_token={}", self.namespace, granted.fencing_token)
        self._node.state_board.notify("duty")

    async def _renew(self, grant: LeaseGrant) -> None:
        requested_at = self._node.clock.now()
        renewal = LeaseRenewal(
            self.namespace, grant.fencing_token, self._node.settings.node_name, self._node.incarnation
        )
        code, _ = await self._run("duty.renew", renewal.to_document())
        self._node.counters.add(f"role.renew.{code}")
        if code == DONE:
            self._until = max(self._until, requested_at + self.lease_s)
        elif code in (StaleFenceError.code, WrongRoleStateError.code):
            self._lose("another holds it")

    async def release(self) -> None:
        """Gives the lease back; another node may have it once LeaseMs has passed."""
        grant = self.grant
        self.grant = None
        if grant is None:
            return
        release = LeaseRelease(
            self.namespace, grant.fencing_token, self.rest_s, self._node.settings.node_name, self._node.incarnation
        )
        code, _ = await self._run("duty.release", release.to_document())
        self._node.counters.add(f"role.release.{code}")

    def _lose(self, reason: str) -> None:
        fencing_token = self.grant.fencing_token if self.grant is not None else None
        self._node.log.info("role {}: lease lost, fencing_token={} reason={!r}", self.namespace, fencing_token, reason)
        self._node.counters.add("role.lease_lost")
        self.grant = None

    async def _run(self, name: str, document: dict) -> tuple[int, Any]:
        try:
            return await self._node.ledger.run(name, document)
        except CallError:
            return UNREACHED, None

    def _newest_status(self) -> LeaseStatus | None:
        document = self._node.ledger.roles(self.namespace).get(self.namespace)
        return None if document is None else LeaseStatus.from_document(document)

    def newest_known_holder(self) -> str | None:
        """The name of the node that held the lease in the newest state seen here: a hint, not a proof."""
        role = self._newest_status()
        if role is None or role.state is not RoleState.RUNNING or role.lease_holder is None:
            return None
        return role.lease_holder.node
