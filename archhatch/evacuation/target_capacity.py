"""Whether the target of an evacuation can take a tenant: its replicas' slots and weights, and its stores."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ..membership import takes_requests

if TYPE_CHECKING:
    from ..jobs import Quorum
    from ..region_policy import Placement
    from ..routing import RoutingTable

ROLLOUT_KINDS = ("rollout", "batch")  # kinds of routes whose requests come as batch jobs
FIRST_VERSION = 1  # a model of which no version was named has this one


@dataclass(frozen=True, slots=True)
class Needs:
    """What a tenant's routes lead to.

    Attributes:
        services: All services.
        runs: The services whose requests come as batch jobs.
        models: The service of each model that is trained on these runs.
        longest_s: The longest time-out of the tenant's live requests.
    """

    services: frozenset[str]
    runs: frozenset[str]
    models: dict[str, str]
    longest_s: float

    @classmethod
    def of_rules(cls, routes: RoutingTable, placement: Placement, rules: Collection[str]) -> Needs:
        """Collects the needs of the routes that one of these rules binds."""
        services: set[str] = set()
        runs: set[str] = set()
        longest_s = 0.0
        for route in routes.routes():
            rule = placement.rule(route)
            if rule is None or rule.name not in rules:
                continue
            names = {service for service, _ in route.traffic_split}
            services |= names
            if route.kind in ROLLOUT_KINDS:
                runs |= names
            else:
                longest_s = max(longest_s, route.timeout_s)
        models = {model: service for model, service in routes.service_by_model().items() if service in runs}
        return cls(frozenset(services), frozenset(runs), models, longest_s)


def capacity_gaps(  # noqa: PLR0913 - a pure function: it is given all that it judges by
    needs: Needs,
    plan: dict,
    region_of: Mapping[str, str],
    replicas: Iterable[Mapping[str, Any]],
    members: dict,
    quorum: Quorum,
) -> list[str]:
    """Finds what the target lacks.

    Args:
        needs: What the tenant needs.
        plan: The evacuation's plan.
        region_of: The region of each zone.
        replicas: The entries of the registry.
        members: The stores that may take records.
        quorum: Says how many copies are enough.

    Returns:
        What is lacking, in words; nothing if the target can take the tenant.
    """
    gaps = []
    target = plan["Target"]
    slots = _slots(replicas, region_of)
    for service in sorted(needs.services):
        origin_slots = slots.get((service, plan["Origin"]), 0)
        target_slots = slots.get((service, target), 0)
        wanted = origin_slots * plan["Room"]
        is_absent = origin_slots > 0 and target_slots == 0  # also with Room = 0, something must serve there
        if target_slots < wanted or is_absent:
            gaps.append(f"{service}: {target_slots} places in {target}, {wanted:g} wanted")
    stores = {store_id: member for store_id, member in members.items() if region_of.get(member["zone"]) == target}
    if needs.runs and not quorum.has_enough_copies(stores, members):
        gaps.append(f"{len(stores)} stores in {target}: too few for copies that outlive what may be lost")
    return gaps


def cold_models(
    needs: Needs,
    target: str,
    region_of: Mapping[str, str],
    replicas: Iterable[Mapping[str, Any]],
    newest_versions: Mapping[str, int],
) -> list[str]:
    """Returns the models of which no replica of the target has loaded the newest version.

    Args:
        needs: What the tenant needs.
        target: The target's region.
        region_of: The region of each zone.
        replicas: The entries of the registry.
        newest_versions: The newest named version of each model.
    """
    loaded: dict[str, int] = {}
    for entry in replicas:
        is_up = entry["state"] == "up" and not entry.get("superseded")
        if is_up and region_of.get(entry["zone"]) == target:
            for model, version in entry["models"].items():
                loaded[model] = max(version, loaded.get(model, 0))
    return sorted(model for model in needs.models if loaded.get(model, 0) < newest_versions.get(model, FIRST_VERSION))


def _slots(replicas: Iterable[Mapping[str, Any]], region_of: Mapping[str, str]) -> dict[tuple, int]:
    """Returns the slots of the replicas that take requests, by (service, region)."""
    slots: dict[tuple, int] = {}
    for entry in replicas:
        if takes_requests(entry):
            key = (entry["service"], region_of.get(entry["zone"]))
            slots[key] = slots.get(key, 0) + entry["slots"]
    return slots
