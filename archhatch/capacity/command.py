"""`archhatch capacity measure | table | check | write`: what is asked for on the command line."""

from __future__ import annotations

import os
import sys

from .measure import ROOT, Measure, write
from .size import SizeError, read_scale, read_size, read_slopes
from .table import Table, block

PAGE = os.path.join("docs", "CAPACITY.md")
SLOPES = os.path.join("docs", "capacity", "slopes.json")
SCALE = os.path.join("docs", "capacity", "scale.json")
VERBS: dict = {}


def verb(name: str):
    """Register what `capacity NAME` does."""

    def put(function):
        VERBS[name] = function
        return function

    return put


class Capacity:
    """Runs one verb with the flags' values; gives the status of the process.

    >>> # Capacity(out=None, slopes=None, size=None).run(["check"])
    """

    def __init__(self, out=None, slopes=None, size=None, page=None):
        self.out, self.size = out, size
        self.slopes = slopes or os.path.join(ROOT, SLOPES)
        self.page = page or os.path.join(ROOT, PAGE)

    def run(self, args: list) -> int:
        """0: done; 1: the page is stale, or something could not be measured; 2: wrong use or an unusable file."""
        function = VERBS.get(args[0]) if len(args) == 1 else None
        if function is None:
            print(f"archhatch: capacity: say one of {', '.join(sorted(VERBS))}", file=sys.stderr)
            return 2
        try:
            return function(self)
        except SizeError as e:
            print(f"archhatch: {e}", file=sys.stderr)
            return 2
        except OSError as e:
            print(f"archhatch: {e}", file=sys.stderr)
            return 2

    def text(self) -> str:
        """The table made anew."""
        path = os.path.join(ROOT, SCALE)
        scale = read_scale(path) if os.path.exists(path) else None
        return Table(read_size(self.size), read_slopes(self.slopes), self.slopes, scale).text()

    def read_page(self) -> tuple:
        """The page, and its block."""
        with open(self.page) as f:
            page = f.read()
        old = block(page)
        if old is None:
            raise SizeError(self.page, "(markers)", "the table's markers are missing")
        return page, old


@verb("measure")
def _measure(cap) -> int:
    doc = Measure(say=lambda line: print(line, file=sys.stderr)).run()
    write(doc, cap.out)
    for name, why in doc["Absent"].items():
        print(f"archhatch: capacity: {name}: {why}", file=sys.stderr)
    return 1 if doc["Absent"] else 0


@verb("table")
def _table(cap) -> int:
    print(cap.text())
    return 0


@verb("check")
def _check(cap) -> int:
    if cap.read_page()[1] == cap.text():
        return 0
    print(f"archhatch: {cap.page}: the table is stale; run `archhatch capacity write`", file=sys.stderr)
    return 1


@verb("write")
def _write(cap) -> int:
    page, old = cap.read_page()
    new = page.replace(old, cap.text())
    if new != page:
        with open(cap.page, "w") as f:
            f.write(new)
    return 0
