"""Figures at the size: measured lines taken at the counts that the size gives, and which lines a figure stands on."""

from __future__ import annotations

from dataclasses import dataclass

from .fit import Fit
from .needs import need
from .size import SizeError


@dataclass(frozen=True, slots=True)
class Row:
    """One figure of one role. landed: with the sources as they are; built: with the mechanism that is named."""

    role: str
    figure: str
    unit: str
    landed: float | None
    built: float | None
    budget: float | None
    how: str
    used: tuple


ROWS: list = []


def row(role: str, figure: str, unit: str, how: str, budget=None):
    """Register a figure: fn(q) gives (landed, built); budget(s) its bound, from the size.

    >>> # @row("edge", "connections", "", "subsets", budget=lambda s: s.machine_fds)
    >>> # def _conns(q): return 4000, 700
    """

    def put(function):
        ROWS.append((role, figure, unit, how, budget, function))
        return function

    return put


class Reckoner:
    """at() and per() read a line and note that it was used; the rest are counts that follow from the size. Processor
    time is charged as much more as real processes took than the probes' hot loops.

    >>> # Reckoner(size, slopes["Fits"]).at("roll.since", 10_000)
    """

    def __init__(self, size, fits: dict, path: str = "slopes"):
        self.s, self.path = size, path
        self.fits = fits
        self.used: list = []

    def _fit(self, name: str) -> Fit:
        if name not in self.fits:
            raise SizeError(self.path, f"Fits.{name}", "is missing; run `archhatch capacity measure` again")
        if name not in self.used:
            self.used.append(name)
        f = self.fits[name]
        cold = self.s.cold if f["kind"] in ("cpu", "thread") else 1.0
        return Fit(f["slope"] * cold, f["intercept"] * cold, f["residual"])

    def at(self, name: str, x: float) -> float:
        return self._fit(name).at(x)

    def per(self, name: str) -> float:
        """What one more costs."""
        return self._fit(name).slope

    def rows(self) -> list[Row]:
        """All figures, in the order of the roles."""
        out = []
        for role, figure, unit, how, budget, function in ROWS:
            self.used = []
            landed, built = function(self)
            out.append(
                Row(role, figure, unit, landed, built, budget(self.s) if budget else None, how, tuple(self.used))
            )
        return out

    # -- counts that several figures need; rates are a second

    @property
    def beats(self) -> float:
        return self.s.replicas / self.s.beat_s

    @property
    def machine_replicas(self) -> float:
        """Replicas on one machine."""
        return self.s.replicas * self.s.accelerators_machine / self.s.accelerators

    @property
    def moves(self) -> float:
        """Changes of replicas' states: draining, gone and up for each restart, silent and gone for each failure."""
        return (self.s.restarts_day * 3 + self.s.failures_day * 2) * self.machine_replicas / 86400

    @property
    def fresh(self) -> float:
        """Replicas that are new to the roll."""
        return (self.s.restarts_day + self.s.failures_day) * self.machine_replicas / 86400

    @property
    def versions(self) -> float:
        """Replicas whose version changes, on the mean."""
        return self.s.replicas / (self.s.weights_min * 60)

    @property
    def wave(self) -> float:
        """The same while all are brought to new weights."""
        return self.s.replicas / self.s.weights_all_s

    @property
    def turns(self) -> float:
        return self.moves + self.versions

    @property
    def told(self) -> float:
        """Answers a second to one reader while weights change: what changes while its next question is on its way is
        told together."""
        return min(self.wave, 1 / (2 * self.s.lan_s))

    @property
    def told_mean(self) -> float:
        """The same on the mean: states change now and then, versions in the first seconds of each period."""
        return self.moves + self.told * self.s.weights_all_s / (self.s.weights_min * 60)

    @property
    def changes(self) -> float:
        return self.s.changes_day / 86400

    @property
    def asks(self) -> float:
        """Questions for news of one reader when nothing changes: each is held for a third of ContactMs."""
        return 3 / self.s.contact_s

    @property
    def readers(self) -> float:
        """Edges and stores that ask one control node."""
        return (self.s.edges + self.s.stores) / self.s.cores

    @property
    def pings(self) -> float:
        """Pings of one node to one other."""
        return 15 / self.s.contact_s

    @property
    def others(self) -> int:
        return self.s.cores - 1

    @property
    def entry(self) -> float:
        """Bytes of one replica's entry in the news."""
        return self.per("news.bytes")

    @property
    def mine(self) -> float:
        """Replicas that one edge uses: a subset of each service."""
        return self.s.subset * self.s.services

    @property
    def block(self) -> float:
        """Replicas of a service that an edge uses first (upstream/subset): some of its zone, one of each other one."""
        return min(self.of_service, need("upstream.subset", "REPLICAS_OF_OWN_ZONE") + self.s.zones - 1)

    @property
    def polls(self) -> float:
        """Polls that one leader answers a second when no stream ends: of all stores, for each service that it holds."""
        return self.held * self.s.stores / (self.s.cancel_s / 4)

    @property
    def share(self) -> float:
        """The part of the roll that concerns one edge."""
        return min(1.0, self.mine / self.s.replicas)

    @property
    def of_service(self) -> float:
        return self.s.replicas / self.s.services

    @property
    def rate(self) -> float:
        """Samples a second, all trainers."""
        return self.s.trainers * self.s.samples / (self.s.step_min * 60)

    @property
    def held(self) -> float:
        """Trained services that one store holds."""
        return self.s.trainers / self.s.stores

    @property
    def sample_bytes(self) -> float:
        return self.s.sample_tokens * self.s.token_bytes

    @property
    def plan_bytes(self) -> float:
        return self.at("news.plan_bytes", self.s.routes)

    @property
    def sample_events(self) -> float:
        """Events a second of all samples."""
        return self.rate * self.s.sample_tokens / self.s.tokens_event

    @property
    def live_events(self) -> float:
        return self.s.tokens_s / self.s.tokens_event - self.sample_events

    @property
    def asleep(self) -> float:
        """How much more than other real processes an edge that mostly sleeps takes for the same."""
        return self.s.cold_edge / self.s.cold

    @property
    def half_call(self) -> float:
        """One end of a call over a rpc: both are measured together."""
        return self.per("rpc.call") / 2
