"""What every process stands on: settings, logs, counters, the state board and background tasks."""

from .settings import Settings, SettingsError, read_settings
from .state_board import StateBoard
from .result_codes import CODES, Result, error_result, json_result
from .clock import Clock
from .counters import Counters
from .document_encoding import encode_kept
from .logs import open_logs
from .task_group import TaskGroup

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
    "encode_kept",
    "open_logs",
    "Crew",
]
