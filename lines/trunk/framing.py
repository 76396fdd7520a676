"""Frames on a trunk: four bytes of length, four of checksum, then the envelope."""
from __future__ import annotations

import asyncio
import socket
import struct
import zlib

from .messages import Envelope

_HEAD = struct.Struct(">II")
MAX_FRAME = 64 << 20


class FrameFault(Exception):
    """Bytes that are no frame: the connection ends, its neighbours do not notice."""


def pack(env: Envelope) -> bytes:
    """An envelope as a frame.

    >>> len(pack(Envelope(call=1)))
    10
    """
    raw = bytes(env)
    return _HEAD.pack(len(raw), zlib.crc32(raw)) + raw


async def read_frame(rd: asyncio.StreamReader) -> Envelope:
    """The next envelope from a stream; FrameFault if it is damaged."""
    size, crc = _HEAD.unpack(await rd.readexactly(8))
    if size > MAX_FRAME:
        raise FrameFault(f"frame of {size} bytes")
    raw = await rd.readexactly(size)
    if zlib.crc32(raw) != crc:
        raise FrameFault("checksum differs")
    try:
        return Envelope().parse(raw)
    except Exception as e:
        raise FrameFault(f"no envelope: {e!r}") from e


def tune(wr: asyncio.StreamWriter, user_ms: int = 1500) -> None:
    """Small frames at once, and a dead path noticed soon."""
    sock = wr.get_extra_info("socket")
    if sock is None:
        return
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_ms)
    except OSError:
        pass
