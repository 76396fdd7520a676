"""Typed messages for JSON documents: a dataclass whose fields name the key that each has on the wire or on disk.

The code uses the field's term, the document keeps its key, and the mapping stands in one place:

    @dataclass(frozen=True, slots=True)
    class LeaseClaim(Message):
        lease_holder: str = wire("holder")
        zone: str = wire("zone", default="")

Keys are written in the order of the fields, so that a message has the same bytes wherever it is encoded.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any, ClassVar, Self, cast

from ..exceptions import ArchhatchError

_KEY, _OPTIONAL, _ENCODE, _DECODE = "key", "optional", "encode", "decode"


class InvalidMessageError(ArchhatchError, ValueError):
    """A document that a message cannot be read from; names the key that is missing or unusable."""


# What a document from another node that does not have the form of its message may end in, where it is read by its keys.
MALFORMED_ERRORS = (InvalidMessageError, KeyError, TypeError, ValueError, AttributeError, IndexError)


class MissingFieldError(InvalidMessageError):
    """A document without a key that its message requires.

    Attributes:
        field: The key.
    """

    def __init__(self, message_name: str, field: str) -> None:
        super().__init__(f"{message_name}: {field}: required")
        self.field = field


class InvalidFieldError(InvalidMessageError):
    """A field of a document with a value that it may not have.

    Attributes:
        why: What is wrong; never holds the value, which may be a secret.
        field: The path of the field in the document, such as "RouteTable[0].TimeoutMs"; empty for the document itself.

    >>> str(InvalidFieldError("must be text", "Name").within("[0]").within("RouteTable"))
    'RouteTable[0].Name: must be text'
    """

    def __init__(self, why: str, field: str = "") -> None:
        super().__init__(f"{field}: {why}" if field else why)
        self.why = why
        self.field = field

    def within(self, outer: str) -> InvalidFieldError:
        """Returns the same error as seen from the document that holds this one under a key or an index."""
        separator = "" if not self.field or self.field.startswith("[") else "."
        return InvalidFieldError(self.why, f"{outer}{separator}{self.field}")


def wire(  # noqa: PLR0913 - each option is a keyword of its own
    key: str,
    *,
    default: Any = dataclasses.MISSING,  # noqa: ANN401 - as in dataclasses.field
    default_factory: Any = dataclasses.MISSING,  # noqa: ANN401 - as in dataclasses.field
    optional: bool = False,
    encode: Callable[[Any], object] | None = None,
    decode: Callable[[Any], Any] | None = None,
) -> Any:  # noqa: ANN401 - a field takes the type of its annotation
    """Declares a field of a message.

    Args:
        key: The key in the document.
        default: The value if the document lacks the key; without a default the key is required.
        default_factory: Makes the default, for mutable ones.
        optional: Whether the key is left out of the document while the value equals the default.
        encode: Turns the value into what the document holds; the value itself if left out.
        decode: Turns what the document holds into the value; the value itself if left out.

    Returns:
        The dataclass field.
    """
    metadata = {_KEY: key, _OPTIONAL: optional, _ENCODE: encode, _DECODE: decode}
    return dataclasses.field(default=default, default_factory=default_factory, metadata=metadata)


class Message:
    """Base class of typed messages; subclasses are dataclasses whose fields are declared with `wire`.

    >>> @dataclasses.dataclass(frozen=True, slots=True)
    ... class Claim(Message):
    ...     lease_holder: str = wire("holder")
    ...     zone: str = wire("zone", default="", optional=True)
    >>> Claim("n1").to_document(), Claim.from_document({"holder": "n1", "zone": "z"})
    ({'holder': 'n1'}, Claim(lease_holder='n1', zone='z'))
    """

    __slots__ = ()
    _wire_fields: ClassVar[dict[type, tuple]] = {}
    _wire_readers: ClassVar[dict[type, tuple]] = {}

    @classmethod
    def _fields(cls) -> tuple:
        """(name, key, default, optional, encode, decode) of each field; worked out once for each class."""
        fields = Message._wire_fields.get(cls)
        if fields is None:
            fields = tuple(
                (
                    field.name,
                    field.metadata[_KEY],
                    _default_of(field),
                    field.metadata[_OPTIONAL],
                    field.metadata[_ENCODE],
                    field.metadata[_DECODE],
                )
                for field in dataclasses.fields(cast(Any, cls))
            )
            Message._wire_fields[cls] = fields
        return fields

    @classmethod
    def _readers(cls) -> tuple:
        """(name, key, whether it is required, decode) of each field: what reading needs of them."""
        readers = Message._wire_readers.get(cls)
        if readers is None:
            readers = tuple(
                (name, key, default is dataclasses.MISSING, decode)
                for name, key, default, _, _, decode in cls._fields()
            )
            Message._wire_readers[cls] = readers
        return readers

    @classmethod
    def from_document(cls, document: dict) -> Self:
        """Reads a message; keys that it does not know are passed over.

        Args:
            document: A decoded JSON object.

        Returns:
            The message.

        Raises:
            InvalidMessageError: A required key is missing, or the document is no object.
            InvalidFieldError: A field's reader (`runtime.schema`) refused its value.
        """
        if not isinstance(document, dict):
            raise InvalidMessageError(f"{cls.__name__}: not an object: {type(document).__name__}")
        values = {}
        key = ""
        try:
            for name, key, is_required, decode in cls._readers():  # noqa: B007 - the handler below names the key
                if key in document:
                    value = document[key]
                    values[name] = value if decode is None else decode(value)
                elif is_required:
                    raise MissingFieldError(cls.__name__, key)
        except InvalidFieldError as error:
            raise error.within(key) from None
        return cls(**values)

    def to_document(self) -> dict:
        """Returns the message as a JSON object, its keys in the order of the fields."""
        document = {}
        for name, key, default, is_optional, encode, _ in self._fields():
            value = getattr(self, name)
            if is_optional and value == default:
                continue
            document[key] = value if encode is None else encode(value)
        return document


def _default_of(field: dataclasses.Field) -> object:
    """The default of a field, or dataclasses.MISSING."""
    if field.default_factory is not dataclasses.MISSING:
        return field.default_factory()
    return field.default
