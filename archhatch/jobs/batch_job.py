"""A batch job as it was handed in, its items, and what is listed of it."""

from __future__ import annotations

import base64
import binascii
import re
from dataclasses import dataclass, field
from typing import Any

import orjson

from ..runtime.request_target import has_dot_segment
from .body_cache import Body
from .errors import InvalidJobError
from .record import Record

# A target in origin form (RFC 9112): visible ASCII without a fragment, and not beginning as a network path does.
_PATH = re.compile(r"/(?!/)[\x21\x22\x24-\x7e]*", re.ASCII)
_HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]{1,256}", re.ASCII)  # a token (RFC 9110)
_HEADER_VALUE = re.compile(r"[\x20-\x7e\x80-\uffff\t]*")

LARGE_JOB_BYTES = 256 << 10  # a longer body is sent to a store only once there is room for it
ITEM_OVERHEAD_BYTES = 1500  # of memory that an item takes beside its part of the body, its share entry included
PAGE_BYTES = 300_000  # of results that one answer holds: each is copied a few times on its way


@dataclass(slots=True)
class Item:
    """One request of a job, which one replica runs.

    Attributes:
        item_id: The id that its request bears.
        at: Its place among the job's items, from 0.
        path: The target of its request.
        heads: The headers of its request, as (name, value).
        payload: The body of its request in base64.
        group: Items of one group share a prompt.
        tokens: How many tokens its answer is reckoned to take; 0 where that is not said.
        scorer: The request of its reward call; None if its results are not scored.
    """

    item_id: str
    at: int
    path: str
    heads: list[tuple[str, str]]
    payload: str
    group: str
    tokens: int
    scorer: dict | None


def _need(ok: bool, why: str) -> None:
    if not ok:
        raise InvalidJobError(why)


def _check_payload(value: object, where: str) -> None:
    if not isinstance(value, str):
        raise InvalidJobError(f"{where}: Payload must be base64 text")
    try:
        base64.b64decode(value, validate=True)
    except (binascii.Error, ValueError) as error:
        raise InvalidJobError(f"{where}: Payload: {error}") from error


def check_job(job_id: str, body: bytes) -> str:
    """Checks a job as it comes in.

    Args:
        job_id: The id that its request bears.
        body: The job's document.

    Returns:
        The model that it is for.

    Raises:
        InvalidJobError: Something of it is missing or wrong.

    >>> try: check_job("a", b"{}")
    ... except InvalidJobError as error: print(error)
    Model must be text
    """
    _need(bool(job_id), "X-Archhatch-Request-Id is missing")
    return parse_job(body, strict=True).model


@dataclass(slots=True)
class ParsedJob:
    """A job's document, read field by field.

    Attributes:
        model: The model whose samples are wanted.
        train_step: The trainer's step that the samples are for.
        desired_count: How many groups are wanted before the others may be late; 0 for all.
        min_revision: The lowest version of the model that may make them.
        items: The items by id, in their order.
    """

    model: str
    train_step: int
    desired_count: int
    min_revision: int
    items: dict[str, Item]


def parse_job(body: bytes, strict: bool) -> ParsedJob:
    """Reads a job's document.

    Args:
        body: The document.
        strict: Whether what would go to a replica as it stands (paths, headers, payloads) is checked as well. A job
            that is read from a record was checked when it came in; what an earlier release took must still be readable.

    Raises:
        InvalidJobError: Names the first field that is wrong.
    """
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise InvalidJobError(str(error)) from error
    _need(isinstance(document, dict), "must be one JSON object")
    _need(isinstance(document.get("Model"), str), "Model must be text")
    train_step = _count(document, "TrainStep", "TrainStep")
    desired_count = _count(document, "DesiredCount", "DesiredCount")
    min_revision = _count(document, "MinRevision", "MinRevision")
    rows = document.get("Entries")
    _need(isinstance(rows, list) and bool(rows), "Entries must list items")
    items: dict[str, Item] = {}
    for index, row in enumerate(rows):
        item = _read_item(row, index, strict)
        _need(item.item_id not in items, f"Entries[{index}]: InstanceId is missing or twice")
        items[item.item_id] = item
    return ParsedJob(document["Model"], train_step, desired_count, min_revision, items)


def _read_item(row: Any, index: int, strict: bool) -> Item:  # noqa: ANN401 - any JSON; it is checked here
    where = f"Entries[{index}]"
    _need(isinstance(row, dict), f"{where} must be an object")
    item_id = row.get("InstanceId")
    path = row.get("Path")
    payload = row.get("Payload", "")
    _need(isinstance(item_id, str) and bool(item_id), f"{where}: InstanceId is missing or twice")
    _need(isinstance(path, str) and path.startswith("/"), f"{where}: Path is wrong")
    heads = row.get("HeaderMap") or {}
    _need(isinstance(heads, dict), f"{where}: HeaderMap is wrong")
    group = row.get("GroupId", index)
    scorer = row.get("ScorerUrl")
    _need(isinstance(group, (str, int)), f"{where}: GroupId must be text")
    _need(scorer is None or _names_request(scorer), f"{where}: ScorerUrl is wrong")
    if strict:
        _check_sendable(where, item_id, path, heads, payload)
        if scorer is not None:
            scorer_heads = {"Host": scorer["HostName"]}
            _check_sendable(
                where + ".ScorerUrl", scorer["InstanceId"], scorer["Path"], scorer_heads, scorer.get("Payload", "")
            )
    tokens = _count(row, "TokenCount", f"{where}: TokenCount")
    return Item(item_id, index, path, list(heads.items()), payload, str(group), tokens, scorer)


