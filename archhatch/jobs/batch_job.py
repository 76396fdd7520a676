"""A lot as it was handed in, its items, and what is listed of it."""

from __future__ import annotations

import base64
import binascii
import re
from dataclasses import dataclass, field

import orjson


# A target in origin form (RFC 9112): visible ASCII without a fragment, and not beginning as a network path does.
_PATH = re.compile(r"/(?!/)[\x21\x22\x24-\x7e]*", re.ASCII)
_HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]{1,256}", re.ASCII)  # a token (RFC 9110)
_HEADER_VALUE = re.compile(r"[\x20-\x7e\x80-\uffff\t]*")

PAGE_BYTES = 300_000  # of results that one answer holds: each is copied a few times on its way


class InvalidJobError(Exception):
    """A lot that cannot be read: no item of it runs."""


@dataclass(slots=True)
class Item:
    item_id: str
    at: int
    path: str
    heads: list
    payload: str
    group: str
    tokens: int
    scorer: dict | None


def _need(ok: bool, why: str) -> None:
    if not ok:
        raise InvalidJobError(why)


def _payload(value, where: str) -> None:
    _need(isinstance(value, str), f"{where}: Payload must be base64 text")
    try:
        base64.b64decode(value, validate=True)
    except (binascii.Error, ValueError) as e:
        raise InvalidJobError(f"{where}: Payload: {e}") from e


def check_job(job_id: str, body: bytes) -> str:
    """The model of a lot whose bytes are whole and sound; InvalidJobError otherwise.

    >>> try: check_job("a", b"{}")
    ... except InvalidJobError as e: print(e)
    Model must be text
    """
    _need(bool(job_id), "X-Archhatch-Request-Id is missing")
    return parse_job(body, strict=True).model


@dataclass(slots=True)
class ParsedJob:
    """A lot's document, read field by field."""

    model: str
    step: int
    want: int
    least: int
    items: dict  # item id -> Item, in their order


def parse_job(body: bytes, strict: bool) -> ParsedJob:
    """Read a lot's document; InvalidJobError names the first field that is wrong.

    strict: what would go to a replica as it stands (paths, headers, payloads) is checked as well. A lot that is read
    from a record was checked when it came in; what an earlier release took must still be readable.
    """
    try:
        doc = orjson.loads(body)
    except orjson.JSONDecodeError as e:
        raise InvalidJobError(str(e)) from e
    _need(isinstance(doc, dict), "must be one JSON object")
    _need(isinstance(doc.get("Model"), str), "Model must be text")
    step, want, least = (_count(doc, name, name) for name in ("TrainStep", "DesiredCount", "MinRevision"))
    rows = doc.get("Entries")
    _need(isinstance(rows, list) and bool(rows), "Entries must list items")
    items: dict = {}
    for n, row in enumerate(rows):
        item = _item(row, n, strict)
        _need(item.item_id not in items, f"Entries[{n}]: InstanceId is missing or twice")
        items[item.item_id] = item
    return ParsedJob(doc["Model"], step, want, least, items)


def _item(row: object, n: int, strict: bool) -> Item:
    where = f"Entries[{n}]"
    _need(isinstance(row, dict), f"{where} must be an object")
    iid, path, payload = row.get("InstanceId"), row.get("Path"), row.get("Payload", "")
    _need(isinstance(iid, str) and bool(iid), f"{where}: InstanceId is missing or twice")
    _need(isinstance(path, str) and path.startswith("/"), f"{where}: Path is wrong")
    heads = row.get("HeaderMap") or {}
    _need(isinstance(heads, dict), f"{where}: HeaderMap is wrong")
    group, scorer = row.get("GroupId", n), row.get("ScorerUrl")
    _need(isinstance(group, (str, int)), f"{where}: GroupId must be text")
    _need(scorer is None or _names_request(scorer), f"{where}: ScorerUrl is wrong")
    if strict:
        _check_sendable(where, iid, path, heads, payload)
        if scorer is not None:
            scorer_heads = {"Host": scorer["HostName"]}
            _check_sendable(
                where + ".ScorerUrl", scorer["InstanceId"], scorer["Path"], scorer_heads, scorer.get("Payload", "")
            )
    tokens = _count(row, "TokenCount", f"{where}: TokenCount")
    return Item(iid, n, path, list(heads.items()), payload, str(group), tokens, scorer)


def _names_request(scorer: object) -> bool:
    return isinstance(scorer, dict) and all(
        isinstance(scorer.get(name), str) and scorer[name] for name in ("InstanceId", "HostName", "Path")
    )


def _check_sendable(where: str, iid: str, path: str, heads: dict, payload: object) -> None:
    """Refuse what could not go out as an HTTP request, or would go out as another one than it seems."""
    _need(bool(_HEADER_VALUE.fullmatch(iid)), f"{where}: InstanceId is wrong")
    _need(bool(_PATH.fullmatch(path)), f"{where}: Path is wrong")
    for name, value in heads.items():
        good = _HEADER_NAME.fullmatch(name) and isinstance(value, str) and _HEADER_VALUE.fullmatch(value)
        _need(bool(good), f"{where}: HeaderMap is wrong")
    _payload(payload, where)


def _count(doc: dict, name: str, where: str) -> int:
    """A whole number that is not negative; 0 where there is none."""
    value = doc.get(name)
    if value is None:
        return 0
    _need(isinstance(value, int) and not isinstance(value, bool) and value >= 0, f"{where} must be a whole number")
    return value


@dataclass
class BatchJob:
    """A lot in hand: items by id, results by position."""

    job_id: str
    run: str
    model: str
    host: str
    path: str
    total: int
    train_step: int
    desired_count: int
    min_revision: int
    items: dict
    records: list = field(default_factory=list)  # every record of it, the lot's own first
    results: list = field(default_factory=list)  # R records by position
    listed_count: int = 0
    positioned_items: set = field(default_factory=set)  # items that have a position
    is_ended: bool = False
    accepted_at: float = 0.0
    ended_at: float = 0.0
    tenant: str | None = None  # whose items they are; None where no key is asked for
    base_offset: int = 0  # offset of its first item in the partition of its model

    def release_items(self) -> None:
        """It is ended: nobody asks for its items' bodies any more, and they are most of what it takes in memory."""
        self.items = {}

    def page(self, after: int, most: int = PAGE_BYTES) -> tuple[list, int]:
        """Listed results from a position on, up to about most bytes.

        >>> # rows, nxt = batch_job.page(12)
        """
        rows, size = [], 0
        for record in self.results[after : self.listed_count]:
            if rows and size + len(record.body) > most:
                break
            rows.append(record.body)
            size += len(record.body) + 1
        return rows, after + len(rows)


def read_job(head: dict, body: bytes, accepted_at: float) -> BatchJob:
    """A Lot from its record."""
    doc = parse_job(body, strict=False)
    return BatchJob(
        head["lot"],
        head["run"],
        doc.model,
        head["host"],
        head["path"],
        len(doc.items),
        doc.step,
        doc.want,
        doc.least,
        doc.items,
        accepted_at=accepted_at,
        tenant=head.get("tenant"),
        base_offset=int(head.get("base", 0)),
    )
