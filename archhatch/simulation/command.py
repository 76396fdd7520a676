"""The command `simulate`: runs many seeds on several processors, shrinks the first broken one and prints it."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace

from absl.flags import FlagValues

from ..exceptions import ArchhatchError
from .planted_faults import PLANTS, planted
from .repair import format_table
from .runner import TOLERANCE, Model, Report, Settings, play, shrink
from .trace import format_summary, format_trace

EXIT_HELD = 0  # every seed kept every rule
EXIT_BROKEN = 1
EXIT_USAGE = 2
SEEDS_PER_CHUNK = 4  # that a process takes at once: fewer cost more traffic between processes
MAX_LISTED_SEEDS = 20  # of the broken ones, so that the last line stays readable


class UsageError(ArchhatchError):
    """Flags that make no sense; the message names the flag."""


@dataclass(frozen=True)
class SimulationOptions:
    """What the command line asks for.

    Attributes:
        seeds: The seeds to run.
        settings: What besides the seed makes a run.
        jobs: How many processes share the seeds.
        plant: The name of the fault to plant; None for the code as it is.
        steps: Whether to print a line for each seed.
        repair: Whether to measure repairs instead of running the seeds.
    """

    seeds: range
    settings: Settings
    jobs: int = 1
    plant: str | None = None
    steps: bool = False
    repair: bool = False


def read_seeds(text: str) -> range:
    """Parses the flag `seeds`: FROM:TO without TO itself, or a single seed.

    >>> read_seeds("0:500"), read_seeds("7")
    (range(0, 500), range(7, 8))

    Raises:
        UsageError: The text is neither, or holds no seed.
    """
    first, colon, end = text.partition(":")
    if not first.isdigit() or (colon and not end.isdigit()):
        raise UsageError(f"--seeds: say FROM:TO, not {text!r}")
    seeds = range(int(first), int(end) if colon else int(first) + 1)
    if not seeds:
        raise UsageError(f"--seeds: {text} holds none")
    return seeds


def read_options(flags: FlagValues, args: list[str]) -> SimulationOptions:
    """Checks the command line.

    Args:
        flags: The flags of cli.simulation.
        args: What stands beside the flags; nothing may.

    Raises:
        UsageError: There are arguments, or a flag makes no sense.
    """
    if args:
        raise UsageError("takes no arguments, only flags")
    nodes = flags.nodes if flags["nodes"].present else Settings().nodes
    if nodes not in TOLERANCE:
        raise UsageError(f"--nodes: one of {', '.join(map(str, TOLERANCE))}")
    if flags.plant is not None and flags.plant not in PLANTS:
        raise UsageError(f"--plant: one of {', '.join(PLANTS)}")
    settings = Settings(Model(flags.model), nodes, flags.length_s)
    return SimulationOptions(read_seeds(flags.seeds), settings, flags.jobs, flags.plant, flags.steps, flags.repair)


@dataclass(frozen=True)
class _SeedResult:
    """What is left of a report when it comes from another process."""

    seed: int
    is_broken: bool
    acknowledged: int
    steps: int


def _run_seed(seed: int, options: SimulationOptions) -> Report:
    with planted(options.plant):
        return play(seed, options.settings)


def _judge_seed(seed: int, options: SimulationOptions) -> _SeedResult:
    report = _run_seed(seed, options)
    return _SeedResult(seed, report.is_broken, report.acknowledged, report.steps)


def _judge_all(options: SimulationOptions) -> Iterator[_SeedResult]:
    """The results of all seeds in their order."""
    if options.jobs == 1:
        yield from (_judge_seed(seed, options) for seed in options.seeds)
        return
    with ProcessPoolExecutor(options.jobs) as pool:
        try:
            same_options = [options] * len(options.seeds)
            yield from pool.map(_judge_seed, options.seeds, same_options, chunksize=SEEDS_PER_CHUNK)
        finally:
            pool.shutdown(cancel_futures=True)


def _print_shrunk(seed: int, options: SimulationOptions) -> None:
    with planted(options.plant):
        report = shrink(play(seed, options.settings))
    print("\n".join(format_summary(report)))


def run_seeds(options: SimulationOptions) -> int:
    """Runs all seeds, and prints the first broken one with the fewest faults that still break it.

    Args:
        options: What the command line asks for.

    Returns:
        The exit status.
    """
    run_count = acknowledged = 0
    broken: list[int] = []
    for result in _judge_all(options):
        run_count += 1
        acknowledged += result.acknowledged
        if options.steps:
            print(f"seed {result.seed}: {result.steps} steps, {result.acknowledged} changes acknowledged")
        if result.is_broken:
            broken.append(result.seed)
            if len(broken) == 1:
                _print_shrunk(result.seed, options)
    settings = options.settings
    listed = f": {' '.join(map(str, broken[:MAX_LISTED_SEEDS]))}" if broken else ""
    print(
        f"{run_count} seeds, {settings.nodes} nodes, {settings.model.value}: {acknowledged} changes "
        f"acknowledged, {len(broken)} seeds broken{listed}"
    )
    return EXIT_BROKEN if broken else EXIT_HELD


def run(flags: FlagValues, args: list[str]) -> int:
    """Runs the command.

    Args:
        flags: The flags of cli.simulation.
        args: What stands beside the flags.

    Returns:
        The exit status.
    """
    try:
        options = read_options(flags, args)
    except UsageError as error:
        print(f"archhatch: simulate: {error}", file=sys.stderr)
        return EXIT_USAGE
    if flags.trace is not None:
        report = _run_seed(flags.trace, replace(options, seeds=range(flags.trace, flags.trace + 1)))
        print(format_trace(report))
        return EXIT_BROKEN if report.is_broken else EXIT_HELD
    if options.repair:
        print(format_table(options.seeds, options.settings.nodes))
        return EXIT_HELD
    return run_seeds(options)
