"""A lot as it was handed in, its items, and what is listed of it."""

from __future__ import annotations

import base64
import binascii
from dataclasses import dataclass, field

import orjson


PAGE_BYTES = 300_000  # of results that one answer holds: each is copied a few times on its way


class BadLot(Exception):
    """A lot that cannot be read: no item of it runs."""


@dataclass(slots=True)
class Item:
    iid: str
    at: int
    path: str
    heads: list
    payload: str
    group: str
    tokens: int
    scorer: dict | None


def _need(ok: bool, why: str) -> None:
    if not ok:
        raise BadLot(why)


def _payload(val, where: str) -> None:
    _need(isinstance(val, str), f"{where}: Payload must be base64 text")
    try:
        base64.b64decode(val, validate=True)
    except (binascii.Error, ValueError) as e:
        raise BadLot(f"{where}: Payload: {e}") from e


def check_lot(lid: str, body: bytes) -> str:
    """The model of a lot whose bytes are whole and sound; BadLot otherwise.

    >>> try: check_lot("a", b"{}")
    ... except BadLot as e: print(e)
    Model must be text
    """
    _need(bool(lid), "X-Archhatch-Request-Id is missing")
    try:
        doc = orjson.loads(body)
    except orjson.JSONDecodeError as e:
        raise BadLot(str(e)) from e
    _need(isinstance(doc, dict), "must be one JSON object")
    _need(isinstance(doc.get("Model"), str), "Model must be text")
    for name in ("TrainStep", "MinRevision", "DesiredCount"):
        val = doc.get(name, 0)
        _need(isinstance(val, int) and not isinstance(val, bool) and val >= 0, f"{name} must be a whole number")
    rows = doc.get("Entries")
    _need(isinstance(rows, list) and bool(rows), "Entries must list items")
    seen = set()
    for n, row in enumerate(rows):
        where = f"Entries[{n}]"
        _need(isinstance(row, dict), f"{where} must be an object")
        iid = row.get("InstanceId")
        _need(isinstance(iid, str) and bool(iid) and iid not in seen, f"{where}: InstanceId is missing or twice")
        seen.add(iid)
        _need(isinstance(row.get("Path"), str) and row["Path"].startswith("/"), f"{where}: Path is wrong")
        heads = row.get("HeaderMap") or {}
        _need(
            isinstance(heads, dict)
            and all(isinstance(v, str) and "\r" not in k + v and "\n" not in k + v for k, v in heads.items()),
            f"{where}: HeaderMap is wrong",
        )
        _payload(row.get("Payload", ""), where)
        sc = row.get("ScorerUrl")
        if sc is not None:
            _need(
                isinstance(sc, dict)
                and all(isinstance(sc.get(k), str) and sc[k] for k in ("InstanceId", "HostName", "Path")),
                f"{where}: ScorerUrl is wrong",
            )
            _payload(sc.get("Payload", ""), where + ".ScorerUrl")
    return doc["Model"]


@dataclass
class Lot:
    """A lot in hand: items by id, results by position."""

    lid: str
    run: str
    model: str
    host: str
    path: str
    total: int
    step: int
    want: int
    least: int
    items: dict
    recs: list = field(default_factory=list)  # every record of it, the lot's own first
    results: list = field(default_factory=list)  # R records by position
    listed: int = 0
    done: set = field(default_factory=set)  # items that have a position
    ended: bool = False
    taken: float = 0.0
    ended_at: float = 0.0
    base: int = 0  # offset of its first item in the partition of its model

    def let_items_go(self) -> None:
        """It is ended: nobody asks for its items' bodies any more, and they are most of what it takes in memory."""
        self.items = {}

    def page(self, after: int, most: int = PAGE_BYTES) -> tuple[list, int]:
        """Listed results from a position on, up to about most bytes.

        >>> # rows, nxt = lot.page(12)
        """
        rows, size = [], 0
        for rec in self.results[after : self.listed]:
            if rows and size + len(rec.body) > most:
                break
            rows.append(rec.body)
            size += len(rec.body) + 1
        return rows, after + len(rows)


def read_lot(head: dict, body: bytes, taken: float) -> Lot:
    """A Lot from its record."""
    doc = orjson.loads(body)
    items = {}
    for n, row in enumerate(doc["Entries"]):
        items[row["InstanceId"]] = Item(
            row["InstanceId"],
            n,
            row["Path"],
            list((row.get("HeaderMap") or {}).items()),
            row.get("Payload", ""),
            str(row.get("GroupId", n)),
            int(row.get("TokenCount") or 0),
            row.get("ScorerUrl"),
        )
    return Lot(
        head["lot"],
        head["run"],
        doc["Model"],
        head["host"],
        head["path"],
        len(items),
        doc.get("TrainStep", 0),
        doc.get("DesiredCount", 0),
        doc.get("MinRevision", 0),
        items,
        taken=taken,
        base=int(head.get("base", 0)),
    )
