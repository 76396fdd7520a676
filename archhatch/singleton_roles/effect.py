"""protect(): does an effect once, under a lease: kept intent, observation after an expiry, act, committed result."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from .errors import EffectFailedError
from .record import PriorState

EffectStep = Callable[[Any], Awaitable[object]]


class RoleCaller(Protocol):
    """Runs commands under the fencing token of a lease; a StandingLease, or a stand-in."""

    async def call(self, name: str, key: str, **arguments: object) -> Any:  # noqa: ANN401 - a JSON document
        """Runs one command; raises RoleCallError unless it was carried out."""


async def protect(
    lease: RoleCaller, key: str, intent: object, act: EffectStep, observe: EffectStep | None = None
) -> object:
    """Does an effect if it was not done before.

    Args:
        lease: The lease under which the effect is done.
        key: The effect's key.
        intent: What is to be done; kept in the register before act is called.
        act: Does it. Gets the intent that the register keeps: this one, or that of the lease holder who began it.
        observe: Called after an expiry only, with the same intent; returns the result if it finds the effect done,
            else None.

    Returns:
        The effect's result.

    Raises:
        RoleCallError: The lease has ended, or the register refuses.
        EffectFailedError: As act raised it; the effect is then kept as failed.
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
        except EffectFailedError as error:
            await lease.call("duty.fail", key, error=str(error))
            raise
    await lease.call("duty.commit", key, result=result)
    return result
