"""One TCP connection to a node, with the calls that wait on it. It ends once, and all its calls with it."""

from __future__ import annotations

import asyncio

from .framing import FrameError, read_frame
from .messages import Envelope
from .pending import PendingCalls


class ChannelClosedError(Exception):
    """The connection ended while a call waited on it."""


class Channel:
    """Reads the answers of one TCP connection and gives each to the call that waits for it here.

    >>> # channel = Channel(reader, writer, counters); key = channel.put(future)
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, counters):
        self.counters = counters
        self.heard = float("-inf")  # when the last frame came, by the loop's clock
        self._writer = writer
        self._pending = PendingCalls()
        self._ended = False
        self._task = asyncio.get_running_loop().create_task(self._read(reader))

    @property
    def open(self) -> bool:
        """Whether a call may still be sent here."""
        return not self._ended and not self._writer.is_closing()

    def put(self, future: asyncio.Future) -> int:
        """Let a call wait for its answer; its key."""
        return self._pending.put(future)

    def forget(self, key: int) -> None:
        """The call waits no more: what comes for it finds nobody."""
        self._pending.take(key)

    def write(self, frame: bytes) -> None:
        """Send a frame."""
        self._writer.write(frame)

    def end(self) -> None:
        """Close the connection and tell all who wait on it; nothing that is still read completes a call."""
        if self._ended:
            return
        self._ended = True
        self._writer.transport.abort()
        self._task.cancel()
        for future in self._pending.drain():
            if not future.done():
                future.set_exception(ChannelClosedError())

    async def _read(self, reader: asyncio.StreamReader) -> None:
        try:
            while not self._ended:
                self._answer(await read_frame(reader))
        except FrameError:
            self.counters.add("rpc.bad_answer")
        except (OSError, EOFError):
            pass
        finally:
            self.end()

    def _answer(self, envelope: Envelope) -> None:
        self.heard = asyncio.get_running_loop().time()
        future = self._pending.take(envelope.call)
        if future is None or future.done():
            self.counters.add("rpc.late_answer")  # nobody waits for it any more, or it came twice
            return
        future.set_result(envelope)
