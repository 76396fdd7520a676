"""Reads an operator's policy: TOML, checked field by field by marshmallow, then as a whole."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Collection, Iterator
from typing import Any

from marshmallow import Schema, ValidationError, fields, validate

from ..routing import RouteClass
from .errors import PolicyError, find_line, format_path
from .rule_checks import ANY_CLASS, Fault, find_faults, matches_of

MAX_POLICY_BYTES = 64 << 10  # a policy is part of a register's value, which control nodes send each other whole
MAX_TENANT_LENGTH = 64


class _Seconds(fields.Float):
    """A number of seconds; unlike Float, it takes no text and no boolean."""

    def _deserialize(self, value: Any, attr: str | None, data: Any, **kwargs: Any) -> Any:  # noqa: ANN401 - marshmallow's signature
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            raise ValidationError("must be a number of seconds")
        return super()._deserialize(value, attr, data, **kwargs)


class _Count(fields.Integer):
    """A whole number; unlike Integer, it takes no boolean."""

    def _deserialize(self, value: Any, attr: str | None, data: Any, **kwargs: Any) -> Any:  # noqa: ANN401 - marshmallow's signature
        if isinstance(value, bool):
            raise ValidationError("must be a whole number")
        return super()._deserialize(value, attr, data, **kwargs)


def _text(**kwargs: Any) -> fields.String:  # noqa: ANN401 - marshmallow's options
    return fields.String(validate=validate.Length(min=1), **kwargs)


def _texts() -> fields.List:
    return fields.List(_text(), validate=validate.Length(min=1))


def _positive_seconds() -> _Seconds:
    return _Seconds(validate=validate.Range(min=0, min_inclusive=False))


class RuleSchema(Schema):
    """A [[rule]] of the file. The fields' names are the keys of what is loaded: `class` is loaded as `klass`."""

    name = _text(required=True)
    routes = _texts()
    host = _text()
    prefix = fields.String(validate=validate.Regexp(r"/(.*/)?\Z", error="must begin and end with a slash"))
    klass = fields.String(data_key="class", validate=validate.OneOf([*RouteClass, ANY_CLASS]))
    home = _text()
    regions = _texts()
    like = _text()
    hysteresis_s = _positive_seconds()
    tenant = fields.String(validate=validate.Length(min=1, max=MAX_TENANT_LENGTH))
    return_after_s = _positive_seconds()


class PolicySchema(Schema):
    """The file."""

    version = _Count(required=True, strict=True, validate=validate.Range(min=1))
    rule = fields.List(fields.Nested(RuleSchema), required=True)


_SCHEMA = PolicySchema()


def read_policy(text: str, file_name: str = "policy", known_regions: Collection[str] = ()) -> dict:
    r"""Reads and checks a policy.

    >>> document = read_policy('version = 1\n[[rule]]\nname = "q"\nclass = "idempotent"\nregions = ["a"]\n')
    >>> document["rules"][0]["regions"]
    ['a']

    Args:
        text: The TOML text.
        file_name: The file's name in the lines of faults.
        known_regions: The regions that there are; with none, any name passes.

    Returns:
        The policy as it is stored: {"version", "rules"}.

    Raises:
        PolicyError: The policy is invalid; names file, line and field of each fault.
    """
    if len(text.encode()) > MAX_POLICY_BYTES:
        raise PolicyError([f"{file_name}:1: (file): is over {MAX_POLICY_BYTES} bytes"])
    document = _parse(text, file_name)
    try:
        loaded = _SCHEMA.load(document)
    except ValidationError as error:
        raise _policy_error(text, file_name, list(_flatten(error.normalized_messages(), ()))) from None
    rules = loaded["rule"]
    faults = list(find_faults(rules, set(known_regions)))
    if faults:
        raise _policy_error(text, file_name, faults)
    return {"version": loaded["version"], "rules": [_stored_rule(rule, rules) for rule in rules]}


def _parse(text: str, file_name: str) -> dict:
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        position = re.search(r"line (\d+)", str(error))
        line = position.group(1) if position else max(1, len(text.splitlines()))
        raise PolicyError([f"{file_name}:{line}: (file): is not TOML: {error}"]) from error


def _policy_error(text: str, file_name: str, faults: list[Fault]) -> PolicyError:
    lines = sorted((find_line(text, path), format_path(path), reason) for path, reason in faults)
    return PolicyError([f"{file_name}:{line}: {field}: {reason}" for line, field, reason in lines])


def _flatten(messages: Any, path: tuple) -> Iterator[Fault]:  # noqa: ANN401 - marshmallow's messages: a tree of dicts
    """Yields the leaves of marshmallow's tree of messages."""
    if isinstance(messages, dict):
        for key, branch in messages.items():
            yield from _flatten(branch, path if key == "_schema" else (*path, key))
    else:
        for message in messages:
            yield Fault(path or ("(file)",), message.rstrip("."))


def _order_source(rule: dict, rules: list[dict]) -> dict:
    """Returns the rule that gives the order of regions: itself, or the one at the end of its chain of "like"."""
    while "like" in rule:
        rule = next(other for other in rules if other["name"] == rule["like"])
    return rule


def _stored_rule(rule: dict, rules: list[dict]) -> dict:
    """Returns a rule as it is stored; keys and their order are stored data."""
    source = _order_source(rule, rules)
    tenant = {"tenant": rule["tenant"]} if "tenant" in rule else {}
    return {
        **tenant,
        "name": rule["name"],
        "match": matches_of(rule),
        "regions": source.get("regions") or [source["home"]],
        "hysteresis_s": rule.get("hysteresis_s", source.get("hysteresis_s")),
        "return_after_s": rule.get("return_after_s", source.get("return_after_s")),
    }
