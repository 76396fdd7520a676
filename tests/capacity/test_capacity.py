"""Capacity planning: the page's table is made anew here, so that it cannot go stale; probes run at small sizes."""

import inspect
import json
import os
import re
import subprocess
import sys

import pytest

from archhatch.share_group.acquisition import EntryAcquisition
from archhatch.capacity import Fit, Measure, SizeError, Table, fit_line, read_size
from archhatch.capacity import measure as measure_module
from archhatch.capacity.command import SCALE, SLOPES, Capacity
from archhatch.capacity.hops import WAYS, weights_cut
from archhatch.capacity.meter import Meter
from archhatch.capacity.needs import Missing, need
from archhatch.capacity.probe import PROBES, Probe, probe
from archhatch.capacity.compare import Compare
from archhatch.capacity.size import SIZE, read_scale, read_slopes
from archhatch.capacity.table import BEGIN, END, block, shown, verdict

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
RECORDED = os.path.join(ROOT, SLOPES)
ROLES = ["edge", "control node", "store as partition leader", "store as worker", "rollout controller", "operator API"]


@pytest.fixture
def reckon():
    return Table(read_size(), read_slopes(RECORDED), RECORDED, read_scale(os.path.join(ROOT, SCALE))).reckon


def cli(*args):
    return subprocess.run(
        [sys.executable, "-m", "archhatch", "capacity", *args],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )


# -- the page


def test_the_page_holds_the_table_of_the_recorded_slopes():
    assert Capacity().run(["check"]) == 0


def test_a_stale_page_is_told_and_written_anew(tmp_path, capsys):
    page = tmp_path / "CAPACITY.md"
    page.write_text(f"# Before\n{BEGIN}\nold\n{END}\nafter\n")
    cap = Capacity(page=str(page))
    assert cap.run(["check"]) == 1 and "stale" in capsys.readouterr().err
    assert cap.run(["write"]) == 0 and cap.run(["check"]) == 0
    text = page.read_text()
    assert text.startswith("# Before\n" + BEGIN) and text.endswith(END + "\nafter\n") and "\nold\n" not in text


def test_a_changed_slope_or_size_makes_the_page_stale(tmp_path, capsys):
    doc = json.load(open(RECORDED))
    doc["Fits"]["beat.http"]["slope"] *= 2
    (tmp_path / "slopes.json").write_text(json.dumps(doc))
    assert Capacity(slopes=str(tmp_path / "slopes.json")).run(["check"]) == 1
    (tmp_path / "size.toml").write_text(open(SIZE).read().replace("replicas = 10000", "replicas = 9000"))
    assert Capacity(size=str(tmp_path / "size.toml")).run(["check"]) == 1


def test_a_page_without_markers(tmp_path, capsys):
    (tmp_path / "p.md").write_text("nothing")
    assert Capacity(page=str(tmp_path / "p.md")).run(["check"]) == 2 and "markers" in capsys.readouterr().err
    assert block(END + BEGIN) is None


def test_command_line():
    assert cli("check").returncode == 0
    bad = cli("guess")
    assert bad.returncode == 2 and "measure" in bad.stderr
    out = cli("table")
    assert out.returncode == 0 and out.stdout.startswith(BEGIN)
    lost = cli("table", "--slopes=/nowhere.json")
    assert lost.returncode == 2 and "/nowhere.json" in lost.stderr


def test_each_role_has_each_kind_of_figure(reckon):
    rows = reckon.rows()
    assert list(dict.fromkeys(r.role for r in rows)) == ROLES
    for role in ROLES:
        mine = [r.figure for r in rows if r.role == role]
        for kind in (
            "state",
            "messages in",
            "messages out",
            "bytes",
            "processor time",
            "memory",
            "disk",
            "connections",
        ):
            assert any(f.startswith(kind) for f in mine), (role, kind)


def test_each_figure_of_processor_time_or_memory_stands_on_a_slope(reckon):
    for r in reckon.rows():
        if r.unit == "core" or r.figure.startswith("memory"):
            assert r.used, (r.role, r.figure)


