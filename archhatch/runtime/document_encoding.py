"""Encoding of documents whose bytes are kept in memory."""

from __future__ import annotations

import orjson


def encode_kept(document: object) -> bytes:
    """Returns a document as JSON, in a buffer of exactly the needed length.

    The bytes that orjson returns keep the buffer that they were written into: eight times the length of a long text,
    and at least 1 KiB. That does not matter for a message that is sent and dropped, but a leader keeps thousands of
    results.

    >>> encode_kept({"a": [1, 2]})
    b'{"a":[1,2]}'
    """
    return bytes(memoryview(orjson.dumps(document)))
