"""How far an evacuation is, from what a control node knows of registers, replicas and stores."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol, cast

from ..control.register_values import begun_term, stores_of
from ..jobs import active_members
from ..region_policy import Placement
from ..routing import ConfigurationFollower, RoutingTable
from .decisions import Report
from .record import FINAL
from .target_capacity import FIRST_VERSION, Needs, capacity_gaps, cold_models

if TYPE_CHECKING:
    from ..jobs import Quorum
    from ..membership import ReplicaRegistry
    from ..runtime import Settings


class ReadinessHost(Protocol):
    """What is used of the control node."""

    settings: Settings
    registry: ReplicaRegistry
    quorum: Quorum
    configuration: ConfigurationFollower

    @property
    def known(self) -> dict[str, dict]:
        """The newest known state of each register."""


class Readiness:
    """Looks up what evacuations wait for."""

    def __init__(self, host: ReadinessHost, shard: str) -> None:
        """Creates a view of what a node knows.

        Args:
            host: The control node.
            shard: The name of the plan register.
        """
        self._host = host
        self._shard = shard
        self._placement = Placement()

    def value(self) -> dict[str, Any]:
        """Returns the newest known value of the plan register; empty before the first one."""
        return (self._host.known.get(self._shard) or {"val": {}})["val"]

    def open_records(self) -> dict[str, dict]:
        """Returns the records of the evacuations that are not over, by id."""
        records = self.value().get("evacuations", {})
        return {name: record for name, record in records.items() if record["state"] not in FINAL}

    def capacity_gaps(self, plan: dict, rules: list[str]) -> list[str]:
        """Returns what the target of a plan lacks now, in words."""
        value = self.value()
        if not self.has_configuration():
            return ["there is no configuration yet"]
        needs = self._needs(rules)
        members = active_members(stores_of(value))
        return capacity_gaps(
            needs, plan, self._placement.region_of, self._host.registry.replicas.values(), members, self._host.quorum
        )

    def cold_models(self, record: dict) -> list[str]:
        """Returns the models whose newest version no replica of the target has loaded."""
        needs = self._needs(record["rules"])
        replicas = self._host.registry.replicas.values()
        target = record["plan"]["Target"]
        return cold_models(needs, target, self._placement.region_of, replicas, self._newest_versions())

    def missing_reports(self, record: dict, report: Report) -> list[str]:
        """Returns the tenant's runs whose present leader has not reported so far; a run that never began needs none."""
        value = self.value()
        missing = []
        for run in sorted(self._needs(record["rules"]).runs):
            term = begun_term(value, run)
            row = record["reports"].get(run, {})
            is_reported = row.get(report) and row["term"] >= term
            if term and not is_reported:
                missing.append(run)
        return missing

    def is_drained(self, record: dict, in_state_s: float) -> bool:
        """Returns whether all that ran in the place that was left has ended.

        Each node knows of the move within ConvergeMs, and live requests that were sent before end within their
        time-out; of batch jobs, the leaders of the runs report it.
        """
        settings = self._host.settings
        longest_s = min(self._needs(record["rules"]).longest_s, settings.seconds("StatusS"))
        live_requests_s = settings.seconds("ConvergeMs") + longest_s
        return in_state_s >= live_requests_s and not self.missing_reports(record, Report.DRAINED)

    def has_configuration(self) -> bool:
        """Returns whether a configuration is known that can be read."""
        self._host.configuration.update(self.value())
        return self._host.configuration.table is not None

    def _needs(self, rules: list[str]) -> Needs:
        self._placement.update(self.value())
        if not self.has_configuration():
            raise RuntimeError("the needs of a tenant stand in a configuration")
        return Needs.of_rules(cast(RoutingTable, self._host.configuration.table), self._placement, rules)

    def _newest_versions(self) -> dict[str, int]:
        """Returns the newest named version of each model."""
        newest: dict[str, int] = {}
        for state in self._host.known.values():
            for model, version in (state["val"].get("named") or {}).items():
                newest[model] = max(version, newest.get(model, FIRST_VERSION))
        return newest
