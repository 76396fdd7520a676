"""Stores that collect usage, and an edge's sender to them, without a network."""

import types

from tests.support.fakes import HandClock

from archhatch.rpc import CallError
from archhatch.runtime import Counters
from archhatch.usage.collector import UsageCollector
from archhatch.usage.counter import UsageSender

VOTERS = {"s1": "1:1", "s2": "2:1", "s3": "3:1"}


class Stores:
    """Stores that gather; one that is down answers nothing. Each names the holder of the duty."""

    def __init__(self):
        self.down, self.holder, self.asked = set(), None, []
        self.collectors = {sid: UsageCollector() for sid in VOTERS}

    def to(self, address):
        sid = next(sid for sid, where in VOTERS.items() if where == address)
        return types.SimpleNamespace(call=lambda verb, doc, timeout_s: self._call(sid, doc))

    async def _call(self, sid, doc):
        self.asked.append(sid)
        if sid in self.down:
            raise CallError("no answer", sent=True)
        sums = {int(window): counts for window, counts in doc["sums"].items()}
        self.collectors[sid].record_report(doc["edge"], doc["life"], doc["version"], sums, 0.0)
        return 1000, {"holder": self.holder}, b""


def usage_sender(stores, incarnation="l1"):
    clock = HandClock()
    config_watcher = types.SimpleNamespace(
        agreed_time=lambda steady: steady,
        shards={"plan": {"ledger": {"accounting": {"voters": VOTERS, "stamp": 0}}}},
    )
    settings = types.SimpleNamespace(node_name="e1", seconds=lambda name: 5.0)
    return UsageSender(settings, config_watcher, stores, clock, Counters(), incarnation)
