"""Capacity planning: what each role costs at the size to design for, from slopes that were measured here.

The name is that of the telephone exchanges' unit of traffic; the package measures the real objects, fits lines through
the figures (`Measure`), and works out a table for a described size (`Table`).
"""

from .fit import Fit, fit_line
from .measure import Measure
from .size import SizeError, read_size
from .table import Table

__all__ = [
    "Fit",
    "Measure",
    "SizeError",
    "Table",
    "fit_line",
    "read_size",
]
