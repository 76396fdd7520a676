"""Decodes the HTTP requests of replicas, operators and trainers into typed requests (`api_messages`)."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from typing import Any
from urllib.parse import unquote

import orjson

from ..evacuation.plans import InvalidPlanError, read_plan
from ..membership.replica_heartbeat import ReplicaHeartbeat
from ..routing import InvalidConfigError
from ..routing.configuration import MAX_REVISION, check_depth, read_revision
from ..runtime.message import InvalidFieldError
from ..runtime.schema import read_message
from .api_messages import (
    ApiRequest,
    ChangeConfigRequest,
    DeregisterRequest,
    EvacuationRequest,
    GetConfigRequest,
    HeartbeatRequest,
    InvalidConfigRequestError,
    InvalidEvacuationRequestError,
    InvalidHeartbeatError,
    InvalidIfMatchError,
    InvalidPolicyEncodingError,
    InvalidRequestError,
    MethodNotAllowedError,
    NameVersionRequest,
    PolicyRequest,
    RetirementRequest,
    SingletonRoleRequest,
    UnknownCallError,
)

MAX_REASON_CHARS = 200  # of an operator's reason that are kept
ANY_RULE = "*"  # in place of a rule's name: an operator's order holds for every rule


Decoder = Callable[..., ApiRequest]  # takes the groups of the path's pattern, the headers and the body
DECODERS: list[tuple[str, re.Pattern[str], Decoder, int | None]] = []
SHORT_BODY_BYTES = 64 << 10  # the longest body of a call that brings no document of an operator


def decodes(
    method: str, path_pattern: str, max_body_bytes: int | None = SHORT_BODY_BYTES
) -> Callable[[Decoder], Decoder]:
    """Registers a decoder for a method and a path.

    Args:
        method: The HTTP method.
        path_pattern: The path, as a regular expression.
        max_body_bytes: The longest body; None for that of the server.
    """

    def register(decoder: Decoder) -> Decoder:
        DECODERS.append((method, re.compile(path_pattern + r"\Z"), decoder, max_body_bytes))
        return decoder

    return register


def max_body_bytes_of(method: str, path: str) -> int | None:
    """Returns the longest body of a call; None for that of the server.

    >>> max_body_bytes_of("PUT", "/api/instances/i-1"), max_body_bytes_of("PUT", "/api/config")
    (65536, None)

    Raises:
        InvalidRequestError: There is no such call.
    """
    path = path.split("?", 1)[0]
    matching = [row for row in DECODERS if row[1].match(path)]
    for row_method, _, _, max_body_bytes in matching:
        if row_method == method:
            return max_body_bytes
    raise MethodNotAllowedError if matching else UnknownCallError


def decode(method: str, path: str, headers: Mapping[str, str], body: bytes) -> ApiRequest:
    """Decodes a request.

    >>> decode("GET", "/api/config", {}, b"")
    GetConfigRequest()

    Args:
        method: The HTTP method.
        path: The path, with its query if it has one.
        headers: The headers; reading them ignores case.
        body: The body.

    Returns:
        The typed request.

    Raises:
        InvalidRequestError: It cannot be read.
    """
    path = path.split("?", 1)[0]
    has_other_method = False
    for decoder_method, pattern, decoder, _ in DECODERS:
        match = pattern.match(path)
        if match:
            if decoder_method == method:
                return decoder(*(unquote(group) for group in match.groups()), headers, body)
            has_other_method = True
    raise MethodNotAllowedError if has_other_method else UnknownCallError


def _read_object(body: bytes, error: type[InvalidRequestError] = InvalidRequestError) -> dict:
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as cause:
        raise error(str(cause)) from cause
    if not isinstance(document, dict):
        raise error("must be one JSON object")
    return document


def _read_if_match(headers: Mapping[str, str]) -> int:
    """Reads the version in If-Match: decimal digits, in quotes or not."""
    text = headers.get("If-Match", "").strip().strip('"')
    if not re.fullmatch(r"[0-9]{1,16}", text) or int(text) > MAX_REVISION:
        raise InvalidIfMatchError(f"must be a number up to {MAX_REVISION}")
    return int(text)


def _read_optional_if_match(headers: Mapping[str, str]) -> int | None:
    return _read_if_match(headers) if "If-Match" in headers else None


# -- replicas


@decodes("PUT", r"/api/instances/([^/]+)")
def _decode_heartbeat(replica_id: str, _headers: Mapping[str, str], body: bytes) -> HeartbeatRequest:
    document = _read_object(body, InvalidHeartbeatError)
    try:
        return HeartbeatRequest(replica_id, read_message(ReplicaHeartbeat, document))
    except InvalidFieldError as error:
        raise InvalidHeartbeatError(str(error)) from None


@decodes("DELETE", r"/api/instances/([^/]+)")
def _decode_deregistration(replica_id: str, _headers: Mapping[str, str], _body: bytes) -> DeregisterRequest:
    return DeregisterRequest(replica_id)


# -- the configuration


@decodes("PUT", r"/api/config", max_body_bytes=None)
def _decode_config_put(headers: Mapping[str, str], body: bytes) -> ChangeConfigRequest:
    return _read_config_change("put", headers, body)


@decodes("PATCH", r"/api/config", max_body_bytes=None)
def _decode_config_patch(headers: Mapping[str, str], body: bytes) -> ChangeConfigRequest:
    return _read_config_change("patch", headers, body)


def _read_config_change(kind: str, headers: Mapping[str, str], body: bytes) -> ChangeConfigRequest:
    document = _read_object(body, InvalidConfigRequestError)
    expected_revision = _read_if_match(headers)
    try:
        check_depth(document)
        read_revision(document)
    except InvalidConfigError as error:
        raise InvalidConfigRequestError(str(error)) from None
    return ChangeConfigRequest(kind, document, expected_revision)


@decodes("GET", r"/api/config")
def _decode_config_get(_headers: Mapping[str, str], _body: bytes) -> GetConfigRequest:
    return GetConfigRequest()


@decodes("POST", r"/api/version-put")
def _decode_version(_headers: Mapping[str, str], body: bytes) -> NameVersionRequest:
    document = _read_object(body)
    try:
        return read_message(NameVersionRequest, document)
    except InvalidFieldError as error:
        raise InvalidRequestError(str(error)) from None


# -- retirement of machines


@decodes("POST", r"/api/retire/([^/]+)")
def _decode_retirement(machine: str, _headers: Mapping[str, str], _body: bytes) -> RetirementRequest:
    return RetirementRequest(machine, is_query=False)


@decodes("GET", r"/api/retire/([^/]+)")
def _decode_retirement_query(machine: str, _headers: Mapping[str, str], _body: bytes) -> RetirementRequest:
    return RetirementRequest(machine, is_query=True)


# -- the placement policy and the regions


@decodes("GET", r"/api/policy")
def _decode_policy_get(_headers: Mapping[str, str], _body: bytes) -> PolicyRequest:
    return PolicyRequest("policy.get", {})


@decodes("PUT", r"/api/policy", max_body_bytes=None)
def _decode_policy_put(headers: Mapping[str, str], body: bytes) -> PolicyRequest:
    try:
        return PolicyRequest("policy.put", {"text": body.decode(), "match": _read_if_match(headers)})
    except UnicodeDecodeError as error:
        raise InvalidPolicyEncodingError("is not UTF-8") from error


@decodes("GET", r"/api/regions")
def _decode_region_list(_headers: Mapping[str, str], _body: bytes) -> PolicyRequest:
    return PolicyRequest("region.list", {})


@decodes("POST", r"/api/regions/([^/]+)")
def _decode_region_state(region: str, headers: Mapping[str, str], body: bytes) -> PolicyRequest:
    document = _read_object(body)
    state: Any = document.get("OperState")
    reason: Any = document.get("Reason")
    if state not in ("out", "in") or not isinstance(reason, str) or not reason.strip():
        raise InvalidRequestError("OperState must be out or in, and Reason must say why")
    return PolicyRequest(
        "region.out" if state == "out" else "region.back",
        {
            "region": region,
            "rule": ANY_RULE,
            "by": "operator",
            "reason": reason[:MAX_REASON_CHARS],
            "epoch": _read_optional_if_match(headers),
        },
    )


# -- evacuations


@decodes("POST", r"/api/evacuations", max_body_bytes=None)
def _decode_evacuation_plan(_headers: Mapping[str, str], body: bytes) -> EvacuationRequest:
    document = _read_object(body, InvalidEvacuationRequestError)
    is_dry_run = document.pop("DryRun", False)
    if not isinstance(is_dry_run, bool):
        raise InvalidEvacuationRequestError("DryRun: must be true or false")
    try:
        return EvacuationRequest("evacuation.plan", {"plan": read_plan(document), "dry_run": is_dry_run})
    except InvalidPlanError as error:
        raise InvalidEvacuationRequestError(str(error)) from None


@decodes("GET", r"/api/evacuations")
def _decode_evacuation_list(_headers: Mapping[str, str], _body: bytes) -> EvacuationRequest:
    return EvacuationRequest("evacuation.get", {})


@decodes("GET", r"/api/evacuations/([^/]+)")
def _decode_evacuation_get(evacuation_id: str, _headers: Mapping[str, str], _body: bytes) -> EvacuationRequest:
    return EvacuationRequest("evacuation.get", {"id": evacuation_id})


@decodes("POST", r"/api/evacuations/([^/]+)/(start|cancel|return)")
def _decode_evacuation_order(
    evacuation_id: str, order: str, _headers: Mapping[str, str], body: bytes
) -> EvacuationRequest:
    reason = _read_object(body).get("Reason", "") if body else ""
    if not isinstance(reason, str):
        raise InvalidRequestError("Reason must be words")
    return EvacuationRequest(f"evacuation.{order}", {"id": evacuation_id, "why": reason[:MAX_REASON_CHARS]})


# -- singleton roles


@decodes("GET", r"/api/duties")
def _decode_role_list(_headers: Mapping[str, str], _body: bytes) -> SingletonRoleRequest:
    return SingletonRoleRequest("duty.list")


@decodes("GET", r"/api/duties/([^/]+)")
def _decode_role_get(key: str, _headers: Mapping[str, str], _body: bytes) -> SingletonRoleRequest:
    return SingletonRoleRequest("duty.list", key)


@decodes("POST", r"/api/duties/([^/]+)/reset")
def _decode_role_reset(key: str, _headers: Mapping[str, str], _body: bytes) -> SingletonRoleRequest:
    return SingletonRoleRequest("duty.reset", key)
