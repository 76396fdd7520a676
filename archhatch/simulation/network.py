"""A simulated network between nodes, with the calls of archhatch/rpc.

Documents pass through orjson both ways, as on the wire. A call may be delayed, lost, run twice, overtaken, or lose its
answer to a reset after its handler ran; a cut holds what is sent in its direction, and loses it or delivers it late.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter, defaultdict
from dataclasses import dataclass

import orjson

from ..rpc import CallError, CallRefusedError
from .loop import Incarnation, VirtualLoop

DONE, MALFORMED, NO_MACHINE, NO_CALL, FAULT = 1000, 2001, 2008, 2009, 5001
SLOWNESS = (1, 1, 3, 12)  # links differ
HELD_BY_CUT = 0.5  # of the messages that meet a cut are delivered after it, the others are lost


@dataclass(slots=True)
class Weather:
    """How the network behaves towards each message. A link without trouble delivers, at times late: it is TCP."""

    delay_s: tuple = (0.0002, 0.004)  # the longest by link is a multiple of the upper bound
    late_s: tuple = (0.05, 0.6)
    late: float = 0.01
    loss: float = 0.0
    duplicates: float = 0.005
    resets: float = 0.0


@dataclass(frozen=True, slots=True)
class _Answer:
    code: int
    head: bytes = b""
    body: bytes = b""


class SimulatedNetwork:
    """All links of a simulated deployment, between hosts by name.

    >>> # network = SimulatedNetwork(loop, rng); network.cut("10.0.0.1", "10.0.0.2")
    """

    def __init__(self, loop: VirtualLoop, rng: random.Random):
        self.loop, self._rng = loop, rng
        self.weather = Weather()
        self.servers: dict[str, SimulatedServer] = {}
        self.dark: set[str] = set()  # hosts without power: nothing answers there, not even a refusal
        self._cuts: Counter = Counter()
        self._slowness: dict[tuple, int] = {}
        self._held: dict = defaultdict(list)

    def at(self, host: str, incarnation: Incarnation | None = None) -> HostNetwork:
        """The network as a life on a host sees it."""
        return HostNetwork(self, host, incarnation)

    # -- links

    def cut(self, source: str, target: str) -> None:
        """Cut one direction of a link; cuts add up."""
        self._cuts[source, target] += 1

    def heal(self, source: str, target: str) -> None:
        """Take one cut back; what was held up is delivered once none is left."""
        self._cuts[source, target] -= 1
        if not self._cuts[source, target]:
            for action in self._held.pop((source, target), []):
                self.loop.call_outside(self._delay(source, target), action)

    def chance(self, probability: float) -> bool:
        """Drawn by the seed."""
        return self._rng.random() < probability

    def _delay(self, source: str, target: str) -> float:
        if self.chance(self.weather.late):
            return self._rng.uniform(*self.weather.late_s)
        if (source, target) not in self._slowness:
            self._slowness[source, target] = self._rng.choice(SLOWNESS)
        least, most = self.weather.delay_s
        return self._rng.uniform(least, most * self._slowness[source, target])

    def transmit(self, source: str, target: str, action) -> None:
        """Have an action happen at the target once the message is there, if it comes there."""
        if source == target:
            self.loop.call_outside(self.weather.delay_s[0], action)
        elif self._cuts[source, target]:
            if self.chance(HELD_BY_CUT):
                self._held[source, target].append(action)
        elif not self.chance(self.weather.loss):
            self.loop.call_outside(self._delay(source, target), action)

    def heard_at(self, host: str) -> bool:
        """Whether a host has power."""
        return host not in self.dark


def host_of(address: str) -> str:
    """The host of an address.

    >>> host_of("10.0.0.1:7380")
    '10.0.0.1'
    """
    return address.rsplit(":", 1)[0]


class HostNetwork:
    """What a node gets as its network: pools of connections, and servers."""

    def __init__(self, network: SimulatedNetwork, host: str, incarnation: Incarnation | None):
        self.network, self.host, self.incarnation = network, host, incarnation

    def pool(self, counters) -> SimulatedPool:
        """Connections from this host."""
        return SimulatedPool(self)

    def server(self, handlers, log, counters, identity=None) -> SimulatedServer:
        """A server of this life."""
        return SimulatedServer(self, handlers, identity)


class SimulatedPool:
    """Connections by address."""

    def __init__(self, place: HostNetwork):
        self._place = place
        self._connections: dict[str, SimulatedConnection] = {}

    def to(self, address: str) -> SimulatedConnection:
        """The connection to an address."""
        return self._connections.setdefault(address, SimulatedConnection(self._place, address))

    def end(self) -> None:
        """Nothing stays open here."""


class SimulatedConnection:
    """Calls to one address."""

    def __init__(self, place: HostNetwork, address: str):
        self._place, self.address = place, address
        self.heard = float("-inf")

    async def call(
        self, verb: str, doc: object = None, body: bytes = b"", timeout_s: float = 1.0, to: str | None = None
    ):
        """Send a call and wait for its answer: (code, document, body). CallError if none comes."""
        network, head = self._place.network, orjson.dumps(doc)
        future = network.loop.create_future()

        def deliver() -> None:
            self._arrive(future, verb, head, body, to or "")

        twice = self._place.incarnation is not None and network.chance(
            network.weather.duplicates
        )  # callers outside have TCP
        for _ in range(2 if twice else 1):
            network.transmit(self._place.host, host_of(self.address), deliver)
        try:
            answer = await asyncio.wait_for(future, timeout_s)
        except (asyncio.TimeoutError, TimeoutError) as fault:
            raise CallError(f"{self.address}: {verb}: no answer in {timeout_s}s", sent=True) from fault
        return answer.code, orjson.loads(answer.head) if answer.head else None, answer.body

    def _arrive(self, future, verb: str, head: bytes, body: bytes, to: str) -> None:
        network, here, there = self._place.network, self._place.host, host_of(self.address)
        if not network.heard_at(there):
            return
        server = network.servers.get(self.address)
        if server is None or not server.incarnation.alive:
            network.transmit(there, here, lambda: _fail(future, CallError(f"{self.address}: refused", sent=False)))
            return
        if network.chance(network.weather.resets):
            network.transmit(there, here, lambda: _fail(future, CallError(f"{self.address}: reset", sent=True)))

        def reply(answer: _Answer) -> None:
            network.transmit(there, here, lambda: _fulfil(future, answer))

        network.loop.spawn(server.incarnation, server.run(verb, head, body, to, reply))


def _fulfil(future: asyncio.Future, answer: _Answer) -> None:
    if not future.done():
        future.set_result(answer)


def _fail(future: asyncio.Future, fault: CallError) -> None:
    if not future.done():
        future.set_exception(fault)


class SimulatedServer:
    """The answering side: runs handlers as tasks of its life."""

    def __init__(self, place: HostNetwork, handlers, identity):
        self._place, self._handlers, self._identity = place, handlers, identity
        self.incarnation = place.incarnation
        self._addr = ""

    async def open(self, address: str) -> None:
        """Answer at an address from now on."""
        self._addr = address
        self._place.network.servers[address] = self

    async def close(self) -> None:
        """Stop answering."""
        if self._place.network.servers.get(self._addr) is self:
            del self._place.network.servers[self._addr]

    async def handle(self, verb: str, doc: object):
        """Run a handler for this node itself."""
        return await self._handlers.table[verb](doc, b"")

    async def run(self, verb: str, head: bytes, body: bytes, to: str, reply) -> None:
        """Run a handler, and answer as archhatch/rpc/server.py does."""
        try:
            handler = self._handlers.table.get(verb)
            if handler is None:
                raise CallRefusedError(NO_CALL)
            if to and not self._is_me(to):
                raise CallRefusedError(NO_MACHINE)
            out = await handler(orjson.loads(head) if head else None, body)
            doc, out_body = out if isinstance(out, tuple) else (out, b"")
            answer = _Answer(DONE, doc if isinstance(doc, bytes) else orjson.dumps(doc), out_body)
        except CallRefusedError as refusal:
            answer = _Answer(refusal.code, orjson.dumps(refusal.document))
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as fault:
            answer = _Answer(MALFORMED, orjson.dumps(repr(fault)))
            self._place.network.loop.faults.append(fault)
        except Exception as fault:
            answer = _Answer(FAULT, orjson.dumps(repr(fault)))
        reply(answer)

    def _is_me(self, node: str) -> bool:
        mine = self._identity() if self._identity is not None else ""
        return node == mine if isinstance(mine, str) else node in mine
