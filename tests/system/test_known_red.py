"""What CI makes of KNOWN-RED.txt."""

import os
import subprocess
import sys

import pytest
from tests.support.fakes import ROOT


def known_red(folder, text):
    (folder / "test_it.py").write_text(
        "import pytest\n@pytest.mark.parametrize('x', ['b'], ids=['a case'])\ndef test_a_known_fault(x): assert 0\n"
    )
    (folder / "run.sh").write_text("exit 1\n")
    (folder / "KNOWN-RED.txt").write_text(text)
    command = [sys.executable, f"{ROOT}/.ci/known_red.py"]
    environment = {**os.environ, "PYTHONPATH": f"{ROOT}/target/deps:{ROOT}/target/test"}
    return subprocess.run(command, cwd=folder, env=environment, capture_output=True, text=True, check=False)


@pytest.mark.parametrize(
    "text, status, ids",
    [
        ("", 0, ""),
        (
            "test_it.py::test_a_known_fault[a case] | seen once | issue 1\n",
            0,
            "test_it.py::test_a_known_fault[a case]\0",
        ),
        ("run.sh | 5 of 5 runs | issue 1\n", 0, ""),  # no test: printed, and not handed to pytest
        ("test_it.py::test_that_was_mended | | issue 1\n", 1, "test_it.py::test_that_was_mended\0"),
        ("test_it.py::test_a_known_fault[other] | | issue 1\n", 1, "test_it.py::test_a_known_fault[other]\0"),
        ("gone/run.sh | | issue 1\n", 1, ""),
    ],
)
def test_entries_are_printed_and_must_exist(tmp_path, text, status, ids):
    """Guards against entries that outlive their mend, and scripts that pytest takes for tests."""
    done = known_red(tmp_path, text)
    assert (done.returncode, done.stdout) == (status, ids)
    assert text.strip() in done.stderr and ("no such test or script" in done.stderr) is bool(status)
