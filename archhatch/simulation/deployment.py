"""A simulated deployment: its machines and network, and the faults that happen to them."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from .disk import SimulatedDisk
from .faults import STEADY, MAX_WAIT_S, Fault, FaultKind, Shape
from .history import SettledSpan, History, Outcome
from .loop import Incarnation, VirtualLoop
from .machine import Machine, SimulatedNode
from .network import SimulatedNetwork, Weather

ROUGH_WEATHER = Weather(late=0.15, loss=0.1, duplicates=0.35, resets=0.05)
FAILING_CALLS_SHARE = 0.3  # of the calls of a disk whose writes or syncs fail

EndFault = Callable[[], None]


@dataclass(frozen=True)
class FaultEvent:
    """The beginning or the end of a fault.

    Attributes:
        at: The moment, in seconds of virtual time.
        fault: The fault.
        begins: Whether it begins.
    """

    at: float
    fault: Fault
    begins: bool

    def __str__(self) -> str:
        return f"{self.at:8.3f} {'begins' if self.begins else 'ends  '} {self.fault.kind.name} of {self.fault.slot}"


class Deployment:
    """The machines of one run, their network, and what happened.

    Attributes:
        seed: The seed of the run.
        shape: What its schedule is drawn for.
        loop: The event loop.
        network: The network.
        history: What clients did and saw.
        fault_events: When faults began and ended.
        all_machines: Every machine so far, in the order in which they came.
        machines: The present machines by slot; a machine that replaces another takes its slot.
        other_incarnations: Processes that run on no machine of the group.
    """

    def __init__(self, seed: int, shape: Shape, build: Callable[[Machine, Incarnation], SimulatedNode]) -> None:
        self.seed = seed
        self.shape = shape
        self._build = build
        self.loop = VirtualLoop(self.stream("scheduler"))
        self.network = SimulatedNetwork(self.loop, self.stream("network"))
        self.history = History()
        self._choices = self.stream("choices")
        self.fault_events: list[FaultEvent] = []
        self.all_machines: list[Machine] = []
        self.machines = [self._make_machine() for _ in range(shape.machines)]
        self.other_incarnations: list[Incarnation] = []
        self._waiting: list[Fault] = []
        self._standing: list[Fault] = []
        self._rough_count = 0  # faults of the network that stand: they may overlap

    def stream(self, name: str) -> random.Random:
        """Returns random numbers of their own for one concern, so that a change elsewhere does not move them."""
        return random.Random(f"{self.seed}/{name}")

    def _make_machine(self) -> Machine:
        number = len(self.all_machines) + 1
        disk = SimulatedDisk(self.stream(f"disk {number}"), self.loop.time)
        machine = Machine(f"10.0.0.{number}", self.loop, self.network, disk, self._build)
        self.all_machines.append(machine)
        return machine

    @property
    def hosts(self) -> list[str]:
        """The hosts of the present machines."""
        return [machine.host for machine in self.machines]

    @property
    def first_hosts(self) -> list[str]:
        """The hosts that found the group at the first start."""
        return [machine.host for machine in self.all_machines[: self.shape.founders]]

    def sample_hosts(self, count: int) -> list[str]:
        """Returns some of the hosts, as an operator's list may have them."""
        return self._choices.sample(self.hosts, min(count, len(self.hosts)))

    # -- faults

    def schedule(self, faults: Iterable[Fault]) -> None:
        """Has faults happen at their moments, counted from now."""
        for fault in faults:
            self.loop.call_outside(fault.at, self._wait_for_acknowledgement if fault.waits else self._begin, fault)

    def _wait_for_acknowledgement(self, fault: Fault) -> None:
        self._waiting.append(fault)
        self.loop.call_outside(MAX_WAIT_S, self._begin_waiting, fault)

    def _begin_waiting(self, fault: Fault) -> None:
        if fault in self._waiting:
            self._waiting.remove(fault)
            self._begin(fault)

    def has_faults(self) -> bool:
        """Returns whether a fault stands, or waits for an acknowledgement."""
        return bool(self._standing or self._waiting)

    def on_outcome(self, outcome: Outcome) -> None:
        """Takes note of an answer to a client: faults that wait for an acknowledgement begin now."""
        if outcome is Outcome.ACKNOWLEDGED:
            for fault in list(self._waiting):
                self._begin_waiting(fault)

    def _begin(self, fault: Fault) -> None:
        machine = self.machines[fault.slot]
        self._standing.append(fault)
        self.fault_events.append(FaultEvent(self.loop.time(), fault, True))
        end = self._apply(fault, machine)
        self.loop.call_outside(fault.duration, self._end, fault, end)

    def _apply(self, fault: Fault, machine: Machine) -> EndFault:
        """Lets a fault happen, and returns what ends it."""
        end: EndFault
        match fault.kind:
            case FaultKind.CRASH | FaultKind.POWER_LOSS | FaultKind.WIPE:
                end = self._take_down(fault, machine)
            case FaultKind.REPLACE:
                end = self._replace(fault, machine)
            case FaultKind.FREEZE:
                machine.freeze()
                end = machine.thaw
            case FaultKind.CUT | FaultKind.CUT_IN | FaultKind.CUT_OUT | FaultKind.CUT_PAIR:
                end = self._cut(fault, machine)
            case FaultKind.KILL_ALL | FaultKind.POWER_LOSS_ALL:
                end = self._take_all_down(fault)
            case FaultKind.ROUGH_NETWORK:
                end = self._roughen_network()
            case _:
                end = self._harm_disk(fault, machine)
        return end

    def _end(self, fault: Fault, end: EndFault) -> None:
        self._standing.remove(fault)
        self.fault_events.append(FaultEvent(self.loop.time(), fault, False))
        end()

    def _take_down(self, fault: Fault, machine: Machine) -> EndFault:
        machine.take_down(power=fault.kind is not FaultKind.CRASH)
        if fault.kind is FaultKind.WIPE:
            machine.disk.wipe()
        return machine.bring_up

    def _take_all_down(self, fault: Fault) -> EndFault:
        machines = list(self.machines)
        for each in machines:
            each.take_down(power=fault.kind is FaultKind.POWER_LOSS_ALL)

        def bring_up() -> None:
            for each in machines:
                each.bring_up()

        return bring_up

    def _replace(self, fault: Fault, machine: Machine) -> EndFault:
        machine.take_down(power=True)
        machine.gone = True

        def start_replacement() -> None:
            fresh = self._make_machine()
            fresh.bootstrap = False
            self.machines[fault.slot] = fresh
            fresh.start()

        return start_replacement

    def _cut(self, fault: Fault, machine: Machine) -> EndFault:
        others = [other.host for other in self.machines if other is not machine]
        if fault.kind is FaultKind.CUT_PAIR:
            others = [self.machines[fault.peer].host]
        links = []
        if fault.kind is not FaultKind.CUT_OUT:
            links += [(other, machine.host) for other in others]
        if fault.kind is not FaultKind.CUT_IN:
            links += [(machine.host, other) for other in others]
        for link in links:
            self.network.cut(*link)

        def heal() -> None:
            for link in links:
                self.network.heal(*link)

        return heal

    def _harm_disk(self, fault: Fault, machine: Machine) -> EndFault:
        disk = machine.disk
        kind = fault.kind
        if kind is FaultKind.STALL:
            disk.stalled_until = max(disk.stalled_until, self.loop.time() + fault.duration)
        disk.full = disk.full or kind is FaultKind.FULL
        if kind is FaultKind.FAILING_WRITES:
            disk.failing_writes = disk.short_writes = FAILING_CALLS_SHARE
        if kind is FaultKind.FAILING_SYNCS:
            disk.failing_syncs = FAILING_CALLS_SHARE

        def restore() -> None:
            disk.full = False
            disk.failing_writes = disk.short_writes = disk.failing_syncs = 0.0

        return restore

    def _roughen_network(self) -> EndFault:
        self._rough_count += 1
        self.network.weather = ROUGH_WEATHER

        def restore() -> None:
            self._rough_count -= 1
            self.network.weather = ROUGH_WEATHER if self._rough_count else Weather()

        return restore

    # -- spans in which the group was settled

    def settled_spans(self, end: float) -> list[SettledSpan]:
        """Returns the spans in which the group was settled.

        Each begins ContactMs after a fault began or ended, and ends when the next one does. Faults of no more machines
        than FaultTolerance may stand in it, and only such as a group bears without delay.

        Args:
            end: The end of the run.
        """
        spans = []
        standing: list[Fault] = []
        changed_at = 0.0
        events: list[tuple[float, FaultEvent | None]] = [(event.at, event) for event in self.fault_events]
        for at, event in [*events, (end, None)]:
            start = changed_at + self.shape.contact_s
            if start < at and self._tolerates(standing):
                spans.append(SettledSpan(start, at))
            if event is not None and event.begins:
                standing.append(event.fault)
            elif event is not None:
                standing.remove(event.fault)
            changed_at = at
        return spans

    def _tolerates(self, standing: list[Fault]) -> bool:
        lost_slots = {fault.slot for fault in standing}
        return all(fault.kind in STEADY for fault in standing) and len(lost_slots) <= self.shape.tolerance

    def shut(self) -> None:
        """Ends the simulation and drops what is under way."""
        self.loop.shut(
            [incarnation for machine in self.all_machines for incarnation in machine.incarnations]
            + self.other_incarnations
        )
