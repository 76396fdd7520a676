"""Planned evacuation: a tenant is notified, then its requests and rollouts move to another region, and later back.

`record` holds the states and what other nodes need to know, `plans` reads an operator's plan, `commands` keeps the
records in the plan register. On the control node that holds the lease, `controller` drives the records by the rules in
`decisions`; `readiness` and `target_capacity` say how far they are, `notice_sender` and `notices` notify the tenant.
`client` is the command line.
"""

from .record import EvacuationState, Moves

__all__ = [
    "EvacuationState",
    "Moves",
]
