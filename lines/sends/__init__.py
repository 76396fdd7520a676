"""Sends: one request to one replica, and what its answer proves."""
from .caller import Answer, Caller, Ran, StaleConnection
from .heads import DEADLINE, ECHO, EXPECT_ID, EXPECT_REV, LOAD, NOT_RUN, SEAL, VERSIONS, pass_on
from .kept import AGAIN, ONCE
from .picker import Picker, Trunkline

__all__ = ["Answer", "Caller", "Ran", "DEADLINE", "ECHO", "EXPECT_ID", "EXPECT_REV", "LOAD", "NOT_RUN", "SEAL",
           "VERSIONS", "pass_on", "Picker", "Trunkline", "StaleConnection", "AGAIN", "ONCE"]
