"""The states of a replica's health, and the outcomes of requests from which it is judged."""

from __future__ import annotations

import enum


class HealthState(enum.StrEnum):
    """How a replica is used."""

    HEALTHY = "healthy"  # gets requests
    SUSPECT = "suspect"  # gets fewer; after an ejection a few as trials
    EJECTED = "ejected"  # gets none until its ejection is over


class RequestOutcome(enum.StrEnum):
    """How a request to a replica ended. The values stand in calls between nodes, so they keep their form."""

    SERVED = "served"
    LATE = "late"  # another replica that was asked too was faster
    FAILED = "faulted"
    UNREACHABLE = "vanished"  # could not be reached, or another process answers there
    OVERLOADED = "shed"  # refused for want of room, which says nothing about health


# The members by short names: they are compared for each request, and a look-up on the class costs more than that.
HEALTHY, SUSPECT, EJECTED = HealthState.HEALTHY, HealthState.SUSPECT, HealthState.EJECTED
