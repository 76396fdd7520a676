"""A signal in the first moments of a program, while it loads its code."""

import signal
import subprocess
import sys

import pytest
from tests.support.fakes import ROOT

from archhatch import early_signals

# Sends SIGHUP to itself when the command line is imported; a program that outlives it complains of its settings.
SIGNALLED = """
import os, runpy, signal, sys

class Signaller:
    def find_spec(self, name, path=None, target=None):
        if name == "archhatch.cli.commands":
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Signaller())
sys.argv = ["archhatch", sys.argv[1], "--settings=/nonexistent"]
runpy.run_module("archhatch", run_name="__main__")
"""


# A data-plane process that got SIGHUP within 0.3 s of its start ended.
@pytest.mark.parametrize("program", ["data-plane", "control-plane", "store"])
def test_a_program_that_loads_its_code_outlives_a_reload_signal(program):
    ended = subprocess.run([sys.executable, "-c", SIGNALLED, program], cwd=ROOT, capture_output=True, check=False)
    assert ended.returncode == 2 and b"settings" in ended.stderr


def test_a_reload_signal_is_remembered_until_it_is_taken():
    before = signal.getsignal(signal.SIGHUP)
    try:
        early_signals.hold_reload_signal()
        signal.raise_signal(signal.SIGHUP)
        assert early_signals.take_reload_signal() and not early_signals.take_reload_signal()
    finally:
        signal.signal(signal.SIGHUP, before)
