"""Soaks: real processes under clients that never let go, while signals, restarts, crashes and changes come in series.

By hand: python3 -m tests.soak.soak --seeds 0:50 --jobs 4 [--crowds]
"""

from __future__ import annotations

import argparse
import asyncio
import random
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from tests.soak.clients import ITEMS, Job, LiveClient, Outcome, Trainer, send_bursts
from tests.soak.crowds import BODY_LIMITS, CrowdSeries, SmallLinkedSystem
from tests.soak.deployment import BLUE, Record, configuration, replicas_of
from tests.soak.links import LinkedSystem
from tests.soak.judge import judge_jobs, judge_live, judge_use
from tests.soak.troubles import Troubles

ROOT = Path(__file__).resolve().parents[2]
TROUBLES_S = 20.0
CALM_S = 5.0  # after the last trouble, before it is judged whether all is used
LAST_JOBS_S = 40.0  # how long what is owed may take in the calm
CLIENTS_A_EDGE = 6
TRAINERS = 2
MANY_EDGES = 40  # of a large soak


async def play(seed: int, edge_count: int = 2, troubles_s: float = TROUBLES_S, has_crowds: bool = False) -> list[str]:
    """Plays one soak, with clients that do not behave if wanted; returns the rules that were broken."""
    asyncio.get_running_loop().set_exception_handler(_pass_over_resets)
    rng = random.Random(seed)
    make_system = SmallLinkedSystem if has_crowds else LinkedSystem
    system = make_system(Record(Path("/dev/null")), edge_count=edge_count)
    replicas = replicas_of(system)
    troubles = Troubles(system, replicas, rng)
    crowds = CrowdSeries(system, random.Random(seed))
    troubles.body_limits = BODY_LIMITS if has_crowds else ()
    outcomes: list[Outcome] = []
    jobs: list[Job] = []
    is_calm, is_over = asyncio.Event(), asyncio.Event()
    try:
        await system.open_links()
        await system.start(configuration(1, BLUE))
        for replica in replicas:
            await replica.start()
        await asyncio.sleep(2.0)
        trainers = [
            Trainer(system, f"{n:04x}", random.Random(rng.random()), jobs, troubles.reset_begun)
            for n in range(TRAINERS)
        ]
        clients = [
            LiveClient(system, str(n), random.Random(rng.random()), outcomes).run(is_over)
            for n in range(CLIENTS_A_EDGE * min(edge_count, 8))
        ]
        running = [asyncio.ensure_future(each) for each in (*clients, *(trainer.run(is_calm) for trainer in trainers))]
        if has_crowds:
            running += [asyncio.ensure_future(crowds.play(is_calm)), asyncio.ensure_future(crowds.watch(is_over))]
        await troubles.play(troubles_s)
        await asyncio.sleep(CALM_S)
        is_calm.set()
        calm_from = system.record.now()
        await send_bursts(system)
        await finish_jobs(trainers[0], jobs)
        is_over.set()
        await asyncio.gather(*running)
        used = {"quote-app", "order-app", troubles.model_service}
        system.record.say(f"seed {seed}: {len(outcomes)} live requests, {len(jobs)} jobs, {troubles.log}")
        system.record.say(f"crowds: {crowds.played}")
        return [
            *judge_live(outcomes, replicas, troubles.log),
            *judge_jobs(jobs, replicas, troubles.log),
            *judge_use(replicas, calm_from, used),
            *(f"LATE END {end}" for end in troubles.log.late_ends),
            *sorted(crowds.broken),
        ]
    finally:
        is_calm.set()
        is_over.set()
        for replica in replicas:
            await replica.stop()
        system.end()


def _pass_over_resets(loop: asyncio.AbstractEventLoop, context: dict) -> None:
    """Drops what the stand-ins leave unread of connections that were reset."""
    if not isinstance(context.get("exception"), ConnectionError):
        loop.default_exception_handler(context)


async def finish_jobs(trainer: Trainer, jobs: list[Job]) -> None:
    """Reads what is owed, and hands in last jobs that reach every replica."""
    last = [Job(f"ffff{n:012x}") for n in range(2)]
    jobs += last
    for job in last:
        await trainer.hand_in(job)
    deadline = trainer.system.record.now() + LAST_JOBS_S
    while trainer.system.record.now() < deadline:
        owed = [job for job in jobs if job.is_owed() and len(job.results) < ITEMS]
        if not owed:
            return
        await asyncio.gather(*(trainer.read(job) for job in owed))


def main() -> int:
    """Plays seeds, some side by side, each in a process of its own; returns 1 if a rule was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="0:1", help="FIRST:END")
    parser.add_argument("--jobs", type=int, default=1, help="how many are played at once")
    parser.add_argument("--edges", type=int, default=2)
    parser.add_argument("--crowds", action="store_true", help="play clients that do not behave beside the others")
    parser.add_argument("--alone", action="store_true", help="play the first seed in this process")
    options = parser.parse_args()
    first, end = (int(part) for part in options.seeds.split(":"))
    if options.alone:
        broken = asyncio.run(play(first, options.edges, has_crowds=options.crowds))
        print("\n".join(broken) or "all rules held", flush=True)
        return 1 if broken else 0

    def play_seed(seed: int) -> int:
        command = [sys.executable, "-m", "tests.soak.soak", "--alone", "--seeds", f"{seed}:{seed + 1}"]
        command += ["--edges", str(options.edges), *(["--crowds"] if options.crowds else [])]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, check=False)
        lines = (done.stdout + done.stderr).decode().splitlines()
        shown = lines if options.jobs == 1 else [line for line in lines if not line[:9].strip()[:1].isdigit()]
        print(f"seed {seed}: exit {done.returncode}", *shown, sep="\n  ", flush=True)
        return done.returncode

    with ThreadPoolExecutor(options.jobs) as pool:
        return 1 if any(list(pool.map(play_seed, range(first, end)))) else 0


if __name__ == "__main__":
    sys.exit(main())
