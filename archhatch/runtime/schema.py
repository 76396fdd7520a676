"""Strict readers of the fields of JSON documents that come from outside.

A reader takes a decoded JSON value and returns the value that the code works with, or raises InvalidFieldError. None of
them converts: text that looks like a number is no number, and neither is a boolean. Messages name a reader as the
`decode` of a field:

    @dataclass(frozen=True, slots=True)
    class Tenant(Message):
        name: str = wire("Name", decode=text(min_length=1))
        priority: int = wire("Priority", default=5, decode=whole_number(0, 9))
"""

from __future__ import annotations

import re
from collections.abc import Callable, Collection
from typing import Any, TypeVar

from .message import InvalidFieldError, Message, MissingFieldError

Value = TypeVar("Value")
MessageType = TypeVar("MessageType", bound=Message)
Reader = Callable[[Any], Value]

MAX_DEPTH = 32  # of a document: far more than any needs, and little enough to be encoded and compared recursively


def text(min_length: int = 0, pattern: str | None = None, why: str = "has a form that is not allowed") -> Reader[str]:
    """Reads text.

    Args:
        min_length: The least number of characters.
        pattern: A regular expression that the whole text has to match.
        why: What is wrong with a text that does not match.

    >>> text()("a"), text(pattern="[a-z]+")("ab")
    ('a', 'ab')
    """
    compiled = re.compile(pattern) if pattern is not None else None

    def read(value: object) -> str:
        if not isinstance(value, str):
            raise InvalidFieldError("must be text")
        if len(value) < min_length:
            raise InvalidFieldError("must not be empty")
        if compiled is not None and not compiled.fullmatch(value):
            raise InvalidFieldError(why)
        return value

    return read


def one_of(values: Collection[str]) -> Reader[str]:
    """Reads text that is one of several values."""
    allowed = frozenset(values)

    def read(value: object) -> str:
        if not isinstance(value, str) or value not in allowed:
            raise InvalidFieldError(f"must be one of {', '.join(sorted(allowed))}")
        return value

    return read


def number(minimum: float, maximum: float, excludes_minimum: bool = False) -> Reader[float]:
    """Reads a finite number within bounds.

    >>> number(0, 10)(2), number(0, 10)(2.5)
    (2.0, 2.5)
    >>> number(0, 10)(float("nan"))
    Traceback (most recent call last):
    archhatch.runtime.message.InvalidFieldError: must be a number from 0 to 10
    """
    bounds = f"above {minimum:g} up to {maximum:.15g}" if excludes_minimum else f"from {minimum:g} to {maximum:.15g}"

    def read(value: object) -> float:
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not minimum <= value <= maximum:
            raise InvalidFieldError(f"must be a number {bounds}")
        if excludes_minimum and value == minimum:
            raise InvalidFieldError(f"must be a number {bounds}")
        return float(value)

    return read


def whole_number(minimum: int, maximum: int) -> Reader[int]:
    """Reads a whole number within bounds; 2.0 is one, 2.5 is not.

    >>> whole_number(1, 9)(2), whole_number(1, 9)(2.0)
    (2, 2)
    """

    def read(value: object) -> int:
        if type(value) is int and minimum <= value <= maximum:
            return value  # the common case, without the questions below
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not minimum <= value <= maximum:
            raise InvalidFieldError(f"must be a whole number from {minimum} to {maximum}")
        if value != int(value):
            raise InvalidFieldError(f"must be a whole number from {minimum} to {maximum}")
        return int(value)

    return read


def integer(minimum: int, maximum: int) -> Reader[int]:
    """Reads an integer within bounds; 2.0 is none."""
    read_whole = whole_number(minimum, maximum)

    def read(value: object) -> int:
        if isinstance(value, float):
            raise InvalidFieldError(f"must be an integer from {minimum} to {maximum}")
        return read_whole(value)

    return read


def boolean(value: object) -> bool:
    """Reads true or false."""
    if not isinstance(value, bool):
        raise InvalidFieldError("must be true or false")
    return value


def any_object(value: object) -> dict:
    """Reads an object, whatever is in it."""
    if not isinstance(value, dict):
        raise InvalidFieldError("must be an object")
    return value


def list_of(reader: Reader[Value]) -> Reader[tuple[Value, ...]]:
    """Reads a list, each of its values by the same reader.

    >>> list_of(boolean)([True, 1])
    Traceback (most recent call last):
    archhatch.runtime.message.InvalidFieldError: [1]: must be true or false
    """

    def read(value: object) -> tuple[Value, ...]:
        if not isinstance(value, list):
            raise InvalidFieldError("must be a list")
        index = 0
        values = []
        try:
            for index, item in enumerate(value):  # noqa: B007 - the handler below names the index
                values.append(reader(item))
        except InvalidFieldError as error:
            raise error.within(f"[{index}]") from None
        return tuple(values)

    return read


def mapping_of(reader: Reader[Value]) -> Reader[dict[str, Value]]:
    """Reads an object whose keys are data, each of its values by the same reader.

    >>> mapping_of(integer(0, 9))({"a": 1})
    {'a': 1}
    """

    def read(value: object) -> dict[str, Value]:
        if not isinstance(value, dict):
            raise InvalidFieldError("must be an object")
        key = ""
        values = {}
        try:
            for key, item in value.items():  # noqa: B007 - the handler below names the key
                values[key] = reader(item)
        except InvalidFieldError as error:
            raise error.within(key) from None
        return values

    return read


def object_of(message_class: type[MessageType]) -> Reader[MessageType]:
    """Reads an object as a message."""

    def read(value: object) -> MessageType:
        if not isinstance(value, dict):
            raise InvalidFieldError("must be an object")
        return read_message(message_class, value)

    return read


def read_message(message_class: type[MessageType], document: dict) -> MessageType:
    """Reads an object as a message.

    Raises:
        InvalidFieldError: A field is missing or wrong.
    """
    try:
        return message_class.from_document(document)
    except MissingFieldError as error:
        raise InvalidFieldError("is missing", error.field) from None


def nullable(reader: Reader[Value], default: Value) -> Reader[Value]:
    """Reads what another reader does, or null as a default."""

    def read(value: object) -> Value:
        return default if value is None else reader(value)

    return read


def is_too_deep(document: object, max_depth: int = MAX_DEPTH) -> bool:
    """Whether a document has more levels of lists and objects than may be encoded.

    >>> is_too_deep([[1]], 2), is_too_deep([[[]]], 2)
    (False, True)
    """
    level = [document]
    for _ in range(max_depth):
        level = [inner for value in level for inner in _members(value) if isinstance(inner, (dict, list))]
        if not level:
            return False
    return True


def _members(value: object) -> Collection[object]:
    if isinstance(value, dict):
        return value.values()
    return value if isinstance(value, list) else ()
