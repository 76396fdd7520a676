"""Checks of running control nodes: each seed peer is asked for its condition, and the answers are compared."""

from __future__ import annotations

from dataclasses import dataclass
from typing import cast

from ..rpc import CallError, ConnectionPool
from ..rpc.server import OK_CODE
from ..runtime import Counters, Settings
from ..runtime.message import Message, wire
from .findings import Finding, FindingCode

CONDITION_VERB = "fitness"


@dataclass(frozen=True, slots=True)
class NodeCondition(Message):
    """What a control node says of itself (ControlNode.condition).

    Attributes:
        has_majority_contact: Whether it reaches a majority of the voters.
        reachable_voters: How many voters it reaches, itself among them.
        voters: How many voters there are.
        is_log_damaged: Whether its write-ahead log was damaged when it started.
        versions: The chosen version of each register, by the register's name.
        silent_for_s: For each replica without heartbeats: seconds since the last one, by the replica's id.
        sources: The fingerprint of the sources that it runs; empty for a version that does not say.
        unreadable_configuration: Which configuration it cannot read, and why; empty if it reads the newest one.
        kinds_at_bound: The kinds of memory of which its callers would need more.
    """

    has_majority_contact: bool = wire("in_touch")
    reachable_voters: int = wire("up")
    voters: int = wire("voters")
    is_log_damaged: bool = wire("damaged")
    versions: dict[str, int] = wire("stamps")
    silent_for_s: dict[str, float] = wire("silent")
    sources: str = wire("sources", default="")
    unreadable_configuration: str = wire("unreadable", default="")
    kinds_at_bound: list[str] = wire("at_bound", default_factory=list)


async def ask_seed_peers(settings: Settings, timeout_s: float) -> tuple[dict[str, NodeCondition], list[Finding]]:
    """Asks each seed peer for its condition, one after the other.

    Args:
        settings: The settings as read from the file.
        timeout_s: How long to wait for each answer.

    Returns:
        The conditions by address, and a finding for each seed peer that gave none.
    """
    conditions: dict[str, NodeCondition] = {}
    findings = []
    connections = ConnectionPool(Counters())
    for seed_peer in settings.seed_peers:
        host = seed_peer.rsplit(":", 1)[0]
        address = f"{host}:{settings.internal_ports[0]}"
        try:
            result = await connections.to(address).call(CONDITION_VERB, {}, timeout_s=timeout_s)
        except CallError as error:
            findings.append(Finding(FindingCode.SEED_PEER_UNREACHABLE, address, str(error)))
            continue
        if result.code != OK_CODE:
            what = f"answers with code {result.code}"
            findings.append(Finding(FindingCode.SEED_PEER_UNREACHABLE, address, what))
            continue
        conditions[address] = NodeCondition.from_document(cast(dict, result.document))
    connections.end()
    return conditions, findings


def check_conditions(conditions: dict[str, NodeCondition]) -> list[Finding]:
    """Returns the faults that the control nodes report, and where they disagree.

    >>> node = NodeCondition(True, 3, 3, False, {"plan": 4}, {"i-1": 7.5})
    >>> [finding.what for finding in check_conditions({"10.0.0.1:47000": node})]
    ['no beat for 7.5 s']

    Args:
        conditions: The condition of each node that answered, by address.
    """
    return [
        *_check_each_node(conditions),
        *_check_versions(conditions),
        *_check_sources(conditions),
        *_check_replicas(conditions),
    ]


def _check_each_node(conditions: dict[str, NodeCondition]) -> list[Finding]:
    findings = []
    for address, condition in conditions.items():
        if not condition.has_majority_contact:
            what = f"reaches {condition.reachable_voters} of {condition.voters} voters"
            findings.append(Finding(FindingCode.NO_MAJORITY_CONTACT, address, what))
        if condition.is_log_damaged:
            what = "its write-ahead log was damaged when it started"
            findings.append(Finding(FindingCode.LOG_DAMAGED, address, what))
        if condition.unreadable_configuration:
            findings.append(Finding(FindingCode.CONFIGURATION_UNREADABLE, address, condition.unreadable_configuration))
        if condition.kinds_at_bound:
            what = f"{', '.join(condition.kinds_at_bound)}"
            findings.append(Finding(FindingCode.CLIENT_MEMORY_FULL, address, what))
    return findings


def _check_versions(conditions: dict[str, NodeCondition]) -> list[Finding]:
    findings = []
    for register in sorted({name for condition in conditions.values() for name in condition.versions}):
        versions = {address: condition.versions.get(register, 0) for address, condition in conditions.items()}
        if len(set(versions.values())) > 1:
            what = ", ".join(f"{address} has {version}" for address, version in sorted(versions.items()))
            findings.append(Finding(FindingCode.VERSIONS_DIFFER, register, what))
    return findings


def _check_sources(conditions: dict[str, NodeCondition]) -> list[Finding]:
    if len({condition.sources for condition in conditions.values()}) <= 1:
        return []
    runs = sorted((address, condition.sources or "an earlier version") for address, condition in conditions.items())
    what = ", ".join(f"{address} runs {sources}" for address, sources in runs)
    return [Finding(FindingCode.SOURCES_DIFFER, "control nodes", what)]


def _check_replicas(conditions: dict[str, NodeCondition]) -> list[Finding]:
    """A replica counts as unreachable only if no node that answered hears it; its latest heartbeat is reported."""
    silent_for_s: dict[str, float] = {}
    for condition in conditions.values():
        for replica_id, age_s in condition.silent_for_s.items():
            silent_for_s[replica_id] = min(age_s, silent_for_s.get(replica_id, age_s))
    return [
        Finding(FindingCode.REPLICA_UNREACHABLE, replica_id, f"no beat for {age_s:.1f} s")
        for replica_id, age_s in sorted(silent_for_s.items())
        if all(replica_id in condition.silent_for_s for condition in conditions.values())
    ]
