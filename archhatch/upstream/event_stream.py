"""Parsing of server-sent events (HTML Living Standard, section 9.2) out of the bytes of a response."""

from __future__ import annotations

from dataclasses import dataclass

from ..runtime.numbers import read_count

_EVENT_END = b"\n\n"
_WEIGHT_VERSIONS_FIELD = "x-archhatch-weight-versions"


@dataclass(slots=True)
class Event:
    """One event of a stream.

    Attributes:
        id: Its `id` field, empty if it has none.
        data: Its `data` fields, joined by newlines.
        version: Its weight versions, empty if it names none.
        raw: Its bytes as they came, with the blank line at the end.
    """

    id: str
    data: str
    version: str
    raw: bytes


class EventReader:
    r"""Cuts a byte stream into events.

    >>> [event.data for event in EventReader().feed(b"id: 1\ndata: a\n\nid: 2\nda")]
    ['a']

    Attributes:
        remainder: The bytes of the event that is not whole yet.
    """

    __slots__ = ("remainder",)

    def __init__(self) -> None:
        self.remainder = b""

    def feed(self, data: bytes) -> list[Event]:
        """Takes the next bytes of the stream and returns the events that are whole now."""
        buffer = self.remainder + data
        events = []
        while True:
            end = buffer.find(_EVENT_END)
            if end < 0:
                break
            end += len(_EVENT_END)
            events.append(_parse_event(buffer[:end]))
            buffer = buffer[end:]
        self.remainder = buffer
        return events


def _parse_event(raw: bytes) -> Event:
    event_id, data, version = "", [], ""
    for line in raw.decode("utf-8", "surrogateescape").split("\n"):
        name, colon, value = line.partition(":")
        if not colon:
            continue
        value = value[1:] if value.startswith(" ") else value
        if name == "id":
            event_id = value
        elif name == "data":
            data.append(value)
        elif name == _WEIGHT_VERSIONS_FIELD:
            version = value
    return Event(event_id, "\n".join(data), version, raw)


def is_next_event(last_id: str | None, event_id: str) -> bool:
    """Whether an event may stand behind another one: ids rise where they are numbers, and differ where they are not.

    >>> is_next_event("3", "4"), is_next_event("3", "3"), is_next_event(None, "1"), is_next_event("3", "")
    (True, False, True, False)
    >>> is_next_event("3", "x"), is_next_event("x", "y")
    (False, True)
    """
    if not last_id:
        return True
    last_number, number = read_count(last_id), read_count(event_id)
    if last_number is not None:
        return number is not None and number > last_number
    return event_id not in ("", last_id)
