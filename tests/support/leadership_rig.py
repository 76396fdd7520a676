"""A store whose neighbours are record stores in the same process: what a leadership term needs of its host."""

import asyncio

import orjson
from tests.support.fakes import MemBook

from archhatch.jobs.ownership_contest import OwnershipContest
from archhatch.jobs.job_calls import ClaimAnswer
from archhatch.jobs import DeposedError, Quorum, Record, RecordStore
from archhatch.runtime import Counters, StateBoard, TaskGroup, open_logs
from archhatch.runtime.settings import check_settings

BOOT = check_settings({"NodeName": "n", "IpAddress": "1.1.1.1", "InternalPorts": [1, 9]})


class FakeCopier:
    def __init__(self, store):
        self.store, self.puts, self.deposed = store, [], False
        self.calls = self
        self.gate = asyncio.Event()  # copies arrive while it is set
        self.gate.set()

    def has_enough_copies(self, record):
        return self.store.quorum.has_enough_copies(record.held, self.store.members())

    def prefers(self, run):
        return frozenset()

    def targets(self, job_id, held, preferred=()):
        return [sid for sid in ("me", "b") if sid not in held]

    async def claim(self, sid, run, term, job_id, is_settled=False, is_withdrawn=False):
        return ClaimAnswer(None if sid in self.store.silent else True)

    def contest(self, run):
        return OwnershipContest(run, self.store.quorum, self.store.members, self.store.alive)

    async def replicate(self, run, term, records, contest=None):
        self.puts.append((term, records))
        await self.gate.wait()
        if self.deposed:
            raise DeposedError(run)
        for r in records:
            r.held |= {"me", "b"}


class FakeStore:
    """A store whose neighbours are record stores in the same process."""

    def __init__(self, clock, names=("me", "b", "c")):
        self.id, self.clock, self.settings = "me", clock, BOOT
        self.counters, self.state_board, self.log, self.heartbeat_interval_s = (
            Counters(),
            StateBoard(),
            open_logs("t", "CRITICAL"),
            0.01,
        )
        self.task_group = TaskGroup(self.log, self.counters)
        self.record_stores = {n: RecordStore(MemBook(), clock, Counters()) for n in names}
        self.record_store, self.quorum = self.record_stores["me"], Quorum.from_settings(BOOT)
        self.replicator = FakeCopier(self)
        self.config_watcher, self.silent, self.proof = self, set(), True

    async def run_command(self, shard, name, args):
        return 1000, {"stores": self.members(), "runs": {}}

    def members(self):
        return {n: {"ip": n, "state": "active", "zone": "z"} for n in self.record_stores}

    def addr_of(self, m):
        return m["ip"]

    def alive(self, sid):
        return sid not in self.silent

    def confirmed(self, run, term, timeout_s):
        return self.proof

    async def call_store(self, sid, address, verb, doc):
        return None if sid in self.silent else await self.record_stores[sid].prepare(doc["run"], doc["term"])

    async def fetch_records(self, sid, address, job_id, poss, batch_job):
        if sid in self.silent:
            return None
        records = self.record_stores[sid].fetch(job_id, poss, batch_job)
        return [Record(orjson.loads(orjson.dumps(r.head)), r.body) for r in records]
