"""What the leader of a service's partitions does: batches for workers, settlements, and the turns of its own loop."""

from __future__ import annotations

import itertools
import types

import orjson

from ..needs import need
from ..probe import probe
from .made import SERVICES, entry, batch_job, plan

RUN, MODEL, WORKERS, OF_SERVICE = "service-03", "model-03", 18, 250


class Led:
    """A leader with one open lot of 2,048 items whose workers' replicas are all busy, but for the places of one worker.

    >>> # led = Led(250, 32); await led.open(); await led.go()
    """

    def __init__(self, replicas: int, places: int):
        frame = "runtime"
        head = {"lot": "a", "run": RUN, "host": "host3.example", "path": "/path3/x"}
        self.batch_job = need("jobs", "read_job")(head, orjson.dumps({**batch_job(2048, 64), "Model": MODEL}), 0.0)
        self.batch_job.base_offset = 0
        self.engines = need("rollout_controller", "Engines", "apply_entries", "of_service", "count_of")()
        self.engines.apply_entries([{**entry(i), "service": RUN, "models": {MODEL: 7}} for i in range(replicas)])
        self.leadership = types.SimpleNamespace(
            state="holding",
            batch_jobs={"a": self.batch_job},
            is_confirmed=lambda: True,
            run=RUN,
            term=1,
            window_records=[],
            append_result=self._list,
            step_down=lambda: None,
        )
        names = [f"w{i:02d}" for i in range(WORKERS)]
        self.counters = need(frame, "Counters")()
        store = types.SimpleNamespace(
            id="w99",
            incarnation="x",
            leaderships={RUN: self.leadership},
            engines=self.engines,
            plan=need("routing", "RoutingTable", "from_document").from_document(plan(SERVICES)),
            clock=need(frame, "Clock")(),
            state_board=need(frame, "StateBoard")(),
            config_watcher=types.SimpleNamespace(live_totals={}),
            counters=self.counters,
            heartbeat_interval_s=0.2,
            quiet_s=60.0,
            leaving=False,
            alive=lambda sid: True,
            members=lambda: {n: {"state": "active"} for n in names},
            placement=need("region_policy.placement", "Placement")(),
        )
        need("share_group.acquisition", "EntryAcquisition", "acquire_batch")
        self.leader = need("share_group", "PartitionLeader", "fetch", "commit", "sync", "notify_workers")(store)
        self.names, self.places, self.polls = names, places, itertools.count(1)

    async def _list(self, batch_job, iid, doc) -> None:
        batch_job.positioned_items.add(iid)  # copies have a probe of their own

    async def open(self):
        """All workers say that they hold nothing; then one of them drives replicas with free places."""
        confirmed, self.leadership.is_confirmed = self.leadership.is_confirmed, lambda: False
        for i, name in enumerate(self.names):
            await self._fetch(name, f"zone-{i:02d}", [])
        self.leadership.is_confirmed = confirmed
        run = self.leader.runs[RUN]
        mine = self.engines.of_service(RUN)
        self.worker = self.leader.slots.driver_of(run, mine[0])
        left = self.places
        for e in mine:
            free = min(left, e.slots) if self.leader.slots.driver_of(run, e) == self.worker else 0
            e.running_items[MODEL] = e.slots - free
            left -= free
        if left:
            raise ValueError(f"{left} places lack")
        return self

    async def _fetch(self, name: str, zone: str, holding, got=()):
        return await self.leader.fetch(
            {
                "worker": name,
                "life": "x",
                "zone": zone,
                "lag": 0.001,
                "run": RUN,
                "epoch": 1,
                "poll": next(self.polls),
                "hold": 0.0,
                "off": [],
                "got": list(got),
                "holding": holding,
            }
        )

    async def go(self) -> None:
        """One batch fetched and accepted, over the encoded forms of both."""
        out, raw = await self._fetch(self.worker, "", None)
        cards = orjson.loads(raw)
        if len(cards) != self.places:
            raise ValueError(f"a batch of {len(cards)}, not {self.places}")
        self.leader.runs[RUN].workers[self.worker].unconfirmed_batches.clear()
        done = await self.leader.commit(
            {"worker": self.worker, "run": RUN, "epoch": 1},
            orjson.dumps(
                [
                    {
                        "part": c["part"],
                        "off": c["off"],
                        "dc": c["dc"],
                        "kind": "accept",
                        "engine": c["engine"],
                        "signs": [["served", 1.0], ["pace", 0.03]],
                        "doc": {"InstanceId": c["iid"]},
                    }
                    for c in cards
                ]
            ),
        )
        if done["done"] != [True] * self.places:
            raise ValueError(f"settlements are answered {done}")

    def turn(self) -> None:
        """What the leader's loop does whenever there is news of work."""
        self.leader.slots.load_limit.update({})
        self.leader.sync()
        self.leader.recalls.recall_for_live_requests()
        self.leader.notify_workers()


@probe(
    "leader.fetch",
    "cpu",
    "give out and take back one entry, all other places being busy",
    "replicas of the service",
    (125, 250, 500, 1000),
)
async def _fetch(n):
    led = await Led(n, 1).open()

    async def function():
        for _ in range(10):
            await led.go()

    yield function, 10


@probe(
    "leader.batch",
    "cpu",
    f"give out and take back one batch, with {OF_SERVICE} replicas of the service",
    "entries",
    (4, 16, 64),
)
async def _batch(n):
    led = await Led(OF_SERVICE, n).open()

    async def function():
        for _ in range(5):
            await led.go()

    yield function, 5


@probe(
    "leader.turn", "cpu", "one turn of the leader's loop over one run", "replicas of the service", (125, 250, 500, 1000)
)
async def _turn(n):
    led = await Led(n, 1).open()

    def function():
        for _ in range(20):
            led.turn()

    yield function, 20


@probe("window.settle", "cpu", "acquire and accept the entries of a window", "entries", (50, 100, 200))
async def _settle(n):
    made = need("share_group", "SharePartition", "append", "acquire", "acknowledge")

    def function():
        win = made("m", 1, 30.0, 200)
        job = types.SimpleNamespace(job_id="a")
        rows = [win.append(job, types.SimpleNamespace(item_id=f"i{at}", at=at), 0) for at in range(n)]
        for e in rows:
            win.acquire(e, "w", 0.0)
        for e in rows:
            win.acknowledge(e.offset, "w", 1, "accept")
        if win.start_offset != n:
            raise ValueError(f"the window starts at {win.start_offset}, not {n}")

    yield function, 1
