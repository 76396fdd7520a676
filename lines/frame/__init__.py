"""What every process stands on: boot settings, logs, counters, the blackboard and the event journal."""

from .boot import Boot, BootFault, read_boot
from .board import Board
from .codes import CODES, Result, fault_result, json_result
from .clock import Clock
from .counters import Counters
from .events import Journal, View
from .kept import encode_kept
from .logs import open_logs
from .outlive import Crew

__all__ = [
    "Boot",
    "BootFault",
    "read_boot",
    "Board",
    "CODES",
    "Result",
    "fault_result",
    "json_result",
    "Clock",
    "Counters",
    "Journal",
    "encode_kept",
    "View",
    "open_logs",
    "Crew",
]
