"""The `duties` command of the command line."""

from types import SimpleNamespace

import pytest

from archhatch.singleton_roles import client

ROLE = {"Name": "accounting", "OperState": "RUNNING", "FenceToken": 3, "Owner": "s1", "Renewals": 2, "Error": ""}
ROW = {**ROLE, "Audit": [{"Event": "granted", "FenceToken": 3, "Owner": "s1"}]}
CALLS = [  # arguments, the control node's answer, the status, what is printed, the call that was made
    (["list"], (200, {"DutyList": [ROW]}), 0, "RUNNING", ("GET", "/api/duties")),
    (["show", "accounting"], (200, {"DutyList": [ROW]}), 0, "granted", ("GET", "/api/duties/accounting")),
    (["reset", "a/w:1"], (200, {"OperState": "IDLE"}), 0, "a/w:1", ("POST", "/api/duties/a%2Fw%3A1/reset")),
    (
        ["reset", "a"],
        (409, {"Error": 2307, "Says": "no", "Why": "RUNNING"}),
        1,
        "2307",
        ("POST", "/api/duties/a/reset"),
    ),
    (["show"], None, 2, "duties show KEY", None),
    ([], None, 2, "duties list", None),
]


@pytest.mark.parametrize("args, answer, status, shown, called", CALLS)
def test_the_command_line_of_duties(monkeypatch, capsys, args, answer, status, shown, called):
    calls = []

    class Control:
        def __init__(self, settings):
            pass

        async def __aenter__(self):
            return self

        async def __aexit__(self, *exc):
            pass

        async def call(self, method, path):
            calls.append((method, path))
            return answer

    monkeypatch.setattr(client, "ControlPlane", Control)
    monkeypatch.setattr(client, "read_settings", lambda path: None)
    assert client.SingletonRoleClient(SimpleNamespace(settings=None)).run(args) == status
    out = capsys.readouterr()
    assert shown in out.out + out.err and calls == ([called] if called else [])
