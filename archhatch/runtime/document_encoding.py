"""Encoding of documents that are kept in memory."""

from __future__ import annotations

import orjson


def encode_kept(doc: object) -> bytes:
    """A document as JSON, in bytes of just that length.

    What orjson gives keeps the buffer that it was written into: eight times the length of a long text, and 1 KiB at the
    least. That is of no account for a message, but a leader keeps thousands of results.

    >>> encode_kept({"a": [1, 2]})
    b'{"a":[1,2]}'
    """
    return bytes(memoryview(orjson.dumps(doc)))
