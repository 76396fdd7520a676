"""The command `doctor`: looks for common faults of a settings file and of the node that it describes."""

from __future__ import annotations

import asyncio

from .common_flags import AS_JSON, SETTINGS, print_error
from .registry import EXIT_FAILURE, EXIT_OK, EXIT_USAGE, command


@command("doctor", "look for common faults of a settings file and of the node that it describes")
def _doctor(args: list[str]) -> int:
    from ..diagnostics import Doctor, report

    if args:
        print_error("doctor takes no arguments, only --settings and --json")
        return EXIT_USAGE
    findings = asyncio.run(Doctor(SETTINGS.value).run())
    print(report(findings, AS_JSON.value))
    return EXIT_FAILURE if findings else EXIT_OK
