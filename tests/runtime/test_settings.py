import json

import pytest

from archhatch.runtime import SettingsError, read_settings
from archhatch.runtime.settings import check_settings

GOOD = {
    "NodeName": "n1",
    "IpAddress": "10.0.0.1",
    "InternalPorts": [7000, 7010],
    "SeedPeers": ["10.0.0.1:80"],
    "Bounds": {"ContactMs": 3000, "Later": 5},
    "SomethingNew": 1,
}


def test_good_settings_and_unknown_fields():
    settings = check_settings(GOOD)
    assert (
        settings.node_name == "n1" and settings.seconds("ContactMs", 0.5) == 1.5 and settings.seconds("GraceS") == 8.0
    )


@pytest.mark.parametrize(
    "change, field",
    [
        ({"NodeName": None}, "NodeName"),
        ({"NodeName": 5}, "NodeName"),
        ({"IpAddress": ...}, "IpAddress"),
        ({"InternalPorts": [1]}, "InternalPorts"),
        ({"InternalPorts": [7010, 7000]}, "InternalPorts"),
        ({"InternalPorts": "x"}, "InternalPorts"),
        ({"SeedPeers": ["nowhere"]}, "SeedPeers"),
        ({"Bindings": {"FrontHttp": "10.0.0.1"}}, "Bindings.FrontHttp"),
        ({"Bounds": {"ContactMs": "3"}}, "Bounds.ContactMs"),
        ({"Bounds": {"ContactMs": -1}}, "Bounds.ContactMs"),
        ({"Bounds": {"Fencing": 1}}, "Bounds.Fencing"),
        ({"FaultTolerance": {"Machines": -1}}, "FaultTolerance.Machines"),
        ({"FaultTolerance": {"Zones": "1"}}, "FaultTolerance.Zones"),
        ({"FaultTolerance": {"Regions": True}}, "FaultTolerance.Regions"),
        ({"ShareLockS": 0}, "ShareLockS"),
        ({"ShareLockS": "30"}, "ShareLockS"),
        ({"ShareLocks": -1}, "ShareLocks"),
        ({"ShareLocks": 1.5}, "ShareLocks"),
        ({"KeepaliveMs": 0}, "KeepaliveMs"),
        ({"Bootstrap": "yes"}, "Bootstrap"),
    ],
)
def test_bad_settings_name_the_field(change, field):
    doc = {k: v for k, v in {**GOOD, **change}.items() if v is not ...}
    with pytest.raises(SettingsError) as e:
        check_settings(doc)
    assert e.value.field == field and "\n" not in str(e.value)


@pytest.mark.parametrize("change, lock, locks", [({}, 30.0, 200), ({"ShareLockS": 5, "ShareLocks": 12}, 5.0, 12)])
def test_locks_of_share_groups(change, lock, locks):
    settings = check_settings({**GOOD, **change})
    assert (settings.share_lock_s, settings.share_locks) == (lock, locks)


@pytest.mark.parametrize(
    "doc, machines, zones, regions",
    [
        (None, 1, 0, 0),
        ({}, 1, 0, 0),
        ({"Machines": 0}, 0, 0, 0),
        ({"Machines": 2, "Zones": 1, "Regions": None}, 2, 1, 0),
    ],
)
def test_what_is_tolerated(doc, machines, zones, regions):
    settings = check_settings({**GOOD, "FaultTolerance": doc})
    assert (settings.tolerated_machines, settings.tolerated_zones, settings.tolerated_regions) == (
        machines,
        zones,
        regions,
    )


@pytest.mark.parametrize("raw", [b"", b"[1]", b"{", b"\xff"])
def test_file_that_is_no_settings(tmp_path, raw):
    path = tmp_path / "s.json"
    path.write_bytes(raw)
    with pytest.raises(SettingsError) as e:
        read_settings(str(path))
    assert e.value.field == "(file)"


def test_file_from_the_variable(tmp_path, monkeypatch):
    path = tmp_path / "s.json"
    path.write_text(json.dumps(GOOD))
    monkeypatch.setenv("ARCHHATCH_CONFIG", str(path))
    assert read_settings().ip_address == "10.0.0.1"


def test_missing_file():
    with pytest.raises(SettingsError):
        read_settings("/nowhere/at/all.json")


def test_every_code_stands_in_the_docs():
    import os

    from archhatch.runtime import CODES

    here = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
    with open(os.path.join(here, "docs", "codes.md")) as f:
        rows = [line for line in f if line.startswith("| ") and line[2].isdigit()]
    assert rows == [f"| {n} | {s} | {t} |\n" for n, (s, t) in sorted(CODES.items())]
