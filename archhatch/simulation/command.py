"""`archhatch simulate`: many seeds on several processors, the first broken one shrunk and told."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace

from .planted_faults import PLANTS, planted
from .repair import table
from .runner import TOLERANCE, Model, Report, Settings, play, shrink
from .trace import summary, tell

HELD, BROKEN, WRONG_USE = 0, 1, 2
CHUNK = 4  # seeds that a worker takes at once


class UsageError(Exception):
    """Flags that make no sense."""


@dataclass(frozen=True)
class Wish:
    """What the command line asks for."""

    seeds: range
    settings: Settings
    jobs: int = 1
    plant: str | None = None
    steps: bool = False
    repair: bool = False


def read_seeds(text: str) -> range:
    """Seeds FROM:TO, the second one not included; or a single one.

    >>> read_seeds("0:500"), read_seeds("7")
    (range(0, 500), range(7, 8))
    """
    shards = text.split(":")
    if len(shards) > 2 or not all(shard.isdigit() for shard in shards):
        raise UsageError(f"--seeds: say FROM:TO, not {text!r}")
    first = int(shards[0])
    seeds = range(first, int(shards[1]) if len(shards) == 2 else first + 1)
    if not seeds:
        raise UsageError(f"--seeds: {text} holds none")
    return seeds


def read_wish(flags) -> Wish:
    """The flags of the command line, checked."""
    nodes = flags.nodes if flags["nodes"].present else Settings().nodes
    if nodes not in TOLERANCE:
        raise UsageError(f"--nodes: one of {', '.join(map(str, TOLERANCE))}")
    if flags.plant is not None and flags.plant not in PLANTS:
        raise UsageError(f"--plant: one of {', '.join(PLANTS)}")
    settings = Settings(Model(flags.model), nodes, flags.length_s)
    return Wish(read_seeds(flags.seeds), settings, flags.jobs, flags.plant, flags.steps, flags.repair)


@dataclass(frozen=True)
class _Result:
    seed: int
    broken: bool
    acknowledged: int
    steps: int


def _play(seed: int, wish: Wish) -> Report:
    with planted(wish.plant):
        return play(seed, wish.settings)


def _judge(seed: int, wish: Wish) -> _Result:
    report = _play(seed, wish)
    return _Result(seed, report.broken, report.acknowledged, report.steps)


def _results(wish: Wish) -> Iterator[_Result]:
    """The results of all seeds in their order."""
    if wish.jobs == 1:
        yield from (_judge(seed, wish) for seed in wish.seeds)
        return
    with ProcessPoolExecutor(wish.jobs) as pool:
        try:
            yield from pool.map(_judge, wish.seeds, [wish] * len(wish.seeds), chunksize=CHUNK)
        finally:
            pool.shutdown(cancel_futures=True)


def _show_broken(seed: int, wish: Wish) -> None:
    with planted(wish.plant):
        report = shrink(play(seed, wish.settings))
    print("\n".join(summary(report)))


def sweep(wish: Wish) -> int:
    """Play all seeds; tell the first broken one with the fewest faults that still break it."""
    played = acknowledged = 0
    broken: list[int] = []
    for result in _results(wish):
        played += 1
        acknowledged += result.acknowledged
        if wish.steps:
            print(f"seed {result.seed}: {result.steps} steps, {result.acknowledged} changes acknowledged")
        if result.broken:
            broken.append(result.seed)
            if len(broken) == 1:
                _show_broken(result.seed, wish)
    print(
        f"{played} seeds, {wish.settings.nodes} nodes, {wish.settings.model.value}: {acknowledged} changes "
        f"acknowledged, {len(broken)} seeds broken{': ' if broken else ''}{' '.join(map(str, broken[:20]))}"
    )
    return BROKEN if broken else HELD


def run(flags, args: list) -> int:
    """What the command does; gives the status of the process."""
    try:
        if args:
            raise UsageError("takes no arguments, only flags")
        wish = read_wish(flags)
        if flags.trace is not None:
            report = _play(flags.trace, replace(wish, seeds=range(flags.trace, flags.trace + 1)))
            print(tell(report))
            return BROKEN if report.broken else HELD
        if wish.repair:
            print(table(wish.seeds, wish.settings.nodes))
            return HELD
    except UsageError as fault:
        print(f"archhatch: simulate: {fault}", file=sys.stderr)
        return WRONG_USE
    return sweep(wish)
