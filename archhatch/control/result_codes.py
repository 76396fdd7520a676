"""The numbered result codes that the control plane gives (docs/codes.md has the whole table)."""

from __future__ import annotations

DONE = 1000

INVALID_REQUEST = 2001
INVALID_CONFIG = 2002
INVALID_HEARTBEAT = 2004
REVISION_NOT_HIGHER = 2005
UNKNOWN_MACHINE = 2008
UNKNOWN_CALL = 2009
METHOD_NOT_ALLOWED = 2010
VERSION_MISMATCH = 2011  # another version, or another term of a lease, is the current one
TOO_FEW_MACHINES_LEFT = 2013
INVALID_IF_MATCH = 2015
STALE_TERM_OR_MEMBERSHIP = 2018

INVALID_POLICY = 2101
INVALID_EVACUATION_PLAN = 2201
TARGET_LACKS_CAPACITY = 2204

# Codes from here on give no final answer: the caller tries again, here or at another node.
FIRST_RETRYABLE = 3000
NO_CONFIG = 3001
NO_MAJORITY = 3003
UNCERTAIN = 3004


def is_retryable(code: int) -> bool:
    """Returns whether a code gives no final answer.

    >>> is_retryable(NO_MAJORITY), is_retryable(VERSION_MISMATCH)
    (True, False)
    """
    return code >= FIRST_RETRYABLE
