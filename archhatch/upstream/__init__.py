"""Requests to replicas: which replica one goes to, its connection, and what its response proves."""

from .attempt_result import AttemptResult, Execution, declares_not_executed, has_body_framing, is_response_to
from .client import StaleConnectionError, UpstreamClient
from .connection_pool import Delivery, NotSentError
from .headers import (
    DEADLINE_MS_HEADER,
    EXPECTED_INSTANCE_HEADER,
    EXPECTED_REVISION_HEADER,
    INSTANCE_LOAD_HEADER,
    NOT_EXECUTED_HEADER,
    NOT_EXECUTED_STATUSES,
    REPLY_SEAL_HEADER,
    REQUEST_ID_HEADER,
    WEIGHT_VERSIONS_HEADER,
    Headers,
    end_to_end_headers,
)
from .load_balancer import LoadBalancer
from .replica_pool import ReplicaEndpoint

__all__ = [
    "AttemptResult",
    "DEADLINE_MS_HEADER",
    "Delivery",
    "EXPECTED_INSTANCE_HEADER",
    "EXPECTED_REVISION_HEADER",
    "Execution",
    "Headers",
    "INSTANCE_LOAD_HEADER",
    "LoadBalancer",
    "NOT_EXECUTED_HEADER",
    "NOT_EXECUTED_STATUSES",
    "NotSentError",
    "REPLY_SEAL_HEADER",
    "REQUEST_ID_HEADER",
    "ReplicaEndpoint",
    "StaleConnectionError",
    "UpstreamClient",
    "WEIGHT_VERSIONS_HEADER",
    "declares_not_executed",
    "end_to_end_headers",
    "has_body_framing",
    "is_response_to",
]
