"""Reads KNOWN-RED.txt: prints its entries to standard error, and the test ids among them for pytest to standard output.

An entry is a line "test or script | what is known | issue". A test is named by its pytest id, a script by its path. The
status is 1 if an entry names a test or a script that does not exist, so that none outlives its mend.
"""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

FILE = Path("KNOWN-RED.txt")
ID_MARK = "::"  # stands in each pytest id


def named_entries(text: str) -> list[str]:
    """Returns the first field of each line."""
    return [line.split("|", 1)[0].strip() for line in text.splitlines() if line.strip()]


def is_collected(test_id: str) -> bool:
    """Whether pytest finds a test."""
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "--collect-only", test_id]
    return subprocess.run(command, capture_output=True, check=False).returncode == 0


def exists(entry: str) -> bool:
    """Whether the test or the script of an entry is there."""
    return is_collected(entry) if ID_MARK in entry else Path(entry).is_file()


def main() -> int:
    """Prints the entries, and the ids each with a NUL behind it; returns the status."""
    text = FILE.read_text(encoding="utf-8") if FILE.exists() else ""
    entries = named_entries(text)
    if entries:
        print("known red:\n" + text, file=sys.stderr)
    gone = [entry for entry in entries if not exists(entry)]
    for entry in gone:
        print(f"{FILE}: no such test or script: {entry}", file=sys.stderr)
    sys.stdout.write("".join(f"{entry}\0" for entry in entries if ID_MARK in entry))
    return 1 if gone else 0


if __name__ == "__main__":
    sys.exit(main())
