"""The operator's configuration: reads it, and finds a request's route in it.

Changing one (`.patch`) is the control plane's work, which imports it from there.
"""

from .configuration import Configuration, InvalidConfigError, read_configuration
from .follower import ConfigurationFollower, UnreadableConfiguration
from .routes import JOB_CLASSES, Route, RouteClass
from .routing_table import RoutingTable

__all__ = [
    "JOB_CLASSES",
    "Configuration",
    "ConfigurationFollower",
    "InvalidConfigError",
    "Route",
    "RouteClass",
    "RoutingTable",
    "UnreadableConfiguration",
    "read_configuration",
]
