"""A worker of the share groups (KIP-932): draws entries from the leaders, drives replicas with them, settles them."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import orjson

from ..rollout_controller.load_limit import LoadLimit
from ..rollout_controller.scoring import Scoring
from ..rpc import CallError, CallRefusedError
from .item_stream import ItemStream
from .acquired_entry import AcquiredEntry


class LeaderSession:
    """What a worker keeps of one run: its leader's epoch, the entries in hand, settlements on their way."""

    def __init__(self):
        self.epoch = 0
        self.attach = True
        self.poll = 0
        self.entries: dict[tuple, AcquiredEntry] = {}
        self.off: list = []  # streams that ended, until a poll that told of them was answered
        self.got: list = []  # batches that came
        self.heard = float("-inf")  # when the leader's last answered question was sent
        self.poke = asyncio.Event()
        self.ready = asyncio.Event()  # settlements wait


class Worker:
    """Pulls from the leader of every run and runs what it gets.

    >>> # worker = Worker(store); task_group.run_forever("worker", worker.run)
    """

    def __init__(self, store):
        self.store = store
        self.sessions: dict[str, LeaderSession] = {}
        self.load_limit = LoadLimit()
        self.stream = ItemStream(store)
        self.scoring = Scoring(store, self.load_limit)
        self.hold_s = store.settings.seconds("CancelMs", 0.25)
        self.touch_s = store.settings.seconds("CancelMs", 0.5)

    async def run(self) -> None:
        """One pulling and one committing task for each run that there is."""
        store, turn = self.store, 0
        while True:
            for run in store.tenures():
                if run not in self.sessions:
                    self.sessions[run] = LeaderSession()
                    store.task_group.run_forever("pull", self._pull, run)
                    store.task_group.run_forever("commit", self._commit, run)
                desk, lead = self.sessions[run], self._leader(run)
                if lead is not None and lead[0] != desk.epoch:
                    desk.poke.set()  # another leads now: don't wait for the old one's answer
            self.load_limit.update(store.config_watcher.live_totals)
            turn = await store.state_board.wait_for_change("work", turn, store.heartbeat_interval_s)

    async def leave(self) -> None:
        """Give everything back at once: what runs is released with what was made of it, what is whole is committed."""
        for desk in self.sessions.values():
            for job in list(desk.entries.values()):
                if job.state == "running" and job.task is not None:
                    job.task.cancel()
        end = self.store.clock.now() + self.store.quiet_s
        while self.store.clock.now() < end and any(
            j.row is not None or j.state == "running" for d in self.sessions.values() for j in d.entries.values()
        ):
            await asyncio.sleep(self.store.heartbeat_interval_s * 0.1)

    def _leader(self, run: str):
        ten = self.store.tenures().get(run)
        member = self.store.members().get(ten["holder"]) if ten else None
        return (ten["term"], ten["holder"], member["addr"]) if member else None

    async def _ask(self, sid: str, address: str, verb: str, doc: dict, body: bytes, timeout_s: float):
        """Call the leader, which may be this very node."""
        doc = {"to": sid, **doc}
        if sid == self.store.id:
            try:
                out = await self.store.verbs.table[verb](doc, body)
            except CallRefusedError as e:
                return e.code, e.document, b""
            doc, raw = out if isinstance(out, tuple) else (out, b"")
            return 1000, doc, raw
        return await self.store.connections.to(address).call(verb, doc, body, timeout_s=timeout_s)

    # -- pulling

    async def _pull(self, run: str) -> None:
        store, desk = self.store, self.sessions[run]
        while True:
            lead = self._leader(run)
            if lead is None or not store.ready or store.leaving:
                await asyncio.sleep(store.heartbeat_interval_s)
                continue
            if lead[0] != desk.epoch:
                desk.epoch, desk.attach = lead[0], True
            desk.poke.clear()
            poll = store.task_group.spawn("poll", self._poll, run, desk, lead)
            poke = asyncio.ensure_future(desk.poke.wait())
            try:
                await asyncio.wait([poll, poke], return_when=asyncio.FIRST_COMPLETED)
            finally:
                poke.cancel()
            if poll.done() and not poll.cancelled() and poll.result() is not True:
                await asyncio.sleep(store.heartbeat_interval_s * 0.25)

    async def _poll(self, run: str, desk: LeaderSession, lead: tuple) -> bool:
        """One question to the leader; takes up what it answers. False if it gave nothing to go on."""
        store, (epoch, sid, address) = self.store, lead
        sent = store.clock.now()
        desk.poll += 1
        off, got = list(desk.off), list(desk.got)
        held = [j for j in desk.entries.values()] if desk.attach else None
        doc = {
            "worker": store.id,
            "life": store.incarnation,
            "zone": store.settings.zone,
            "lag": store.lag,
            "run": run,
            "epoch": epoch,
            "poll": desk.poll,
            "hold": self.hold_s,
            "off": off,
            "got": got,
            "holding": None
            if held is None
            else [[*j.key(), j.card["engine"] if j.state == "running" else None] for j in held],
        }
        try:
            code, out, raw = await self._ask(sid, address, "share.fetch", doc, b"", self.hold_s + store.quiet_s)
        except CallError:
            return False
        if epoch != desk.epoch:
            return True
        if code == 3007:
            desk.attach = True
        if code != 1000 or out is None:
            return False
        if out.get("old"):
            return True
        if store.clock.now() - sent > self.touch_s:
            # it lay on the way, or this node stood still: what it hands out may be ended by now
            store.counters.add("share.stale_batch")
            return False
        desk.heard = max(desk.heard, sent)
        desk.off = [x for x in desk.off if x not in off]
        desk.got = [x for x in desk.got if x not in got]
        if out["kept"] is not None and held is not None:
            self._keep(desk, held, out["kept"])
            desk.attach = False
        for shard, offset, delivery, why in out["drop"]:
            job = next(
                (
                    j
                    for j in desk.entries.values()
                    if (j.card["part"], j.card["off"], j.card["dc"]) == (shard, offset, delivery)
                ),
                None,
            )
            # a recall that comes when the stream has ended finds no place to give back: the entry goes on
            if job is not None and job.task is not None and (why != "recall" or job.state == "running"):
                job.task.cancel()
        if out["batch"] is not None:
            desk.got.append(out["batch"])
            for card in orjson.loads(raw):
                self._take(run, desk, card, sent)
        store.state_board.notify("score")
        return True

    def _keep(self, desk: LeaderSession, held: list, kept: list) -> None:
        """Under a new epoch only what its leader took up again stays."""
        new = {(job_id, iid): (offset, delivery) for job_id, iid, offset, delivery in kept}
        desk.off = []
        for job in held:
            mine = new.get(job.key())
            if mine is None:
                desk.entries.pop(job.key(), None)
                if job.task is not None:
                    job.task.cancel()
                continue
            job.card["off"], job.card["dc"] = mine
            job.locked_until = self.store.clock.now() + job.card["lock"]
            if job.row is not None:
                job.row["off"], job.row["dc"] = mine
            if job.state != "running":
                desk.off.append([job.card["part"], *mine])
        desk.ready.set()

    def _take(self, run: str, desk: LeaderSession, card: dict, sent: float) -> None:
        key = (card["lot"], card["iid"])
        old = desk.entries.get(key)
        if old is not None and old.task is not None:  # given up by the leader, and handed out anew
            desk.entries.pop(key)
            old.task.cancel()
        job = AcquiredEntry(
            run,
            card,
            sent + card["lock"],
            texts=card["texts"],
            last_id=card["last"],
            versions=set(card["versions"]),
            fails=card["fails"],
        )
        job.item = SimpleNamespace(iid=card["iid"], scorer=card["scorer"])
        job.may_send = lambda: self._may_send(job)
        desk.entries[key] = job
        job.task = self.store.task_group.spawn("item", self._run, desk, job)

    def _may_send(self, job: AcquiredEntry) -> bool:
        """Whether a new request of this entry may reach a replica: the lock stands and the leader was heard lately, so
        that the lot cannot have been ended for longer than the bound allows."""
        now = self.store.clock.now()
        desk = self.sessions[job.run]
        return now < job.locked_until and now - desk.heard <= self.touch_s and desk.entries.get(job.key()) is job

    # -- running

    async def _run(self, desk: LeaderSession, job: AcquiredEntry) -> None:
        try:
            await self.stream.run(job)
        except asyncio.CancelledError:
            # the leader wants it back: what was made goes with it
            if desk.entries.get(job.key()) is job and job.state == "running":
                self._settle(desk, job, "release")
            else:
                desk.entries.pop(job.key(), None) if desk.entries.get(job.key()) is job else None
            self._off(desk, job)
            raise
        if job.state == "running":
            self._settle(desk, job, "release")
            return
        self._off(desk, job)
        doc = {"InstanceId": job.card["iid"], "OperState": "aborted", "Text": "", "WeightVersions": []}
        try:
            if job.fails < job.card["sends"]:
                seal = await self.scoring.score(job, tuple(job.card["key"])) if job.card["scorer"] else ""
                if seal is not None:
                    doc = {
                        "InstanceId": job.card["iid"],
                        "OperState": "complete",
                        "Text": "\n".join(job.texts),
                        "WeightVersions": sorted(job.versions),
                    }
                    if job.card["scorer"]:
                        doc["Score"] = seal
        except asyncio.CancelledError:
            if desk.entries.get(job.key()) is job:
                desk.entries.pop(job.key())
            raise
        self.store.counters.add("item." + doc["OperState"])
        self._settle(desk, job, "accept" if doc["OperState"] == "complete" else "reject", doc)

    def _off(self, desk: LeaderSession, job: AcquiredEntry) -> None:
        """The place at the replica is free: say so at once."""
        if not job.off_told:
            job.off_told = True
            desk.off.append([job.card["part"], job.card["off"], job.card["dc"]])
            desk.poke.set()

    def _settle(self, desk: LeaderSession, job: AcquiredEntry, kind: str, doc: dict | None = None) -> None:
        """Settle an entry; it counts once the leader has committed it."""
        job.state = "settling"
        c = job.card
        job.row = {
            "part": c["part"],
            "off": c["off"],
            "dc": c["dc"],
            "kind": kind,
            "engine": c["engine"],
            "signs": job.signs,
        }
        if kind == "release":
            job.row.update(
                texts=job.texts,
                last=job.last_id,
                versions=sorted(job.versions),
                fails=job.fails,
                pause=job.pause,
                forget_home=job.forget_home,
            )
        else:
            job.row["doc"] = doc
        desk.ready.set()

    async def _commit(self, run: str) -> None:
        """Bring settlements to the leader, all that wait in one call; again until it answers."""
        store, desk = self.store, self.sessions[run]
        while True:
            await desk.ready.wait()
            desk.ready.clear()
            jobs = [j for j in desk.entries.values() if j.row is not None][:64]
            lead = self._leader(run)
            if not jobs:
                continue
            if lead is None or lead[0] != desk.epoch or desk.attach:
                await asyncio.sleep(store.heartbeat_interval_s * 0.25)  # _pull takes them to the new leader first
                desk.ready.set()
                continue
            rows = [dict(j.row) for j in jobs]
            try:
                code, out, _ = await self._ask(
                    lead[1],
                    lead[2],
                    "share.commit",
                    {"worker": store.id, "run": run, "epoch": desk.epoch},
                    orjson.dumps(rows),
                    store.quiet_s * 2,
                )
            except CallError:
                code, out = 0, None
            if code == 3007:
                desk.attach = True
            if code != 1000:
                store.counters.add("share.uncommitted")
                await asyncio.sleep(store.heartbeat_interval_s * 0.5)
                desk.ready.set()
                continue
            for job, row, done in zip(jobs, rows, out["done"]):
                if (
                    job.row is not None
                    and (job.row["off"], job.row["dc"]) == (row["off"], row["dc"])
                    and desk.entries.get(job.key()) is job
                ):
                    desk.entries.pop(job.key())
                    if not done:
                        store.counters.add("share.lost_settlement")
            if any(j.row is not None for j in desk.entries.values()):
                desk.ready.set()
