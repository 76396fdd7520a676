"""Checks of the data folder: access, free space and the write-ahead logs in it."""

from __future__ import annotations

import os
import shutil

from ..runtime import Settings
from ..wal import generation_number, read_records
from .findings import Finding, FindingCode

BYTES_PER_MB = 1e6
FULL_SHARE = 0.9  # of DiskMb: a folder fuller than this is a fault
MIN_FREE_BYTES = 1e6  # on the file system; judged only if the folder is within DiskMb
LOG_BASE_NAMES = ("core", "store")
DAMAGED_SUFFIX = ".damaged"  # of a log that a node set aside when it started


def check_data_dir(settings: Settings) -> list[Finding]:
    """Returns the faults of the data folder; none if the settings name no folder.

    Args:
        settings: The settings as read from the file.
    """
    folder = settings.data_dir
    if not folder:
        return []
    if not os.path.isdir(folder):
        return [Finding(FindingCode.DATA_DIR_UNUSABLE, folder, "is no folder")]
    findings = []
    if not os.access(folder, os.W_OK):
        findings.append(Finding(FindingCode.DATA_DIR_UNUSABLE, folder, "cannot be written"))
    try:
        names = os.listdir(folder)
        used_bytes = sum(os.path.getsize(os.path.join(folder, name)) for name in names)
        free_bytes = shutil.disk_usage(folder).free
    except OSError as error:
        return [*findings, Finding(FindingCode.DATA_DIR_UNUSABLE, folder, str(error))]
    findings += check_space(folder, used_bytes, free_bytes, settings.disk_mb)
    for name in sorted(names):
        findings += check_log_file(folder, name)
    return findings


def check_space(folder: str, used_bytes: int, free_bytes: int, disk_mb: int) -> list[Finding]:
    """Judges how full a folder is.

    >>> [finding.what for finding in check_space("/data", 950_000, 10**9, disk_mb=1)]
    ['1 of 1 MB are used']
    >>> check_space("/data", 950_000, 10**9, disk_mb=0)
    []

    Args:
        folder: The folder.
        used_bytes: The size of its files.
        free_bytes: What is free on its file system.
        disk_mb: The limit of the settings in MB; 0 for none.

    Returns:
        At most one finding.
    """
    if disk_mb and used_bytes > disk_mb * BYTES_PER_MB * FULL_SHARE:
        what = f"{used_bytes / BYTES_PER_MB:.0f} of {disk_mb} MB are used"
        return [Finding(FindingCode.DISK_FULL, folder, what)]
    if free_bytes < MIN_FREE_BYTES:
        return [Finding(FindingCode.DISK_FULL, folder, f"{free_bytes} bytes are free")]
    return []


def check_log_file(folder: str, name: str) -> list[Finding]:
    """Reads a write-ahead log and judges its records.

    Args:
        folder: The data folder.
        name: The name of a file in it; one that is no log gives no finding.

    Returns:
        At most one finding.
    """
    path = os.path.join(folder, name)
    if name.endswith(DAMAGED_SUFFIX):
        return [Finding(FindingCode.LOG_DAMAGED, path, "a damaged write-ahead log was set aside here")]
    if all(generation_number(name, base) is None for base in LOG_BASE_NAMES):
        return []
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as error:
        return [Finding(FindingCode.LOG_DAMAGED, path, str(error))]
    records, end, has_records_behind = read_records(data)
    if has_records_behind:
        return [Finding(FindingCode.LOG_DAMAGED, path, f"damage at byte {end}, good records behind it")]
    if end < len(data):
        what = f"{len(data) - end} torn bytes behind record {len(records)}; cut at the next start"
        return [Finding(FindingCode.LOG_DAMAGED, path, what)]
    return []