def test_over_and_under_are_said(reckon):
    table = Table(read_size(), read_slopes(RECORDED), RECORDED).text()
    for r in reckon.rows():
        if r.budget is not None:
            assert verdict(r.landed, r.budget).split(",")[0] == ("**over**" if r.landed > r.budget else "under")
    assert verdict(3, 2) == "**over**, near" and verdict(2, 2) == "under, near" and verdict(1, None) == ""
    assert "**over**" in table and "| under |" in table
    assert verdict(4, 2) == "**over**" and verdict(1, 2) == "under" and verdict(float("inf"), 2) == "**over**"


@pytest.mark.parametrize(
    "value, unit, text",
    [
        (0.021, "core", "2.1% of a core"),
        (15_250_000, "B/s", "15.2 MB/s"),
        (None, "", "-"),
        (8333.3, "/s", "8,333 /s"),
        (float("inf"), "s", "no end"),
        (0, "B", "0 B"),
        (0.0123, "s", "0.012 s"),
    ],
)
def test_shown(value, unit, text):
    assert shown(value, unit) == text


def test_the_assumptions_stand_in_the_table():
    size = read_size()
    table = Table(size, read_slopes(RECORDED), RECORDED).text()
    assert {n for _, n, _, _ in size.rows} <= set(re.findall(r"\| (?:given|assumed) \| `(\w+)`", table))
    assert ("assumed", "load_s", 2.5, "a replica's load of weights, at its worst of 100") in size.rows


# -- the reckoning


def test_counts_of_the_size(reckon):
    assert reckon.beats > 8000 and reckon.s.cores + reckon.s.stores <= reckon.s.control_machines
    assert reckon.s.edges + reckon.s.cores + reckon.s.stores == reckon.s.nodes
    assert 106 < reckon.rate < 107 and reckon.mine < reckon.s.replicas


def test_ways_end_within_their_bounds_once_built(reckon):
    for way in (w(reckon) for w in WAYS):
        assert way.sums()[1] <= way.bound, way.name


def test_a_fit_that_lacks_is_named(reckon):
    del reckon.fits["beat.http"]
    with pytest.raises(SizeError) as e:
        reckon.rows()
    assert "Fits.beat.http" in str(e.value) and RECORDED in str(e.value)


# -- lines


def test_fit_line():
    fit = fit_line([[0, 1], [10, 21], [20, 41]])
    assert (fit.slope, fit.intercept, fit.residual) == pytest.approx((2, 1, 0)) and fit.at(5) == pytest.approx(11)
    assert fit_line([[0, 0], [1, 2], [2, 1]]).residual == pytest.approx(0.7071, abs=1e-4)
    assert Fit(1.0, -5.0, 0.0).at(2) == 0.0
    with pytest.raises(ValueError):
        fit_line([[1, 2], [1, 3]])


# -- files


@pytest.mark.parametrize(
    "old, new, field",
    [
        ("nodes = 450 ", "nodes = 'many' ", "given.nodes"),
        ("beat_s = 1.2", "", "given.beat_s"),
        ("beat_s = 1.2", "beat_s = 0", "given.beat_s"),
        ("voters = 5 ", "voters = 5\nodd = 1 ", "assumed.odd"),
        ("[assumed]", "[guessed]", "assumed"),
        ("nodes = 450 ", "nodes = 20 ", "given.nodes"),
        ("beat_s = 1.2", "= 3", "(file)"),
    ],
)
def test_a_wrong_size_names_file_and_field(tmp_path, old, new, field):
    text = open(SIZE).read()
    assert old in text
    path = tmp_path / "size.toml"
    path.write_text(text.replace(old, new, 1))
    with pytest.raises(SizeError) as e:
        read_size(str(path))
    assert str(e.value).startswith(f"{path}: {field}: ")


