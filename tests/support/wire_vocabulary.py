"""The vocabulary of calls between nodes: keys and JSON types of their documents, as the versions in service have them.

`data/wire/calls.json` holds it. Under `calls` stand the call and the answer of each verb, under `commands` the
arguments and the results of each command on a register, under `shapes` what several of them share, under `refusal` the
documents of all refusals. Each is a table of paths with types: `.` is the document itself, `[]` the items of a list,
`*` the keys of a map that are data (names of runs, nodes, services, ...). A type `@name` is the shape of that name,
`@arguments` and `@result` are those of the command that the call names, `any` is data that is passed on as it is.
`number` and the other types are those of JSON; several are parted by `|`. Where a body is JSON or records of a store,
`call body` and `answer body` are its tables; a record is shown as its head and, if that is JSON of ours, its body.

While the tests run, every document that goes over a connection between nodes is compared with it; nothing that is sent
changes. The names of the program that this needs are imported in `watch()` alone.
"""

from __future__ import annotations

import json
import os
import struct
from dataclasses import dataclass, field
from functools import wraps

import orjson

FILE = os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "data", "wire", "calls.json")
ROOT, ITEM, ANY_KEY, ANYTHING = ".", "[]", "*", "any"
DONE = 1000
WITH_COMMAND = frozenset({"do", "part.do", "ledger.run"})  # calls whose `name` says which command `args` are for
REFUSES_WITH_RESULT = "do"  # where a command's refusal is that of the call, with the command's result
JSON_BODIES = frozenset({("share.commit", "call"), ("share.fetch", "answer")})
RECORD_BODIES = frozenset({("shelf.append", "call"), ("shelf.fetch", "answer")})
OUR_RECORDS = frozenset("RSU")  # results, snapshots and updates of windows; the body of a lot is its trainer's
# Verbs that tests register for themselves, or call where nothing of ours answers: what they carry is not looked at.
TOYS = frozenset({"bad", "echo", "long", "mark", "never", "no", "ping", "unheard", "x", "y"})
TYPES = {type(None): "null", bool: "boolean", int: "number", float: "number", str: "string"}
TYPES |= {list: "array", dict: "object"}


@dataclass
class Place:
    """What may stand at one place of a document."""

    types: frozenset = frozenset()
    shape: str = ""
    keys: dict[str, Place] = field(default_factory=dict)


def read_table(table: dict[str, str]) -> Place:
    """The tree of a table of paths.

    >>> read_table({".": "object", "lots": "array", "lots[]": "object", "lots[].id": "string"}).keys["lots"].types
    frozenset({'array'})
    """
    root = Place()
    for path, types in table.items():
        place = root
        for key in [] if path == ROOT else path.replace(ITEM, f".{ITEM}").removeprefix(".").split("."):
            place = place.keys.setdefault(key, Place())
        named = types.split("|")
        place.types = frozenset(name for name in named if not name.startswith("@"))
        place.shape = next((name[1:] for name in named if name.startswith("@")), "")
    return root


def read_records(raw: bytes) -> list[dict]:
    """The records in a body: each behind its length, and in it the head behind its own.

    >>> read_records(b'\\0\\0\\0\\x0d\\0\\0\\0\\x07{"k":1}ab')
    [{'head': {'k': 1}, 'body': None}]
    """
    records, at = [], 0
    while at < len(raw):
        size, head_size = struct.unpack_from(">II", raw, at)
        end, body_at = at + 4 + size, at + 8 + head_size
        head = orjson.loads(raw[at + 8 : body_at])
        records.append({"head": head, "body": orjson.loads(raw[body_at:end]) if head["k"] in OUR_RECORDS else None})
        at = end
    return records


