"""A simulated deployment: machines, network, and the faults that befall them."""

from __future__ import annotations

import random
from dataclasses import dataclass

from .disk import SimulatedDisk
from .faults import STEADY, MAX_WAIT_S, Fault, FaultKind, Shape
from .history import SettledSpan, History, Outcome
from .loop import Incarnation, VirtualLoop
from .machine import Machine
from .network import SimulatedNetwork, Weather

ROUGH = Weather(late=0.15, loss=0.1, duplicates=0.35, resets=0.05)


@dataclass(frozen=True)
class FaultEvent:
    """The beginning or the end of a fault, as it came."""

    at: float
    fault: Fault
    begins: bool

    def __str__(self) -> str:
        return f"{self.at:8.3f} {'begins' if self.begins else 'ends  '} {self.fault.kind.name} of {self.fault.slot}"


class Deployment:
    """The machines by slot; a replaced machine's slot is taken by the new one. build() makes their nodes."""

    def __init__(self, seed: int, shape: Shape, build):
        self.seed, self.shape, self._build = seed, shape, build
        self.loop = VirtualLoop(self.stream("scheduler"))
        self.network = SimulatedNetwork(self.loop, self.stream("network"))
        self.history = History()
        self._choices = self.stream("choices")
        self.fault_events: list[FaultEvent] = []
        self.all_machines: list[Machine] = []
        self.machines = [self._make_machine() for _ in range(shape.machines)]
        self.other_incarnations: list[Incarnation] = []  # of processes that are no machine of the group
        self._waiting: list[Fault] = []
        self._standing: list[Fault] = []
        self._rough = 0

    def stream(self, name: str) -> random.Random:
        """Random numbers of their own for one concern, so that a change elsewhere does not move them."""
        return random.Random(f"{self.seed}/{name}")

    def _make_machine(self) -> Machine:
        number = len(self.all_machines) + 1
        disk = SimulatedDisk(self.stream(f"disk {number}"), self.loop.time)
        machine = Machine(f"10.0.0.{number}", self.loop, self.network, disk, self._build)
        self.all_machines.append(machine)
        return machine

    @property
    def hosts(self) -> list[str]:
        """The hosts that are part of it now."""
        return [machine.host for machine in self.machines]

    @property
    def first_hosts(self) -> list[str]:
        """The hosts that found the group at the first start."""
        return [machine.host for machine in self.all_machines[: self.shape.founders]]

    def sample_hosts(self, count: int) -> list[str]:
        """Some of the hosts, as an operator's list may have them."""
        return self._choices.sample(self.hosts, min(count, len(self.hosts)))

    # -- faults

    def schedule(self, faults) -> None:
        """Have faults happen at their moments."""
        for fault in faults:
            self.loop.call_outside(fault.at, self._arm if fault.waits else self._begin, fault)

    def _arm(self, fault: Fault) -> None:
        self._waiting.append(fault)
        self.loop.call_outside(MAX_WAIT_S, self._fire, fault)

    def _fire(self, fault: Fault) -> None:
        if fault in self._waiting:
            self._waiting.remove(fault)
            self._begin(fault)

    def has_faults(self) -> bool:
        """Whether a fault stands, or waits."""
        return bool(self._standing or self._waiting)

    def on_outcome(self, outcome: Outcome) -> None:
        """A client was answered: faults that wait for an acknowledgement come now."""
        if outcome is Outcome.ACKNOWLEDGED:
            for fault in list(self._waiting):
                self._fire(fault)

    def _begin(self, fault: Fault) -> None:
        machine = self.machines[fault.slot]
        self._standing.append(fault)
        self.fault_events.append(FaultEvent(self.loop.time(), fault, True))
        end = _BEGIN[fault.kind](self, fault, machine)
        self.loop.call_outside(fault.duration, self._end, fault, end)

    def _end(self, fault: Fault, end) -> None:
        self._standing.remove(fault)
        self.fault_events.append(FaultEvent(self.loop.time(), fault, False))
        end()

    def _down(self, fault: Fault, machine: Machine):
        machine.take_down(power=fault.kind is not FaultKind.CRASH)
        if fault.kind is FaultKind.WIPE:
            machine.disk.wipe()
        return machine.bring_up

    def _down_all(self, fault: Fault, machine: Machine):
        machines = list(self.machines)
        for each in machines:
            each.take_down(power=fault.kind is FaultKind.POWER_LOSS_ALL)

        def bring_up() -> None:
            for each in machines:
                each.bring_up()

        return bring_up

    def _replace(self, fault: Fault, machine: Machine):
        machine.take_down(power=True)
        machine.gone = True

        def come() -> None:
            fresh = self._make_machine()
            fresh.bootstrap = False
            self.machines[fault.slot] = fresh
            fresh.start()

        return come

    def _freeze(self, fault: Fault, machine: Machine):
        machine.freeze()
        return machine.thaw

    def _cut(self, fault: Fault, machine: Machine):
        others = [m.host for m in self.machines if m is not machine]
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

    def _harm_disk(self, fault: Fault, machine: Machine):
        disk, kind = machine.disk, fault.kind
        if kind is FaultKind.STALL:
            disk.stalled_until = max(disk.stalled_until, self.loop.time() + fault.duration)
        disk.full = disk.full or kind is FaultKind.FULL
        if kind is FaultKind.FAILING_WRITES:
            disk.failing_writes, disk.short_writes = 0.3, 0.3
        if kind is FaultKind.FAILING_SYNCS:
            disk.failing_syncs = 0.3

        def mend() -> None:
            disk.full = False
            disk.failing_writes = disk.short_writes = disk.failing_syncs = 0.0

        return mend

    def _roughen(self, fault: Fault, machine: Machine):
        self._rough += 1
        self.network.weather = ROUGH

        def calm_down() -> None:
            self._rough -= 1
            self.network.weather = ROUGH if self._rough else Weather()

        return calm_down

    # -- spans in which the group was settled

    def settled_spans(self, end: float) -> list[SettledSpan]:
        """Spans that begin ContactMs after a beginning or an end of a fault, and end at the next one."""
        out, standing, since = [], [], 0.0
        marks = [(h.at, h) for h in self.fault_events] + [(end, None)]
        for at, happening in marks:
            start = since + self.shape.contact_s
            lost = {f.slot for f in standing}
            steady = all(f.kind in STEADY for f in standing) and len(lost) <= self.shape.tolerance
            if start < at and steady:
                out.append(SettledSpan(start, at))
            if happening is not None:
                (standing.append if happening.begins else standing.remove)(happening.fault)
            since = at
        return out

    def shut(self) -> None:
        """Forget what is under way."""
        self.loop.shut(
            [incarnation for machine in self.all_machines for incarnation in machine.incarnations]
            + self.other_incarnations
        )


_BEGIN = {
    FaultKind.CRASH: Deployment._down,
    FaultKind.POWER_LOSS: Deployment._down,
    FaultKind.WIPE: Deployment._down,
    FaultKind.REPLACE: Deployment._replace,
    FaultKind.FREEZE: Deployment._freeze,
    FaultKind.CUT: Deployment._cut,
    FaultKind.CUT_IN: Deployment._cut,
    FaultKind.CUT_OUT: Deployment._cut,
    FaultKind.CUT_PAIR: Deployment._cut,
    FaultKind.STALL: Deployment._harm_disk,
    FaultKind.FULL: Deployment._harm_disk,
    FaultKind.FAILING_WRITES: Deployment._harm_disk,
    FaultKind.FAILING_SYNCS: Deployment._harm_disk,
    FaultKind.KILL_ALL: Deployment._down_all,
    FaultKind.POWER_LOSS_ALL: Deployment._down_all,
    FaultKind.ROUGH_NETWORK: Deployment._roughen,
}
