"""Stores of one membership in virtual time, with several runs: what becomes of jobs while stores come and go.

Copies, claims, takeovers and repair are the product's; the network, the disks and the control nodes are stand-ins. A
call takes a moment of its own, and a store that is cut off or without power neither asks nor answers.
"""

import asyncio
import random
from types import SimpleNamespace

import orjson
from tests.jobs.test_quorum import Node, Site, quorum_settings
from tests.support.fakes import MemBook

from archhatch.jobs import DeposedError, JobOwnedElsewhereError
from archhatch.rpc import CallError
from archhatch.rollout_controller import LeadershipTerm
from archhatch.simulation.loop import Incarnation, VirtualClock, VirtualLoop
from archhatch.store.repair import Repair

LONGEST_DELAY_S = 0.02  # of a call, each way
WRITE_S = 0.004  # a disk takes so long at most
STATUS_S = 120.0
CANCEL_S = 3.0
ROUND_S = 5.0  # between rounds of upkeep


class SlowBook(MemBook):
    """A disk whose writes take their time; what is under way when the power goes is lost."""

    def __init__(self, rng):
        super().__init__()
        self.rng = rng
        self.size = 0

    async def append(self, *raws):
        await asyncio.sleep(self.rng.random() * WRITE_S)
        await super().append(*raws)


class ClusterNode(Node):
    """One process of a store."""

    def __init__(self, site, place, wal, sid):
        super().__init__(site, place, wal, sid)
        self.life = Incarnation(f"{place}:{sid}")
        site.lives.append(self.life)
        self.connections = SimpleNamespace(to=lambda address: Connection(site, self, address))
        self.replicator.connections = self.replicator.calls.connections = self.connections
        self.repairing = Repair(self)
        self.wal = wal

    def spawn(self, coro):
        return self.site.loop.spawn(self.life, coro)


class Connection:
    """Calls from one store to another."""

    def __init__(self, site, caller, address):
        self.site, self.caller, self.address = site, caller, address

    async def call(self, verb, doc, body=b"", timeout_s=1.0):
        site, rng = self.site, self.site.rng
        deadline = site.loop.time() + timeout_s
        await asyncio.sleep(rng.random() * LONGEST_DELAY_S)
        if site.are_apart(self.caller.place, self.address):
            await asyncio.sleep(deadline - site.loop.time())
            raise CallError(self.address, sent=True)
        answer = site.at[self.address].spawn(Site.call(site, self.address, verb, doc, body, timeout_s))
        try:
            result = await asyncio.wait_for(asyncio.shield(answer), deadline - site.loop.time())
        except TimeoutError:
            raise CallError(self.address, sent=True) from None
        await asyncio.sleep(rng.random() * LONGEST_DELAY_S)
        if site.are_apart(self.caller.place, self.address):
            raise CallError(self.address, sent=True)
        return result