@pytest.mark.parametrize(
    "change, field",
    [
        (lambda d: d.pop("Commit"), "Commit"),
        (lambda d: d["Fits"]["roll.sweep"].pop("slope"), "Fits.roll.sweep.slope"),
        (lambda d: d["Fits"]["roll.sweep"].update(residual="x"), "Fits.roll.sweep.residual"),
        (lambda d: d.update(Fits=[]), "Fits"),
    ],
)
def test_wrong_slopes_name_file_and_field(tmp_path, change, field):
    doc = json.load(open(RECORDED))
    change(doc)
    path = tmp_path / "slopes.json"
    path.write_text(json.dumps(doc))
    with pytest.raises(SizeError) as e:
        read_slopes(str(path))
    assert str(e.value).startswith(f"{path}: {field}: ")


def test_a_file_that_is_not_there():
    with pytest.raises(SizeError) as e:
        read_size("/nowhere.toml")
    assert "/nowhere.toml" in str(e.value)


# -- measuring


@pytest.mark.parametrize(
    "args, name",
    [
        (
            ("membership.replica_registry", "ReplicaRegistry", "bet"),
            "archhatch.membership.replica_registry: ReplicaRegistry.bet",
        ),
        (("membership.rolls", "Roll"), "archhatch.membership.rolls"),
        (("membership.replica_registry", "Rolls"), "archhatch.membership.replica_registry: Rolls"),
    ],
)
def test_a_name_that_moved_is_told(args, name):
    with pytest.raises(Missing) as e:
        need(*args)
    assert str(e.value).startswith(name + ": ")


@pytest.mark.parametrize("name", sorted(PROBES))
def test_each_probe_still_finds_what_it_measures(name, run):
    async def once():
        async with PROBES[name].make(8) as (function, ops):
            out = function()
            out = await out if inspect.isawaitable(out) else out
            return out, ops

    out, ops = run(once())
    assert ops >= 1
    if PROBES[name].kind in ("bytes", "thread"):
        assert out >= 0


@pytest.fixture
def odd_probes():
    before = dict(PROBES)
    PROBES.clear()
    yield PROBES
    PROBES.clear()
    PROBES.update(before)


def test_measure_tells_what_it_could_not(odd_probes):
    @probe("gone", "bytes", "nothing", "nothing", (1, 2))
    async def _gone(n):
        yield (lambda: need("membership.replica_registry", "ReplicaRegistry", "bet")), 1

    @probe("changed", "bytes", "nothing", "nothing", (1, 2))
    async def _changed(n):
        yield (lambda: n.bet()), 1

    @probe("sound", "bytes", "a double", "ones", (1, 2))
    async def _sound(n):
        yield (lambda: 2 * n), 1

    said = []
    doc = Measure(say=said.append).run()
    assert "ReplicaRegistry.bet" in doc["Absent"]["gone"] and "bet" in doc["Absent"]["changed"] and len(said) == 3
    assert doc["Fits"]["sound"]["slope"] == pytest.approx(2) and doc["Fits"]["sound"]["samples"] == [[1, 2], [2, 4]]
    assert {"Commit", "Dirty", "Python", "Repeats"} <= set(doc)


def test_the_best_of_the_rounds_counts(odd_probes):
    runs = []

    @probe("slow", "thread", "a figure that falls", "ones", (1, 2))
    async def _slow(n):
        runs.append(n)
        yield (lambda: n * 10 / len(runs)), 1

    @probe("steady", "bytes", "a length", "ones", (1, 2))
    async def _steady(n):
        runs.append(0)
        yield (lambda: n), 1

    doc = Measure(rounds=2, repeats=1).run()
    assert runs == [1, 2, 0, 0, 1, 2] and doc["Repeats"] == 2
    assert doc["Fits"]["slow"]["samples"] == [[1, 10 / 5], [2, 20 / 6]]


def test_measure_begins_nothing_once_its_time_is_up(odd_probes, monkeypatch):
    @probe("late", "bytes", "nothing", "nothing", (1, 2))
    async def _late(n):
        yield (lambda: n), 1

    assert "not begun" in Measure(budget_s=-1).run()["Absent"]["late"]


def test_measure_fails_when_something_lacks(odd_probes, tmp_path, capsys):
    @probe("gone", "bytes", "nothing", "nothing", (1, 2))
    async def _gone(n):
        yield (lambda: need("no.such", "X")), 1

    out = tmp_path / "s.json"
    assert Capacity(out=str(out)).run(["measure"]) == 1
    assert "gone" in json.load(open(out))["Absent"] and "gone" in capsys.readouterr().err


