"""Schedules of faults, drawn by a seed within what FaultTolerance allows."""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass


class FaultKind(enum.Enum):
    """What can happen to a machine, its disk, its links, or all of them."""

    CRASH = "the process is killed and started again"
    POWER_LOSS = "the machine loses power"
    WIPE = "the machine loses its disk"
    REPLACE = "the machine is gone; an empty one comes at another address"
    FREEZE = "the process stands still"
    CUT = "the machine is cut off from the others"
    CUT_IN = "nothing comes in at the machine"
    CUT_OUT = "nothing goes out of the machine"
    CUT_PAIR = "the link between two machines is cut"
    STALL = "the disk stands still"
    FULL = "the disk is full"
    FAILING_WRITES = "writes fail or fall short"
    FAILING_SYNCS = "syncs fail"
    KILL_ALL = "all processes are killed"
    POWER_LOSS_ALL = "all machines lose power"
    ROUGH_NETWORK = "messages are late, lost, doubled and reset more often"


# How often each kind is drawn, in relation to the others.
_WEIGHTS = {
    FaultKind.CRASH: 4,
    FaultKind.POWER_LOSS: 4,
    FaultKind.WIPE: 4,
    FaultKind.REPLACE: 2,
    FaultKind.FREEZE: 4,
    FaultKind.CUT: 4,
    FaultKind.CUT_IN: 3,
    FaultKind.CUT_OUT: 3,
    FaultKind.CUT_PAIR: 3,
    FaultKind.STALL: 3,
    FaultKind.FULL: 2,
    FaultKind.FAILING_WRITES: 2,
    FaultKind.FAILING_SYNCS: 2,
    FaultKind.KILL_ALL: 3,
    FaultKind.POWER_LOSS_ALL: 5,
    FaultKind.ROUGH_NETWORK: 5,
}
_OF_ALL_MACHINES = {FaultKind.KILL_ALL, FaultKind.POWER_LOSS_ALL}
_DISK_LOSSES = {FaultKind.WIPE, FaultKind.REPLACE}
_CUTS = {FaultKind.CUT, FaultKind.CUT_IN, FaultKind.CUT_OUT, FaultKind.CUT_PAIR}
_DISK_FAULTS = (FaultKind.STALL, FaultKind.FULL, FaultKind.FAILING_WRITES, FaultKind.FAILING_SYNCS)
_PROCESS_DEATHS = (FaultKind.CRASH, FaultKind.POWER_LOSS)
# A group in which only such faults stand is settled once their beginning is ContactMs ago.
STEADY = {FaultKind.CRASH, FaultKind.POWER_LOSS, FaultKind.WIPE, FaultKind.REPLACE, FaultKind.FREEZE, FaultKind.CUT}

# Shares are chances from 0 to 1; pairs of seconds are the bounds of a uniform draw.
MAX_WAIT_S = 2.0  # a fault that waits for an acknowledgement comes after this time even without one
WAITING_SHARE = 0.3  # of the faults wait for the next acknowledgement: that is when a lost change shows
DURATION_S = (0.2, 4.0)
MAX_DURATION_OF_ALL_S = 2.0  # of the faults of all machines, so that some of the run is left to clients
LONG_CUT_SHARE = 0.5  # of the cuts last long
LONG_CUT_S = ((2.0, 8.0), (15.0, 22.0))
OMITTED_KINDS_SHARE = 0.4  # of the kinds are left out of a schedule: fewer kinds in one run meet more often
ROUGH_RUN_SHARE = 0.3  # of the schedules have a rough network throughout

# The pauses between faults, beside SyncS and the sum of SyncS and ContactMs, and the factors on them.
SHORT_PAUSES_S = (0.02, 0.2, 1.0)
PACES = (0.25, 0.5, 1.0)
MAX_FIRST_DELAY_S = 2.5  # after the earliest moment of a fault

# A cluster: several faults of one machine in a short time.
CLUSTER_SHARE = 0.3
CLUSTER_SIZE = (2, 5)
CLUSTER_S = 1.2
MIN_CLUSTER_FAULT_S = 0.05

# A failing machine: its disk and links fail, and the process dies.
FAILING_MACHINE_SHARES = (0.05, 0.15, 0.7)  # one is drawn for each schedule
FAILING_MACHINE_ROUGH_SHARE = 0.5
DEATH_DELAY_S = (0.2, CLUSTER_S)
FIRST_CUT_DELAY_S = (0.0, 0.3)
DEATH_S = (0.05, 0.3)
SECOND_CUT_S = (0.3, CLUSTER_S)

# A storm: short faults of any machines, beyond what FaultTolerance allows.
STORM_SHARE = 0.6
STORM_ROUGH_SHARE = 0.7
STORM_ROUGH_START_S = 0.5
STORM_START_S = 1.0
STORM_LEADER_SHARE = 0.4  # of the faults are those of slot 0, which leads most of the time
STORM_KINDS = 3
STORM_MEAN_PAUSES_S = (0.15, 0.4, 1.0)
STORM_MIN_FAULT_S = 0.03
STORM_MAX_FAULTS_S = (0.3, 1.0, 3.0)


