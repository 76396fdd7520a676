"""Plays the cases of review/ on a build that the deploy file's own command makes in a fresh folder, a few side by side.

The folder is temporary, and so are the records that the cases write. Prints each exit status, and what a case said if
it is not 0; the status is 1 if a case broke its rule or could not run.
"""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tempfile
import tomllib
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PARTS = ("archhatch", "deploy", "review", "requirements.txt")  # what a case needs of the tree
CASES = ("1", "2", "3", "4", "5", "6", "7", "8")
SIDE_BY_SIDE = 4  # each starts a dozen processes
LAST_LINES = 40  # of a case that did not hold
VERDICTS = {0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}


def copy_tree(folder: Path) -> None:
    """Copies what the cases need, and nothing that was built."""
    for part in PARTS:
        source = ROOT / part
        if source.is_dir():
            shutil.copytree(source, folder / part, ignore=shutil.ignore_patterns("__pycache__"))
        else:
            shutil.copy(source, folder / part)


def build(folder: Path) -> None:
    """Builds with the command of the deploy file."""
    command = tomllib.loads((folder / "deploy" / "system.toml").read_text(encoding="utf-8"))["build"]
    subprocess.run(["bash", "-c", command], cwd=folder, check=True)


def code_of(folder: Path) -> str:
    """Returns the line that says which code was built."""
    done = subprocess.run([sys.executable, "-m", "archhatch", "version"], cwd=folder, capture_output=True, check=True)
    return done.stdout.decode().strip()


def play(folder: Path, case: str) -> int:
    """Plays a case; prints its exit status, and what it said last if that is not 0."""
    command = ["bash", f"review/{case}/run.sh"]
    environment = {**os.environ, "PYTHONDONTWRITEBYTECODE": "1"}
    done = subprocess.run(command, cwd=folder, env=environment, capture_output=True, check=False)
    lines = [f"review/{case}: exit {done.returncode}, {VERDICTS.get(done.returncode, 'an unknown status')}"]
    if done.returncode != 0:
        lines += (done.stdout + done.stderr).decode(errors="replace").splitlines()[-LAST_LINES:]
    print("\n  ".join(lines), flush=True)
    return done.returncode


def main() -> int:
    """Copies, builds and plays; returns the exit status."""
    with tempfile.TemporaryDirectory(prefix="review-cases-") as name:
        folder = Path(name)
        copy_tree(folder)
        build(folder)
        print(f"cases on {code_of(folder)}", flush=True)
        with ThreadPoolExecutor(SIDE_BY_SIDE) as pool:
            statuses = list(pool.map(lambda case: play(folder, case), CASES))
    return 1 if any(statuses) else 0


if __name__ == "__main__":
    sys.exit(main())
