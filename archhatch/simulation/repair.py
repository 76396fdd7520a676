"""Measures how long the control group takes, after a loss, until it again tolerates the losses of FaultTolerance."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, replace

from ..control.node import ControlNode
from ..control.registers import SHARDS
from .control_node import SimulatedControlNode
from .deployment import Deployment
from .faults import Fault, FaultKind
from .loop import Incarnation
from .machine import Machine
from .runner import JOINED_S, Model, Settings

CHECK_INTERVAL_S = 0.05  # between two looks at the group
MAX_REPAIR_S = 60.0  # a group that is not repaired by then counts as never repaired
SETTLED_S = 2.0  # after the nodes have joined, before the loss
DOWN_S = 2.0  # how long a machine is away; an empty one comes as long after the one that it replaces
MAX_START_DELAY_S = 0.3  # machines start within this time of each other

KINDS = (FaultKind.CRASH, FaultKind.POWER_LOSS, FaultKind.WIPE, FaultKind.REPLACE)


@dataclass(frozen=True, slots=True)
class Repair:
    """The repair after one loss.

    Attributes:
        seed: The seed of the run.
        kind: What was lost.
        after_start_s: Seconds from the start of the machine that came back, or came instead; infinity for never.
    """

    seed: int
    kind: FaultKind
    after_start_s: float


def measure(seed: int, kind: FaultKind, nodes: int = 3) -> Repair:
    """Causes one loss in a group at rest without a standby machine, and waits until the group is repaired.

    Args:
        seed: The seed of the run.
        kind: What is lost; one of KINDS.
        nodes: How many control nodes the group has.

    Returns:
        The repair with its duration in virtual time.
    """
    shape = replace(Settings(Model.CONTROL, nodes).shape, machines=nodes)

    def build(machine: Machine, incarnation: Incarnation) -> SimulatedControlNode:
        return SimulatedControlNode(machine, incarnation, deployment)

    deployment = Deployment(seed, shape, build)
    random_state = random.getstate()
    random.seed(f"{seed}/code")  # what the code under test draws
    try:
        after_start_s = deployment.loop.run_until_complete(_lose_and_wait(deployment, kind))
    finally:
        deployment.shut()
        random.setstate(random_state)
    return Repair(seed, kind, after_start_s)


async def _lose_and_wait(deployment: Deployment, kind: FaultKind) -> float:
    loop = asyncio.get_running_loop()
    starts = deployment.stream("starts")
    for machine in deployment.machines:
        deployment.loop.call_outside(starts.uniform(0.0, MAX_START_DELAY_S), machine.start)
    await asyncio.sleep(JOINED_S + SETTLED_S)
    slot = deployment.stream("loss").randrange(deployment.shape.founders)
    deployment.schedule([Fault(kind, 0.0, DOWN_S, slot)])  # a fault's moment counts from its scheduling
    await asyncio.sleep(DOWN_S)
    started_at = loop.time()
    while not is_repaired(deployment):
        if loop.time() - started_at > MAX_REPAIR_S:
            return float("inf")
        await asyncio.sleep(CHECK_INTERVAL_S)
    return loop.time() - started_at


def is_repaired(deployment: Deployment) -> bool:
    """Returns whether the group of every register tolerates the losses of FaultTolerance.

    By the register's newest chosen state, any FaultTolerance of its voters may be lost, and a majority that holds this
    state is left.

    Args:
        deployment: A deployment of whole control nodes.
    """
    nodes = [
        machine.node.node
        for machine in deployment.machines
        if machine.running and isinstance(machine.node, SimulatedControlNode)
    ]
    return all(_tolerates_losses(shard, nodes, deployment.shape.tolerance) for shard in SHARDS)


def _tolerates_losses(shard: str, nodes: list[ControlNode], losses: int) -> bool:
    known = [node.registers.known[shard] for node in nodes if shard in node.registers.known]
    chosen = max(known, key=_version, default=None)
    if chosen is None or chosen["prev"]:  # "prev": a change of the voters is not finished
        return False
    current = {node.id for node in nodes if node.registers.acceptors[shard].version >= chosen["stamp"]}
    present = sum(1 for voter in chosen["voters"] if voter in current)
    return present - losses > len(chosen["voters"]) // 2


def _version(state: dict) -> int:
    return state["stamp"]


def format_table(seeds: range, nodes: int) -> str:
    """Returns one line for each kind of loss: the median and the worst of all seeds, in seconds.

    Args:
        seeds: The seeds to measure.
        nodes: How many control nodes the group has.
    """
    lines = []
    for kind in KINDS:
        times_s = sorted(measure(seed, kind, nodes).after_start_s for seed in seeds)
        median_s = times_s[len(times_s) // 2]
        lines.append(f"{kind.name}: middle {median_s:.2f} s, worst {times_s[-1]:.2f} s, {len(times_s)} seeds")
    return "\n".join(lines)
