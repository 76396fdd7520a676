"""What every process is built on: settings, logs, counters, the state board and background tasks."""

from .clock import Clock
from .counters import Counters
from .document_encoding import encode_kept
from .entry_guard import EntryGuard
from .logs import open_logs
from .result_codes import CODES, Result, error_result, json_result
from .settings import Settings, SettingsError, read_settings
from .state_board import StateBoard
from .task_group import TaskGroup

__all__ = [
    "CODES",
    "Clock",
    "Counters",
    "EntryGuard",
    "Result",
    "Settings",
    "SettingsError",
    "StateBoard",
    "TaskGroup",
    "encode_kept",
    "error_result",
    "json_result",
    "open_logs",
    "read_settings",
]
