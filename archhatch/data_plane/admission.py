"""Authentication at the edge: whose API key a request carries, as long as the keys are known to be in force."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from multidict import CIMultiDictProxy

from ..routing import RoutingTable
from ..runtime import Clock, Counters, Result, Settings, error_result
from ..upstream.headers import API_KEY_HEADER

UNKNOWN_KEY_CODE = 2019
KEYS_UNCONFIRMED_CODE = 3011

MAX_CLOCK_DRIFT = 0.05  # of RevokeMs: what clocks may differ over it
MIN_CONFIRMATION_SHARE = 0.4  # of RevokeMs: the shortest time for which a confirmation counts
RETRY_AFTER_SHARE = 0.1  # of the confirmation's bound: when a refused client may come back


class ConfirmationSource(Protocol):
    """Knows when the configuration was last confirmed.

    Attributes:
        confirmed_at: When the last question was asked that a serving control node answered.
    """

    confirmed_at: float


def confirmation_bound(revoke_s: float, proof_s: float) -> float:
    """Returns how long, in seconds from the question, a confirmation of the configuration lets keys be admitted.

    The control node that confirmed it may itself rely on a proof of contact that is `proof_s` old; both together stay
    below `revoke_s`, after which a removed key must not be admitted anywhere.

    >>> confirmation_bound(5.0, 1.0)
    3.75
    """
    return max(MIN_CONFIRMATION_SHARE * revoke_s, revoke_s * (1 - MAX_CLOCK_DRIFT) - proof_s)


@dataclass(frozen=True, slots=True)
class Admitted:
    """A request that may go on.

    Attributes:
        tenant: The tenant that its key belongs to; None where no key is needed.
    """

    tenant: str | None = None


class Admission:
    """Checks API keys against the configuration in force."""

    def __init__(
        self, settings: Settings, confirmations: ConfirmationSource, clock: Clock, counters: Counters, proof_s: float
    ) -> None:
        """Reads the bounds from the settings.

        Args:
            settings: The node's settings.
            confirmations: Knows when the configuration was last confirmed.
            clock: The steady clock.
            counters: Where refusals are counted.
            proof_s: How old a control node's own proof of contact may be, in seconds.
        """
        self._confirmations, self._clock, self._counters = confirmations, clock, counters
        self._is_strict = bool(settings.bounds["StrictRevoke"])
        self._bound_s = confirmation_bound(settings.seconds("RevokeMs"), proof_s)

    def check(self, table: RoutingTable, headers: CIMultiDictProxy[str], allows_anonymous: bool) -> Admitted | Result:
        """Admits a request, or refuses it: 401 for an unknown key, 503 while keys are not confirmed.

        Args:
            table: The configuration.
            headers: The request's headers.
            allows_anonymous: Whether the request's route needs no key.
        """
        if allows_anonymous or not table.has_tenants:
            return Admitted()
        is_confirmed = self._clock.now() - self._confirmations.confirmed_at <= self._bound_s
        if self._is_strict and not is_confirmed:
            return self._refuse_unconfirmed()
        keys = headers.getall(API_KEY_HEADER, [])
        tenant = table.tenant_of_key(keys[0]) if len(keys) == 1 else None
        if tenant is not None:
            return Admitted(tenant)
        if not is_confirmed:  # the key may belong to a configuration that has not come here
            return self._refuse_unconfirmed()
        self._counters.add("front.unknown_key")
        return error_result(UNKNOWN_KEY_CODE)

    def _refuse_unconfirmed(self) -> Result:
        self._counters.add("front.keys_unconfirmed")
        return error_result(KEYS_UNCONFIRMED_CODE, after_s=self._bound_s * RETRY_AFTER_SHARE)
