"""Authentication at the edge: whose key a request carries, as long as the keys are known to be in force."""

from __future__ import annotations

from dataclasses import dataclass

from ..runtime import Result, error_result
from ..upstream.headers import KEY

UNKNOWN_KEY, UNCONFIRMED = 2019, 3011
DRIFT = 0.05  # of RevokeMs: what clocks may differ over it
LEAST = 0.4  # of RevokeMs: the shortest time for which a confirmation counts


def confirmation_bound(revoke_s: float, proof_s: float) -> float:
    """How long, in seconds from the asking, a confirmation of the configuration lets keys be admitted.

    The control node that confirmed it may itself rely on a proof of contact that is `proof_s` old; both together stay
    below `revoke_s`, after which a removed key must not be admitted anywhere.

    >>> confirmation_bound(5.0, 1.0)
    3.75
    """
    return max(LEAST * revoke_s, revoke_s * (1 - DRIFT) - proof_s)


@dataclass(frozen=True, slots=True)
class Admitted:
    """A request that may go on, and the tenant that its key belongs to; None where no key is asked for."""

    tenant: str | None = None


class Admission:
    """Checks keys against the configuration in force.

    >>> # admitted = admission.check(request, route)   # Admitted, or the Result that refuses it
    """

    def __init__(self, settings, config_watcher, clock, counters, proof_s: float):
        self.config_watcher, self.clock, self.counters = config_watcher, clock, counters
        self.strict = bool(settings.bounds["StrictRevoke"])
        self.bound_s = confirmation_bound(settings.seconds("RevokeMs"), proof_s)

    def check(self, plan, headers, no_auth: bool) -> Admitted | Result:
        """Admit a request on a route, or refuse it: 401 for an unknown key, 503 while keys are not confirmed."""
        if no_auth or not plan.has_tenants:
            return Admitted()
        confirmed = self.clock.now() - self.config_watcher.confirmed_at <= self.bound_s
        if self.strict and not confirmed:
            return self._unconfirmed()
        keys = headers.getall(KEY, [])
        tenant = plan.tenant(keys[0]) if len(keys) == 1 else None
        if tenant is not None:
            return Admitted(tenant)
        if not confirmed:  # the key may belong to a configuration that has not come here
            return self._unconfirmed()
        self.counters.add("front.unknown_key")
        return error_result(UNKNOWN_KEY)

    def _unconfirmed(self) -> Result:
        self.counters.add("front.keys_unconfirmed")
        return error_result(UNCONFIRMED, after_s=self.bound_s * 0.1)
