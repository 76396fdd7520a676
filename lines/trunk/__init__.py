"""Connections between the system's own nodes: framed messages, calls and their answers."""
from .desk import Desk, Refusal, Verbs
from .line import Line, LineFault, Lines
from .messages import Envelope
from .slab import Slab

__all__ = ["Desk", "Refusal", "Verbs", "Line", "LineFault", "Lines", "Envelope", "Slab"]
