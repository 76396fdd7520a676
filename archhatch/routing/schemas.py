"""marshmallow schemas of an operator's configuration. Unknown fields are kept as they came."""

from __future__ import annotations

from marshmallow import INCLUDE, Schema, ValidationError, fields, validate, validates_schema

CLASSES = ["idempotent", "non_idempotent", "streaming", "batch", "rollout"]


TENANT_NAME = r"[\x21-\x7e]{1,128}\Z"  # a tenant's name and a key each go into a header as they are
TENANT_KEY = r"[\x21-\x7e]{1,512}\Z"


class InvalidConfigError(Exception):
    """An invalid configuration; says where and why."""


class _Open(Schema):
    class Meta:
        unknown = INCLUDE


class SplitSchema(_Open):
    Service = fields.String(required=True)
    Weight = fields.Float(required=True, validate=validate.Range(min=0))


class RouteSchema(_Open):
    Name = fields.String(required=True, validate=validate.Length(min=1))
    HostName = fields.String(required=True, validate=validate.Length(min=1))
    PathPrefix = fields.String(required=True)
    RouteClass = fields.String(required=True, validate=validate.OneOf(CLASSES))
    TimeoutMs = fields.Float(validate=validate.Range(min=0, min_inclusive=False))
    TargetLatencyMs = fields.Float(validate=validate.Range(min=0))
    ResultDueMs = fields.Float(validate=validate.Range(min=0))
    MaxQueueS = fields.Float(validate=validate.Range(min=0))
    MaxAttempts = fields.Integer(validate=validate.Range(min=1))
    Priority = fields.Integer()
    Service = fields.String()
    TrafficSplit = fields.List(fields.Nested(SplitSchema))

    @validates_schema
    def _whole(self, data, **kwargs):
        pre = data.get("PathPrefix", "")
        if not (pre.startswith("/") and pre.endswith("/")):
            raise ValidationError("must begin and end with a slash", "PathPrefix")
        if not data.get("TrafficSplit") and not data.get("Service"):
            raise ValidationError("names no service", "Service")
        if data.get("TrafficSplit") and sum(s["Weight"] for s in data["TrafficSplit"]) <= 0:
            raise ValidationError("the weights sum to 0", "TrafficSplit")


class ServiceSchema(_Open):
    Name = fields.String(required=True, validate=validate.Length(min=1))
    HealthPath = fields.String()
    MaxConnections = fields.Integer(validate=validate.Range(min=1))
    Engine = fields.Dict(allow_none=True)


class TenantSchema(_Open):
    Name = fields.String(required=True, validate=validate.Regexp(TENANT_NAME, error="must be a name without spaces"))
    ApiKeys = fields.List(
        fields.String(validate=validate.Regexp(TENANT_KEY, error="is empty or no key")), required=True
    )
    Priority = fields.Integer()


class LimitsSchema(_Open):
    MaxHeaderBytes = fields.Integer(validate=validate.Range(min=1))
    MaxBodyBytes = fields.Integer(validate=validate.Range(min=0))
    HeaderTimeoutMs = fields.Float(validate=validate.Range(min=1))
    IdleTimeoutMs = fields.Float(validate=validate.Range(min=1))


class PlanSchema(_Open):
    Revision = fields.Integer(required=True, strict=True, validate=validate.Range(min=1))
    RouteTable = fields.List(fields.Nested(RouteSchema), required=True)
    ServiceTable = fields.List(fields.Nested(ServiceSchema), required=True)
    TenantTable = fields.List(fields.Nested(TenantSchema))
    Limits = fields.Nested(LimitsSchema)

    @validates_schema
    def _together(self, data, **kwargs):
        known, seen, names = {s["Name"] for s in data.get("ServiceTable", [])}, set(), set()
        if len(known) != len(data.get("ServiceTable", [])):
            raise ValidationError("two services have one name", "ServiceTable")
        for r in data.get("RouteTable", []):
            for svc in [s["Service"] for s in r.get("TrafficSplit") or []] or [r.get("Service")]:
                if svc not in known:
                    raise ValidationError(f"route {r['Name']} names the unknown service {svc}", "RouteTable")
            place = (r["HostName"].lower(), r["PathPrefix"])
            if place in seen or r["Name"] in names:
                raise ValidationError(f"route {r['Name']} stands twice", "RouteTable")
            seen.add(place)
            names.add(r["Name"])

    @validates_schema
    def _tenants(self, data, **kwargs):
        """No two tenants share a name or a key. Messages name tenants, never keys."""
        owners: dict = {}
        names = set()
        for tenant in data.get("TenantTable") or []:
            name = tenant["Name"]
            if name in names:
                raise ValidationError(f"tenant {name} stands twice", "TenantTable")
            names.add(name)
            for key in tenant["ApiKeys"]:
                if owners.setdefault(key, name) != name:
                    raise ValidationError(f"tenants {owners[key]} and {name} share a key", "TenantTable")


_PLAN = PlanSchema()


def check_config(doc: object) -> dict:
    """The document itself if it is a valid configuration; InvalidConfigError if it is not.

    >>> try: check_config({"Revision": 1})
    ... except InvalidConfigError as e: "RouteTable" in str(e)
    True
    """
    if not isinstance(doc, dict):
        raise InvalidConfigError("must be one JSON object")
    bad = _PLAN.validate(doc)
    if bad:
        raise InvalidConfigError(str(bad))
    return doc
