"""What an HTTP server takes from a client."""

from __future__ import annotations

from dataclasses import dataclass


PARSER_HEADER_BYTES = 1 << 20  # of one line, for the parser, which is made before the limits are known


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """The limits of a server.

    Attributes:
        max_header_bytes: Of a request's target and header fields together, PARSER_HEADER_BYTES at most.
        max_body_bytes: Of a request's body.
        header_timeout_s: How long a header section may take to arrive.
        idle_timeout_s: How long a connection may be without a request.
    """

    max_header_bytes: int = 64 << 10
    max_body_bytes: int = 32 << 20
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 15.0
