"""How long the control group takes, after a loss, until it again bears the losses that FaultTolerance allows."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, replace

from ..control.registers import SHARDS
from .control_node import SimulatedControlNode
from .deployment import Deployment
from .faults import Fault, FaultKind
from .runner import JOINED_S, Model, Settings

LOOK_S = 0.05  # between two looks at the group
LONGEST_S = 60.0  # a group that is not whole by then counts as never
SETTLED_S = 2.0  # after the nodes have joined, before the loss
DOWN_S = 2.0  # a machine that comes back is away for so long; an empty one comes as long after the old one

KINDS = (FaultKind.CRASH, FaultKind.POWER_LOSS, FaultKind.WIPE, FaultKind.REPLACE)


@dataclass(frozen=True, slots=True)
class Repair:
    """The repair after one loss. after_start_s counts from the start of the machine that came back, or came instead."""

    seed: int
    kind: FaultKind
    after_start_s: float


def measure(seed: int, kind: FaultKind, nodes: int = 3) -> Repair:
    """Play one loss on a group at rest with no machine standing by, and look until it is whole again."""
    shape = replace(Settings(Model.CONTROL, nodes).shape, machines=nodes)

    def build(machine, incarnation):
        return SimulatedControlNode(machine, incarnation, deployment)

    deployment = Deployment(seed, shape, build)
    before = random.getstate()
    random.seed(f"{seed}/code")
    try:
        seconds = deployment.loop.run_until_complete(_lose_and_wait(deployment, seed, kind))
    finally:
        deployment.shut()
        random.setstate(before)
    return Repair(seed, kind, seconds)


async def _lose_and_wait(deployment: Deployment, seed: int, kind: FaultKind) -> float:
    loop = asyncio.get_running_loop()
    starts = deployment.stream("starts")
    for machine in deployment.machines:
        deployment.loop.call_outside(starts.uniform(0.0, 0.3), machine.start)
    await asyncio.sleep(JOINED_S + SETTLED_S)
    slot = deployment.stream("loss").randrange(deployment.shape.founders)
    deployment.schedule([Fault(kind, 0.0, DOWN_S, slot)])  # moments count from the scheduling
    await asyncio.sleep(DOWN_S)
    back = loop.time()
    while not whole(deployment):
        if loop.time() - back > LONGEST_S:
            return float("inf")
        await asyncio.sleep(LOOK_S)
    return loop.time() - back


def whole(deployment: Deployment) -> bool:
    """Whether every register's group, by its newest chosen state, would keep a majority that holds this state if any
    FaultTolerance of its voters were lost."""
    nodes = [machine.node.node for machine in deployment.machines if machine.running and machine.node is not None]
    return all(_bears(shard, nodes, deployment.shape.tolerance) for shard in SHARDS)


def _bears(shard: str, nodes: list, losses: int) -> bool:
    chosen = max(
        (node.registers.known[shard] for node in nodes if shard in node.registers.known), key=_version, default=None
    )
    if chosen is None or chosen["prev"]:
        return False
    current = {n.id for n in nodes if n.registers.acceptors[shard].version >= chosen["stamp"]}
    present = sum(1 for voter in chosen["voters"] if voter in current)
    return present - losses > len(chosen["voters"]) // 2


def _version(state: dict) -> int:
    return state["stamp"]


def table(seeds: range, nodes: int) -> str:
    """One line for each kind of loss: the middle and the worst of all seeds, in seconds."""
    rows = []
    for kind in KINDS:
        times = sorted(measure(seed, kind, nodes).after_start_s for seed in seeds)
        rows.append(f"{kind.name}: middle {times[len(times) // 2]:.2f} s, worst {times[-1]:.2f} s, {len(times)} seeds")
    return "\n".join(rows)
