"""A request's body that is written a piece at a time, so that no part of it stands in memory twice."""

from __future__ import annotations

import asyncio
import contextlib

from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import StreamWriter
from aiohttp.payload import Payload

PIECE_BYTES = 256 << 10


class LargeBody(Payload):
    """Bytes that are written as fast as the other side takes them, also when its answer came before their end."""

    _value: bytes

    def __init__(self, value: bytes) -> None:
        super().__init__(value)
        self._size = len(value)
        self._writer: StreamWriter | None = None  # while it is being written
        self._is_written = asyncio.Event()

    def decode(self, encoding: str = "utf-8", errors: str = "strict") -> str:
        """Returns the body as text."""
        return self._value.decode(encoding, errors)

    async def wait_written(self, timeout_s: float) -> None:
        """Waits until all of it is written, or the time is over."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._is_written.wait(), timeout_s)

    def release(self) -> None:
        """Lets go of the bytes; a connection on which they are still being written is closed.

        aiohttp's objects of a request refer to each other, and are freed late.
        """
        self._value = b""
        if self._writer is not None and self._writer.transport is not None:
            self._writer.transport.abort()

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Writes all of it."""
        await self.write_with_length(writer, None)

    async def write_with_length(self, writer: AbstractStreamWriter, content_length: int | None) -> None:
        """Writes it, or so much of its beginning."""
        assert isinstance(writer, StreamWriter)  # aiohttp's only one
        self._writer = writer
        self._is_written.clear()
        view = memoryview(self._value)[:content_length]
        try:
            for start in range(0, len(view), PIECE_BYTES):
                await self._write_piece(writer, view[start : start + PIECE_BYTES])
        finally:
            self._writer = None
            self._is_written.set()

    async def _write_piece(self, writer: StreamWriter, piece: memoryview) -> None:
        """Writes a piece; aiohttp cancels the writing when the answer is whole, but its rest is due all the same."""
        try:
            await writer.write(piece)
        except asyncio.CancelledError:
            if writer.transport is None or writer.transport.is_closing():
                raise
            asyncio.current_task().uncancel()  # type: ignore[union-attr] # a task runs this
