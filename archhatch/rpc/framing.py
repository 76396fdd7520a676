"""Frames on a connection between nodes: four bytes of length, four of checksum, then the envelope."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import zlib
from dataclasses import replace

from betterproto import encode_varint

from ..exceptions import ArchhatchError
from .messages import BODY_FIELD, Envelope

_HEADER = struct.Struct(">II")  # length of the envelope, CRC-32 of it
_BODY_TAG = bytes([BODY_FIELD << 3 | 2])
MAX_FRAME = 64 << 20  # bytes: a longer one is an error of the sender, or no frame at all
MIN_DEFLATE_BYTES = 1024  # a shorter body is not worth the processor time
LONG_BODY_BYTES = 64 << 10  # from here on a body is encoded in pieces
PIECE_BYTES = 1 << 20  # of a body that are deflated, or inflated, at a time
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
    return b"".join(pack_pieces(envelope))


def pack_pieces(envelope: Envelope) -> list[bytes]:
    """Encodes an envelope as the pieces of a frame, one behind the other: a long body is not copied once more.

    Raises:
        FrameError: It is longer than the other side would take.
    """
    pieces = _encode(envelope)
    size = checksum = 0
    for piece in pieces:
        size += len(piece)
        checksum = zlib.crc32(piece, checksum)
    if size > MAX_FRAME:
        raise FrameError(f"frame of {size} bytes")
    header = _HEADER.pack(size, checksum)
    return [header + pieces[0]] if len(pieces) == 1 else [header, *pieces]


def _encode(envelope: Envelope) -> list[bytes]:
    """Returns the encoding of an envelope in pieces, one behind the other."""
    if len(envelope.body) >= LONG_BODY_BYTES:
        return _encode_long(envelope)
    return [bytes(_deflated(envelope))]


def _deflated(envelope: Envelope) -> Envelope:
    """Returns an envelope with its body deflated where that makes it shorter."""
    if len(envelope.body) < MIN_DEFLATE_BYTES:
        return envelope
    body = zlib.compress(envelope.body, DEFLATE_LEVEL)
    return replace(envelope, body=body, packed=True) if len(body) < len(envelope.body) else envelope


def _encode_long(envelope: Envelope) -> list[bytes]:
    """Returns the encoding of an envelope with a long body in pieces, so that the body is not copied for it.

    The bytes are those of `bytes(envelope)`: the fields before the body; its tag, length and bytes (wire type 2 of
    protocol buffers); the fields behind it.
    """
    pieces = _deflate(envelope.body)
    is_shorter = sum(map(len, pieces)) < len(envelope.body)
    body = pieces if is_shorter else [envelope.body]
    before = Envelope(call=envelope.call, code=envelope.code, verb=envelope.verb, head=envelope.head)
    behind = Envelope(packed=is_shorter, to=envelope.to, within_ms=envelope.within_ms)
    length = encode_varint(sum(map(len, body)))
    return [bytes(before), _BODY_TAG + length, *body, bytes(behind)]


def _deflate(body: bytes) -> list[bytes]:
    """Returns a body deflated, in pieces: what deflates all of it at once reserves more than twice its length."""
    compressor = zlib.compressobj(DEFLATE_LEVEL)
    view = memoryview(body)
    pieces = [compressor.compress(view[start : start + PIECE_BYTES]) for start in range(0, len(view), PIECE_BYTES)]
    pieces.append(compressor.flush())
    return pieces


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
        del encoded  # a long one does not stand beside its inflated body
        if envelope.packed:
            deflated, envelope.body = envelope.body, b""
            inflated = _inflate(deflated)
            del deflated  # a long one does not stand beside the two that follow
            envelope.body = bytes(inflated)
            envelope.packed = False
    except FrameError:
        raise
    except Exception as error:
        # the parser raises whatever the damaged bytes lead it to
        raise FrameError(f"no envelope: {error!r}") from error
    return envelope


def _inflate(deflated: bytes) -> bytearray:
    """Returns a deflated body as it was, if that is no longer than a frame may be."""
    decompressor = zlib.decompressobj()
    view = memoryview(deflated)
    inflated = bytearray()
    for start in range(0, len(view), PIECE_BYTES):
        inflated += decompressor.decompress(view[start : start + PIECE_BYTES], MAX_FRAME - len(inflated) + 1)
        if len(inflated) > MAX_FRAME:
            raise FrameError("deflated body is too long")
    if not decompressor.eof:
        raise FrameError("deflated body is cut")
    return inflated


def set_socket_options(writer: asyncio.StreamWriter) -> None:
    """Has small frames sent at once, and a dead path noticed soon."""
    connected_socket = writer.get_extra_info("socket")
    if connected_socket is None:
        return
    with contextlib.suppress(OSError):
        connected_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connected_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