def _names_request(scorer: object) -> bool:
    """Whether a reward call says where it goes."""
    return isinstance(scorer, dict) and all(
        isinstance(scorer.get(name), str) and scorer[name] for name in ("InstanceId", "HostName", "Path")
    )


def _check_sendable(where: str, item_id: str, path: str, heads: dict, payload: object) -> None:
    """Refuses what could not go out as an HTTP request, or would go out as another one than it seems."""
    _need(bool(_HEADER_VALUE.fullmatch(item_id)), f"{where}: InstanceId is wrong")
    _need(bool(_PATH.fullmatch(path)), f"{where}: Path is wrong")
    _need(not has_dot_segment(path), f"{where}: Path has a dot segment")
    for name, value in heads.items():
        good = _HEADER_NAME.fullmatch(name) and isinstance(value, str) and _HEADER_VALUE.fullmatch(value)
        _need(bool(good), f"{where}: HeaderMap is wrong")
    _check_payload(payload, where)


def _count(document: dict, name: str, where: str) -> int:
    """A whole number that is not negative; 0 where there is none."""
    value = document.get(name)
    if value is None:
        return 0
    _need(isinstance(value, int) and not isinstance(value, bool) and value >= 0, f"{where} must be a whole number")
    return value


@dataclass
class BatchJob:
    """A job in hand: items by id, results by position.

    Attributes:
        job_id: The id that its request bore.
        run: The run that it belongs to: the service whose replicas make its samples.
        model: The model whose samples are wanted; it names the partition of the step log, too.
        host: The host that it was sent to, and with path its route.
        total: How many items it has.
        train_step: The trainer's step that the samples are for.
        desired_count: How many groups are wanted before the others may be late; 0 for all.
        min_revision: The lowest version of the model that may make them.
        items: The items by id; empty once it is ended.
        records: Every record of it, the job's own first.
        results: The records of results by position.
        listed_count: How many results are listed: those have enough copies, and all before them.
        positioned_items: Items that have a position.
        accepted_at: When it was accepted.
        ended_at: When it ended; 0.0 before.
        tenant: Whose items they are; None where no key is asked for.
        base_offset: The offset of its first item in the partition of its model.
    """

    job_id: str
    run: str
    model: str
    host: str
    path: str
    total: int
    train_step: int
    desired_count: int
    min_revision: int
    items: dict[str, Item]
    records: list[Record] = field(default_factory=list)
    results: list[Record] = field(default_factory=list)
    listed_count: int = 0
    positioned_items: set[str] = field(default_factory=set)
    is_ended: bool = False
    accepted_at: float = 0.0
    ended_at: float = 0.0
    tenant: str | None = None
    base_offset: int = 0

    def memory_bytes(self) -> int:
        """Returns about how much memory the job's items take while it is open; 0 once they are released."""
        return len(self.records[0].body) + ITEM_OVERHEAD_BYTES * len(self.items) if self.items and self.records else 0

    def release_items(self) -> None:
        """Drops the items of an ended job: nobody asks for their bodies, and they are most of its memory."""
        self.items = {}

    def page(self, after: int, most: int = PAGE_BYTES) -> tuple[list[bytes], int]:
        """Returns a page of listed results.

        Args:
            after: The position from which on they are wanted.
            most: About how many bytes it may hold; one result is given also if it is longer.

        Returns:
            The results' bodies, and the position behind the last.
        """
        rows: list[bytes] = []
        size = 0
        for record in self.results[after : self.listed_count]:
            if rows and size + len(record.body) > most:
                break
            rows.append(bytes(record.body))
            size += len(record.body) + 1
        return rows, after + len(rows)


def read_job(head: dict, body: Body, accepted_at: float) -> BatchJob:
    """Returns the job of a record.

    Args:
        head: The record's head.
        body: The job's document.
        accepted_at: When it was accepted.

    Raises:
        InvalidJobError: The document is wrong.
    """
    parsed = parse_job(bytes(body), strict=False)
    return BatchJob(
        head["lot"],
        head["run"],
        parsed.model,
        head["host"],
        head["path"],
        len(parsed.items),
        parsed.train_step,
        parsed.desired_count,
        parsed.min_revision,
        parsed.items,
        accepted_at=accepted_at,
        tenant=head.get("tenant"),
        base_offset=int(head.get("base", 0)),
    )
