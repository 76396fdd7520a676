"""Measures all probes, fits their lines, and writes them with the commit and the samples."""

from __future__ import annotations

import json
import os
import platform
import subprocess
import sys
import time
from dataclasses import asdict

from . import probes  # noqa: F401  (fills the table of probes)
from .fit import fit_line
from .meter import Meter
from .needs import Missing
from .probe import PROBES

BUDGET_S = 60.0
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


class Measure:
    """run() gives one document; what could not be measured stands under Absent with the name that lacks.

    Processor time is measured in rounds, so that a busy moment of the machine spoils no probe: the best counts.

    >>> # doc = Measure().run(); doc["Fits"]["roll.beat"]["slope"]
    """

    def __init__(
        self, names=None, rounds: int = 2, repeats: int = 2, say=lambda line: None, budget_s: float = BUDGET_S
    ):
        self.names, self.rounds, self.repeats = names, rounds, repeats
        self.say, self.budget_s = say, budget_s

    def run(self) -> dict:
        """Measure; no probe is begun once the time is up."""
        began, best, absent = time.monotonic(), {}, {}
        meter = Meter(self.repeats)
        for turn in range(self.rounds):
            for name, pr in PROBES.items():
                if self.names is not None and name not in self.names or name in absent:
                    continue
                if turn and pr.kind not in ("cpu", "thread"):
                    continue
                if time.monotonic() - began > self.budget_s:
                    absent[name] = f"not begun: {self.budget_s:g} s were up"
                    continue
                try:
                    got = meter.samples(pr)
                except (Missing, AttributeError, TypeError, KeyError, ValueError) as e:
                    absent[name] = str(e) if isinstance(e, Missing) else f"what it measures has changed: {e!r}"
                    self.say(f"{name}: {absent[name]}")
                    continue
                best[name] = [[n, min(y, old[1])] for (n, y), old in zip(got, best.get(name, got))]
        return {
            **made_by(),
            "Command": "archhatch capacity measure",
            "Repeats": self.rounds * self.repeats,
            "TookS": round(time.monotonic() - began, 1),
            "PeakMb": _peak_mb(),
            "Fits": {n: self._fit(PROBES[n], got) for n, got in best.items() if n not in absent},
            "Absent": absent,
        }

    def _fit(self, pr, samples: list) -> dict:
        fit = fit_line(samples)
        self.say(f"{pr.name}: {fit.slope:.3e} each, {fit.intercept:.3e} at none, residual {fit.residual:.1%}")
        return {"kind": pr.kind, "what": pr.what, "x": pr.x, **asdict(fit), "samples": samples}


def made_by() -> dict:
    """The commit, whether the sources differ from it, and the Python that runs."""
    return {
        "Commit": _git("rev-parse", "--short=12", "HEAD"),
        "Dirty": bool(_git("status", "--porcelain", "archhatch")),
        "Python": platform.python_version(),
    }


def write(doc: dict, path: str | None) -> None:
    """The document into a file, or to standard output."""
    text = json.dumps(doc, indent=1)
    if path is None:
        sys.stdout.write(text + "\n")
        return
    with open(path, "w") as f:
        f.write(text + "\n")


def _git(*args) -> str:
    try:
        return subprocess.run(["git", *args], cwd=ROOT, capture_output=True, text=True, timeout=5).stdout.strip()
    except (OSError, subprocess.TimeoutExpired):
        return ""


def _peak_mb() -> float:
    import resource

    return round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024, 1)
