"""The roles' figures: what each costs at the size."""

from . import edge, core, leader, worker, controller, operator  # noqa: F401
