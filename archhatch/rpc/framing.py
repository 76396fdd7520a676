"""Frames on a connection between nodes: four bytes of length, four of checksum, then the envelope."""

from __future__ import annotations

import asyncio
import socket
import struct
import zlib
from dataclasses import replace

from .messages import Envelope

_HEAD = struct.Struct(">II")
MAX_FRAME = 64 << 20
WORTH = 1024  # bytes of a body from which deflating it is tried


class FrameError(Exception):
    """Bytes that are no frame: the connection ends, its neighbours do not notice."""


def pack(env: Envelope) -> bytes:
    """An envelope as a frame; FrameError if it is longer than the other side would take.

    >>> len(pack(Envelope(call=1)))
    10
    """
    if len(env.body) >= WORTH:
        small = zlib.compress(env.body, 1)
        if len(small) < len(env.body):
            env = replace(env, body=small, packed=True)
    raw = bytes(env)
    if len(raw) > MAX_FRAME:
        raise FrameError(f"frame of {len(raw)} bytes")
    return _HEAD.pack(len(raw), zlib.crc32(raw)) + raw


async def read_frame(rd: asyncio.StreamReader) -> Envelope:
    """The next envelope from a stream; FrameError if it is damaged."""
    size, crc = _HEAD.unpack(await rd.readexactly(8))
    if size > MAX_FRAME:
        raise FrameError(f"frame of {size} bytes")
    raw = await rd.readexactly(size)
    if zlib.crc32(raw) != crc:
        raise FrameError("checksum differs")
    try:
        env = Envelope().parse(raw)
        if env.packed:
            env.body, env.packed = _inflate(env.body), False
        return env
    except FrameError:
        raise
    except Exception as e:
        raise FrameError(f"no envelope: {e!r}") from e


def _inflate(raw: bytes) -> bytes:
    """A deflated body, no longer than a frame may be."""
    job = zlib.decompressobj()
    out = job.decompress(raw, MAX_FRAME)
    if job.unconsumed_tail or not job.eof:
        raise FrameError("deflated body is cut or too long")
    return out


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
