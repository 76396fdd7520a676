"""Numbered result codes, and the HTTP answers that carry them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import orjson

# Code: (HTTP status, text). The texts are part of the public interface (field "Says"); docs/codes.md holds the same
# table. Codes from 6001 are findings of `archhatch doctor` and have no HTTP status.
CODES: dict[int, tuple[int, str]] = {
    1000: (200, "done"),
    1001: (202, "taken"),
    2001: (400, "the call cannot be read"),
    2002: (400, "the configuration is invalid"),
    2003: (400, "the lot is malformed"),
    2004: (400, "the beat is malformed"),
    2005: (400, "the stamp is not higher than the current one"),
    2006: (404, "no lane leads there"),
    2007: (404, "no such lot or item"),
    2008: (404, "no such machine"),
    2009: (404, "no such call"),
    2010: (405, "this call wants another method"),
    2011: (412, "another stamp is current"),
    2012: (413, "the body is too large"),
    2013: (409, "too few machines would be left"),
    2014: (409, "the version is not the next one"),
    2015: (428, "If-Match is missing or no number"),
    2017: (431, "the head is too large"),
    2018: (409, "another term or membership holds by now"),
    2019: (401, "the key is missing or unknown"),
    2020: (409, "another run has the lot"),
    2016: (408, "the request came too slowly"),
    2101: (400, "the policy is invalid"),
    2102: (404, "no such region"),
    2103: (404, "no policy is set"),
    2201: (400, "the evacuation's plan is malformed"),
    2202: (404, "no such evacuation"),
    2203: (404, "no rule of the policy belongs to that tenant"),
    2204: (409, "the target lacks room"),
    2205: (409, "another evacuation moves a rule of this one"),
    2206: (409, "the evacuation's state allows no such call"),
    2207: (409, "the policy does not allow the region"),
    2208: (409, "this id stands for another plan"),
    2301: (409, "another holds the duty"),
    2302: (409, "a newer fence was given, or the lease has ended"),
    2303: (409, "the duty failed; it is not tried again before its reset"),
    2304: (404, "no such duty, or it was done and is forgotten"),
    2305: (400, "the lease is shorter or longer than is allowed"),
    2306: (413, "what the duty is to keep is too large"),
    2307: (409, "the duty's state allows no such call"),
    3001: (503, "this node has no configuration yet"),
    3002: (503, "no replica is free; it has not run"),
    3003: (503, "no majority can be reached"),
    3004: (503, "not sure; ask again"),
    3005: (503, "no store holds the run at the moment; not taken"),
    3006: (429, "too many at once; it has not run"),
    3007: (503, "another epoch leads the partition, or the worker is not known there; attach anew"),
    3008: (503, "too little room on the disk for a new lot"),
    3010: (503, "the disk takes nothing at the moment; not written"),
    3011: (503, "the keys were not confirmed lately; it has not run"),
    3012: (503, "this node is about to end; it has not run"),
    3013: (503, "too little memory at the moment; it has not run"),
    3101: (503, "no region that may run it is in; it has not run"),
    4001: (502, "the replica broke off"),
    4002: (504, "the time is up; it may have run"),
    4003: (504, "the outcome is unclear; send again"),
    5001: (500, "a fault in this node"),
    6001: (0, "the settings cannot be read"),
    6002: (0, "the settings contradict themselves"),
    6003: (0, "the seeds are of no use"),
    6004: (0, "a seed does not answer"),
    6005: (0, "a group has no majority"),
    6006: (0, "a write-ahead log is damaged"),
    6007: (0, "a disk is full"),
    6008: (0, "the data folder is of no use"),
    6009: (0, "a replica does not beat"),
    6010: (0, "nodes disagree on the stamp"),
    6011: (0, "a configuration cannot be read"),
    6012: (0, "nodes run different code"),
    6013: (0, "callers wait for memory"),
}


JSON_HEADER = ("Content-Type", "application/json")


class HeldMemory(Protocol):
    """Memory that an answer's body takes, counted somewhere."""

    def give_way_by(self, give_way: Callable[[], None] | None) -> None:
        """Sets what ends its holder if others wait for memory; None if it must not be ended."""

    def note_bytes(self, count: int) -> None:
        """Notes that so many bytes of it went out."""

    def release(self) -> None:
        """Gives it back."""


@dataclass(slots=True)
class Result:
    """An HTTP answer before it is written to the connection.

    Attributes:
        status: The HTTP status.
        body: The body, complete.
        head: Header fields as (name, value) pairs, beside those that the server adds.
        close: Whether the connection is closed after this answer.
        charge: The memory that is held for its body; None if none is.

    >>> Result(200, b"ok").status
    200
    """

    status: int
    body: bytes = b""
    head: list[tuple[str, str]] = field(default_factory=list)
    close: bool = False
    charge: HeldMemory | None = None

    def release(self) -> None:
        """Gives back the memory that is held for its body."""
        if self.charge is not None:
            self.charge.release()


def json_result(code: int, document: object, head: list[tuple[str, str]] | None = None) -> Result:
    """Returns an answer with a JSON body and the HTTP status of a result code.

    >>> json_result(1000, {"a": 1}).body
    b'{"a":1}'
    """
    return Result(CODES[code][0], orjson.dumps(document), [JSON_HEADER] + (head or []))


def error_result(code: int, why: str = "", after_s: float | None = None) -> Result:
    """Returns an answer for an error.

    Args:
        code: The result code; it determines the HTTP status and the text.
        why: What was wrong with this request.
        after_s: Seconds after which the caller may retry (header Retry-After), or None to promise nothing.

    >>> error_result(2006).status
    404
    """
    head = [] if after_s is None else [("Retry-After", f"{after_s:.3f}")]
    return json_result(code, {"Error": code, "Says": CODES[code][1], "Why": why}, head)
