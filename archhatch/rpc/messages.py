"""The one message between nodes: a call or its answer."""

from dataclasses import dataclass

import betterproto

BODY_FIELD = 5  # the number of the field of the body


@dataclass
class Envelope(betterproto.Message):
    """A call (code is 0) or its answer (code is a result code); an answer repeats the call's key and nothing else.

    >>> Envelope().parse(bytes(Envelope(call=3, verb="ping", to="node-1"))).to
    'node-1'

    Attributes:
        call: The caller's key of this call.
        code: The result code of an answer.
        verb: What is called.
        head: The document, as JSON.
        body: Bytes beside the document.
        packed: Whether the body is deflated.
        to: The node id that the caller means; empty for whichever node is there.
        within_ms: How long the caller waits, in milliseconds; 0 if it does not say.
    """

    call: int = betterproto.uint64_field(1)
    code: int = betterproto.uint32_field(2)
    verb: str = betterproto.string_field(3)
    head: bytes = betterproto.bytes_field(4)
    body: bytes = betterproto.bytes_field(BODY_FIELD)
    packed: bool = betterproto.bool_field(6)
    to: str = betterproto.string_field(7)
    within_ms: int = betterproto.uint32_field(8)
