"""Flags that several commands share, and the errors that all report in the same form."""

from __future__ import annotations

import sys

from absl import flags

from ..runtime import Settings, SettingsError, read_settings

SETTINGS = flags.DEFINE_string("settings", None, "settings file; else $ARCHHATCH_CONFIG, else its usual place")
AS_JSON = flags.DEFINE_bool("json", False, "doctor, version: print one JSON document")
REASON = flags.DEFINE_string("reason", None, "policy out, policy in, evacuate cancel, evacuate return: why")


def print_error(message: object) -> None:
    """Prints an error on standard error, in one line."""
    print(f"archhatch: {message}", file=sys.stderr)


def load_settings() -> Settings | None:
    """Reads the settings that the flags name; prints the error and returns None if they cannot be used."""
    try:
        return read_settings(SETTINGS.value)
    except SettingsError as error:
        print_error(error)
        return None
