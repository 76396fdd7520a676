"""Ill replicas among well ones: grey, flapping, slow, full, with health answers that lie. Time is moved by hand."""

import random

import pytest

from archhatch.upstream import AttemptResult, LoadBalancer, Execution
from archhatch.upstream.headers import INSTANCE_LOAD_HEADER

N = 6
SERVED, FAILED, FULL = (
    AttemptResult(Execution.EXECUTED, 200),
    AttemptResult(Execution.EXECUTED, 500),
    AttemptResult(Execution.NOT_EXECUTED, 503),
)
CUT, DARK = AttemptResult(Execution.UNKNOWN), AttemptResult(Execution.NOT_EXECUTED, is_unresponsive=True)


class Site:
    """One edge that sends requests one after the other; ill(iid, now) -> (answer, seconds) of a replica."""

    def __init__(self, ill, every=0.05, seed=7):
        self.p, self.ill, self.now, self.every = (
            LoadBalancer("z", "edge", rest_s=1.2, busy_share=0.5),
            ill,
            100.0,
            every,
        )
        self.rng = random.Random(seed)
        self.p.apply_updates([self.entry(f"i{n}") for n in range(N)])

    def entry(self, iid, **change):
        return {"id": iid, "addr": f"a{iid}:1", "service": "s", "zone": "z", "slots": 6, "state": "up", **change}

    def share(self, count):
        """Sends count requests, three at once; the share that the first one gets."""
        hits = 0
        for _ in range(count // 3):
            lines = []
            for _ in range(3):
                t = self.p.select_replica("s", set(), self.now)
                t.in_flight += 1
                lines.append(t)
            for t in lines:
                t.in_flight -= 1
                answer, took = self.ill(t.instance_id, self) if t.instance_id == self.first else (SERVED, 0.03)
                self.p.record_result(t, answer, self.now, took, 0.05)
                hits += t.instance_id == self.first
            self.now += self.every
        return hits / (count // 3 * 3)

    @property
    def first(self):
        """The replica that this edge likes best is the ill one."""
        return next(iter(self.p.pools["s"].subset.blocks()))[0].instance_id


def grey(shard, answer):
    return lambda iid, site: (answer if site.rng.random() < shard else SERVED, 0.03)


@pytest.mark.parametrize(
    "shard, answer, most",
    [
        (0.45, FAILED, 0.08),
        (0.45, CUT, 0.08),
        (0.9, FAILED, 0.05),
        (1.0, DARK, 0.05),
        (0.25, FAILED, 0.25),
        (0.01, FAILED, 0.34),
        (0.0, FAILED, 0.34),
    ],
)
def test_a_grey_replica_is_all_but_avoided(shard, answer, most):
    site = Site(grey(shard, answer))
    assert site.share(30) > 0  # it was liked best
    got = site.share(600)
    assert got <= most and (shard > 0.02 or got > 0.2)


@pytest.mark.parametrize("answer", [FAILED, CUT, DARK])
def test_it_comes_back_when_it_is_well(answer):
    site = Site(grey(0.45, answer))
    site.share(600)
    site.ill = grey(0.0, answer)
    site.share(600)
    assert site.share(300) > 0.25


def test_beats_that_flap_do_not_hide_what_results_showed():
    site = Site(grey(0.45, FAILED))
    site.share(60)
    hits = 0.0
    for n in range(20):
        site.p.apply_updates([site.entry(site.first, silent=True), site.entry(site.first, silent=False)])
        hits += site.share(30)
    assert hits / 20 <= 0.1


@pytest.mark.parametrize("up, down, most", [(1.0, 1.0, 0.15), (0.5, 2.0, 0.12), (3.0, 1.0, 0.3)])
def test_a_replica_that_goes_down_and_up_by_turns_is_used_little(up, down, most):
    def flap(iid, site):
        return (SERVED if (site.now - 100.0) % (up + down) < up else DARK), 0.03

    site = Site(flap)
    site.share(240)
    assert site.share(1200) <= most


@pytest.mark.parametrize("times, least, most", [(1.0, 0.25, 0.34), (4.0, 0.0, 0.2), (10.0, 0.0, 0.1)])
def test_a_slow_replica_is_used_less_and_not_ejected(times, least, most):
    site = Site(lambda iid, site: (SERVED, 0.03 * times))
    site.share(60)
    assert least <= site.share(600) <= most
    t = site.p.replicas[site.first]
    assert t.health.update(site.now) == "healthy"
    t.relative_latency, site.ill = 8.0, grey(0.0, FAILED)
    site.share(1200)
    assert site.share(300) > 0.2  # what was seen long ago is forgotten


@pytest.mark.parametrize(
    "answer",
    [
        FULL,
        AttemptResult(Execution.NOT_EXECUTED, 429),
        AttemptResult(Execution.NOT_EXECUTED, 503, [(INSTANCE_LOAD_HEADER, "6,20,6")]),
    ],
)
def test_a_full_replica_is_busy_not_ill(answer):
    site = Site(lambda iid, site: (answer, 0.001))
    assert site.share(600) <= 0.1
    t = site.p.replicas[site.first]
    assert t.health.state == "healthy" and t.health.failure_ratio(site.now) == 0.0
    site.ill, site.now = grey(0.0, FAILED), site.now + 10.0
    assert site.share(300) > 0.2


@pytest.mark.parametrize("serving, picked", [(True, True), (False, False)])
def test_silence_in_the_roll_is_a_hint_that_answers_refute(serving, picked):
    site = Site(grey(0.0, FAILED))
    if serving:
        site.share(30)
    site.p.apply_updates([site.entry(site.first, silent=True)])
    assert (site.p.select_replica("s", set(), site.now).instance_id == site.first) is picked


@pytest.mark.parametrize("sure, picked", [(False, True), (True, False)])
def test_what_may_run_once_is_no_trial(sure, picked):
    site = Site(grey(0.0, FAILED))
    t = site.p.replicas[site.first]
    for _ in range(4):
        site.p.record_outcome(t, "faulted", site.now)
    site.now += 1.3
    assert t.health.update(site.now) == "suspect"
    assert (site.p.select_replica("s", set(), site.now, runs_once=sure) is t) is picked


def test_not_more_than_a_third_is_ejected_by_an_edge():
    site = Site(grey(0.0, FAILED))
    for t in site.p.replicas.values():
        for _ in range(6):
            site.p.record_outcome(t, "faulted" if t.instance_id != "i5" else "served", site.now)
    assert sum(t.health.update(site.now) == "ejected" for t in site.p.replicas.values()) <= N // 3
