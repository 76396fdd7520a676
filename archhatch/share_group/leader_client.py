"""Calls from a worker to the leader of a run, which may be its own node."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ..rpc import CallRefusedError
from .hosts import WorkerHost

DONE_CODE = 1000  # docs/codes.md


@dataclass(frozen=True, slots=True)
class LeaderAddress:
    """The leader of a run.

    Attributes:
        epoch: Its leader epoch.
        node_id: Its member id.
        address: Where it answers calls.
    """

    epoch: int
    node_id: str
    address: str


class LeaderClient:
    """Finds and calls leaders.

    Attributes:
        host: What is used of the node.
    """

    def __init__(self, host: WorkerHost) -> None:
        self.host = host

    def leader_of(self, run: str) -> LeaderAddress | None:
        """Returns the leader that the current lease names, or None while no member holds it."""
        lease = self.host.leases().get(run)
        member = self.host.members().get(lease["holder"]) if lease else None
        if lease is None or not member:
            return None
        return LeaderAddress(lease["term"], lease["holder"], member["addr"])

    async def call(
        self, leader: LeaderAddress, verb: str, document: dict, body: bytes, timeout_s: float
    ) -> tuple[int, Any, bytes]:
        """Calls a leader.

        Args:
            leader: The leader.
            verb: The call.
            document: The request's document, without the address "to".
            body: The request's body.
            timeout_s: How long to wait for the answer; a call to this very node is not timed.

        Returns:
            The result code, and the answer's document and body.

        Raises:
            CallError: No answer came.
        """
        document = {"to": leader.node_id, **document}
        if leader.node_id != self.host.id:
            return await self.host.connections.to(leader.address).call(verb, document, body, timeout_s=timeout_s)
        try:
            answer = await self.host.verbs.table[verb](document, body)
        except CallRefusedError as refusal:
            return refusal.code, refusal.document, b""
        if isinstance(answer, tuple):
            return DONE_CODE, *answer
        return DONE_CODE, answer, b""