@dataclass(frozen=True)
class Fault:
    """One fault of a schedule.

    Attributes:
        kind: What happens.
        at: When it begins, in seconds of virtual time.
        duration: How long it lasts, in seconds.
        slot: The machine that it happens to.
        peer: The other end of a link that is cut.
        waits: Whether it begins at the next acknowledgement after `at`, or MAX_WAIT_S later without one.
    """

    kind: FaultKind
    at: float
    duration: float
    slot: int = 0
    peer: int = 0
    waits: bool = False

    def __str__(self) -> str:
        is_of_one_machine = self.kind not in _OF_ALL_MACHINES and self.kind is not FaultKind.ROUGH_NETWORK
        where = f" of {self.slot}" if is_of_one_machine else ""
        peer = f" and {self.peer}" if self.kind is FaultKind.CUT_PAIR else ""
        waits = ", at the next acknowledgement" if self.waits else ""
        return f"{self.at:7.3f} +{self.duration:6.3f} {self.kind.name}{where}{peer}{waits}"


@dataclass(frozen=True)
class Shape:
    """What a schedule is drawn for.

    Attributes:
        machines: How many machines there are.
        founders: How many of them found the group.
        tolerance: How many machines may be lost at once (FaultTolerance).
        length_s: The length of the schedule.
        contact_s: ContactMs in seconds.
        sync_s: SyncS: how long a machine still counts as lost after its return.
        spares: How many machines may be replaced.
        first_s: The earliest moment of a fault.
        storms: Whether some schedules exceed the tolerance; only for runs that judge safety alone.
    """

    machines: int = 4
    founders: int = 3
    tolerance: int = 1
    length_s: float = 30.0
    contact_s: float = 3.0
    sync_s: float = 4.7
    spares: int = 2
    first_s: float = 1.5
    storms: bool = False


