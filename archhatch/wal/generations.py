"""The files of one log: which of them counts, and the switch from one to the next.

Generation 0 is the file NAME, generation N the file NAME.N; numbers only rise. At a start the newest complete one
counts.
"""

from __future__ import annotations

import os
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from .errors import LogError, LogRewriteError
from .files import LogFiles
from .generation import Generation
from .records import CLOSING_FRAME_BYTES, LogRecord
from .scan import ByteSource, FileSource, ScanResult, has_valid_frame_from, scan

DAMAGED_SUFFIX = ".damaged"  # of the copy that is kept of a damaged file
OLD_REWRITE_SUFFIX = ".new"  # of an unfinished rewrite of earlier releases
REWRITTEN_TAIL_BYTES = 4 << 20  # written again at a start: longer than the write of one sync usually is


def generation_number(name: str, base: str) -> int | None:
    """Returns which generation of a log a file name stands for, or None if it is another file.

    >>> [generation_number(name, "core") for name in ("core", "core.7", "core.07", "core.new", "store")]
    [0, 7, None, None, None]
    """
    if name == base:
        return 0
    digits = name.removeprefix(base + ".")
    if digits == name or not (digits.isascii() and digits.isdigit()) or digits.startswith("0"):
        return None
    return int(digits)


@dataclass(frozen=True, slots=True)
class OpenResult:
    """What opening a log found.

    Attributes:
        truncated_bytes: Bytes that were cut off behind the last valid record.
        is_damaged: Whether valid records followed the invalid bytes.
    """

    truncated_bytes: int = 0
    is_damaged: bool = False


