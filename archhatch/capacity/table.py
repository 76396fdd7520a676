"""The table of the roles and the ways hop by hop, as markdown; and whether a page still holds the same."""

from __future__ import annotations

import copy
import math

from . import roles  # noqa: F401  (fills the rows)
from .hops import WAYS
from .reckon import Reckoner
from .compare import Compare

BEGIN = "<!-- capacity table: made by `archhatch capacity table`, not by hand -->"
END = "<!-- end of the capacity table -->"
SPREAD = 2.0  # how far the same slope lay apart in runs on one busy machine
UNITS = {"core": (100, "% of a core"), "s": (1, " s")}


def shown(value: float | None, unit: str) -> str:
    """A figure in words that fit a table.

    >>> shown(0.021, "core"), shown(15_250_000, "B/s"), shown(None, ""), shown(8333.3, "/s")
    ('2.1% of a core', '15.2 MB/s', '-', '8,333 /s')
    """
    if value is None or math.isinf(value):
        return "-" if value is None else "no end"
    if unit in ("B", "B/s"):
        for size, name in ((1e9, "GB"), (1e6, "MB"), (1e3, "KB")):
            if value >= size:
                return f"{_short(value / size)} {name}{unit[1:]}"
        return f"{_short(value)} {unit}"
    scale, name = UNITS.get(unit, (1, f" {unit}" if unit else ""))
    return f"{_short(value * scale)}{name}"


def _short(value: float) -> str:
    if value >= 100 or value == int(value):
        return f"{value:,.0f}"
    return f"{value:.1f}" if value >= 1 else f"{value:.2g}"


def verdict(value: float | None, bound: float | None) -> str:
    """over or under, plainly; near where a run on a busier machine could have said the other.

    >>> verdict(4.0, 1.0), verdict(1.0, 1.0), verdict(0.1, 1.0), verdict(1.0, None)
    ('**over**', 'under, near', 'under', '')
    """
    if value is None or bound is None:
        return ""
    word = "**over**" if value > bound else "under"
    return f"{word}, near" if bound / SPREAD < value < bound * SPREAD else word


