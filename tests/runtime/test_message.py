"""Typed messages: the key of each field, defaults, and documents that cannot be read."""

from dataclasses import dataclass, field

import pytest

from archhatch.exceptions import ArchhatchError
from archhatch.runtime.message import InvalidMessageError, Message, wire


@dataclass(frozen=True, slots=True)
class Claim(Message):
    lease_holder: str = wire("holder")
    term: int = wire("term", default=0)
    zones: list = wire("zones", default_factory=list, optional=True)
    model: str = wire("m", default="", optional=True, encode=str.upper, decode=str.lower)


CASES = [
    (Claim("a"), {"holder": "a", "term": 0}),
    (Claim("a", 2, ["z"], "x"), {"holder": "a", "term": 2, "zones": ["z"], "m": "X"}),
]


@pytest.mark.parametrize("message, document", CASES)
def test_a_message_is_written_with_its_keys_in_order_and_read_back(message, document):
    assert list(message.to_document().items()) == list(document.items())
    assert Claim.from_document(document) == message


def test_unknown_keys_are_passed_over():
    assert Claim.from_document({"holder": "a", "later": 1}) == Claim("a")


def test_defaults_are_not_shared():
    first, second = Claim.from_document({"holder": "a"}), Claim.from_document({"holder": "b"})
    first.zones.append("z")
    assert second.zones == [] and Claim("c").to_document() == {"holder": "c", "term": 0}


@pytest.mark.parametrize("document, words", [({}, "Claim: holder: required"), ([], "not an object"), (None, "object")])
def test_a_document_that_cannot_be_read(document, words):
    with pytest.raises(InvalidMessageError, match=words) as caught:
        Claim.from_document(document)
    assert isinstance(caught.value, ArchhatchError) and isinstance(caught.value, ValueError)


def test_fields_without_a_key_are_refused():
    @dataclass
    class Bare(Message):
        name: str = field(default="")

    with pytest.raises(KeyError):
        Bare().to_document()
