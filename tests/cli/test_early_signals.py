"""A signal in the first moments of a program, while it loads its code."""

import signal
import subprocess
import sys

import pytest
from tests.support.fakes import ROOT

from archhatch import early_signals

# Sends a signal to itself when the command line is imported; a program that outlives it complains of its settings.
SIGNALLED = """
import os, runpy, signal, sys

class Signaller:
    def find_spec(self, name, path=None, target=None):
        if name == "archhatch.cli.commands":
            os.kill(os.getpid(), NUMBER)

NUMBER = signal.Signals[sys.argv[2]]
sys.meta_path.insert(0, Signaller())
sys.argv = ["archhatch", sys.argv[1], "--settings=/nonexistent"]
runpy.run_module("archhatch", run_name="__main__")
"""


# A data-plane process that got SIGHUP within 0.3 s of its start ended; SIGTERM ended any program as if it had failed.
@pytest.mark.parametrize("program", ["data-plane", "control-plane", "store"])
@pytest.mark.parametrize("signal_name, status, says", [("SIGHUP", 2, b"settings"), ("SIGTERM", 0, b"")])
def test_signals_while_a_program_loads_its_code(program, signal_name, status, says):
    command = [sys.executable, "-c", SIGNALLED, program, signal_name]
    ended = subprocess.run(command, cwd=ROOT, capture_output=True, check=False)
    assert ended.returncode == status and says in ended.stderr


def test_a_reload_signal_is_remembered_until_it_is_taken():
    before = {number: signal.getsignal(number) for number in (signal.SIGHUP, signal.SIGTERM)}
    try:
        early_signals.hold_signals()
        signal.raise_signal(signal.SIGHUP)
        assert early_signals.take_reload_signal() and not early_signals.take_reload_signal()
    finally:
        for number, handler in before.items():
            signal.signal(number, handler)
