"""Reads an operator's plan of an evacuation: JSON, checked by marshmallow."""

from __future__ import annotations

import hashlib
from typing import Any
from urllib.parse import urlsplit

import orjson
from marshmallow import Schema, ValidationError, fields, validate, validates, validates_schema

from ..exceptions import ArchhatchError

DAY_S = 86400.0
MAX_PERIOD_S = 30 * DAY_S  # longest notice, delay and deadline: a month
DEFAULT_NOTICE_TERM_S = 3600.0
MAX_TENANT_LENGTH = 64
MAX_REASON_LENGTH = 200
MAX_ROOM = 10  # times the origin's slots that the target may be asked to have
DIGEST_BYTES = 8
WAITS = ("acknowledged", "term")  # what a move waits for: the tenant's acknowledgement, or at most the notice's term


class InvalidPlanError(ArchhatchError):
    """A plan that cannot be used; says which field is wrong and why.

    >>> str(InvalidPlanError("Target: is missing"))
    'Target: is missing'
    """

    code = 2201


class _Name(fields.String):
    """An id, which stands in paths and headers."""

    def __init__(self, **kwargs: Any) -> None:  # noqa: ANN401 - marshmallow's options
        super().__init__(
            validate=validate.Regexp(r"[A-Za-z0-9._-]{1,64}\Z", error="must be 1 to 64 of A-Z a-z 0-9 . _ -"), **kwargs
        )


class _Number(fields.Float):
    """A number; unlike Float, it takes no text and no boolean."""

    def _deserialize(self, value: Any, attr: str | None, data: Any, **kwargs: Any) -> Any:  # noqa: ANN401 - marshmallow's signature
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            raise ValidationError("must be a number")
        return super()._deserialize(value, attr, data, **kwargs)


class PlanSchema(Schema):
    """The fields of a plan. Times are seconds since it was taken: clocks that show the time of day jump."""

    Id = _Name(required=True)
    Tenant = fields.String(required=True, validate=validate.Length(min=1, max=MAX_TENANT_LENGTH))
    Origin = fields.String(required=True, validate=validate.Length(min=1))
    Target = fields.String(required=True, validate=validate.Length(min=1))
    Reason = fields.String(load_default="", validate=validate.Length(max=MAX_REASON_LENGTH))
    NoticeUrl = fields.String(required=True)
    NoticeWait = fields.String(load_default="acknowledged", validate=validate.OneOf(WAITS))
    NoticeTermS = _Number(load_default=DEFAULT_NOTICE_TERM_S, validate=validate.Range(min=0, max=MAX_PERIOD_S))
    StartAfterS = _Number(load_default=0.0, validate=validate.Range(min=0, max=MAX_PERIOD_S, error="lies in the past"))
    DeadlineS = _Number(load_default=DAY_S, validate=validate.Range(min=1, max=MAX_PERIOD_S))
    Room = _Number(load_default=1.0, validate=validate.Range(min=0, max=MAX_ROOM))

    @validates("NoticeUrl")
    def _check_url(self, value: str, **_kwargs: object) -> None:
        if not _is_http_url(value):
            raise ValidationError("must be an http or https URL")

    @validates_schema
    def _check_regions(self, data: dict, **_kwargs: object) -> None:
        if data.get("Origin") is not None and data.get("Origin") == data.get("Target"):
            raise ValidationError("is the origin", "Target")


_SCHEMA = PlanSchema()


def _is_http_url(value: str) -> bool:
    try:
        url = urlsplit(value)
        has_usable_port = url.port is None or url.port > 0
        has_host = bool(url.hostname)
    except ValueError:
        return False
    return url.scheme in ("http", "https") and has_host and has_usable_port


def read_plan(document: object) -> dict:
    """Reads and checks a plan.

    >>> read_plan({"Id": "e1", "Tenant": "t", "Origin": "a", "Target": "b", "NoticeUrl": "http://10.0.0.1/n"})["Room"]
    1.0

    Returns:
        The plan, with what was left out filled in.

    Raises:
        InvalidPlanError: The plan is invalid; names the first wrong field.
    """
    if not isinstance(document, dict):
        raise InvalidPlanError("must be one object")
    try:
        return _SCHEMA.load(document)
    except ValidationError as error:
        field, reason = sorted(error.normalized_messages().items())[0]
        raise InvalidPlanError(f"{field}: {reason[0] if isinstance(reason, list) else reason}") from None


def plan_digest(plan: dict) -> str:
    """Returns a short digest of a plan's content: the same plan sent again is known by it.

    >>> plan_digest({"a": 1, "b": 2}) == plan_digest({"b": 2, "a": 1}) != plan_digest({"a": 1, "b": 3})
    True
    """
    return hashlib.blake2b(orjson.dumps(plan, option=orjson.OPT_SORT_KEYS), digest_size=DIGEST_BYTES).hexdigest()
