"""The topics of a control node's state board: who waits on one is woken when what it names has changed."""

from __future__ import annotations

FEED = "feed"  # something that the feed sends: a register, a replica, a control node, the live requests
PLAN_REGISTER = "plan"  # the plan register
MAINTENANCE = "maintenance"  # something for which the registers' groups are to be looked at now
