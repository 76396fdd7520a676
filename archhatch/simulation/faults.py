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
_ALL = {FaultKind.KILL_ALL, FaultKind.POWER_LOSS_ALL}
_DESTROY = {FaultKind.WIPE, FaultKind.REPLACE}
_CUTS = {FaultKind.CUT, FaultKind.CUT_IN, FaultKind.CUT_OUT, FaultKind.CUT_PAIR}
# A group with some machines in these troubles is settled once their beginning lies ContactMs back.
STEADY = {FaultKind.CRASH, FaultKind.POWER_LOSS, FaultKind.WIPE, FaultKind.REPLACE, FaultKind.FREEZE, FaultKind.CUT}

LONG_CUT_S = ((2.0, 8.0), (15.0, 22.0))
LONG_CUTS = 0.5  # of the cuts are long ones
DURATION_S = (0.2, 4.0)
FAILING_MACHINES = (0.05, 0.15, 0.7)  # of the troubles: disk and links go bad, and the process dies
PILES = 0.3  # of the troubles are several faults of one machine at once
ROUGH_DAYS = 0.3  # of the schedules have a rough network all day
STORMS = 0.6
LEADER = 0.4  # of the troubles of a storm are those of slot 0, which mostly leads
STORM_KINDS = 3
STORM_PAUSE_S = (0.15, 0.4, 1.0)
STORM_LONGEST_S = (0.3, 1.0, 3.0)
PILE_OF = (2, 5)
PILE_S = 1.2
KINDS_LEFT_OUT = 0.4  # of the kinds are left out of a schedule: fewer kinds in one day meet more often
PACES = (0.25, 0.5, 1.0)  # some days leave little time between troubles
AFTER_ACKNOWLEDGEMENT = 0.3  # of the faults wait for the next acknowledgement


@dataclass(frozen=True)
class Fault:
    """A fault of a machine (by its slot) from a moment on, or from the next acknowledgement after it if it waits."""

    kind: FaultKind
    at: float
    duration: float
    slot: int = 0
    peer: int = 0
    waits: bool = False

    def __str__(self) -> str:
        where = "" if self.kind in _ALL or self.kind is FaultKind.ROUGH_NETWORK else f" of {self.slot}"
        peer = f" and {self.peer}" if self.kind is FaultKind.CUT_PAIR else ""
        waits = ", at the next acknowledgement" if self.waits else ""
        return f"{self.at:7.3f} +{self.duration:6.3f} {self.kind.name}{where}{peer}{waits}"


@dataclass(frozen=True)
class Shape:
    """What a schedule is drawn for."""

    machines: int = 4
    founders: int = 3
    tolerance: int = 1
    length_s: float = 30.0
    contact_s: float = 3.0
    sync_s: float = 4.7
    spares: int = 2
    first_s: float = 1.5  # the earliest trouble
    storms: bool = False  # some schedules take no heed of tolerance: only where safety alone is judged


