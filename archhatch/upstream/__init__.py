"""Sends: one request to one replica, and what its answer proves."""

from .client import Answer, UpstreamClient, Ran, StaleConnectionError, belongs, has_end, says_not_run
from .connection_pool import AGAIN, ONCE, NotSentError
from .headers import DEADLINE, ECHO, EXPECT_ID, EXPECT_REV, LOAD, NOT_RUN, PROMISES, SEAL, VERSIONS, pass_on
from .load_balancer import LoadBalancer, ReplicaEndpoint

__all__ = [
    "AGAIN",
    "Answer",
    "DEADLINE",
    "ECHO",
    "EXPECT_ID",
    "EXPECT_REV",
    "LOAD",
    "LoadBalancer",
    "NOT_RUN",
    "NotSentError",
    "ONCE",
    "PROMISES",
    "Ran",
    "ReplicaEndpoint",
    "SEAL",
    "StaleConnectionError",
    "UpstreamClient",
    "VERSIONS",
    "belongs",
    "has_end",
    "pass_on",
    "says_not_run",
]
