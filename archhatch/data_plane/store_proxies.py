"""Rare requests go by a store of this zone, on a connection to a replica that the store keeps anyway.

A new connection is dear to replicas, and one that is used once in a while is closed before its next use. Stores send
reward calls all the time, so theirs are warm; calls between nodes are cheap. A node whose own requests come often
enough to keep a connection warm sends them itself: what a store may be asked for is bounded by each edge's own rate.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..jobs import active_members
from ..membership import rank
from ..rpc import CallError
from ..upstream import Answer, Ran

RARE = 12.0  # requests of a service within HALF_S, about, from which this node keeps connections of its own
HALF_S = 4.0  # after so long a request counts half
NOT_RUN = {2006, 2008, 2009, 3002, 3004, 3005, 3101}  # refusals of a store that sent nothing


@dataclass(frozen=True, slots=True)
class Proxy:
    """A store that may send a request."""

    sid: str
    address: str


@dataclass(slots=True)
class _Rate:
    """Requests of a service lately; older ones count less."""

    count: float = 0.0
    at: float = float("-inf")

    def add(self, now: float) -> float:
        """Count one more; how many there were lately, this one included."""
        self.count = self.count * 0.5 ** ((now - self.at) / HALF_S) + 1.0
        self.at = now
        return self.count


class StoreProxies:
    """Chooses a store for a rare request, and has it sent.

    >>> # proxy = proxies.choose("service", clock.now())
    >>> # answer = await proxies.send(proxy, request_doc, body, timeout_s)
    """

    def __init__(self, config_watcher, lines, port: int, zone: str, rest_s: float, counters):
        self.config_watcher, self.connections, self.port, self.zone, self.rest_s, self.counters = (
            config_watcher,
            lines,
            port,
            zone,
            rest_s,
            counters,
        )
        self._rates: dict[str, _Rate] = {}
        self._resting: dict[str, float] = {}  # store -> until when it is not asked

    def rare(self, service: str, now: float) -> bool:
        """Count a request of a service; whether they come too rarely to keep a connection for them."""
        return self._rates.setdefault(service, _Rate()).add(now) < RARE

    def choose(self, service: str, now: float) -> Proxy | None:
        """The store of this zone for a service, the same for all edges of the zone; one that leads runs has other
        work."""
        register = self.config_watcher.shards.get("plan") or {}
        holders = {
            lease["holder"]
            for value in self.config_watcher.shards.values()
            for lease in (value.get("tenures") or {}).values()
        }
        here = {
            sid: member
            for sid, member in active_members(register.get("stores", {})).items()
            if member["zone"] == self.zone and sid not in holders and self._resting.get(sid, now) <= now
        }
        if not here:
            return None
        sid = rank(service, list(here))[0]
        return Proxy(sid, f"{here[sid]['ip']}:{self.port}")

    def rest(self, proxy: Proxy, now: float) -> None:
        """Do not ask a store for a while."""
        self._resting[proxy.sid] = now + self.rest_s

    async def send(self, proxy: Proxy, doc: dict, body: bytes, timeout_s: float, now) -> Answer:
        """Have a store send a request; what its replica answered. now() gives the time."""
        self.counters.add("send.by_store")
        try:
            code, out, raw = await self.connections.to(proxy.address).call(
                "request.send", {"to": proxy.sid, **doc}, body, timeout_s=timeout_s
            )
        except CallError as e:
            self.rest(proxy, now())
            return Answer(Ran.MAYBE if e.sent else Ran.NO, why=str(e))
        if code == 1000:
            heads = [tuple(head) for head in out["heads"]]
            return Answer(Ran(out["ran"]), out["status"], heads, raw, out["why"])
        self.counters.add(f"send.by_store.{code}")
        if code != 3002:
            self.rest(proxy, now())
        return Answer(Ran.NO if code in NOT_RUN else Ran.MAYBE, why=f"store refused: {code}")