class Vocabulary:
    """Says what of a document is not in the tables.

    >>> doc = {"calls": {"a": {"call": {".": "object", "n": "number"}, "answer": {".": "null"}}}, "refusal": {}}
    >>> Vocabulary({**doc, "commands": {}, "shapes": {}}).unknown_in_call("a", {"n": "1", "m": 2})
    ['call a: string at n', 'call a: key m']
    """

    def __init__(self, doc: dict):
        self.calls = {
            verb: {part: read_table(table) for part, table in of.items()} for verb, of in doc["calls"].items()
        }
        self.commands = {
            name: {part: read_table(table) for part, table in of.items()} for name, of in doc["commands"].items()
        }
        self.shapes = {name: read_table(table) for name, table in doc["shapes"].items()}
        self.refusal = read_table(doc["refusal"])

    @classmethod
    def load(cls) -> Vocabulary:
        """That of the versions in service."""
        with open(FILE, encoding="utf-8") as file:
            return cls(json.load(file))

    def unknown_in_call(self, verb: str, doc: object) -> list[str]:
        """What of a call's document is unknown."""
        return self._unknown("call", verb, "call", doc, doc)

    def unknown_in_answer(self, verb: str, call: object, code: int, doc: object) -> list[str]:
        """What of an answer's document, to a call with that document, is unknown."""
        if code == DONE:
            return self._unknown("answer", verb, "answer", call, doc)
        found: list[str] = []
        self._compare(doc, self.refusal, f"refusal {code} of {verb}", "", {}, found)
        if found and verb == REFUSES_WITH_RESULT:
            return self._unknown(f"refusal {code} of", verb, "answer", call, doc)
        return found

    def unknown_in_body(self, verb: str, part: str, body: bytes) -> list[str]:
        """What of the body of a call or an answer (the part) is unknown."""
        if (verb, part) in JSON_BODIES:
            doc = orjson.loads(body)
        elif (verb, part) in RECORD_BODIES:
            doc = read_records(body)
        else:
            return []
        return self._unknown(f"body of {part}", verb, f"{part} body", None, doc)

    def _unknown(self, kind: str, verb: str, part: str, call: object, doc: object) -> list[str]:
        if verb in TOYS:
            return []
        if verb not in self.calls:
            return [f"verb {verb}"]
        title, shapes = f"{kind} {verb}", self.shapes
        if verb in WITH_COMMAND:
            name = call.get("name") if isinstance(call, dict) else None
            if name not in self.commands:
                return [f"{title}: command {name}"]
            title, shapes = f"{title} {name}", {**shapes, **self.commands[name]}
        found: list[str] = []
        self._compare(doc, self.calls[verb][part], title, "", shapes, found)
        return found

    def _compare(self, doc: object, place: Place, title: str, path: str, shapes: dict, found: list) -> None:
        if ANYTHING in place.types:
            return
        kind = TYPES[type(doc)]
        if kind not in place.types:
            if not place.shape:
                found.append(f"{title}: {kind} at {path or ROOT}")
                return
            self._compare(doc, shapes[place.shape], title, path, shapes, found)
        elif kind == "array":
            items = place.keys.get(ITEM)
            for item in doc:
                if items is None:
                    found.append(f"{title}: items in {path or ROOT}")
                    return
                self._compare(item, items, title, path + ITEM, shapes, found)
        elif kind == "object":
            whichever = place.keys.get(ANY_KEY)
            for key, value in doc.items():
                at = f"{path}.{ANY_KEY if whichever else key}".removeprefix(".")
                inner = whichever or place.keys.get(key)
                if inner is None:
                    found.append(f"{title}: key {at}")
                else:
                    self._compare(value, inner, title, at, shapes, found)


class Watch:
    """Compares what is sent with a vocabulary, and keeps what is unknown.

    >>> # watch = Watch(Vocabulary.load()); watch.call("ping", b"{}"); watch.take()
    """

    def __init__(self, vocabulary: Vocabulary):
        self.vocabulary = vocabulary
        self.compared = 0  # documents and bodies
        self._found: dict[str, None] = {}  # in the order in which it was met, each once

    def call(self, verb: str, head: bytes, body: bytes) -> None:
        """A call is encoded."""
        self._note(lambda: self.vocabulary.unknown_in_call(verb, orjson.loads(head)))
        self._note(lambda: self.vocabulary.unknown_in_body(verb, "call", body))

    def answer(self, verb: str, head: bytes, code: int, doc: object, body: bytes) -> None:
        """The answer to a call with this head is encoded."""

        def look():
            call = orjson.loads(head) if verb in WITH_COMMAND and head else None
            answer = orjson.loads(doc if isinstance(doc, bytes) else orjson.dumps(doc))
            return self.vocabulary.unknown_in_answer(verb, call, code, answer)

        if verb not in TOYS:
            self._note(look)
            if code == DONE:
                self._note(lambda: self.vocabulary.unknown_in_body(verb, "answer", body))

    def _note(self, look) -> None:
        """Keep what was unknown; a fault of this comparison is kept as well, and does not reach the program."""
        self.compared += 1
        try:
            found = look()
        except Exception as fault:
            found = [f"not compared: {fault!r}"]
        self._found.update(dict.fromkeys(found))

    def take(self) -> list[str]:
        """What was unknown since the last time."""
        found, self._found = list(self._found), {}
        return found


def watch(vocabulary: Vocabulary) -> Watch:
    """Watch all connections and servers of this process from now on: the one place that knows the program's names."""
    from archhatch.rpc import connection, server

    seen = Watch(vocabulary)
    pack_call, pack_answer = connection.pack_pieces, server.Server._pack

    @wraps(pack_call)
    def watched_call(envelope):
        seen.call(envelope.verb, envelope.head, envelope.body)
        return pack_call(envelope)

    @wraps(pack_answer)
    def watched_answer(self, call, code, doc, body):
        seen.answer(call.verb, call.head, code, doc, body)
        return pack_answer(self, call, code, doc, body)

    connection.pack_pieces, server.Server._pack = watched_call, watched_answer
    return seen
