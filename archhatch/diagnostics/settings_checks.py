"""Checks of a settings file by itself, without disk or network."""

from __future__ import annotations

from ..runtime import Settings
from .findings import Finding, FindingCode

ANY_ADDRESS = "0.0.0.0"
# Machines of these classes hold data that must outlive a restart.
CLASSES_WITH_DATA = ("core", "storage")
# ConvergeMs under this share of ContactMs: a change may spread too late for the nodes that wait for it.
MIN_CONVERGE_SHARE = 1 / 3


def check_settings_values(settings: Settings) -> list[Finding]:
    """Returns the faults of settings that are well-formed.

    Args:
        settings: The settings as read from the file.
    """
    return [
        *_check_bindings(settings),
        *_check_seed_peers(settings),
        *_check_data_dir_is_set(settings),
        *_check_durations(settings),
    ]


def _check_bindings(settings: Settings) -> list[Finding]:
    code = FindingCode.SETTINGS_CONTRADICTORY
    first_port, last_port = settings.internal_ports
    findings = []
    for name, address in settings.bindings.items():
        host, port = address.rsplit(":", 1)
        if host not in (settings.ip_address, ANY_ADDRESS):
            what = f"{address} is not on this machine ({settings.ip_address})"
            findings.append(Finding(code, f"Bindings.{name}", what))
        if first_port <= int(port) <= last_port:
            findings.append(Finding(code, f"Bindings.{name}", f"{address} lies within InternalPorts"))
    return findings


def _check_seed_peers(settings: Settings) -> list[Finding]:
    code = FindingCode.SEED_PEERS_UNUSABLE
    findings = []
    if not settings.seed_peers:
        findings.append(Finding(code, "SeedPeers", "is empty: this node finds nobody"))
    if len(set(settings.seed_peers)) < len(settings.seed_peers):
        findings.append(Finding(code, "SeedPeers", "names one address twice"))
    return findings


def _check_data_dir_is_set(settings: Settings) -> list[Finding]:
    if settings.data_dir or settings.machine_class not in CLASSES_WITH_DATA:
        return []
    what = f"is missing on a {settings.machine_class} machine: nothing would outlive a restart"
    return [Finding(FindingCode.DATA_DIR_UNUSABLE, "DataDir", what)]


def _check_durations(settings: Settings) -> list[Finding]:
    if settings.seconds("ConvergeMs") >= settings.seconds("ContactMs", MIN_CONVERGE_SHARE):
        return []
    what = "is under a third of ContactMs: news may come too late"
    return [Finding(FindingCode.SETTINGS_CONTRADICTORY, "Bounds.ConvergeMs", what)]
