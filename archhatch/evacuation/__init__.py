"""Planned evacuation: a tenant is told, then its requests and rollouts move to another region, and later back.

`record` holds the states and what a data-plane node needs to know, `plans` reads an operator's plan, `commands` keeps
the records in the agreed state, `room` checks the target, `notices` tells the tenant, `duty` drives records on the
control node that holds the lease, `client` is the command line.
"""

from .record import Moves, EvacuationState

__all__ = [
    "EvacuationState",
    "Moves",
]
