"""The operator's configuration: used to find a request's route.

Reading, checking and changing one (`.schemas`, `.patch`) is the control plane's and the tools' work; they import it
from there, so that nodes which only use a configuration do not load a schema library.
"""

from .routes import JOB_CLASSES, Route, RouteClass
from .routing_table import RoutingTable

__all__ = [
    "JOB_CLASSES",
    "Route",
    "RouteClass",
    "RoutingTable",
]
