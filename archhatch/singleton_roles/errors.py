"""Errors of singleton roles: refusals by the register, each with its numbered code, and the errors that callers see."""

from __future__ import annotations

from ..exceptions import ArchhatchError


class RoleRequestRefusedError(ArchhatchError):
    """Base class of a command's refusal by the state of the role's record.

    Attributes:
        code: The numbered result code that the caller gets (docs/codes.md).
        details: What the caller may want to know; a JSON value.
    """

    code: int

    def __init__(self, details: object = None) -> None:
        super().__init__(f"{self.code}: {details}")
        self.details = details


class LeaseHeldError(RoleRequestRefusedError):
    """Another node's process holds the lease, and nobody has seen the lease lapse."""

    code = 2301


class StaleFenceError(RoleRequestRefusedError):
    """The caller's fencing token is not that of the newest grant."""

    code = 2302


class RoleFailedError(RoleRequestRefusedError):
    """The role failed for good and waits for an operator's reset."""

    code = 2303


class UnknownRoleError(RoleRequestRefusedError):
    """The register has no record under this key, or dropped it after it was committed."""

    code = 2304


class InvalidLeaseDurationError(RoleRequestRefusedError):
    """The requested lease is shorter or longer than leases may be."""

    code = 2305


class DocumentTooLargeError(RoleRequestRefusedError):
    """An intent or a result is larger than a record may hold."""

    code = 2306


class WrongRoleStateError(RoleRequestRefusedError):
    """The command does not apply to a role in this state."""

    code = 2307


class RoleCallError(ArchhatchError):
    """The register refused a call or gave no clear answer.

    Attributes:
        code: The numbered result code of the answer.
        details: The answer's document.
    """

    code: int

    def __init__(self, code: int, details: object = None) -> None:
        super().__init__(f"{code}: {details}")
        self.code = code
        self.details = details


class EffectFailedError(ArchhatchError):
    """An act can never succeed as it stands: the effect is FAILED until an operator resets it."""
