"""The life of an edge node, as its readiness endpoint shows it."""

from __future__ import annotations

STARTING, READY, LEAVING = "starting", "ready", "leaving"
STATES = [STARTING, READY, LEAVING]

# Triggers are methods of the edge: the `transitions` library adds them.
TRANSITIONS = [
    {"trigger": "configuration_arrived", "source": STARTING, "dest": READY},
    {"trigger": "configuration_arrived", "source": READY, "dest": READY},
    {"trigger": "configuration_arrived", "source": LEAVING, "dest": LEAVING},
    {"trigger": "shutdown_ordered", "source": "*", "dest": LEAVING},
]