class Generations:
    """Opens, appends to and rewrites the files of one log. All methods block; one thread at a time.

    Attributes:
        files: The file calls.
        folder: The directory of the log.
        name: The name of its generation 0.
        unremoved_paths: Files that could not be removed yet.
    """

    def __init__(self, files: LogFiles, folder: str, name: str) -> None:
        self.files = files
        self.folder = folder
        self.name = name
        self.unremoved_paths: set[str] = set()
        self._current: Generation | None = None
        self._newest_number = 0  # the highest that was seen or used

    def path_of(self, number: int) -> str:
        """Returns the path of a generation."""
        return os.path.join(self.folder, self.name if number == 0 else f"{self.name}.{number}")

    @property
    def damaged_path(self) -> str:
        """The path of the copy that is kept of a damaged file."""
        return self.path_of(0) + DAMAGED_SUFFIX

    @property
    def current(self) -> Generation:
        """The generation that counts.

        Raises:
            LogError: The log has not been opened.
        """
        if self._current is None:
            raise LogError(f"{self.path_of(0)}: not open")
        return self._current

    @property
    def current_path(self) -> str:
        """The path of the generation that counts; that of generation 0 before the log is open."""
        return self.path_of(0) if self._current is None else self._current.path

    @property
    def current_size(self) -> int:
        """The synced bytes of the generation that counts; 0 before the log is open."""
        return 0 if self._current is None else self._current.size

    # -- opening

    def open(self) -> OpenResult:
        """Finds the generation that counts, syncs it, and removes the others.

        Returns:
            What was found.

        Raises:
            LogError: The disk failed.
        """
        try:
            return self._open()
        except OSError as error:
            self.close()
            raise LogError(f"{self.path_of(0)}: {error}") from error
        except LogError:
            self.close()
            raise

    def _open(self) -> OpenResult:
        self._make_folder()
        found = (generation_number(name, self.name) for name in self.files.listdir(self.folder))
        numbers = sorted((number for number in found if number is not None), reverse=True)
        self._newest_number = max(numbers, default=0)
        if not numbers:
            self._current = self._create(self.path_of(0), 0)
            self._sync_current()
            return OpenResult()
        result = self._open_newest_complete(numbers)
        if result is None:
            opened = self._salvage(numbers[-1])
        else:
            opened = self._truncate_invalid_tail(result, is_only_file=len(numbers) == 1)
        self._remove_others(numbers)
        return opened

    def _make_folder(self) -> None:
        if self.files.exists(self.folder):
            return
        self.files.makedirs(self.folder)
        self.files.sync_folder(os.path.dirname(os.path.abspath(self.folder)))

    def _create(self, path: str, number: int) -> Generation:
        return Generation(self.files, path, number, self.files.open(path, create=True))

    def _open_newest_complete(self, numbers: list[int]) -> ScanResult | None:
        """Opens the newest generation that is complete; generation 0 always is."""
        for number in numbers:
            result = self._open_generation(number)
            if number == 0 or result.closing_offset is not None:
                return result
            self.current.close()
        return None

    def _open_generation(self, number: int) -> ScanResult:
        path = self.path_of(number)
        handle = self.files.open(path, create=False)
        self._current = Generation(self.files, path, number, handle)
        size = self.files.size(handle)
        result = scan(FileSource(self.files, handle, size))
        self._current.size = result.end
        return result

    def _truncate_invalid_tail(self, result: ScanResult, is_only_file: bool) -> OpenResult:
        """Truncates what follows the valid records, and syncs: what was read may never have reached the disk."""
        current = self.current
        file_size = self.files.size(current.handle)
        source = FileSource(self.files, current.handle, file_size)
        is_damaged = result.end < file_size and has_valid_frame_from(source, result.end + 1)
        if is_damaged:
            self._keep_damaged_copy(source)
        if result.end < file_size:
            self.files.truncate(current.handle, result.end)
        # a sync of the previous process may have failed, and would seem to succeed now: its pages are written again
        if not is_only_file and result.closing_offset is not None:
            current.rewrite_range(result.closing_offset, result.closing_offset + CLOSING_FRAME_BYTES)
        current.rewrite_range(max(0, result.end - REWRITTEN_TAIL_BYTES), result.end)
        self._sync_current()
        return OpenResult(file_size - result.end, is_damaged)

    def _sync_current(self) -> None:
        self.files.sync(self.current.handle)
        self.files.sync_folder(self.folder)

    def _salvage(self, number: int) -> OpenResult:
        """Rewrites what is readable of the oldest generation.

        No generation is complete, which a loss of power cannot cause: a file was damaged otherwise.
        """
        result = self._open_generation(number)
        file_size = self.files.size(self.current.handle)
        self._keep_damaged_copy(FileSource(self.files, self.current.handle, file_size))
        self.rewrite(self.current.records())
        return OpenResult(file_size - result.end, is_damaged=True)

    def _keep_damaged_copy(self, source: ByteSource) -> None:
        """Copies a damaged file for examination, if the disk has room for that."""
        copy = None
        try:
            copy = self._create(self.damaged_path, 0)
            copy.copy_from(source)
        except OSError:
            self._remove(self.damaged_path)
        finally:
            if copy is not None:
                copy.close()

    def _remove_others(self, numbers: list[int]) -> None:
        """Removes the files that do not count.

        It does no harm if they return after a loss of power: they are older, or incomplete.
        """
        paths = [self.path_of(number) for number in numbers]
        paths.append(self.path_of(0) + OLD_REWRITE_SUFFIX)
        for path in paths:
            if path != self.current.path:
                self._remove(path)

    # -- appending and rewriting

    def append(self, records: Iterable[LogRecord]) -> None:
        """Appends records to the generation that counts, synced; see `Generation.append`."""
        self.current.append(records)

    def probe(self) -> None:
        """Finds out whether the disk takes writes; see `Generation.probe`."""
        self.current.probe()

    def rewrite(self, records: Iterable[LogRecord]) -> None:
        """Writes a new generation of these records and switches to it; after an error the previous one counts.

        Once a closing frame may be on the disk, the previous generation may take appends only if the newer file is
        durably removed: else the newer one would count at the next start, without those appends.

        Args:
            records: What the new generation holds.

        Raises:
            LogRewriteError: The disk failed.
        """
        for path in list(self.unremoved_paths):
            self._remove(path)
        self._newest_number += 1
        path = self.path_of(self._newest_number)
        new_generation = None
        is_closing = False
        try:
            new_generation = self._create(path, self._newest_number)
            digest = new_generation.write_snapshot(records)
            is_closing = True
            new_generation.write_closing_frame(digest)
            self.files.sync_folder(self.folder)
        except BaseException as error:  # the records are the owner's iterator, which may raise anything
            self._discard_unfinished(path, new_generation, is_closing)
            if isinstance(error, OSError):
                raise LogRewriteError(f"{path}: {error}") from error
            raise
        previous = self.current
        self._current = new_generation
        previous.close()
        self._remove(previous.path)

    def _discard_unfinished(self, path: str, generation: Generation | None, is_closing: bool) -> None:
        """Removes the file of a failed rewrite; abandons the current generation if that is not durable but must be."""
        if generation is not None:
            generation.close()
        is_removed = self._remove(path)
        if not is_closing:
            return
        try:
            self.files.sync_folder(self.folder)
        except OSError:
            is_removed = False
        if not is_removed:
            self.current.is_abandoned = True

    def _remove(self, path: str) -> bool:
        """Removes a file if it exists; returns False if that failed and is to be retried later."""
        try:
            if self.files.exists(path):
                self.files.remove(path)
        except OSError:
            self.unremoved_paths.add(path)
            return False
        self.unremoved_paths.discard(path)
        return True

    def records(self) -> Iterator[bytes]:
        """Returns the records of the generation that counts."""
        return self.current.records()

    def close(self) -> None:
        """Closes the file of the generation that counts."""
        if self._current is not None:
            self._current.close()
