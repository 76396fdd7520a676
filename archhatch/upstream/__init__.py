"""Sends: one request to one replica, and what its answer proves."""

from .client import Answer, UpstreamClient, Ran, StaleConnectionError, belongs, has_end, says_not_run
from .headers import DEADLINE, ECHO, EXPECT_ID, EXPECT_REV, LOAD, NOT_RUN, PROMISES, SEAL, VERSIONS, pass_on
from .connection_pool import AGAIN, ONCE, NotSentError
from .load_balancer import LoadBalancer, ReplicaEndpoint

__all__ = [
    "AGAIN",
    "DEADLINE",
    "ECHO",
    "EXPECT_ID",
    "EXPECT_REV",
    "LOAD",
    "NOT_RUN",
    "ONCE",
    "PROMISES",
    "SEAL",
    "VERSIONS",
    "Answer",
    "Caller",
    "NotSent",
    "Picker",
    "Ran",
    "StaleConnection",
    "Trunkline",
    "belongs",
    "has_end",
    "pass_on",
    "says_not_run",
]
