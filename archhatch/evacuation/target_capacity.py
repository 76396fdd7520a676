"""Whether the target of an evacuation can take a tenant: its replicas, their places and weights, and its stores."""

from __future__ import annotations

from dataclasses import dataclass

ROLLOUTS = ("rollout", "batch")  # kinds of lanes whose requests come as lots


@dataclass(frozen=True, slots=True)
class Needs:
    """What a tenant's lanes lead to: all services, and those of them whose runs come as lots, with their models."""

    services: frozenset
    runs: frozenset
    models: dict  # model -> its service, for the models that are trained on these runs
    longest_s: float  # the longest time-out of its live requests

    @classmethod
    def of(cls, plan, placement, rules: list) -> Needs:
        """From the configuration and the policy: the lanes that one of these rules binds."""
        services, runs, longest = set(), set(), 0.0
        for route in plan.routes():
            rule = placement.rule(route)
            if rule is None or rule.name not in rules:
                continue
            names = {service for service, _ in route.split}
            services |= names
            if route.kind in ROLLOUTS:
                runs |= names
            else:
                longest = max(longest, route.timeout_s)
        models = {model: service for model, service in plan.models().items() if service in runs}
        return cls(frozenset(services), frozenset(runs), models, longest)


def lacks(needs: Needs, evacuation: dict, region_of: dict, replicas, members: dict, quorum) -> list:
    """What the target lacks, in words; nothing if it can take the tenant.

    evacuation: the plan of one. replicas: entries of the registry. members: the stores that may take records.
    """
    out = []
    places = _places(replicas, region_of)
    for service in sorted(needs.services):
        here, there = (places.get((service, evacuation[key]), 0) for key in ("Origin", "Target"))
        want = here * evacuation["Room"]
        if there < want or (here and not there):
            out.append(f"{service}: {there} places in {evacuation['Target']}, {want:g} wanted")
    stores = {sid: m for sid, m in members.items() if region_of.get(m["zone"]) == evacuation["Target"]}
    if needs.runs and not quorum.has_enough_copies(stores, members):
        out.append(f"{len(stores)} stores in {evacuation['Target']}: too few for copies that outlive what may be lost")
    return out


def unloaded(needs: Needs, target: str, region_of: dict, replicas, named: dict) -> list:
    """Models of which no replica of the target has the newest named weights."""
    newest: dict = {}
    for entry in replicas:
        if entry["state"] == "up" and region_of.get(entry["zone"]) == target:
            for model, version in entry["models"].items():
                newest[model] = max(version, newest.get(model, 0))
    return sorted(model for model in needs.models if newest.get(model, 0) < named.get(model, 1))


def _places(replicas, region_of: dict) -> dict:
    """(service, region) -> places of its replicas that take requests."""
    out: dict = {}
    for entry in replicas:
        if entry["state"] == "up" and not entry.get("silent"):
            key = (entry["service"], region_of.get(entry["zone"]))
            out[key] = out.get(key, 0) + entry["slots"]
    return out
