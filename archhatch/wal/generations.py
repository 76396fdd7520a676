"""The files of one log: which of them counts, and the way from one to the next.

Generation 0 is the file NAME, generation N the file NAME.N; numbers only rise. At a start the newest complete one
counts.
"""

from __future__ import annotations

import os
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from .errors import LogError, LogRewriteError
from .generation import Generation
from .records import CLOSING_BYTES
from .scan import FileSource, Scan, good_behind, scan

DAMAGED = ".damaged"  # what a damaged file is copied to
RENEWED_BYTES = 4 << 20  # at the end of the file, written again at a start: longer than a write of one sync usually is
OLD_REWRITE = ".new"  # what earlier releases called an unfinished rewrite


def generation_number(name: str, base: str) -> int | None:
    """Which generation of a log a file name stands for; None if it is another file.

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
class Opened:
    """What a start found: bytes cut behind the last good record, and whether good ones stood behind damage."""

    cut: int = 0
    damaged: bool = False


class Generations:
    """Opens, appends, rewrites. All methods block; one thread at a time."""

    def __init__(self, files, folder: str, name: str):
        self.files, self.folder, self.name = files, folder, name
        self.current: Generation | None = None
        self.leftovers: set[str] = set()  # files that could not be removed yet
        self._newest = 0  # the highest number that was seen or used

    def path_of(self, number: int) -> str:
        """Where a generation lies."""
        return os.path.join(self.folder, self.name if number == 0 else f"{self.name}.{number}")

    @property
    def damaged_path(self) -> str:
        """What a damaged file is copied to."""
        return self.path_of(0) + DAMAGED

    # -- at the start

    def open(self) -> Opened:
        """Find the generation that counts, make sure that the disk has it, and remove the others."""
        try:
            return self._open()
        except OSError as fault:
            self.close()
            raise LogError(f"{self.path_of(0)}: {fault}") from fault
        except LogError:
            self.close()
            raise

    def _open(self) -> Opened:
        self._make_folder()
        found = (generation_number(name, self.name) for name in self.files.listdir(self.folder))
        numbers = sorted((number for number in found if number is not None), reverse=True)
        self._newest = max(numbers, default=0)
        if not numbers:
            path = self.path_of(0)
            self.current = Generation(self.files, path, 0, self.files.open(path, create=True))
            self._secure()
            return Opened()
        result = self._choose(numbers)
        opened = self._salvage(numbers[-1]) if result is None else self._settle(result, alone=len(numbers) == 1)
        self._remove_others(numbers)
        return opened

    def _make_folder(self) -> None:
        if self.files.exists(self.folder):
            return
        self.files.makedirs(self.folder)
        self.files.sync_folder(os.path.dirname(os.path.abspath(self.folder)))

    def _choose(self, numbers: list[int]) -> Scan | None:
        """Open the newest generation that is complete; one of number 0 always is."""
        for number in numbers:
            result = self._open_one(number)
            if number == 0 or result.closing_at is not None:
                return result
            self.current.close()
        return None

    def _open_one(self, number: int) -> Scan:
        path = self.path_of(number)
        handle = self.files.open(path, create=False)
        self.current = Generation(self.files, path, number, handle)
        size = self.files.size(handle)
        result = scan(FileSource(self.files, handle, size))
        self.current.size = result.end
        return result

    def _settle(self, result: Scan, alone: bool) -> Opened:
        """Cut what stands behind the good records, and sync: what was read may never have reached the disk."""
        current = self.current
        whole = self.files.size(current.handle)
        source = FileSource(self.files, current.handle, whole)
        damaged = result.end < whole and good_behind(source, result.end + 1)
        if damaged:
            self._set_aside(source)
        if result.end < whole:
            self.files.truncate(current.handle, result.end)
        # a sync of the last life may have failed, and would seem to go through now: its pages are written again
        if not alone and result.closing_at is not None:
            current.renew(result.closing_at, result.closing_at + CLOSING_BYTES)
        current.renew(max(0, result.end - RENEWED_BYTES), result.end)
        self._secure()
        return Opened(whole - result.end, damaged)

    def _secure(self) -> None:
        self.files.sync(self.current.handle)
        self.files.sync_folder(self.folder)

    def _salvage(self, number: int) -> Opened:
        """No generation is complete, which no loss of power leaves behind: take what is readable of the oldest one."""
        result = self._open_one(number)
        whole = self.files.size(self.current.handle)
        self._set_aside(FileSource(self.files, self.current.handle, whole))
        self.rewrite(self.current.records())
        return Opened(whole - result.end, damaged=True)

    def _set_aside(self, source: FileSource) -> None:
        """Copy a damaged file, if the disk has room for that."""
        path, copy = self.damaged_path, None
        try:
            copy = Generation(self.files, path, 0, self.files.open(path, create=True))
            copy.copy_from(source)
        except OSError:
            self._remove(path)
        finally:
            if copy is not None:
                copy.close()

    def _remove_others(self, numbers: list[int]) -> None:
        """Their return after a loss of power does no harm: they are older, or incomplete."""
        paths = [self.path_of(number) for number in numbers] + [self.path_of(0) + OLD_REWRITE]
        for path in paths:
            if path != self.current.path:
                self._remove(path)

    # -- later

    def append(self, raws: Iterable[bytes]) -> None:
        """Add records to the generation that counts, synced."""
        self.current.append(raws)

    def probe(self) -> None:
        """Find out whether the disk takes anything."""
        self.current.probe()

    def rewrite(self, raws: Iterable[bytes]) -> None:
        """Write a new generation of these records and switch to it; after an error the one before counts.

        Once a closing frame may stand on the disk, the older generation may take appends only when the newer file is
        surely gone: else the newer one would count at the next start, without them.
        """
        for path in list(self.leftovers):
            self._remove(path)
        self._newest += 1
        path, fresh, closing = self.path_of(self._newest), None, False
        try:
            fresh = Generation(self.files, path, self._newest, self.files.open(path, create=True))
            tally = fresh.fill(raws)
            closing = True
            fresh.close_off(tally)
            self.files.sync_folder(self.folder)
        except BaseException as fault:
            self._abandon(path, fresh, closing)
            if isinstance(fault, OSError):
                raise LogRewriteError(f"{path}: {fault}") from fault
            raise
        old, self.current = self.current, fresh
        old.close()
        self._remove(old.path)

    def _abandon(self, path: str, fresh: Generation | None, closing: bool) -> None:
        if fresh is not None:
            fresh.close()
        gone = self._remove(path)
        if not closing:
            return
        try:
            self.files.sync_folder(self.folder)
        except OSError:
            gone = False
        if not gone:
            self.current.lost = True

    def _remove(self, path: str) -> bool:
        """Remove a file that may be there; False if it is to be tried again later."""
        try:
            if self.files.exists(path):
                self.files.remove(path)
        except OSError:
            self.leftovers.add(path)
            return False
        self.leftovers.discard(path)
        return True

    def records(self) -> Iterator[bytes]:
        """The records of the generation that counts."""
        return self.current.records()

    def close(self) -> None:
        """Give all handles back."""
        if self.current is not None:
            self.current.close()
