"""Reading an operator's plan of an evacuation: JSON, checked by marshmallow."""

from __future__ import annotations

import hashlib
from urllib.parse import urlsplit

import orjson
from marshmallow import Schema, ValidationError, fields, validate, validates, validates_schema

MOST_SECONDS = 30 * 86400.0
WAITS = ("acknowledged", "term")


class InvalidPlanError(Exception):
    """A plan that cannot be used; says which field is wrong and why.

    >>> str(InvalidPlanError("Target: is missing"))
    'Target: is missing'
    """


class _Name(fields.String):
    def __init__(self, **kwargs):
        super().__init__(
            validate=validate.Regexp(r"[A-Za-z0-9._-]{1,64}\Z", error="must be 1 to 64 of A-Z a-z 0-9 . _ -"), **kwargs
        )


class _Number(fields.Float):
    def _deserialize(self, value, attr, data, **kwargs):
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            raise ValidationError("must be a number")
        return super()._deserialize(value, attr, data, **kwargs)


class PlanSchema(Schema):
    """What a plan holds. Times are seconds since the plan was taken: clocks that show the time of day jump."""

    Id = _Name(required=True)
    Tenant = fields.String(required=True, validate=validate.Length(min=1, max=64))
    Origin = fields.String(required=True, validate=validate.Length(min=1))
    Target = fields.String(required=True, validate=validate.Length(min=1))
    Reason = fields.String(load_default="", validate=validate.Length(max=200))
    NoticeUrl = fields.String(required=True)
    NoticeWait = fields.String(load_default="acknowledged", validate=validate.OneOf(WAITS))
    NoticeTermS = _Number(load_default=3600.0, validate=validate.Range(min=0, max=MOST_SECONDS))
    StartAfterS = _Number(load_default=0.0, validate=validate.Range(min=0, max=MOST_SECONDS, error="lies in the past"))
    DeadlineS = _Number(load_default=86400.0, validate=validate.Range(min=1, max=MOST_SECONDS))
    Room = _Number(load_default=1.0, validate=validate.Range(min=0, max=10))

    @validates("NoticeUrl")
    def _url(self, value, **kwargs):
        try:
            url = urlsplit(value)
            sound = url.scheme in ("http", "https") and url.hostname and (url.port is None or url.port > 0)
        except ValueError:
            sound = False
        if not sound:
            raise ValidationError("must be an http or https URL")

    @validates_schema
    def _places(self, data, **kwargs):
        if data.get("Origin") is not None and data.get("Origin") == data.get("Target"):
            raise ValidationError("is the origin", "Target")


_PLAN = PlanSchema()


def read_plan(doc: object) -> dict:
    """The checked plan, with what was left out filled in; InvalidPlanError names the first wrong field.

    >>> read_plan({"Id": "e1", "Tenant": "t", "Origin": "a", "Target": "b", "NoticeUrl": "http://10.0.0.1/n"})["Room"]
    1.0
    """
    if not isinstance(doc, dict):
        raise InvalidPlanError("must be one object")
    try:
        return _PLAN.load(doc)
    except ValidationError as e:
        field, why = sorted(e.normalized_messages().items())[0]
        raise InvalidPlanError(f"{field}: {why[0] if isinstance(why, list) else why}") from None


def mark(plan: dict) -> str:
    """A short name of a plan's content: the same plan sent again is known by it.

    >>> mark({"a": 1, "b": 2}) == mark({"b": 2, "a": 1}) != mark({"a": 1, "b": 3})
    True
    """
    return hashlib.blake2b(orjson.dumps(plan, option=orjson.OPT_SORT_KEYS), digest_size=8).hexdigest()
