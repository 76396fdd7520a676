"""The doctor: runs every check on a settings file and on the nodes that it names."""

from __future__ import annotations

from ..runtime import SettingsError, read_settings
from .disk_checks import check_data_dir
from .findings import Finding, FindingCode
from .node_checks import ask_seed_peers, check_conditions
from .settings_checks import check_settings_values

DEFAULT_TIMEOUT_S = 1.0  # for the answer of each seed peer


class Doctor:
    """Runs all checks on a settings file.

    >>> import asyncio
    >>> [int(finding.code) for finding in asyncio.run(Doctor("/nowhere/settings.json").run())]
    [6001]
    """

    def __init__(self, path: str | None, timeout_s: float = DEFAULT_TIMEOUT_S) -> None:
        self._path = path
        self._timeout_s = timeout_s

    async def run(self) -> list[Finding]:
        """Runs the checks: settings first, then the data folder, then the nodes.

        Returns:
            The findings in this order; just one if the settings cannot be read.
        """
        try:
            settings = read_settings(self._path)
        except SettingsError as error:
            return [Finding(FindingCode.SETTINGS_UNUSABLE, error.field, str(error))]
        findings = check_settings_values(settings)
        findings += check_data_dir(settings)
        conditions, unreachable = await ask_seed_peers(settings, self._timeout_s)
        return [*findings, *unreachable, *check_conditions(conditions)]
