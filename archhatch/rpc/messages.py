"""The one message between nodes: a call or its answer."""

from dataclasses import dataclass

import betterproto


@dataclass
class Envelope(betterproto.Message):
    """A call (code is 0) or its answer (code is a result code); an answer repeats the call's number and nothing else.

    >>> Envelope().parse(bytes(Envelope(call=3, verb="ping", to="node-1"))).to
    'node-1'
    """

    call: int = betterproto.uint64_field(1)  # the caller's key of this call
    code: int = betterproto.uint32_field(2)
    verb: str = betterproto.string_field(3)
    head: bytes = betterproto.bytes_field(4)
    body: bytes = betterproto.bytes_field(5)
    packed: bool = betterproto.bool_field(6)  # the body is deflated
    to: str = betterproto.string_field(7)  # the node id that the caller means; empty: whoever is there
    within_ms: int = betterproto.uint32_field(8)  # how long the caller waits; 0: not said
