"""Frames on a connection between nodes: four bytes of length, four of checksum, then the envelope."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import zlib
from dataclasses import replace

from ..exceptions import ArchhatchError
from .messages import Envelope

_HEADER = struct.Struct(">II")  # length of the envelope, CRC-32 of it
MAX_FRAME = 64 << 20  # bytes: a longer one is an error of the sender, or no frame at all
MIN_DEFLATE_BYTES = 1024  # a shorter body is not worth the processor time
DEFLATE_LEVEL = 1  # the fastest
USER_TIMEOUT_MS = 1500  # unacknowledged bytes end a connection after this time: the path is dead
STREAM_LIMIT_BYTES = 1 << 20  # read ahead of a connection before the sender is slowed down


class FrameError(ArchhatchError):
    """Bytes that are no frame: their connection is closed, others are not affected."""


def pack(envelope: Envelope) -> bytes:
    """Encodes an envelope as a frame, its body deflated where that makes it shorter.

    >>> len(pack(Envelope(call=1)))
    10

    Raises:
        FrameError: It is longer than the other side would take.
    """
    if len(envelope.body) >= MIN_DEFLATE_BYTES:
        deflated = zlib.compress(envelope.body, DEFLATE_LEVEL)
        if len(deflated) < len(envelope.body):
            envelope = replace(envelope, body=deflated, packed=True)
    encoded = bytes(envelope)
    if len(encoded) > MAX_FRAME:
        raise FrameError(f"frame of {len(encoded)} bytes")
    return _HEADER.pack(len(encoded), zlib.crc32(encoded)) + encoded


async def read_frame(reader: asyncio.StreamReader) -> Envelope:
    """Reads the next envelope from a stream.

    Raises:
        FrameError: The bytes are no frame.
        EOFError: The stream ended.
    """
    size, checksum = _HEADER.unpack(await reader.readexactly(_HEADER.size))
    if size > MAX_FRAME:
        raise FrameError(f"frame of {size} bytes")
    encoded = await reader.readexactly(size)
    if zlib.crc32(encoded) != checksum:
        raise FrameError("checksum differs")
    try:
        envelope = Envelope().parse(encoded)
        if envelope.packed:
            envelope.body = _inflate(envelope.body)
            envelope.packed = False
    except FrameError:
        raise
    except Exception as error:
        # the parser raises whatever the damaged bytes lead it to
        raise FrameError(f"no envelope: {error!r}") from error
    return envelope


def _inflate(deflated: bytes) -> bytes:
    """Returns a deflated body as it was, if that is no longer than a frame may be."""
    decompressor = zlib.decompressobj()
    body = decompressor.decompress(deflated, MAX_FRAME)
    if decompressor.unconsumed_tail or not decompressor.eof:
        raise FrameError("deflated body is cut or too long")
    return body


def set_socket_options(writer: asyncio.StreamWriter) -> None:
    """Has small frames sent at once, and a dead path noticed soon."""
    connected_socket = writer.get_extra_info("socket")
    if connected_socket is None:
        return
    with contextlib.suppress(OSError):
        connected_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connected_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
