"""The size to design for and the recorded slopes, read and checked: a fault names the file and the field."""

from __future__ import annotations

import json
import os
import re
import tomllib
from types import SimpleNamespace

from marshmallow import INCLUDE, RAISE, Schema, ValidationError, fields, validate

HERE = os.path.dirname(os.path.abspath(__file__))
SIZE = os.path.join(HERE, "size.toml")

_GIVEN_WHOLE = [
    "nodes",
    "replicas",
    "accelerators",
    "requests_s",
    "tokens_s",
    "trainers",
    "samples",
    "regions",
    "zones",
    "changes_day",
    "control_machines",
    "failures_day",
    "restarts_day",
]
_GIVEN = ["step_min", "weights_min", "weights_all_s", "change_all_s", "node_core", "node_mb", "node_kb_s", "beat_s"]
_ASSUMED_WHOLE = [
    "connection_bytes",
    "cores",
    "stores",
    "voters",
    "services",
    "accelerators_machine",
    "routes",
    "patch_bytes",
    "beat_bytes",
    "digest_bytes",
    "subset",
    "tokens_event",
    "sample_tokens",
    "token_bytes",
    "live_services_edge",
    "batch",
    "processes",
    "machine_fds",
    "tolerate",
    "share_locks",
    "share_locks_set",
]
_ASSUMED = [
    "contact_s",
    "lease_s",
    "change_peak",
    "wan_s",
    "lan_s",
    "sync_s",
    "load_s",
    "stream_s",
    "sample_s",
    "machine_cores",
    "machine_core",
    "machine_mb",
    "machine_mb_s",
    "machine_disk_gb",
    "share_lock_s",
    "cancel_s",
]
_RUN = ["beats_s", "beats_failed", "answers_s", "entries_s", "hollow_cpu"]


class SizeError(Exception):
    """A file that cannot be used; names it and the field.

    >>> str(SizeError("size.toml", "given.nodes", "is missing"))
    'size.toml: given.nodes: is missing'
    """

    def __init__(self, path: str, name: str, why: str):
        super().__init__(f"{path}: {name}: {why}")


class _Strict(Schema):
    class Meta:
        unknown = RAISE


class _Open(Schema):
    class Meta:
        unknown = INCLUDE


def _table(whole: list, parts: list) -> type:
    above = validate.Range(min=0, min_inclusive=False)
    rows = {n: fields.Integer(required=True, strict=True, validate=above) for n in whole}
    rows.update({n: fields.Float(required=True, validate=above) for n in parts})
    return _Strict.from_dict(rows)


class SizeSchema(_Strict):
    given = fields.Nested(_table(_GIVEN_WHOLE, _GIVEN), required=True)
    assumed = fields.Nested(_table(_ASSUMED_WHOLE, _ASSUMED), required=True)


class FitSchema(_Open):
    kind = fields.String(required=True)
    slope = fields.Float(required=True)
    intercept = fields.Float(required=True)
    residual = fields.Float(required=True)


class SlopesSchema(_Open):
    Commit = fields.String(required=True)
    Python = fields.String(required=True)
    Fits = fields.Dict(keys=fields.String(), values=fields.Nested(FitSchema), required=True)


class ProcSchema(_Open):
    cpu = fields.Float(required=True)
    rss = fields.Integer(required=True)
    fds = fields.Integer(required=True)


class PhaseSchema(_Open.from_dict({n: fields.Float(required=True) for n in _RUN})):
    core = fields.List(fields.Nested(ProcSchema), required=True, validate=validate.Length(min=1))
    switchboard = fields.List(fields.Nested(ProcSchema), required=True, validate=validate.Length(min=1))


class RunSchema(_Open):
    Replicas = fields.Integer(required=True)
    Steady = fields.Nested(PhaseSchema, required=True)
    Versions = fields.Nested(PhaseSchema, required=True)


class LineSchema(_Open):
    slope = fields.Float(required=True)
    intercept = fields.Float(required=True)
    residual = fields.Float(required=True)


class ScaleSchema(_Open):
    Commit = fields.String(required=True)
    Cores = fields.Integer(required=True, validate=validate.Range(min=1))
    Edges = fields.Integer(required=True)
    HollowNodes = fields.Integer(required=True)
    BeatS = fields.Float(required=True, validate=validate.Range(min=0, min_inclusive=False))
    WindowS = fields.Float(required=True)
    Runs = fields.List(fields.Nested(RunSchema), required=True, validate=validate.Length(min=2))
    Fits = fields.Dict(keys=fields.String(), values=fields.Nested(LineSchema), required=True)


def _first(bad, at: str = "") -> tuple:
    """The first fault of marshmallow's, as a field's path and its words."""
    if isinstance(bad, dict):
        key = next(iter(bad))
        step = "" if key in ("_schema", "value") else f".{key}" if at else str(key)
        return _first(bad[key], at + step)
    return at or "(file)", str(bad[0] if isinstance(bad, list) else bad)


def _checked(schema: Schema, path: str, doc) -> dict:
    try:
        return schema.load(doc)
    except ValidationError as e:
        raise SizeError(path, *_first(e.messages)) from e


def _read(path: str, parse):
    try:
        with open(path, "rb") as f:
            return parse(f.read().decode())
    except OSError as e:
        raise SizeError(path, "(file)", f"cannot be read: {e.strerror}") from e
    except ValueError as e:
        raise SizeError(path, "(file)", f"is not sound: {e}") from e


def read_size(path: str | None = None) -> SimpleNamespace:
    """The size as one namespace of given and assumed figures.

    >>> read_size().replicas
    10000
    """
    path = path or SIZE
    text = _read(path, str)
    doc = _checked(SizeSchema(), path, _read(path, tomllib.loads))
    size = SimpleNamespace(**doc["given"], **doc["assumed"])
    size.cold = size.cold_edge = 1.0  # what small runs show is put in by the table
    why = {m[1]: m[2] for m in re.finditer(r"^(\w+) = [^#\n]*# (.*)$", text, re.M)}
    size.rows = [(k, name, value, why.get(name, "")) for k in ("given", "assumed") for name, value in doc[k].items()]
    size.edges = size.nodes - size.cores - size.stores
    if size.edges < 1:
        raise SizeError(path, "given.nodes", "leaves no edge beside the control nodes and stores")
    return size


def read_slopes(path: str) -> dict:
    """What `capacity measure` wrote.

    >>> # read_slopes("docs/capacity/slopes.json")["Fits"]["roll.beat"]["slope"]
    """
    return _checked(SlopesSchema(), path, _read(path, json.loads))


def read_scale(path: str) -> dict:
    """The record of the small runs (`docs/capacity/scale.json`), of two counts of replicas at least.

    >>> # read_scale("docs/capacity/scale.json")["Runs"][0]["Steady"]["core"][0]["cpu"]
    """
    return _checked(ScaleSchema(), path, _read(path, json.loads))
