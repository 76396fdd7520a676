"""protect(): does an effect once, under a lease: kept intent, observation after an expiry, act, committed result."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from .lease import StandingLease
from .record import PriorState

Step = Callable[[object], Awaitable[object]]


class EffectFailedError(Exception):
    """Raised by an act that can never succeed as it stands: the effect is FAILED until an operator resets it."""


async def protect(lease: StandingLease, key: str, intent: object, act: Step, observe: Step | None = None) -> object:
    """The result of an effect, which is done if it was not done before.

    act gets the intent that the ledger keeps: this one, or that of the holder who began the effect. observe gets it
    too, after an expiry only, and gives the result if it finds the effect done, else None. RoleCallError if the lease
    has ended or the ledger refuses; EffectFailedError as act raised it.
    """
    begun = await lease.call("duty.intend", key, intent=intent)
    if begun["cached"]:
        return begun["result"]
    result = None
    if observe is not None and begun["prior"] == PriorState.EXPIRED.value:
        result = await observe(begun["intent"])
    if result is None:
        try:
            result = await act(begun["intent"])
        except EffectFailedError as e:
            await lease.call("duty.fail", key, error=str(e))
            raise
    await lease.call("duty.commit", key, result=result)
    return result
