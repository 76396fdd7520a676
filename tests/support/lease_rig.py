"""Stores of one process that look at a run's lease as time is moved on by hand; their disks are in memory."""

import asyncio
from types import SimpleNamespace

import orjson
from tests.jobs.test_batch_job import LOT
from tests.jobs.test_quorum import Node, Site, quorum_settings
from tests.support.fakes import MemBook

from archhatch.region_policy import Placement
from archhatch.store.evacuation import EvacuationSupport
from archhatch.store.lease_watch import LeaseWatch
from archhatch.store.node import StoreNode
from archhatch.store.repair import Repair
from archhatch.wal import LogError


LOOK_S = 0.04  # between two looks of these tests: below the stand-ins' quiet time


class Disk(MemBook):
    """A log in memory whose disk may be full, or stand still."""

    def __init__(self):
        super().__init__()
        self.full, self.gate = False, asyncio.Event()
        self.gate.set()

    async def append(self, *raws):
        await self.gate.wait()
        if self.full:
            raise LogError("full")
        await super().append(*raws)


async def prepare_handover(_run):
    """Stands in for a leader without texts."""


class Store(Node):
    """A store with its lease watch; what the registers hold it knows at once."""

    leases, new_leadership_term = StoreNode.leases, StoreNode.new_leadership_term

    def __init__(self, site, place, wal, sid):
        super().__init__(site, place, wal, sid)
        self.incarnation, self.frozen = f"life of {sid}", False
        self.plan, self.leader = (
            SimpleNamespace(service_by_model=lambda: {"m": "s"}),
            SimpleNamespace(sync=lambda: None, prepare_handover=prepare_handover, end_handover=lambda _run: None),
        )
        self.replicator.takes, self.replicator.watch = self.membership.takes, self.disk.watch
        self.placement, self.evacuation = Placement(), EvacuationSupport(self)
        self.lease_watch, self.repair, self.wal = LeaseWatch(self), Repair(self), wal

    @property
    def shards(self):
        return {"plan": self.site.value}

    async def _prepare(self, doc, body):
        try:
            out = await self.disk.watch(self.record_store.prepare(doc["run"], doc["term"]))
        except LogError:
            return None
        leadership = self.leaderships.get(doc["run"])
        if out["ok"] and leadership is not None and leadership.term < doc["term"]:
            leadership.step_down()
        return out

    def identity(self):
        return {"id": self.id, "life": self.incarnation}


class Leases(Site):
    """Stores that look at the run's lease as time is moved on by hand."""

    node = Store

    def __init__(self, clock, f=1, n=3):
        self.f = f
        super().__init__(clock, quorum_settings(Machines=f), 0)
        for i in range(n):
            self.start(f"p{i}", Disk())

    async def call(self, address, verb, doc, body=b"", timeout_s=1.0):
        if verb in ("shelf.append", "shelf.prepare") and address not in self.dark and doc["to"] == self.at[address].id:
            try:
                node = self.at[address]
                if verb == "shelf.prepare":
                    out = await node._prepare(doc, body)
                    return (1000, orjson.loads(orjson.dumps(out)), b"") if out is not None else (3010, None, b"")
                return await node.disk.watch(super().call(address, verb, doc, body, timeout_s))
            except LogError:
                return 3010, None, b""
        return await super().call(address, verb, doc, body, timeout_s)

    async def look(self, timeout_s=LOOK_S):
        """Time goes on: every store that runs hears the others and looks at the lease."""
        end = self.clock.at + timeout_s
        while self.clock.at < end - 1e-9:
            self.clock.at += LOOK_S
            for node in self.at.values():
                if node.place not in self.dark:
                    for sid, member in node.members().items():
                        if sid != node.id:
                            await node.ping(sid, member["ip"])
            for node in self.at.values():
                if node.place not in self.dark:
                    node.disk.check_for_stall([0.0])
                    node.lease_watch.check_leases()
            for _ in range(60):
                await asyncio.sleep(0)
            await asyncio.sleep(0.003)  # what reigns wait in real time: a heartbeat of the stand-ins

    def lease(self):
        return self.value["tenures"]["s"]

    def holders(self, job_id=None):
        if job_id is not None:
            return super().holders(job_id)
        return [
            n
            for n in self.at.values()
            if n.place not in self.dark and "s" in n.leaderships and n.leaderships["s"].state == "holding"
        ]

    def holder(self):
        one = [n for n in self.holders() if n.id == self.lease()["holder"]]
        assert len(one) <= 1
        return one[0] if one else None

    async def until_held(self, but=None, within_s=9.0):
        """Look until a store leads under the newest lease; how long that took."""
        began = self.clock.at
        while (node := self.holder()) is None or node is but or node.leaderships["s"].term != self.lease()["term"]:
            assert self.clock.at - began < within_s, self.value["tenures"]
            await self.look()
        return node, self.clock.at - began

    async def serves(self, node, job_id="new"):
        """Whether a holder takes a lot with its copies."""
        await node.leaderships["s"].accept_job({"lot": job_id, "host": "h", "path": "/p/"}, orjson.dumps(LOT))
        return len(super().holders(job_id)) >= self.f + 1
