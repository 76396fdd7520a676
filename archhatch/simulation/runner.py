"""Runs one seed: draws its faults, runs clients and machines, and has the history judged."""

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
from .history import History, SettledSpan
from .loop import Incarnation
from .machine import Machine, SimulatedNode
from .operators import Claimer, Operator, make_clients
from .register_node import RegisterNode

TOLERANCE = {3: 1, 5: 2}  # FaultTolerance by the number of control nodes
JOINED_S = 6.0  # by then all control nodes have joined the group
SETTLE_S = 8.0  # after the last fault: SyncS and ContactMs
FINAL_S = 12.0  # for the last change and the reads at the end
FINAL_PATIENCE_S = 1.0  # beyond AckTimeoutMs, for the last change
READERS = 2  # nodes of the data plane
STANDBYS = 1  # machines beyond those that found the group
MAX_START_DELAY_S = 0.3  # machines start within this time of each other
FAULT_POLL_S = 1.0  # between two looks whether faults still stand
FINAL_READ_PAUSE_S = 0.2  # between two attempts of the read at the end
MAX_SHRINK_RUNS = 60


class Model(enum.Enum):
    """What is simulated."""

    REGISTER = "register"  # one register: consensus and log alone
    CONTROL = "control"  # whole control nodes


@dataclass(frozen=True)
class Settings:
    """What besides the seed makes a run.

    Attributes:
        model: What is simulated.
        nodes: How many control nodes the group has; a key of TOLERANCE.
        length_s: How long faults and clients go on, in seconds of virtual time.
    """

    model: Model = Model.REGISTER
    nodes: int = 3
    length_s: float = 24.0

    @property
    def shape(self) -> Shape:
        """What the faults are drawn for."""
        if self.model is Model.CONTROL:
            # The seed peers found the group; the others join it before the first fault.
            return Shape(self.nodes + STANDBYS, SEEDS, TOLERANCE[self.nodes], self.length_s, first_s=JOINED_S)
        return Shape(self.nodes + STANDBYS, self.nodes, TOLERANCE[self.nodes], self.length_s, storms=True)


@dataclass
class Report:
    """The result of one run.

    Attributes:
        seed: The seed.
        settings: What else made the run.
        faults: The schedule.
        violations: The broken rules.
        history: What the clients did and saw.
        fault_events: When faults began and ended.
        acknowledged: How many changes were acknowledged.
        steps: How many steps the event loop made.
    """

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
    """Returns the schedule that a seed draws.

    Args:
        seed: The seed.
        settings: What else makes the run.
    """
    return draw_faults(random.Random(f"{seed}/faults"), settings.shape)


def play(seed: int, settings: Settings, faults: tuple[Fault, ...] | None = None) -> Report:
    """Runs a seed.

    Args:
        seed: The seed.
        settings: What else makes the run.
        faults: The schedule; the seed's own one if left out.

    Returns:
        The report, its history judged.
    """
    faults = faults_of(seed, settings) if faults is None else faults
    random_state = random.getstate()
    random.seed(f"{seed}/code")  # what the code under test draws
    was_gc_enabled = gc.isenabled()
    gc.disable()  # a task of an ended incarnation must not be unwound in the middle of a run
    deployment = _deploy(seed, settings)
    report = Report(seed, settings, faults, history=deployment.history, fault_events=deployment.fault_events)
    try:
        deployment.schedule(faults)
        deployment.loop.run_until_complete(_run(deployment, settings))
        report.violations = check(deployment.history)
    finally:
        report.steps = deployment.loop.steps
        deployment.shut()
        random.setstate(random_state)
        if was_gc_enabled:
            gc.enable()
    report.acknowledged = count_acknowledged(deployment.history)
    return report


def _deploy(seed: int, settings: Settings) -> Deployment:
    def build(machine: Machine, incarnation: Incarnation) -> SimulatedNode:
        if settings.model is Model.CONTROL:
            return SimulatedControlNode(machine, incarnation, deployment)
        return RegisterNode(machine, incarnation, deployment)

    deployment = Deployment(seed, settings.shape, build)
    return deployment


async def _run(deployment: Deployment, settings: Settings) -> None:
    loop = asyncio.get_running_loop()
    starts = deployment.stream("starts")
    for machine in deployment.machines:
        deployment.loop.call_outside(starts.uniform(0.0, MAX_START_DELAY_S), machine.start)
    operators, claimers = make_clients(deployment)
    clients: list[Operator | Claimer | Reader] = [*operators, *claimers]
    if settings.model is Model.CONTROL:
        clients += [Reader(deployment, f"edge-{number}") for number in range(READERS)]
    end = settings.length_s
    await asyncio.gather(*(client.run(end) for client in clients))
    faults_end = max((event.at for event in deployment.fault_events if not event.begins), default=0.0)
    while deployment.has_faults():
        await asyncio.sleep(FAULT_POLL_S)
        faults_end = loop.time()
    await asyncio.sleep(max(0.0, faults_end + SETTLE_S - loop.time()))
    if settings.model is Model.CONTROL:
        deployment.history.settled_spans += deployment.settled_spans(loop.time())
    await _check_end(deployment, operators[0], settings)


async def _check_end(deployment: Deployment, operator: Operator, settings: Settings) -> None:
    """After all faults: sends a change, which must be acknowledged, and reads the configuration from every node."""
    start = operator.now()
    if settings.model is Model.CONTROL:  # the nodes of the other model are the simulator's: their speed shows nothing
        deployment.history.settled_spans.append(SettledSpan(start, start + FINAL_S))
    await operator.catch_up(FINAL_S)
    await operator.send(operator.make(operator.newest), deployment.history.acknowledge_s + FINAL_PATIENCE_S)
    end = operator.now() + FINAL_S
    read = await operator.read(is_final=True)
    while read.answered_at is None and operator.now() < end:
        await asyncio.sleep(FINAL_READ_PAUSE_S)
        read = await operator.read(is_final=True)
    for host in deployment.hosts:
        await operator.read(host)
    await asyncio.sleep(deployment.history.converge_s)


def shrink(report: Report, max_runs: int = MAX_SHRINK_RUNS) -> Report:
    """Finds a shorter schedule that breaks the same rule: each fault is left out in turn while a rule still breaks.

    Args:
        report: A broken run.
        max_runs: How many runs to try.

    Returns:
        The report with the fewest faults.
    """
    rules = {violation.rule for violation in report.violations}
    best = report
    runs = 0
    index = 0
    while index < len(best.faults) and runs < max_runs:
        fewer = best.faults[:index] + best.faults[index + 1 :]
        trial = play(report.seed, report.settings, fewer)
        runs += 1
        if rules & {violation.rule for violation in trial.violations}:
            best = trial
        else:
            index += 1
    return best


__all__ = ["Model", "Report", "Rule", "Settings", "faults_of", "play", "shrink"]
