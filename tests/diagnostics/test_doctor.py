import json
import subprocess
import sys

import pytest
from tests.support.fakes import ROOT
from tests.support.standins import World, plan

from archhatch.diagnostics import Doctor, report
from archhatch.wal import pack_record
from archhatch.diagnostics.node_checks import NodeCondition, check_conditions


def settings(tmp_path, **change):
    doc = {
        "NodeName": "n",
        "IpAddress": "127.0.0.1",
        "InternalPorts": [47000, 47010],
        "MachineClass": "core",
        "SeedPeers": [],
        "DataDir": str(tmp_path),
        "Bindings": {"ControlPlane": "127.0.0.1:46000"},
        "Limits": {"DiskMb": 1},
        **change,
    }
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(doc))
    return str(path)


def codes(run, path):
    return [f.code for f in run(Doctor(path, timeout_s=0.5).run())]


@pytest.mark.parametrize(
    "change, want",
    [
        ({}, [6003]),
        ({"NodeName": 5}, [6001]),
        ({"Bindings": {"ControlPlane": "10.9.9.9:1"}}, [6002, 6003]),
        ({"Bindings": {"ControlPlane": "127.0.0.1:47005"}}, [6002, 6003]),
        ({"DataDir": "/nowhere/x"}, [6003, 6008]),
        ({"DataDir": None}, [6003, 6008]),
        ({"SeedPeers": ["127.0.0.1:9", "127.0.0.1:9"]}, [6003, 6004, 6004]),
    ],
)
def test_settings(run, tmp_path, change, want):
    assert codes(run, settings(tmp_path, **change)) == want


@pytest.mark.parametrize(
    "data, code",
    [
        (pack_record(b"a"), None),
        (pack_record(b"a") + b"torn", 6006),
        (b"rot" + pack_record(b"a"), 6006),
        (pack_record(b"x" * 950_000), 6007),
    ],
)
def test_write_ahead_logs_and_disk(run, tmp_path, data, code):
    path = settings(tmp_path)
    (tmp_path / "core").write_bytes(data)
    assert codes(run, path) == [6003] + ([code] if code else [])


def test_a_running_system(run, tmp_path):
    async def go():
        w = await World(str(tmp_path), stores=1).start()
        try:
            await w.put_plan(plan(), 0)
            await w.until(w.edge.state_board, "parts", lambda: w.edge.state == "ready")
            path = settings(tmp_path, SeedPeers=w.seeds, InternalPorts=[w.base, w.base + 5])
            for c in w.cores.values():
                await w.until(
                    c.state_board, "feed", lambda c=c: c.known.keys() == w.cores[1].known.keys() and c.check_serving()
                )
            assert [f for f in await Doctor(path).run() if f.code not in (6010,)] == []
            await w.kill(w.cores.pop(3))
            await w.kill(w.cores.pop(2))
            core = w.cores[1]
            await w.until(core.state_board, "feed", lambda: not core.has_majority_contact())
            core.registry.record_heartbeat({"id": "i-1", "seq": 1, "state": "up"}, core.clock.now() - 60)
            core.registry.sweep(core.clock.now(), 3.0)
            found = await Doctor(path, timeout_s=0.5).run()
            assert sorted({f.code for f in found} - {6010}) == [6004, 6005, 6009]
        finally:
            await w.end()

    run(go())


def test_report_and_exit_status(tmp_path):
    assert json.loads(report([], True)) == {"sound": True, "findings": []}
    for args, status in ((["--settings", settings(tmp_path)], 1), (["extra"], 2), (["--nope"], 2)):
        out = subprocess.run(
            [sys.executable, "-m", "archhatch", "doctor", "--json", *args], capture_output=True, text=True, cwd=ROOT
        )
        assert out.returncode == status, out
        assert "Traceback" not in out.stderr
        if status == 1:
            assert [f["code"] for f in json.loads(out.stdout)["findings"]] == [6003]


def test_help_names_every_command():
    out = subprocess.run([sys.executable, "-m", "archhatch", "--help"], capture_output=True, text=True, cwd=ROOT)
    assert out.returncode == 0 and all(
        c in out.stdout for c in ("data-plane", "control-plane", "store", "doctor", "--settings")
    )


def test_broken_settings_end_a_program_with_one_line(tmp_path):
    path = settings(tmp_path, SeedPeers=["nowhere"])
    out = subprocess.run(
        [sys.executable, "-m", "archhatch", "control-plane", "--settings", path],
        capture_output=True,
        text=True,
        cwd=ROOT,
    )
    assert out.returncode == 2 and out.stderr.count("\n") == 1 and "SeedPeers" in out.stderr


def test_a_node_whose_callers_wait_for_memory_is_named():
    node = NodeCondition(True, 3, 3, False, {}, {}, kinds_at_bound=["large_bodies"])
    found = check_conditions({"10.0.0.1:47000": node})
    assert [finding.text() for finding in found] == ["6013 callers wait for memory: 10.0.0.1:47000: large_bodies"]
