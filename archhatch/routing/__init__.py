"""The operator's configuration: used to find a request's lane.

Reading, checking and changing one (`.schemas`, `.patch`) is the control plane's and the tools' work; they import it
from there, so that nodes which only use a configuration do not load a schema library.
"""

from .routes import Route, RoutingTable

__all__ = [
    "Route",
    "RoutingTable",
]
