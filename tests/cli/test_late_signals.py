"""A signal in the last moments of a program, after it has ended in order."""

import subprocess
import sys

import pytest
from tests.support.fakes import ROOT

# A program that is told to end as it starts, and gets a signal again while the interpreter is taken down.
SIGNALLED = """
import atexit, os, signal, sys
sys.path.insert(0, "target/deps")
from absl import flags
from archhatch.cli import programs
from archhatch.runtime import Counters
from archhatch.runtime.settings import check_settings

class Program:
    counters = Counters()

    async def start(self):
        os.kill(os.getpid(), signal.SIGTERM)

    async def leave(self):
        print("ended in order", flush=True)

flags.FLAGS(["archhatch"])
settings = check_settings({"NodeName": "n", "IpAddress": "1.1.1.1", "InternalPorts": [1, 9]})
atexit.register(os.kill, os.getpid(), signal.Signals[sys.argv[1]])
sys.exit(programs._run(settings, lambda _settings, _log: Program()))
"""


@pytest.mark.parametrize("signal_name", ["SIGTERM", "SIGHUP", "SIGINT"])
def test_a_signal_after_the_end_does_not_change_the_status(signal_name):
    """Guards against an edge that has ended in order and counts as killed: a second SIGTERM came as its loop closed."""
    command = [sys.executable, "-c", SIGNALLED, signal_name]
    ended = subprocess.run(command, cwd=ROOT, capture_output=True, check=False, timeout=60)
    assert (ended.returncode, ended.stdout) == (0, b"ended in order\n")
