"""Events of a stream, cut out of its bytes."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Event:
    id: str
    data: str
    version: str
    raw: bytes


class EventReader:
    """Feed it bytes as they come; it gives the events that are whole.

    >>> [e.data for e in EventReader().feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")]
    ['a']
    """

    def __init__(self):
        self.rest = b""

    def feed(self, data: bytes) -> list[Event]:
        buf = self.rest + data
        out = []
        while True:
            at = buf.find(b"\n\n")
            if at < 0:
                break
            out.append(_event(buf[: at + 2]))
            buf = buf[at + 2 :]
        self.rest = buf
        return out


def _event(raw: bytes) -> Event:
    eid, data, version = "", [], ""
    for row in raw.decode("utf-8", "surrogateescape").split("\n"):
        name, sep, value = row.partition(":")
        if not sep:
            continue
        value = value[1:] if value.startswith(" ") else value
        if name == "id":
            eid = value
        elif name == "data":
            data.append(value)
        elif name == "x-archhatch-weight-versions":
            version = value
    return Event(eid, "\n".join(data), version, raw)


def follows(last: str | None, event_id: str) -> bool:
    """Whether an event may stand behind another one: ids rise, where they are numbers.

    >>> follows("3", "4"), follows("3", "3"), follows(None, "1"), follows("3", "")
    (True, False, True, False)
    """
    if not last:
        return True
    if last.isdigit() and event_id.isdigit():
        return int(event_id) > int(last)
    return event_id not in ("", last)