class _ScheduleDraw:
    """The state of one drawing: which machines count as lost until when. The order of draws is part of a seed."""

    def __init__(self, rng: random.Random, shape: Shape) -> None:
        self.rng = rng
        self.shape = shape
        self.lost_until = [0.0] * shape.machines
        self.keep_disks_until = 0.0
        self.spares = shape.spares
        self.faults: list[Fault] = []
        self.pace = rng.choice(PACES)
        self.failing_machine_share = rng.choice(FAILING_MACHINE_SHARES)
        weights = {kind: weight for kind, weight in _WEIGHTS.items() if rng.random() >= OMITTED_KINDS_SHARE}
        self.weights = weights or _WEIGHTS

    def run(self) -> tuple[Fault, ...]:
        """Draws the schedule."""
        start = self.shape.first_s + self.rng.uniform(0.0, MAX_FIRST_DELAY_S)
        if self.shape.storms and self.rng.random() < STORM_SHARE:
            self._add_storm()
        else:
            self._add_tolerated_faults(start)
        return tuple(sorted(self.faults, key=lambda fault: fault.at))

    def _add_tolerated_faults(self, now: float) -> None:
        shape = self.shape
        if self.rng.random() < ROUGH_RUN_SHARE:
            self.faults.append(Fault(FaultKind.ROUGH_NETWORK, now, shape.length_s - now))
        pauses_s = (*SHORT_PAUSES_S, shape.sync_s, shape.sync_s + shape.contact_s)
        while now < shape.length_s:
            draw = self.rng.random()
            if draw < self.failing_machine_share:
                self._add_failing_machine(now)
            elif draw < self.failing_machine_share + CLUSTER_SHARE:
                self._add_cluster(now)
            else:
                self._add_single(now)
            now += self.rng.choice(pauses_s) * self.pace

    def _add_storm(self) -> None:
        """Short faults of any machines at any time. No disk is lost: then no number of them may break safety."""
        rng = self.rng
        shape = self.shape
        candidates: list[FaultKind] = [
            kind for kind in _WEIGHTS if kind not in _DISK_LOSSES and kind is not FaultKind.ROUGH_NETWORK
        ]
        kinds = rng.sample(candidates, STORM_KINDS)
        kinds.append(rng.choice(_PROCESS_DEATHS))
        mean_pause_s = rng.choice(STORM_MEAN_PAUSES_S)
        max_duration_s = rng.choice(STORM_MAX_FAULTS_S)
        if rng.random() < STORM_ROUGH_SHARE:
            self.faults.append(Fault(FaultKind.ROUGH_NETWORK, STORM_ROUGH_START_S, shape.length_s))
        now = STORM_START_S
        while now < shape.length_s:
            slot = 0 if rng.random() < STORM_LEADER_SHARE else rng.randrange(shape.machines)
            peer = self._draw_peer(slot)
            kind = rng.choice(kinds)
            waits = self._draw_waits()
            self.faults.append(Fault(kind, now, rng.uniform(STORM_MIN_FAULT_S, max_duration_s), slot, peer, waits))
            now += rng.expovariate(1 / mean_pause_s)

    def _draw_kind(self) -> FaultKind:
        return self.rng.choices(list(self.weights), list(self.weights.values()))[0]

    def _draw_peer(self, slot: int) -> int:
        return (slot + self.rng.randrange(1, self.shape.machines)) % self.shape.machines

    def _draw_waits(self) -> bool:
        return self.rng.random() < WAITING_SHARE

    def _add_cluster(self, now: float) -> None:
        """Several faults of one machine in a short time."""
        slot = self.rng.randrange(self.shape.machines)
        for _ in range(self.rng.randint(*CLUSTER_SIZE)):
            kind = self._draw_kind()
            at = now + self.rng.uniform(0.0, CLUSTER_S)
            if kind is FaultKind.ROUGH_NETWORK:
                self.faults.append(Fault(kind, at, CLUSTER_S))
            elif kind not in _OF_ALL_MACHINES and kind not in _DISK_LOSSES:
                waits = self._draw_waits()
                duration = self.rng.uniform(MIN_CLUSTER_FAULT_S, CLUSTER_S)
                self._add_if_tolerated(Fault(kind, at, duration, slot, self._draw_peer(slot), waits))

    def _add_failing_machine(self, now: float) -> None:
        """The disk goes bad, links fail one after the other, and the process dies in the middle of it."""
        rng = self.rng
        slot = rng.randrange(self.shape.machines)
        disk_fault = rng.choice(_DISK_FAULTS)
        dies_at = now + rng.uniform(*DEATH_DELAY_S)
        others = [other for other in range(self.shape.machines) if other != slot]
        first, second = rng.sample(others, 2)
        if rng.random() < FAILING_MACHINE_ROUGH_SHARE:
            self.faults.append(Fault(FaultKind.ROUGH_NETWORK, now, CLUSTER_S))
        self._add_if_tolerated(Fault(disk_fault, now, CLUSTER_S, slot, self._draw_peer(slot)))
        cut_at = now + rng.uniform(*FIRST_CUT_DELAY_S)
        self._add_if_tolerated(Fault(FaultKind.CUT_PAIR, cut_at, dies_at - now, slot, first))
        death = rng.choice(_PROCESS_DEATHS)
        death_s = rng.uniform(*DEATH_S)
        self._add_if_tolerated(Fault(death, dies_at, death_s, slot, self._draw_peer(slot)))
        self._add_if_tolerated(Fault(FaultKind.CUT_PAIR, dies_at, rng.uniform(*SECOND_CUT_S), slot, second))

    def _add_single(self, now: float) -> None:
        kind = self._draw_kind()
        is_long = kind in _CUTS and self.rng.random() < LONG_CUT_SHARE
        bounds_s = self.rng.choice(LONG_CUT_S) if is_long else DURATION_S
        duration = self.rng.uniform(*bounds_s)
        waits = self._draw_waits()
        if kind is FaultKind.ROUGH_NETWORK:
            self.faults.append(Fault(kind, now, duration))
        elif kind in _OF_ALL_MACHINES:
            self.faults.append(Fault(kind, now, min(duration, MAX_DURATION_OF_ALL_S), waits=waits))
            self.keep_disks_until = now + duration + self.shape.sync_s
        else:
            slot = self.rng.randrange(self.shape.machines)
            self._add_if_tolerated(Fault(kind, now, duration, slot, self._draw_peer(slot), waits))

    def _add_if_tolerated(self, fault: Fault) -> None:
        """Adds a fault of one machine, unless too many others count as lost when it begins."""
        lost_others = sum(1 for slot, until in enumerate(self.lost_until) if until > fault.at and slot != fault.slot)
        if lost_others >= self.shape.tolerance:
            return
        if fault.kind in _DISK_LOSSES and fault.at < self.keep_disks_until:
            return  # after a loss of all processes each disk may be the only one that holds the newest state
        if fault.kind is FaultKind.REPLACE:
            if not self.spares:
                return
            self.spares -= 1
        self.faults.append(fault)
        max_wait_s = MAX_WAIT_S if fault.waits else 0.0
        # The sum keeps this order: another one rounds differently, and a seed could draw another schedule.
        end = fault.at + fault.duration + self.shape.sync_s + max_wait_s
        self.lost_until[fault.slot] = max(self.lost_until[fault.slot], end)


def draw_faults(rng: random.Random, shape: Shape) -> tuple[Fault, ...]:
    """Draws a schedule in which no more machines are lost at once than may be; each counts for SyncS after its return.

    >>> all(fault.slot < 4 for fault in draw_faults(random.Random(1), Shape()))
    True

    Args:
        rng: The random numbers of the schedule.
        shape: What the schedule is drawn for.

    Returns:
        The faults by their beginning.
    """
    return _ScheduleDraw(rng, shape).run()
