"""The command `simulate`: plays seeds of the control side's code under faults, in virtual time."""

from __future__ import annotations

from absl import flags

from .registry import command

flags.DEFINE_integer("nodes", 3, "simulate: control nodes, 3 or 5", lower_bound=1)
flags.DEFINE_string("seeds", "0:100", "simulate: seeds FROM:TO, or one")
flags.DEFINE_enum("model", "register", ["register", "control"], "simulate: one register, or whole control nodes")
flags.DEFINE_float("length_s", 24.0, "simulate: virtual seconds with faults", lower_bound=1)
flags.DEFINE_integer("jobs", 1, "simulate: processes", lower_bound=1)
flags.DEFINE_bool("steps", False, "simulate: tell of each seed")
flags.DEFINE_integer("trace", None, "simulate: tell one seed whole", lower_bound=0)
flags.DEFINE_bool("repair", False, "simulate: instead, measure how long a group takes to bear the allowed losses again")
flags.DEFINE_string("plant", None, "simulate: a fault to plant (docs/simulation.md)")


@command("simulate", "play seeds of the control side's code under faults, in virtual time, and judge what clients saw")
def _simulate(args: list[str]) -> int:
    from ..simulation.command import run

    return run(flags.FLAGS, args)
