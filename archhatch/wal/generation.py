"""One file of a write-ahead log, open for appending."""

from __future__ import annotations

import errno
from collections.abc import Iterable, Iterator

from .errors import LogSetBackError, LogSyncError, LogWriteError
from .records import FrameKind, Tally, record_head
from .scan import PIECE, FileSource, frames

PROBE_BYTES = 1 << 16  # written behind the end, and cut off again, to see whether the disk takes anything


class Generation:
    """A file and the length up to which it is synced. All methods block; one thread at a time.

    `lost` says that it is given up: it still holds what was acknowledged, but takes nothing more.
    """

    def __init__(self, files, path: str, number: int, handle, size: int = 0):
        self.files, self.path, self.number, self.handle, self.size = files, path, number, handle, size
        self.lost = False
        self.closed = False

    def append(self, raws: Iterable[bytes]) -> None:
        """Add records and sync them; after an error nothing of them counts."""
        try:
            end = self._write(_framed(raws), self.size)
        except OSError as fault:
            self._set_back(fault)
            raise LogWriteError(f"{self.path}: {fault}") from fault
        try:
            self.files.datasync(self.handle)
        except OSError as fault:
            self._give_up()
            raise LogSyncError(f"{self.path}: {fault}") from fault
        self.size = end

    def fill(self, raws: Iterable[bytes]) -> Tally:
        """Write the records of a rewrite and sync them; they do not count before close_off."""
        tally = Tally()
        self.size = self._write(_framed(raws, tally), 0)
        self.files.sync(self.handle)
        return tally

    def close_off(self, tally: Tally) -> None:
        """Write the closing frame and sync it: from now on this generation is complete."""
        self.size = self._write([tally.closing()], self.size)
        self.files.sync(self.handle)

    def renew(self, start: int, end: int) -> None:
        """Write some bytes again as they are, so that the next sync covers them whatever became of an earlier one."""
        source = FileSource(self.files, self.handle, end)
        while start < end and (piece := source.read(start, PIECE)):
            start = self._write([piece], start)

    def copy_from(self, source) -> None:
        """Write all of another file here, and sync it."""
        at = 0
        while at < source.size and (piece := source.read(at, PIECE)):
            at = self._write([piece], at)
        self.files.sync(self.handle)

    def probe(self) -> None:
        """Find out whether the disk takes anything, and leave no trace; a LogError if it does not."""
        try:
            self._write([bytes(PROBE_BYTES)], self.size)
        except OSError as fault:
            self._set_back(fault)
            raise LogWriteError(f"{self.path}: {fault}") from fault
        self._set_back(None)

    def records(self) -> Iterator[bytes]:
        """The records up to the synced length, read in pieces."""
        source = FileSource(self.files, self.handle, self.size)
        return (frame.body for frame in frames(source, self.size) if frame.kind is FrameKind.RECORD)

    def close(self) -> None:
        """Give the handle back; a fault in this changes nothing, since what counts was synced."""
        if self.closed:
            return
        self.closed = True
        try:
            self.files.close(self.handle)
        except OSError:
            pass  # the handle is gone all the same

    def _write(self, chunks: Iterable[bytes], at: int) -> int:
        """Write in pieces of bounded size; where the last one ends."""
        piece = bytearray()
        for chunk in chunks:
            piece += chunk
            if len(piece) >= PIECE:
                at = self._write_piece(piece, at)
                piece = bytearray()
        return self._write_piece(piece, at)

    def _write_piece(self, piece: bytearray, at: int) -> int:
        with memoryview(piece) as view:
            done = 0
            while done < len(view):
                with view[done:] as rest:
                    taken = self.files.pwrite(self.handle, rest, at + done)
                if taken <= 0:
                    raise OSError(errno.EIO, "the disk took no byte")
                done += taken
        return at + done

    def _set_back(self, fault: OSError | None) -> None:
        try:
            self.files.truncate(self.handle, self.size)
        except OSError as second:
            self.lost = True
            raise LogSetBackError(f"{self.path}: {second}") from fault

    def _give_up(self) -> None:
        """After a failed sync: cut what is not sure, so that no later start of the process takes it for synced."""
        self.lost = True
        try:
            self.files.truncate(self.handle, self.size)
        except OSError:
            pass  # it is given up either way


def _framed(raws: Iterable[bytes], tally: Tally | None = None) -> Iterator[bytes]:
    for raw in raws:
        head = record_head(raw)
        if tally is not None:
            tally.add(head)
        yield head
        yield raw
