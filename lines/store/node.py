"""A store node: keeps lots, and holds runs when it is its turn."""
from __future__ import annotations

import asyncio
import random

from ..dialplan import Plan
from ..directory import Neighbours, Newsreader, rank
from ..frame import Board, Clock, Counters, Crew
from ..sends import Caller, Picker
from ..cordboard import Leader, Worker
from ..supervisor import Engines, Orders, Reign
from ..supervisor.reign import fetch_over
from ..batches import Replicator, Deposed, Quorum, RecordStore, active
from ..batches.record import pack_many, unpack_many
from ..wal import WriteAheadLog
from ..rpc import Server, CallError, ConnectionPool, Refusal, Handlers


SLOW = 4.0   # times later than the middle one's timers: a node that should not lead


class StoreNode:
    """Everything a store node does.

    >>> # store = StoreNode(boot, log); await store.start(); await store.leave()
    """

    def __init__(self, boot, log, clock=None):
        self.boot, self.log = boot, log
        self.clock = clock or Clock()
        self.ctr = Counters()
        self.crew = Crew(log, self.ctr)
        self.board = Board()
        self.lines = ConnectionPool(self.ctr)
        self.port = boot.ports[0] + 1
        self.life = f"{random.getrandbits(48):012x}"
        self.beat_s = boot.secs("ContactMs", 1 / 15)
        self.quiet_s = boot.secs("ContactMs", 0.25)
        self.woke = self.clock.now()
        self.others = Neighbours()
        self.met: dict[str, float] = {}
        self.proofs: dict[str, tuple] = {}
        self.quorum = Quorum.of(boot)
        self.engines = Engines()
        self.picker = Picker(boot.zone, boot.node, rest_s=boot.secs("ContactMs", 0.2), widen=0.5)
        self.placement = self.picker.placement
        self.plan: Plan | None = None
        self.reigns: dict[str, Reign] = {}
        self.live_services: set = set()
        self.ready = False
        self.leaving = False
        self.lags: dict[str, float] = {}
        self.lag = 0.0     # how late this node's timers are, lately
        self.verbs = Handlers()
        self._register()
        self.desk = Server(self.verbs, log, self.ctr)

    async def start(self) -> None:
        self.book = WriteAheadLog(self.boot.data_dir or "/tmp/archhatch", "store", self.log, clock=self.clock,
                                  counters=self.ctr, limit_bytes=self.boot.disk_mb * 1_000_000)
        self.shelf = RecordStore(self.book, self.clock, self.ctr)
        self.shelf.load(self.book.load())
        self.book.start()
        if not self.shelf.id:
            await self._new_id()
        self.caller = Caller()
        self.picker.idle = self.caller.idle
        self.news = Newsreader(self.boot, self._card(), self.lines, self.board, self.clock, self.ctr)
        self.news.proved = self.picker.proved
        self.copier = Replicator(self.id, self.shelf, self.lines, self.members, self.alive, self.crew, self.ctr,
                             secs=self.quiet_s * 1.5, quorum=self.quorum)
        self.leader = Leader(self, self.boot.share_lock_s, self.boot.share_locks)
        self.worker = Worker(self)
        self.orders = Orders(self)
        await self.desk.open(f"{self.boot.ip}:{self.port}")
        self.crew.keep("news", self.news.run)
        self.crew.keep("parts", self._parts_loop)
        self.crew.keep("roll", self._roll_loop)
        self.crew.keep("pings", self._pings_loop)
        self.crew.keep("watch", self._watch_loop)
        self.crew.keep("mend", self._mend_loop)
        self.crew.keep("leader", self.leader.run)
        self.crew.keep("persist", self.leader.persist)
        self.crew.keep("worker", self.worker.run)
        self.crew.keep("scoring", self.worker.scoring.run)
        self.crew.keep("orders", self.orders.run)
        self.log.info("store {} is up; lots={} bytes={}", self.id, len(self.shelf.lots), self.book.size)

    @property
    def id(self) -> str:
        return self.shelf.id

    async def _new_id(self) -> None:
        await self.shelf.take_id(f"s-{random.getrandbits(64):016x}")

    def _card(self) -> dict:
        return {"id": self.id, "klass": "store", "name": self.boot.node, "ip": self.boot.ip, "zone": self.boot.zone,
                "life": self.life}

    async def leave(self) -> None:
        """Name a successor for each run, then end."""
        self.leaving = True
        for reign in list(self.reigns.values()):
            if reign.state == "holding":
                reign.over()
                self.leader.sync()
                await self._name_successor(reign)
        await self.worker.leave()
        await asyncio.sleep(self.beat_s)
        await self.crew.end()
        await self.desk.close()
        await self.caller.close()
        self.lines.end()
        await self.book.close()
        self.log.info("counters {}", self.ctr.line())

    # -- what others and the news say

    def gap_s(self) -> float:
        """The unit for pauses that hang on how fast replicas should answer."""
        return self.boot.secs("ContactMs", 1 / 12)

    def members(self) -> dict:
        """All stores of the membership, with their addresses."""
        stores = (self.news.parts.get("plan") or {}).get("stores", {})
        return {sid: {**m, "addr": self.addr_of(m)} for sid, m in stores.items()}

    def addr_of(self, member: dict) -> str:
        return f"{member['ip']}:{self.port}"

    def named(self) -> dict:
        out: dict = {}
        for val in self.news.parts.values():
            for model, rev in (val.get("named") or {}).items():
                out[model] = max(rev, out.get(model, 1))
        return out

    def tenures(self) -> dict:
        out: dict = {}
        for val in self.news.parts.values():
            out.update(val.get("tenures") or {})
        return out

    def models_of(self, run: str) -> list:
        """The models that are trained on a service."""
        return [m for m, s in self.plan.models().items() if s == run] if self.plan is not None else []

    def alive(self, sid: str) -> bool:
        now = self.clock.now()
        if sid == self.id:
            return True
        met = self.met.setdefault(sid, now)   # one just heard of has not had its time to speak
        return min(self.others.silent(sid, now), now - max(self.woke, met)) < self.quiet_s

    def confirmed(self, run: str, term: int, secs: float) -> bool:
        """Whether so many stores, this one among them, said within secs that they know no higher term of a run that no
        other can have gathered its holder's right without one of them."""
        if self.shelf.promised.get(run, 0) > term:
            return False
        now = self.clock.now()
        good = {sid for sid, (at, promised) in self.proofs.items() if now - at <= secs and promised.get(run, 0) <= term}
        return self.quorum.enough(good | {self.id}, active(self.members()))

    async def ask_store(self, sid, addr, verb, doc):
        """Call a store's verb; None if that very store does not answer."""
        if sid == self.id:
            out = await self.verbs.table[verb]({"to": sid, **doc}, b"")
            return out
        try:
            code, out, _ = await self.lines.to(addr).call(verb, {"to": sid, **doc}, secs=self.quiet_s * 1.5)
        except CallError:
            return None
        return out if code == 1000 else None

    async def fetch(self, sid, addr, lid, poss, lot):
        return await fetch_over(self, sid, addr, lid, poss, lot)

    def word(self) -> dict:
        """What others are told at a ping. A store that has not read all terms yet proves nothing about them."""
        return {"card": self._card(), "promised": self.shelf.promised if self.ready else None, "lag": self.lag}

    def lacks(self, lid: str) -> dict:
        """Whether a lot is not here, and who else may have it as far as this store knows."""
        return {"me": self.id, "lacks": self.ready and lid not in self.shelf.lots,
                "stores": {sid: {"zone": m["zone"]} for sid, m in self.members().items()}}

    # -- verbs

    def _reign_of(self, lid: str) -> Reign:
        if any(lid in r.pending for r in self.reigns.values() if r.state == "holding"):
            raise Refusal(3004)
        for reign in self.reigns.values():
            if lid in reign.lots and reign.state == "holding":
                return reign
        if any(r.state == "reading" for r in self.reigns.values()):
            raise Refusal(3004)
        raise Refusal(2007)

    def _register(self) -> None:
        on = self.verbs.on

        def mine(doc):
            if doc["to"] != self.id:
                self.ctr.add("shelf.other_life")
                raise Refusal(2008)

        @on("store.ping")
        async def _ping(doc, body):
            self.others.hear(doc["card"], self.clock.now())
            return self.word()

        @on("shelf.prepare")
        async def _prepare(doc, body):
            mine(doc)
            out = await self.shelf.prepare(doc["run"], doc["term"])
            reign = self.reigns.get(doc["run"])
            if out["ok"] and reign is not None and reign.term < doc["term"]:
                reign.over()
            return out

        @on("shelf.append")
        async def _append(doc, body):
            mine(doc)
            if not self.ready:
                raise Refusal(3004)
            return await self.shelf.append(unpack_many(body))

        @on("shelf.fetch")
        async def _fetch(doc, body):
            mine(doc)
            return None, pack_many(self.shelf.fetch(doc["lot"], doc["poss"], doc["want_lot"]))

        @on("shelf.lacks")
        async def _lacks(doc, body):
            return self.lacks(doc["lot"])

        @on("share.fetch")
        async def _fetch_share(doc, body):
            return await self.leader.fetch(doc)

        @on("share.commit")
        async def _commit_share(doc, body):
            return await self.leader.commit(doc, body)

        @on("lot.put")
        async def _put(doc, body):
            reign = self.reigns.get(doc["run"])
            if reign is None or reign.state != "holding" or self.leaving:
                raise Refusal(3005)
            if doc["lot"] in reign.pending:
                raise Refusal(3004)
            if not self.shelf.admits(doc["lot"], len(body)):
                raise Refusal(3008)
            try:
                await reign.put(doc, body)
            except Deposed:
                reign.over()
                raise Refusal(3004) from None

        @on("lot.read")
        async def _read(doc, body):
            reign = self._reign_of(doc["lot"])
            page = await reign.read(doc["lot"], doc["after"], doc["hold"])
            if page is None:
                raise Refusal(3004)
            return {"run": reign.run}, page

        @on("lot.item")
        async def _item(doc, body):
            reign = self._reign_of(doc["lot"])
            if not reign.fresh():
                raise Refusal(3004)
            raw = reign.item(doc["lot"], doc["item"])
            if raw is None:
                raise Refusal(2007, "item")
            return {"run": reign.run}, raw

        @on("lot.end")
        async def _end(doc, body):
            reign = self._reign_of(doc["lot"])
            try:
                await reign.end(doc["lot"])
            except Deposed:
                reign.over()
                raise Refusal(3004) from None
            return {"run": reign.run}

    # -- loops

    async def _parts_loop(self) -> None:
        turn = 0
        while True:
            if self.placement.fold(self.news.parts.get("plan")):
                self.log.info("placement policy: {}", self.placement)
            plan = (self.news.parts.get("plan") or {}).get("plan")
            if plan is not None and (self.plan is None or plan["Revision"] > self.plan.stamp):
                self.plan = Plan(plan)
                self.live_services = self.plan.live_services()
            if self.id in (self.news.parts.get("plan") or {}).get("dropped", {}):
                await self._start_over()
            elif not self.ready and self.id in self.members():
                await self._join()
            self.board.touch("work")
            self.board.touch("orders")
            turn = await self.board.news("parts", turn, self.beat_s * 5)

    async def _join(self) -> None:
        """Learn all terms that were granted before this store was a member; only then take records."""
        for part in ("p0", "p1", "p2"):
            code, tens = await self.news.do(part, "tenure.list", {})
            if code != 1000:
                return
            for run, ten in tens.items():
                if ten["term"] > self.shelf.promised.get(run, 0):
                    await self.shelf.prepare(run, ten["term"])
        self.ready = True
        self.log.info("store {} takes records", self.id)

    async def _start_over(self) -> None:
        """This disk's copies were replaced by others while it was away: begin anew under another id."""
        retired = self.boot.node in self.news.parts["plan"].get("retired", {})
        if self.ready:
            self.log.warning("store {} was dropped; {}", self.id, "it is retired" if retired else "it starts over")
        self.ready = False
        for reign in self.reigns.values():
            reign.over()
        if retired:
            return
        await self.shelf.start_over(f"s-{random.getrandbits(64):016x}")
        self.copier.me = self.shelf.id
        self.news.card = self._card()

    async def _roll_loop(self) -> None:
        turn = 0
        while True:
            ents = self.news.take_roll()
            self.picker.fold(ents)
            self.engines.fold(ents)
            if ents:
                self.board.touch("work")
                self.board.touch("orders")
            turn = await self.board.news("roll", turn)

    async def _pings_loop(self) -> None:
        tasks: dict[str, asyncio.Task] = {}
        while True:
            for sid, m in self.members().items():
                if sid != self.id and (sid not in tasks or tasks[sid].done()):
                    tasks[sid] = self.crew.once("ping", self._ping_one, sid, m["addr"])
            before = self.clock.now()
            await asyncio.sleep(self.beat_s)
            self.lag += 0.3 * (max(0.0, self.clock.now() - before - self.beat_s) - self.lag)
            if self.clock.now() - before > self.quiet_s:
                self.woke = self.clock.now()
                self.proofs.clear()
                self.ctr.add("woke")

    async def _ping_one(self, sid: str, addr: str) -> None:
        at = self.clock.now()
        try:
            code, doc, _ = await self.lines.to(addr).call("store.ping", {"card": self._card()}, secs=self.quiet_s)
        except CallError:
            return
        if code == 1000 and doc["card"]["id"] != sid:
            self.ctr.add("ping.other_life")
        elif code == 1000:
            self.others.hear(doc["card"], self.clock.now())
            if doc["promised"] is not None:
                self.proofs[sid] = (at, doc["promised"])
            self.lags[sid] = doc["lag"]

    async def _watch_loop(self) -> None:
        while True:
            await asyncio.sleep(self.beat_s * random.uniform(0.7, 1.0))
            if not self.ready or self.plan is None or self.leaving:
                continue
            doc = self.news.parts.get("plan") or {}
            runs = set(self.plan.models().values()) | set(doc.get("runs", {}))
            tens, members = self.tenures(), self.members()
            for run in sorted(runs):
                await self._watch_run(run, tens.get(run), members)

    async def _watch_run(self, run, ten, members) -> None:
        reign = self.reigns.get(run)
        if ten and ten["holder"] == self.id and ten["life"] == self.life:
            if reign is None or reign.term < ten["term"]:
                self._begin(run, ten["term"])
            elif reign.state == "holding" and self._slow() and self.clock.now() - reign.began > self.quiet_s * 8:
                self.log.info("run {}: this node is slow (its timers are {:.3f}s late): another is to lead", run, self.lag)
                self.ctr.add("lead.handed_on")
                await self._name_successor(reign)
            return
        if reign is not None and ten and ten["term"] > reign.term:
            reign.over()
        gone = (ten is None or ten["holder"] not in members or members[ten["holder"]]["state"] != "active"
                or not self.alive(ten["holder"]) or ten["holder"] == self.id)
        if not gone:
            return
        names = self._prompt([s for s, m in members.items() if m["state"] == "active" and self.alive(s)])
        if ten is not None and ten["holder"] != self.id:
            names = [s for s in names if s != ten["holder"]]
        if rank(run, names)[:1] != [self.id] and not (ten and ten["holder"] == self.id):
            return
        if ten is None and self.clock.now() - self.woke < self.quiet_s * 2:
            return
        await self._claim(run, ten["term"] if ten else 0, self.id, self.life)

    async def _claim(self, run, seen, holder, life) -> None:
        if run not in (self.news.parts.get("plan") or {}).get("runs", {}):
            code, _ = await self.news.do("plan", "run.open", {"run": run})
            if code != 1000:
                return
        code, ten = await self.news.do("of:" + run, "tenure.claim",
                                       {"run": run, "holder": holder, "life": life, "seen": seen})
        self.ctr.add(f"tenure.claim.{code}")
        if code == 1000 and holder == self.id:
            self._begin(run, ten["term"])

    def _slow(self) -> bool:
        """Whether this node's timers are far later than those of most others that it hears."""
        others = sorted(v for s, v in self.lags.items() if s in self.members() and self.alive(s))
        return bool(others) and self.lag > max(SLOW * others[len(others) // 2], self.beat_s * 0.4)

    def _prompt(self, names: list) -> list:
        """Those of the names that are not slow by their own word; all of them if none is left."""
        lags = {**{s: self.lags.get(s, 0.0) for s in names}, self.id: self.lag}
        row = sorted(lags[s] for s in names)
        bound = max(SLOW * row[len(row) // 2], self.beat_s * 0.4) if row else 0.0
        return [s for s in names if lags[s] <= bound] or names

    def _begin(self, run, term) -> None:
        old = self.reigns.get(run)
        if old is not None:
            if old.term >= term:
                return
            old.over()
        reign = self.reigns[run] = Reign(self, run, term)
        self.crew.once("reign", reign.begin)

    async def _name_successor(self, reign: Reign) -> None:
        members = self.members()
        names = [s for s, m in members.items() if m["state"] == "active" and s != self.id and self.alive(s)]
        for sid in rank(reign.run, self._prompt(names))[:1]:
            life = self.others.cards.get(sid, {}).get("life")
            if life:
                await self._claim(reign.run, reign.term, sid, life)

    async def _mend_loop(self) -> None:
        while True:
            await asyncio.sleep(self.beat_s * 3)
            for reign in list(self.reigns.values()):
                if reign.state == "holding":
                    await reign.mend()
                    reign.forget()
            keep = self.boot.secs("StatusS", 2)
            now = self.clock.now()
            self.shelf.forget([lid for lid, e in self.shelf.lots.items() if e["end"] is not None and now - e["at"] > keep],
                              self.boot.secs("LeaseMs", 2))
            await self.shelf.rewrite_if_due()