class Cluster(Site):
    """Stores by place, and what trainers were told.

    Attributes:
        leaders: The place of the store that leads each run.
        terms: The newest term of each run.
        accepted: The runs that acknowledged each job.
        ended_at: When a job's end was acknowledged first, by the clock.
    """

    node = property(lambda self: ClusterNode)

    def __init__(self, seed, n, f):
        self.rng = random.Random(seed)
        self.loop = VirtualLoop(self.rng)
        settings = quorum_settings(Machines=f)
        self.lives = []
        super().__init__(VirtualClock(self.loop), settings, 0)
        self.value = {"runs": {}}
        self.leaders, self.terms, self.accepted, self.ended_at = {}, {}, {}, {}
        for i in range(n):
            self.start(f"p{i}", SlowBook(self.rng))
        for node in self.at.values():
            node.replicator.alive = node.alive

    def are_apart(self, one, other):
        return one != other and not self.dark.isdisjoint({one, other})

    def play(self, steps):
        """Plays steps, each a name and its arguments; the cluster is at rest at the end."""
        try:
            self.loop.run_until_complete(self._play(steps))
            assert not self.loop.faults, self.loop.faults
        finally:
            self.loop.shut(self.lives)

    async def _play(self, steps):
        for name, *arguments in steps:
            await getattr(self, name)(*arguments)
            self.check()
        await self.rest()

    async def rest(self):
        """All stores are back and in touch, and each run has a new leader that has taken up all it can."""
        self.dark.clear()
        for place in list(self.at):
            await self.power(place)
        for run in sorted(self.terms):
            await self.lead(run, 0)
        await self.wait(20)
        self.check()

    # -- steps

    async def wait(self, seconds):
        """Time passes, with a round of upkeep at each store from time to time."""
        end = self.loop.time() + seconds
        while (left_s := end - self.loop.time()) > 0:
            await asyncio.sleep(min(left_s, ROUND_S))
            if seconds >= ROUND_S:
                for number in range(len(self.at)):
                    await self.repair(number)
                self.check()

    async def cut(self, number):
        self.dark.add(f"p{number % len(self.at)}")

    async def heal(self, number):
        self.dark.discard(f"p{number % len(self.at)}")

    async def power(self, place):
        """A store loses power and starts again."""
        place = place if isinstance(place, str) else f"p{place % len(self.at)}"
        old = self.at[place]
        self.loop.end(old.life)
        raws, book = old.record_store.wal.raws, SlowBook(self.rng)
        book.raws = list(raws)
        self.at[place] = node = ClusterNode(self, place, book, old.id)
        node.replicator.alive = node.alive

    async def lead(self, run, number):
        """A store begins to lead a run, as after the loss of its former leader; that one may not know."""
        place = f"p{number % len(self.at)}"
        self.terms[run] = term = self.terms.get(run, 0) + 1
        self.leaders[run] = place
        node = self.at[place]
        node.spawn(self._begin(node, run, term))
        await asyncio.sleep(0)

    async def _begin(self, node, run, term):
        leadership = node.leaderships[run] = LeadershipTerm(node, run, term)
        try:
            await leadership.begin()
        except DeposedError:
            pass

    def leadership(self, run):
        node = self.at[self.leaders[run]] if run in self.leaders else None
        return None if node is None else node.leaderships.get(run)

    async def submit(self, run, job_id):
        """A job is handed in; the caller does not wait for the answer."""
        leadership = self.leadership(run)
        if leadership is not None:
            node = self.at[self.leaders[run]]
            node.spawn(self._submit(leadership, run, job_id))
            await asyncio.sleep(0)

    async def _submit(self, leadership, run, job_id):
        if leadership.state != "holding" or job_id in leadership.pending_jobs:
            return
        items = [{"InstanceId": f"{job_id}-{n}", "Path": "/x"} for n in range(2)]
        body = orjson.dumps({"Model": "m", "TrainStep": 0, "Entries": items})
        try:
            await leadership.accept_job({"lot": job_id, "run": run, "host": "h", "path": "/p/"}, body)
        except DeposedError:
            leadership.step_down()
        except JobOwnedElsewhereError:
            pass
        else:
            self.accepted.setdefault(job_id, set()).add(run)

    async def end(self, job_id):
        """A job's end is asked for, at each leader that serves it."""
        for run in sorted(self.leaders):
            leadership = self.leadership(run)
            if leadership is not None and leadership.state == "holding" and job_id in leadership.batch_jobs:
                self.at[self.leaders[run]].spawn(self._end(leadership, job_id))
        await asyncio.sleep(0)

    async def _end(self, leadership, job_id):
        try:
            await leadership.end_job(job_id)
        except DeposedError:
            leadership.step_down()
        else:
            self.ended_at.setdefault(job_id, self.loop.time())

    async def repair(self, number):
        """One round of a store's upkeep."""
        node = self.at[f"p{number % len(self.at)}"]
        node.spawn(node.repairing.run_round())
        await asyncio.sleep(0)

    # -- what must hold

    def open_jobs(self):
        """The jobs that run: each with the runs that serve it."""
        serving = {}
        for place, node in self.at.items():
            for run, leadership in node.leaderships.items():
                is_leading = self.leaders.get(run) == place and leadership.term == self.terms[run]
                if is_leading and leadership.state == "holding":
                    for job_id, job in leadership.batch_jobs.items():
                        if not job.is_ended:
                            serving.setdefault(job_id, set()).add(run)
        return serving

    def check(self):
        for job_id, runs in self.accepted.items():
            assert len(runs) == 1, f"{job_id} was accepted by {sorted(runs)}"
        for job_id, runs in self.open_jobs().items():
            assert len(runs) == 1, f"{job_id} is served by {sorted(runs)}"
            ended_at = self.ended_at.get(job_id, self.loop.time())
            assert self.loop.time() - ended_at <= CANCEL_S, f"{job_id} ended at {ended_at:.1f} and is open again"

    def remains(self, job_id):
        """The stores on which anything of a job is left."""
        return [place for place, node in self.at.items() if node.record_store.owner_of(job_id) is not None]