def test_meter_takes_the_best_of_its_repeats():
    ticks = iter([0.0, 9.0, 10.0, 14.0, 20.0, 26.0])
    runs = []

    async def make(n):
        yield (lambda: runs.append(n)), 2

    import contextlib

    pr = Probe("x", "cpu", "", "", (7,), contextlib.asynccontextmanager(make))
    assert Meter(3, clock=lambda: next(ticks)).samples(pr) == [[7, 2.0]] and runs == [7, 7, 7]


def test_memory_is_what_stays():
    async def make(n):
        yield (lambda: [bytes(1000) for _ in range(n)]), 1

    import contextlib

    pr = Probe("x", "memory", "", "", (100, 200), contextlib.asynccontextmanager(make))
    (_, one), (_, two) = Meter().samples(pr)
    assert 95_000 < two - one < 120_000


def test_git_that_lacks_is_no_fault(monkeypatch):
    def none(*a, **k):
        raise OSError("no git")

    monkeypatch.setattr(measure_module.subprocess, "run", none)
    assert measure_module._git("rev-parse") == ""


# -- small runs of real processes


@pytest.mark.parametrize("name", ["leader.fetch", "leader.batch"])
def test_the_leaders_probe_takes_no_short_batch(name, run, monkeypatch):
    async def once():
        async with PROBES[name].make(8) as (function, _):
            await function()

    monkeypatch.setattr(EntryAcquisition, "acquire_batch", lambda self, run, worker, now: [])
    with pytest.raises(ValueError, match="a batch of 0"):
        run(once())


def test_an_edge_keeps_connections_to_its_first_blocks(reckon):
    assert reckon.block == 3 + reckon.s.zones - 1 < reckon.of_service
    conns = next(r for r in reckon.rows() if r.role == "edge" and r.figure == "connections")
    assert reckon.block * reckon.s.services < conns.landed <= conns.budget


def test_a_takeover_ends_only_if_as_many_stores_may_be_lost_as_are_cut(reckon):
    assert weights_cut(reckon).sums()[0] < float("inf")
    reckon.s.tolerate = 1
    assert weights_cut(reckon).sums()[0] == float("inf")


def test_wrong_records_of_runs_name_file_and_field(tmp_path):
    doc = json.load(open(os.path.join(ROOT, SCALE)))
    del doc["Runs"][0]["Steady"]["core"][0]["cpu"]
    path = tmp_path / "scale.json"
    path.write_text(json.dumps(doc))
    with pytest.raises(SizeError) as e:
        read_scale(str(path))
    assert str(e.value).startswith(f"{path}: Runs.0.Steady.core.0.cpu: ")


def test_small_runs_are_compared_without_their_own_factor():
    size, scale = read_size(), read_scale(os.path.join(ROOT, SCALE))
    rows = Compare(size, read_slopes(RECORDED)["Fits"], scale).rows()
    assert [r[0] for r in rows[::5]] == [r["Replicas"] for r in scale["Runs"]]
    size.cold = size.cold_edge = 9.0
    assert Compare(size, read_slopes(RECORDED)["Fits"], scale).rows() == rows


def test_processor_time_is_charged_as_real_processes_took(reckon):
    size, fits, scale = read_size(), read_slopes(RECORDED)["Fits"], read_scale(os.path.join(ROOT, SCALE))
    cold, edge = Compare(size, fits, scale).cold()
    assert cold >= 1 and edge >= 1 and (reckon.s.cold, reckon.s.cold_edge) == (cold, edge) and size.cold == 1.0
    assert reckon.per("beat.http") == pytest.approx(fits["beat.http"]["slope"] * cold)
    assert reckon.per("roll.memory") == fits["roll.memory"]["slope"]
    assert reckon.asleep == pytest.approx(edge / cold)
    plain = Table(size, read_slopes(RECORDED), RECORDED)
    assert plain.reckon.per("beat.http") == fits["beat.http"]["slope"] and "Small runs" not in plain.text()
