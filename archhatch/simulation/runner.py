"""Plays one seed: draws its faults, runs clients and machines, and has the history judged."""

from __future__ import annotations

import asyncio
import enum
import gc
import random
from dataclasses import dataclass, field

from .checker import Rule, Violation, check, count_acknowledged
from .control_node import SEEDS, Reader, SimulatedControlNode
from .deployment import Deployment, FaultEvent
from .faults import Fault, Shape, draw_faults
from .history import SettledSpan, History
from .operators import make_clients
from .register_node import RegisterNode

TOLERANCE = {3: 1, 5: 2}
SETTLE_S = 8.0  # SyncS and ContactMs after the last fault
LAST_S = 12.0  # for the last order and the readings at the end
READERS = 2
JOINED_S = 6.0
STANDBYS = 1  # machines beyond those that found the group


class Model(enum.Enum):
    """What is simulated."""

    REGISTER = "register"  # one register: consensus and log alone
    CONTROL = "control"  # whole control nodes


@dataclass(frozen=True)
class Settings:
    """What besides the seed makes a run."""

    model: Model = Model.REGISTER
    nodes: int = 3
    length_s: float = 24.0

    @property
    def shape(self) -> Shape:
        """What the faults are drawn for."""
        if self.model is Model.CONTROL:
            # the seeds found the group, the others join it before the first trouble
            return Shape(self.nodes + STANDBYS, SEEDS, TOLERANCE[self.nodes], self.length_s, first_s=JOINED_S)
        return Shape(self.nodes + STANDBYS, self.nodes, TOLERANCE[self.nodes], self.length_s, storms=True)


@dataclass
class Report:
    """What came of one run."""

    seed: int
    settings: Settings
    faults: tuple[Fault, ...]
    violations: list[Violation] = field(default_factory=list)
    history: History = field(default_factory=History)
    fault_events: list[FaultEvent] = field(default_factory=list)
    acknowledged: int = 0
    steps: int = 0

    @property
    def is_broken(self) -> bool:
        """Whether a rule was broken."""
        return bool(self.violations)


def faults_of(seed: int, settings: Settings) -> tuple[Fault, ...]:
    """The schedule that a seed draws."""
    return draw_faults(random.Random(f"{seed}/faults"), settings.shape)


def play(seed: int, settings: Settings, faults: tuple[Fault, ...] | None = None) -> Report:
    """Run a seed, with its own faults or with those given."""
    faults = faults_of(seed, settings) if faults is None else faults
    before = random.getstate()
    random.seed(f"{seed}/code")  # what the code itself draws
    gc_was_on = gc.isenabled()
    gc.disable()  # a task of a dead life must not be unwound in the middle of a run
    deployment = _deploy(seed, settings)
    report = Report(seed, settings, faults, history=deployment.history, fault_events=deployment.fault_events)
    try:
        deployment.schedule(faults)
        deployment.loop.run_until_complete(_day(deployment, settings))
        report.violations = check(deployment.history)
    finally:
        report.steps = deployment.loop.steps
        deployment.shut()
        random.setstate(before)
        if gc_was_on:
            gc.enable()
    report.acknowledged = count_acknowledged(deployment.history)
    return report


def _deploy(seed: int, settings: Settings) -> Deployment:
    def build(machine, incarnation):
        if settings.model is Model.CONTROL:
            return SimulatedControlNode(machine, incarnation, deployment)
        return RegisterNode(machine, incarnation, deployment)

    deployment = Deployment(seed, settings.shape, build)
    return deployment


async def _day(deployment: Deployment, settings: Settings) -> None:
    loop = asyncio.get_running_loop()
    starts = deployment.stream("starts")
    for machine in deployment.machines:
        deployment.loop.call_outside(starts.uniform(0.0, 0.3), machine.start)
    operators, claimers = make_clients(deployment)
    clients = [*operators, *claimers]
    if settings.model is Model.CONTROL:
        clients += [Reader(deployment, f"edge-{at}") for at in range(READERS)]
    end = settings.length_s
    await asyncio.gather(*(client.run(end) for client in clients))
    faults_end = max((h.at for h in deployment.fault_events if not h.begins), default=0.0)
    while deployment.has_faults():
        await asyncio.sleep(1.0)
        faults_end = loop.time()
    await asyncio.sleep(max(0.0, faults_end + SETTLE_S - loop.time()))
    if settings.model is Model.CONTROL:
        deployment.history.settled_spans += deployment.settled_spans(loop.time())
    await _close(deployment, operators[0], settings)


async def _close(deployment: Deployment, operator, settings: Settings) -> None:
    """After all faults: an order must be acknowledged, and every node that answers tells the newest version."""
    start = operator.now()
    if settings.model is Model.CONTROL:  # how fast the small nodes of the other model answer is no matter of the code
        deployment.history.settled_spans.append(SettledSpan(start, start + LAST_S))
    await operator.catch_up(LAST_S)
    await operator.send(operator.make(operator.newest), deployment.history.acknowledge_s + 1.0)
    end = operator.now() + LAST_S
    read = await operator.read(is_final=True)
    while read.answered_at is None and operator.now() < end:
        await asyncio.sleep(0.2)
        read = await operator.read(is_final=True)
    for host in deployment.hosts:
        await operator.read(host)
    await asyncio.sleep(deployment.history.converge_s)


def shrink(report: Report, most_runs: int = 60) -> Report:
    """The same broken rule with fewer faults: each is left out in turn, as long as the rule still breaks."""
    rules = {v.rule for v in report.violations}
    best, runs, at = report, 0, 0
    while at < len(best.faults) and runs < most_runs:
        fewer = best.faults[:at] + best.faults[at + 1 :]
        trial = play(report.seed, report.settings, fewer)
        runs += 1
        if rules & {v.rule for v in trial.violations}:
            best = trial
        else:
            at += 1
    return best


__all__ = ["Model", "Report", "Rule", "Settings", "faults_of", "play", "shrink"]
