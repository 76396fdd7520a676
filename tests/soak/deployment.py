"""The deployment of a soak: real processes on loopback, and the review's stand-ins for what is outside."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "review" / "common"))

from harness import (  # noqa: E402 - the folder is on the path only now
    BOUNDS,
    HOST,
    LIMITS,
    ClientConnection,
    CouldNotRunError,
    Message,
    Record,
    Replica,
    System,
    call_once,
    status_of,
)

BLUE, GREEN = "llm-blue", "llm-green"
EVENTS = 16
EVENT_S, SLOW_EVENT_S = 0.04, 0.4  # a slow item streams for twice CancelMs
SLOW_EVERY = 3  # items
ORDER_WORK_S = (0.02, 0.02, 0.3, 1.0, 3.0)  # in turn
SLOTS = 8  # of a replica of live requests
BURST = "burst"  # the end of a target whose work takes so long that a burst needs all replicas
BURST_WORK_S = 0.3


def _route(name: str, kind: str, service: str, timeout_ms: int, **more: object) -> dict:
    return {
        "Name": name,
        "HostName": HOST,
        "PathPrefix": f"/{name}/",
        "RouteClass": kind,
        "TimeoutMs": timeout_ms,
        "TargetLatencyMs": 400,
        "Priority": 2,
        "Service": service,
        "MaxAttempts": 3,
        **more,
    }


def configuration(
    revision: int,
    model_service: str,
    timeout_ms: int = 20000,
    has_roll: bool = True,
    max_body_bytes: int = LIMITS["MaxBodyBytes"],
) -> dict:
    """Returns a version: which service has the model and the rollout route, and whether there is that route."""
    routes = [
        _route("quote", "idempotent", "quote-app", 2000),
        _route("order", "non_idempotent", "order-app", 6000),
        _route("score", "idempotent", "score-app", 2000),
    ]
    if has_roll:
        more = {"ResultDueMs": 30000, "MaxQueueS": 60, "Resumable": True}
        routes.append(_route("roll", "rollout", model_service, timeout_ms, **more))
    plain = {"HealthPath": "/health", "MaxConnections": 160, "Protocol": "h1", "TlsMode": False}
    services = [{"Name": name, **plain} for name in ("quote-app", "order-app", "score-app")]
    for name in (BLUE, GREEN):
        models = [{"Name": "m"}] if name == model_service else []
        services.append({"Name": name, **plain, "Engine": {"SlotCount": 4, "KvCapacity": 123037, "ModelList": models}})
    limits = {**LIMITS, "MaxBodyBytes": max_body_bytes}
    return {"Revision": revision, "RouteTable": routes, "ServiceTable": services, "Limits": limits}


def _quote_work_s(target: str) -> float:
    return BURST_WORK_S if target.endswith(BURST) else ORDER_WORK_S[0]


def _event_s(target: str) -> float:
    return EVENT_S if int(target.rsplit("/", 1)[1]) % SLOW_EVERY else SLOW_EVENT_S


def _order_work_s(target: str) -> float:
    if target.endswith(BURST):
        return BURST_WORK_S
    return ORDER_WORK_S[int(target.rsplit("/", 1)[1]) % len(ORDER_WORK_S)]


def replicas_of(system: System) -> list[Replica]:
    """Returns the replicas of all services, not started."""
    numbers = iter(range(1, 100))
    found = [Replica(system, "quote-app", next(numbers), slots=SLOTS, work_s=_quote_work_s) for _ in range(3)]
    found += [Replica(system, "order-app", next(numbers), slots=SLOTS, work_s=_order_work_s) for _ in range(3)]
    found += [Replica(system, "score-app", next(numbers), slots=SLOTS) for _ in range(2)]
    for service in (BLUE, GREEN):
        found += [Replica(system, service, next(numbers), model="m", work_s=_event_s, events=EVENTS) for _ in range(3)]
    return found


__all__ = [
    "BLUE",
    "BOUNDS",
    "BURST",
    "GREEN",
    "HOST",
    "SLOTS",
    "ClientConnection",
    "CouldNotRunError",
    "Message",
    "Record",
    "Replica",
    "System",
    "call_once",
    "configuration",
    "replicas_of",
    "status_of",
]
