"""The one message of a rpc: a call or its answer."""
from dataclasses import dataclass

import betterproto


@dataclass
class Envelope(betterproto.Message):
    """call names the waiting caller's place in its slab; code is 0 on a call, else a result code.

    >>> Envelope().parse(bytes(Envelope(call=3, verb="ping"))).verb
    'ping'
    """
    call: int = betterproto.uint64_field(1)
    code: int = betterproto.uint32_field(2)
    verb: str = betterproto.string_field(3)
    head: bytes = betterproto.bytes_field(4)
    body: bytes = betterproto.bytes_field(5)
    packed: bool = betterproto.bool_field(6)   # the body is deflated
