"""The small runs beside what the slopes foretell for them."""

from __future__ import annotations

import copy
import statistics

from .reckon import Reckoner
from .roles.core import _all_cpu


class Compare:
    """rows() gives (replicas, figure, measured, reckoned, unit); connection() a connection keeps in memory.

    >>> # Compare(size, slopes["Fits"], scale).rows()
    """

    def __init__(self, size, fits: dict, scale: dict):
        self.size, self.fits, self.scale = size, fits, scale

    def rows(self) -> list:
        out = []
        for run in self.scale["Runs"]:
            n, q = run["Replicas"], self._small(run["Replicas"])
            steady = _all_cpu(q)[0]
            out.append((n, "processor time, nothing changes", _mean(run["Steady"], "cpu"), steady, "core"))
            news = q.readers * run["Versions"]["answers_s"] * (q.at("news.one", n) + q.half_call)
            out.append(
                (
                    n,
                    "processor time, versions change (answers as many as were seen)",
                    _mean(run["Versions"], "cpu"),
                    steady + news,
                    "core",
                )
            )
            out.append(
                (
                    n,
                    "memory",
                    _mean(run["Steady"], "rss"),
                    q.at("resident.core", 0) + n * (q.per("roll.memory") + q.s.connection_bytes / q.s.cores),
                    "B",
                )
            )
            fold = run["Versions"]["entries_s"] * (q.per("news.fold") + q.per("picker.again"))
            out.append(
                (
                    n,
                    "processor time of a switchboard, versions change",
                    _mean(run["Versions"], "cpu", "switchboard"),
                    run["Versions"]["answers_s"] * q.half_call + fold,
                    "core",
                )
            )
            out.append(
                (
                    n,
                    "memory of a switchboard",
                    _mean(run["Steady"], "rss", "switchboard"),
                    q.at("resident.edge", 0) + n * (q.per("news.memory") + q.per("picker.memory")),
                    "B",
                )
            )
        return out

    def cold(self) -> tuple:
        """How much more processor time real processes took than reckoned, in the run with the most replicas: control
        nodes, the worse of the two phases, and switchboards."""
        most = max(r["Replicas"] for r in self.scale["Runs"])
        ratios = [(what, got / told) for n, what, got, told, unit in self.rows() if n == most and unit == "core"]
        edge = [r for what, r in ratios if "switchboard" in what]
        return max(1.0, *(r for what, r in ratios if "switchboard" not in what)), max(1.0, *edge)

    def connection(self) -> float:
        """Bytes that a replica's connection keeps in a control node: what the roll does not explain."""
        fit = self.scale["Fits"]["core.steady.rss"]
        return (fit["slope"] - self.fits["roll.memory"]["slope"]) * self.scale["Cores"]

    def _small(self, replicas: int) -> Reckoner:
        """The reckoner for a run's size, in which nothing changes but beats."""
        s = copy.copy(self.size)
        s.replicas, s.cores, s.stores, s.beat_s = replicas, self.scale["Cores"], 0, self.scale["BeatS"]
        s.edges = self.scale["HollowNodes"] + self.scale["Edges"]
        s.restarts_day = s.failures_day = s.changes_day = s.live_services_edge = 0
        s.weights_min = float("inf")
        s.cold = s.cold_edge = 1.0
        return Reckoner(s, self.fits)


def _mean(phase: dict, field: str, kind: str = "core") -> float:
    return statistics.fmean(p[field] for p in phase[kind])
