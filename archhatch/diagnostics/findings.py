"""What the doctor finds, and how it is printed."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

import orjson

from ..runtime import CODES


class FindingCode(IntEnum):
    """The numbers of the findings; their texts stand in runtime.result_codes and docs/codes.md."""

    SETTINGS_UNUSABLE = 6001
    SETTINGS_CONTRADICTORY = 6002
    SEED_PEERS_UNUSABLE = 6003
    SEED_PEER_UNREACHABLE = 6004
    NO_MAJORITY_CONTACT = 6005
    LOG_DAMAGED = 6006
    DISK_FULL = 6007
    DATA_DIR_UNUSABLE = 6008
    REPLICA_UNREACHABLE = 6009
    VERSIONS_DIFFER = 6010
    CONFIGURATION_UNREADABLE = 6011
    SOURCES_DIFFER = 6012
    CLIENT_MEMORY_FULL = 6013


@dataclass(frozen=True, slots=True)
class Finding:
    """One fault.

    Attributes:
        code: Its number.
        where: The field, file, address or id at fault.
        what: What is wrong there.
    """

    code: FindingCode
    where: str
    what: str

    def text(self) -> str:
        """Returns the finding as one line."""
        return f"{self.code} {CODES[self.code][1]}: {self.where}: {self.what}"

    def to_document(self) -> dict:
        """Returns the finding as a JSON object."""
        return {"code": int(self.code), "where": self.where, "what": self.what, "says": CODES[self.code][1]}


def report(findings: list[Finding], as_json: bool) -> str:
    """Renders findings for the terminal.

    >>> report([], False)
    'sound: no fault found'

    Args:
        findings: What the doctor found.
        as_json: Whether to give one JSON document instead of a line for each finding.

    Returns:
        The text to print, without a newline at its end.
    """
    if as_json:
        document = {"sound": not findings, "findings": [finding.to_document() for finding in findings]}
        return orjson.dumps(document).decode()
    if not findings:
        return "sound: no fault found"
    return "\n".join(finding.text() for finding in findings)
