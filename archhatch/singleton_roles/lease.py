"""A standing lease as its holder has it: asked for while nobody holds it, renewed, checked at each act, given back."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from ..rpc import CallError
from .state_machine import SHORTEST_LEASE_S
from .record import RoleState, PriorState

DONE = 1000
RENEW_FROM = 0.65  # of the lease
MARGIN = 0.1  # of the lease: its holder stops acting so long before its end
REST = 1.1  # of LeaseMs: how long others wait for a lease that was given back
LOOK = 2.0  # heartbeats between looks


@dataclass(frozen=True, slots=True)
class Tenancy:
    """One grant of a lease to this process."""

    fence: int
    prior: PriorState


class RoleCallError(Exception):
    """The ledger refused a call or gave no clear answer; carries the numbered code."""

    def __init__(self, code: int, doc: object = None):
        super().__init__(f"{code}: {doc}")
        self.code, self.doc = code, doc


class StandingLease:
    """Keeps one namespace's lease on the store that owns the namespace's register, or on the one that has it.

    Only the owner asks for it: it sees by itself when the lease has lapsed, so that nobody has to ask in vain.

    >>> # lease = StandingLease(store, "accounting"); task_group.run_forever("lease", lease.run); lease.may_act()
    """

    def __init__(self, store, namespace: str):
        self.store, self.namespace = store, namespace
        settings = store.settings
        self.lease_s = max(SHORTEST_LEASE_S, settings.seconds("LeaseMs"))
        self.rest_s = settings.seconds("LeaseMs", REST)
        self.tenancy: Tenancy | None = None
        self._until = float("-inf")

    # -- acting

    def may_act(self) -> bool:
        """Whether this process holds the lease now; to be asked at the moment of each write to the outside."""
        return self.tenancy is not None and self.store.clock.now() < self._until - self.lease_s * MARGIN

    async def call(self, name: str, key: str, **args) -> dict | None:
        """Run a command under the lease's fence; RoleCallError unless it was carried out."""
        tenancy = self.tenancy
        if tenancy is None:
            raise RoleCallError(2302)
        code, doc = await self._run(name, {"key": key, "fence": tenancy.fence, **args})
        if code != DONE:
            raise RoleCallError(code, doc)
        return doc

    # -- holding

    async def run(self) -> None:
        """Take the lease when it is free and this store is the one to ask, renew it while it is held, for good."""
        while True:
            await self.look()
            await asyncio.sleep(self.store.heartbeat_interval_s * LOOK)

    async def look(self) -> None:
        """One look: ask, renew, give back or wait."""
        store, now = self.store, self.store.clock.now()
        if self.tenancy is not None and now >= self._until:
            self._lost("lapsed")
        if self.tenancy is None:
            if not store.leaving and store.ready and store.disk.takes and self._is_free():
                await self._request()
            return
        if store.leaving:
            await self.give_back()
        elif now >= self._until - self.lease_s * (1.0 - RENEW_FROM):
            await self._renew()

    def _is_free(self) -> bool:
        """Whether a request may be granted: this store owns the register, and nobody holds the lease, as far as it
        knows."""
        ledger = self.store.ledger
        if ledger.owner(self.namespace) != self.store.id or self.namespace not in ledger.known:
            return False
        duty = ledger.duties(self.namespace).get(self.namespace)
        if duty is None or duty["holder"] is None or duty["holder"][0] == self.store.settings.node_name:
            return True
        return ledger.watch.seen_s(self.namespace, self.store.clock.now()) >= duty["lease_s"]

    async def _request(self) -> None:
        asked = self.store.clock.now()
        code, doc = await self._run("duty.request", {"key": self.namespace, "lease_s": self.lease_s})
        self.store.counters.add(f"duty.request.{code}")
        if code != DONE:
            return
        self.tenancy = Tenancy(doc["fence"], PriorState(doc["prior"]))
        self._until = asked + self.lease_s
        self.store.log.info("duty {}: held under fence {}", self.namespace, doc["fence"])
        self.store.state_board.notify("duty")

    async def _renew(self) -> None:
        asked = self.store.clock.now()
        code, _ = await self._run("duty.renew", {"key": self.namespace, "fence": self.tenancy.fence})
        self.store.counters.add(f"duty.renew.{code}")
        if code == DONE:
            self._until = max(self._until, asked + self.lease_s)
        elif code in (2302, 2307):
            self._lost("another holds it")

    async def give_back(self) -> None:
        """End the tenancy; another machine may have the lease once LeaseMs has passed."""
        tenancy, self.tenancy = self.tenancy, None
        if tenancy is not None:
            args = {"key": self.namespace, "fence": tenancy.fence, "rest_s": self.rest_s}
            code, _ = await self._run("duty.release", args)
            self.store.counters.add(f"duty.release.{code}")

    def _lost(self, why: str) -> None:
        self.store.log.info("duty {}: fence {} is over, {}", self.namespace, self.tenancy.fence, why)
        self.store.counters.add("duty.lost")
        self.tenancy = None

    async def _run(self, name: str, args: dict) -> tuple[int, object]:
        identity = {"node": self.store.settings.node_name, "life": self.store.incarnation}
        try:
            return await self.store.ledger.run(name, {**args, **identity})
        except CallError:
            return 3003, None

    def holder_hint(self) -> str | None:
        """The name of the node that held the lease in the newest state seen here."""
        duty = self.store.ledger.duties(self.namespace).get(self.namespace)
        if duty is None or duty["state"] != RoleState.RUNNING.value:
            return None
        return duty["holder"][0]
