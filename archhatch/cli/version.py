"""The command `version`: prints which code this is and what it runs on."""

from __future__ import annotations

import json

from ..runtime.build_info import build_info
from .common_flags import AS_JSON
from .registry import EXIT_OK, command


@command("version", "print which code this is, its libraries and the machine")
def _version(_args: list[str]) -> int:
    info = build_info()
    print(json.dumps(info.to_document()) if AS_JSON.value else info)
    return EXIT_OK
