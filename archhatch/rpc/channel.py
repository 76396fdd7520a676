"""One TCP connection to a node, with the calls that wait on it. It closes once, and all its calls fail with it."""

from __future__ import annotations

import asyncio

from ..exceptions import ArchhatchError
from ..runtime import Counters
from .framing import FrameError, read_frame
from .messages import Envelope
from .pending import PendingCalls


class ChannelClosedError(ArchhatchError):
    """The connection closed while a call waited on it."""


class Channel:
    """Reads the answers of one TCP connection and gives each to the call that waits for it.

    Attributes:
        counters: Counts answers that cannot be used.
        last_frame_at: When the last frame arrived, on the event loop's clock, in seconds.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, counters: Counters) -> None:
        self.counters = counters
        self.last_frame_at = float("-inf")
        self._writer = writer
        self._pending: PendingCalls[asyncio.Future] = PendingCalls()
        self._is_closed = False
        self._task = asyncio.get_running_loop().create_task(self._read_answers(reader))

    @property
    def is_open(self) -> bool:
        """Whether a call may still be sent here."""
        return not self._is_closed and not self._writer.is_closing()

    def register(self, future: asyncio.Future) -> int:
        """Adds a call that waits for its answer, and returns its key."""
        return self._pending.put(future)

    def unregister(self, key: int) -> None:
        """Removes a call that does not wait any more: an answer to it is dropped."""
        self._pending.take(key)

    def write(self, frame: list[bytes]) -> None:
        """Sends the pieces of a frame; each is let go as it is taken."""
        frame.reverse()
        while frame:
            self._writer.write(frame.pop())

    def close(self) -> None:
        """Closes the connection and fails the calls that wait on it; what is still read completes no call."""
        if self._is_closed:
            return
        self._is_closed = True
        self._writer.transport.abort()
        self._task.cancel()
        for future in self._pending.drain():
            if not future.done():
                future.set_exception(ChannelClosedError())

    async def _read_answers(self, reader: asyncio.StreamReader) -> None:
        try:
            while not self._is_closed:
                self._dispatch(await read_frame(reader))
        except FrameError:
            self.counters.add("rpc.bad_answer")
        except (OSError, EOFError):
            pass  # the other side closed: its callers learn it from close()
        finally:
            self.close()

    def _dispatch(self, envelope: Envelope) -> None:
        """Gives an answer to the call that it is for."""
        self.last_frame_at = asyncio.get_running_loop().time()
        future = self._pending.take(envelope.call)
        if future is None or future.done():
            self.counters.add("rpc.late_answer")  # its caller does not wait any more, or it came twice
            return
        future.set_result(envelope)