class _Draw:
    """The state of one drawing: who counts as lost until when."""

    def __init__(self, rng: random.Random, shape: Shape):
        self.rng, self.shape = rng, shape
        self.lost_until = [0.0] * shape.machines
        self.keep_disks_until = 0.0
        self.spares = shape.spares
        self.faults: list[Fault] = []
        self.pace = rng.choice(PACES)
        self.failing = rng.choice(FAILING_MACHINES)
        weights = {kind: weight for kind, weight in _WEIGHTS.items() if rng.random() >= KINDS_LEFT_OUT}
        self.weights = weights or _WEIGHTS

    def run(self) -> tuple[Fault, ...]:
        now = self.shape.first_s + self.rng.uniform(0.0, 2.5)
        if self.shape.storms and self.rng.random() < STORMS:
            self._storm()
            return tuple(sorted(self.faults, key=lambda fault: fault.at))
        if self.rng.random() < ROUGH_DAYS:
            self.faults.append(Fault(FaultKind.ROUGH_NETWORK, now, self.shape.length_s - now))
        while now < self.shape.length_s:
            fate = self.rng.random()
            if fate < self.failing:
                self._failing_machine(now)
            elif fate < self.failing + PILES:
                self._pile(now)
            else:
                self._one(now)
            pauses = (0.02, 0.2, 1.0, self.shape.sync_s, self.shape.sync_s + self.shape.contact_s)
            now += self.rng.choice(pauses) * self.pace
        return tuple(sorted(self.faults, key=lambda fault: fault.at))

    def _storm(self) -> None:
        """Short troubles of any machines at any time. No disk is lost: then no number of them may break safety."""
        rng, shape = self.rng, self.shape
        kinds = rng.sample([k for k in _WEIGHTS if k not in _DESTROY and k is not FaultKind.ROUGH_NETWORK], STORM_KINDS)
        kinds.append(rng.choice((FaultKind.CRASH, FaultKind.POWER_LOSS)))
        pause, longest = rng.choice(STORM_PAUSE_S), rng.choice(STORM_LONGEST_S)
        if rng.random() < 0.7:
            self.faults.append(Fault(FaultKind.ROUGH_NETWORK, 0.5, shape.length_s))
        now = 1.0
        while now < shape.length_s:
            slot = 0 if rng.random() < LEADER else rng.randrange(shape.machines)
            peer = (slot + rng.randrange(1, shape.machines)) % shape.machines
            kind, waits = rng.choice(kinds), rng.random() < AFTER_ACKNOWLEDGEMENT
            self.faults.append(Fault(kind, now, rng.uniform(0.03, longest), slot, peer, waits))
            now += rng.expovariate(1 / pause)

    def _kind(self) -> FaultKind:
        return self.rng.choices(list(self.weights), list(self.weights.values()))[0]

    def _pile(self, now: float) -> None:
        """Several faults of one machine in a short time."""
        slot = self.rng.randrange(self.shape.machines)
        for _ in range(self.rng.randint(*PILE_OF)):
            kind, at = self._kind(), now + self.rng.uniform(0.0, PILE_S)
            if kind is FaultKind.ROUGH_NETWORK:
                self.faults.append(Fault(kind, at, PILE_S))
            elif kind not in _ALL and kind not in _DESTROY:
                waits = self.rng.random() < AFTER_ACKNOWLEDGEMENT
                self._on_machine(kind, at, self.rng.uniform(0.05, PILE_S), waits, slot)

    def _failing_machine(self, now: float) -> None:
        """The disk goes bad, links fail one after the other, and the process dies in the middle of it."""
        slot, rng = self.rng.randrange(self.shape.machines), self.rng
        bad_disk = rng.choice((FaultKind.STALL, FaultKind.FULL, FaultKind.FAILING_WRITES, FaultKind.FAILING_SYNCS))
        dies = now + rng.uniform(0.2, PILE_S)
        others = [other for other in range(self.shape.machines) if other != slot]
        first, second = rng.sample(others, 2)
        if rng.random() < 0.5:
            self.faults.append(Fault(FaultKind.ROUGH_NETWORK, now, PILE_S))
        self._on_machine(bad_disk, now, PILE_S, False, slot)
        self._on_machine(FaultKind.CUT_PAIR, now + rng.uniform(0.0, 0.3), dies - now, False, slot, first)
        self._on_machine(rng.choice((FaultKind.CRASH, FaultKind.POWER_LOSS)), dies, rng.uniform(0.05, 0.3), False, slot)
        self._on_machine(FaultKind.CUT_PAIR, dies, rng.uniform(0.3, PILE_S), False, slot, second)

    def _one(self, now: float) -> None:
        kind = self._kind()
        long_cut = kind in _CUTS and self.rng.random() < LONG_CUTS
        duration = self.rng.uniform(*(self.rng.choice(LONG_CUT_S) if long_cut else DURATION_S))
        waits = self.rng.random() < AFTER_ACKNOWLEDGEMENT
        if kind is FaultKind.ROUGH_NETWORK:
            self.faults.append(Fault(kind, now, duration))
        elif kind in _ALL:
            self.faults.append(Fault(kind, now, min(duration, 2.0), waits=waits))
            self.keep_disks_until = now + duration + self.shape.sync_s
        else:
            self._on_machine(kind, now, duration, waits)

    def _on_machine(
        self,
        kind: FaultKind,
        now: float,
        duration: float,
        waits: bool,
        slot: int | None = None,
        peer: int | None = None,
    ) -> None:
        slot = self.rng.randrange(self.shape.machines) if slot is None else slot
        peer = (slot + self.rng.randrange(1, self.shape.machines)) % self.shape.machines if peer is None else peer
        others = sum(1 for at, until in enumerate(self.lost_until) if until > now and at != slot)
        if others >= self.shape.tolerance or (kind in _DESTROY and now < self.keep_disks_until):
            return
        if kind is FaultKind.REPLACE:
            if not self.spares:
                return
            self.spares -= 1
        self.faults.append(Fault(kind, now, duration, slot, peer, waits))
        # one that waits for an acknowledgement comes up to WAIT_S later
        end = now + duration + self.shape.sync_s + (WAIT_S if waits else 0.0)
        self.lost_until[slot] = max(self.lost_until[slot], end)


WAIT_S = 2.0


def draw_faults(rng: random.Random, shape: Shape) -> tuple[Fault, ...]:
    """A schedule in which no more machines are lost at once than may be; each counts for SyncS after its return.

    >>> all(f.slot < 4 for f in draw_faults(random.Random(1), Shape()))
    True
    """
    return _Draw(rng, shape).run()
