"""The probes, by the part of the system that they measure."""

from . import agreement, control, edge, batch_jobs, process, shares  # noqa: F401
