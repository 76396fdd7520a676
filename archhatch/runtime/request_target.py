"""What a request target may hold."""

from __future__ import annotations

import re

_SEPARATOR = r"(?:/|\\|%2[Ff]|%5[Cc])"
_DOT = r"(?:\.|%2[Ee])"
_DOT_SEGMENT = re.compile(rf"{_SEPARATOR}{_DOT}{{1,2}}(?:{_SEPARATOR}|\Z)")
_PATH_END = re.compile(r"[?#]")


def has_dot_segment(target: str) -> bool:
    """Whether a target's path has a "." or ".." segment, as it stands or percent-encoded.

    A replica that resolves it would serve another path than the one that its route was chosen by. An encoded slash or a
    backslash counts as a separator here, as some servers take it for one; without a dot segment both pass as they came.

    >>> has_dot_segment("/a/../b"), has_dot_segment("/a/%2e%2E"), has_dot_segment("/a/..%2Fb"), has_dot_segment("/a/.")
    (True, True, True, True)
    >>> has_dot_segment("/a/..b/.c/d..e"), has_dot_segment("/a%2Fb//c?x=/../"), has_dot_segment("/a/...")
    (False, False, False)
    """
    if "." not in target and "%2" not in target:
        return False
    return _DOT_SEGMENT.search(_PATH_END.split(target, 1)[0]) is not None