class Table:
    """text() gives the markdown between the page's markers.

    >>> # Table(read_size(), read_slopes(path), path).text()
    """

    def __init__(self, size, slopes: dict, path: str = "slopes", scale: dict | None = None):
        self.size, self.slopes, self.scale = copy.copy(size), slopes, scale
        if scale is not None:
            cold, edge = Compare(size, slopes["Fits"], scale).cold()
            self.size.cold, self.size.cold_edge = cold, edge
            self.size.rows = size.rows + [
                (
                    "measured",
                    "cold",
                    round(cold, 2),
                    "processor time of real control nodes, to that of the probes; charged on every processor time",
                ),
                (
                    "measured",
                    "cold_edge",
                    round(edge, 2),
                    "the same of switchboards that mostly sleep; charged on control's part at an edge",
                ),
            ]
        self.reckon = Reckoner(self.size, slopes["Fits"], path)

    def text(self) -> str:
        """The whole block, markers included."""
        out, used = [BEGIN, ""], {}
        rows = self.reckon.rows()
        for role in dict.fromkeys(r.role for r in rows):
            out += [
                f"### {role[0].upper()}{role[1:]}",
                "",
                "| figure | budget | as landed | | with what is to be built | | what carries it | from |",
                "|---|---|---|---|---|---|---|---|",
            ]
            for r in (r for r in rows if r.role == role):
                used.update(dict.fromkeys(r.used))
                names = ", ".join(f"`{n}`" for n in r.used) or "the size alone"
                out.append(
                    f"| {r.figure} | {shown(r.budget, r.unit) if r.budget is not None else 'none'} "
                    f"| {shown(r.landed, r.unit)} | {verdict(r.landed, r.budget)} | {shown(r.built, r.unit)} "
                    f"| {verdict(r.built, r.budget)} | {r.how} | {names} |"
                )
            out.append("")
        self.reckon.used = []
        for way in (w(self.reckon) for w in WAYS):
            landed, built = way.sums()
            out += [
                f"### Hop by hop: {way.name}",
                "",
                "| hop | as landed | with what is to be built |",
                "|---|---|---|",
            ]
            out += [f"| {h.what} | {shown(h.landed, 's')} | {shown(h.built, 's')} |" for h in way.hops]
            out += [
                f"| **in all, of {way.bound:g} s** | {shown(landed, 's')}: {verdict(landed, way.bound)} "
                f"| {shown(built, 's')}: {verdict(built, way.bound)} |",
                "",
            ]
        used.update(dict.fromkeys(self.reckon.used))
        return "\n".join(out + self._small() + self._assumed() + self._slopes(used) + [END])

    def _small(self) -> list:
        """The small runs of real processes, where they were made."""
        if self.scale is None:
            return []
        s, both = self.scale, Compare(self.size, self.slopes["Fits"], self.scale)
        out = [
            "### Small runs: control nodes and switchboards, measured and reckoned",
            "",
            f"Recorded on commit {s['Commit']}, by a runner that is no part of the sources any more: "
            f"{s['Cores']} control nodes and {s['Edges']} switchboards as processes beside {s['HollowNodes']} hollow "
            f"nodes, windows of {s['WindowS']:g} s. Measured: the mean of the processes, from /proc.",
            "",
            "| replicas | figure | measured | reckoned | measured / reckoned |",
            "|---|---|---|---|---|",
        ]
        out += [
            f"| {n:,} | {what} | {shown(got, unit)} | {shown(told, unit)} | {got / told:.2f} |"
            for n, what, got, told, unit in both.rows()
        ]
        out += [
            "",
            f"A replica's kept connection holds {shown(both.connection(), 'B')} in a control node: the slope "
            "of its memory, less the roll's, for the replicas that are its own.",
            "",
            "| line through the runs | at none | each replica | residual |",
            "|---|---|---|---|",
        ]
        for name, f in s["Fits"].items():
            unit, scale = ("B", 1) if name.endswith("rss") else ("ms of a second", 1000)
            out.append(
                f"| `{name}` | {_num(f['intercept'] * scale)} {unit} | {_num(f['slope'] * scale)} {unit} "
                f"| {f['residual']:.1%} |"
            )
        return out + [""]

    def _assumed(self) -> list:
        out = ["### The size and the assumptions", "", "| | name | figure | |", "|---|---|---|---|"]
        return out + [f"| {kind} | `{name}` | {value:,g} | {why} |" for kind, name, value, why in self.size.rows] + [""]

    def _slopes(self, used) -> list:
        s = self.slopes
        out = [
            "### The slopes",
            "",
            f"`{s.get('Command', '')}` on commit {s['Commit']}"
            f"{' with changes not committed' if s.get('Dirty') else ''}, Python {s['Python']}, best of "
            f"{s.get('Repeats')} repeats, {s.get('TookS')} s. Residual: root mean square of what the line leaves, "
            "as a part of the mean figure.",
            "",
            "| name | what | unit | at none | each more | of | residual |",
            "|---|---|---|---|---|---|---|",
        ]
        for name in sorted(used):
            f = s["Fits"][name]
            time = f["kind"] in ("cpu", "thread")
            scale, unit = (1e6, "µs") if time else (1, "B")
            out.append(
                f"| `{name}` | {f.get('what', '')} | {unit} | {_num(f['intercept'] * scale)} "
                f"| {_num(f['slope'] * scale)} | {f.get('x', '')} | {f['residual']:.1%} |"
            )
        return out + [""]


def _num(value: float) -> str:
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def block(page: str) -> str | None:
    """What a page has between the markers, with them; None if they are not there.

    >>> block("a " + BEGIN + " b " + END + " c") == BEGIN + " b " + END
    True
    """
    at, end = page.find(BEGIN), page.find(END)
    return page[at : end + len(END)] if 0 <= at < end else None
