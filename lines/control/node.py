"""A control node: agreement on the parts, the roll of replicas, and the news for all others."""
from __future__ import annotations

import asyncio
import random

import orjson

from ..areacodes.duty import RegionDuty
from ..counter import Window
from ..directory import LiveBook, Neighbours, Roll, part_of, rank
from ..frame import Board, Clock, Counters, Crew, fault_result, json_result
from ..consensus import Acceptor, Proposer, Unclear
from ..batches import Quorum
from ..wal import WriteAheadLog
from ..rpc import Server, CallError, ConnectionPool, Refusal, Handlers
from .calls import BadCall, Beat, GetPlan, Leave, OnPolicy, PutPlan, PutVersion, Retire, decode
from .registers import OTHERS, PARTS, PLAN, commands, news_view

MOST_VOTERS = 5


class ControlNode:
    """Everything a control node does.

    >>> # core = ControlNode(boot, log); await core.start(); await core.leave()
    """

    def __init__(self, boot, log, clock=None):
        self.boot, self.log = boot, log
        self.clock = clock or Clock()
        self.ctr = Counters()
        self.crew = Crew(log, self.ctr)
        self.board = Board()
        self.lines = ConnectionPool(self.ctr)
        self.roll = Roll()
        self.cores = Neighbours()
        self.live = LiveBook(boot.secs("ContactMs", 2 / 3))
        self.stores = Neighbours()
        self.quorum = Quorum.of(boot)
        self.life = f"{random.getrandbits(48):012x}"
        self.addr = f"{boot.ip}:{boot.ports[0]}"
        self.beat_s = boot.secs("ContactMs", 1 / 15)
        self.quiet_s = boot.secs("ContactMs", 0.25)
        self.started = self.clock.now()
        self.id = ""
        self.founders: dict | None = None
        self.known: dict[str, dict] = {}
        self.keepers: dict[str, Acceptor] = {}
        self.owners: dict[str, Proposer] = {}
        self.acked: dict[str, tuple] = {}
        self._part_bytes: dict[str, tuple] = {}
        self._roll_bytes: dict = {}
        self.leaving = False
        self.calls = {Beat: self._beat, Leave: self._leave_call, PutPlan: self._put_plan, GetPlan: self._get_plan,
                      PutVersion: self._put_version, Retire: self._retire, OnPolicy: self._on_policy}
        self.regions = RegionDuty(self, PLAN)
        self.verbs = Handlers()
        self._register()
        self.desk = Server(self.verbs, log, self.ctr)
        self.window = Window(self._http, log, self.ctr)

    # -- life

    async def start(self) -> None:
        self.book = WriteAheadLog(self.boot.data_dir or "/tmp/archhatch", "core", self.log, clock=self.clock,
                                  counters=self.ctr, limit_bytes=self.boot.disk_mb * 1_000_000)
        self.book.snapshot = self._log_records
        for p in PARTS:
            self.keepers[p] = Acceptor(p, self.book, self.ctr)
        for raw in self.book.load():
            rec = orjson.loads(raw)
            if "id" in rec:
                self.id, self.founders = rec["id"], rec["founders"]
            else:
                self.keepers[rec["p"]].adopt(rec)
        self.book.start()
        if not self.id:
            await self._found()
        for p in PARTS:
            self.owners[p] = Proposer(p, self.id, commands, self._ask, lambda p=p: self._base(p), self._publish, self.ctr,
                                   secs=self.boot.secs("ContactMs", 0.25))
        await self.desk.open(self.addr)
        await self.window.open(self.boot.listen["ControlPlane"])
        for seed in self.boot.seeds:
            ip = seed.rsplit(":", 1)[0]
            if ip != self.boot.ip:
                self.crew.keep("ping", self._ping_loop, f"{ip}:{self.boot.ports[0]}")
        self.crew.keep("sweep", self._sweep_loop)
        self.crew.keep("tend", self._tend_loop)
        self.crew.keep("regions", self.regions.run)
        self.log.info("control node {} is up; founder={} records={}", self.id, bool(self.founders), self.book.size)

    async def _found(self) -> None:
        """A first start on an empty disk: the seeds found the group, others get an id by chance and join."""
        ips = [s.rsplit(":", 1)[0] for s in self.boot.seeds]
        if self.boot.first and self.boot.ip in ips:
            self.id = f"f-{self.boot.ip}"
            self.founders = {f"f-{ip}": f"{ip}:{self.boot.ports[0]}" for ip in ips}
        else:
            self.id = f"n-{random.getrandbits(64):016x}"
        await self.book.append(orjson.dumps({"id": self.id, "founders": self.founders}))

    async def leave(self) -> None:
        self.leaving = True
        self.window.leaving = True
        await self.window.close(self.boot.secs("GraceS", 0.25))
        await self.crew.end()
        await self.desk.close()
        self.lines.end()
        await self.book.close()
        self.log.info("counters {}", self.ctr.line())

    # -- what is known of the parts

    def _base(self, part: str) -> dict | None:
        best = self.known.get(part)
        mine = self.keepers[part].state
        if mine is not None and (best is None or mine["stamp"] > best["stamp"]):
            best = mine
        if best is None and self.founders:
            best = {"stamp": 0, "val": {}, "voters": self.founders, "prev": None}
        return best

    def _publish(self, part: str, state: dict, spread: bool = True) -> None:
        old = self.known.get(part)
        if old is not None and old["stamp"] >= state["stamp"]:
            return
        self.known[part] = state
        if part == PLAN:
            self.board.touch("plan")
        self.board.touch("news")
        if spread:
            for nid in self.cores.cards:
                self.crew.once("commit", self._send_commit, nid, part, state)

    async def _send_commit(self, nid, part, state) -> None:
        card = self.cores.cards.get(nid)
        if card is not None and nid != self.id:
            await self._call(card["addr"], "part.commit", {"part": part, "state": state})

    def card(self) -> dict:
        return {"id": self.id, "ip": self.boot.ip, "addr": self.addr, "zone": self.boot.zone, "name": self.boot.node}

    def alive(self, nid: str) -> bool:
        return nid == self.id or self.cores.silent(nid, self.clock.now()) < self.quiet_s

    def in_touch(self) -> bool:
        """Whether this node reaches a majority of the configuration's group."""
        base = self._base(PLAN)
        if base is None:
            return False
        up = sum(1 for v in base["voters"] if self.alive(v))
        return 2 * up > len(base["voters"])

    def _owners(self, part: str) -> list:
        base = self._base(part)
        if base is None:
            return []
        names = [v for v in base["voters"] if self.alive(v)]
        return rank(part, names)

    # -- calls between nodes

    async def _call(self, addr, verb, doc, secs=None):
        try:
            code, out, _ = await self.lines.to(addr).call(verb, doc, secs=secs or self.quiet_s)
        except CallError:
            return None
        return out if code == 1000 else None

    async def _ask(self, addr, verb, doc):
        if addr == self.addr:
            return await self.verbs.table[verb](doc, b"")
        return await self._call(addr, verb, doc, self.boot.secs("ContactMs", 0.25))

    async def run_command(self, part: str, name: str, args: dict):
        """Run a command where the part's owner is: (code, document). Refusal 3003 if no majority answers."""
        for nid in self._owners(part)[:2] or [self.id]:
            if nid == self.id:
                try:
                    return await self.owners[part].do(name, args)
                except Unclear:
                    break
            addr = self._base(part)["voters"][nid]
            try:
                code, doc, _ = await self.lines.to(addr).call(
                    "part.do", {"part": part, "name": name, "args": args}, secs=self.boot.secs("ContactMs", 0.4))
            except CallError:
                self.ctr.add("part.owner_silent")
                continue
            if code != 3003:
                return code, doc
        raise Refusal(3003)

    def _register(self) -> None:
        on = self.verbs.on

        @on("part.prepare")
        async def _prepare(doc, body):
            return {"me": self.id, **await self.keepers[doc["part"]].prepare(tuple(doc["ballot"]))}

        @on("part.accept")
        async def _accept(doc, body):
            return {"me": self.id, **await self.keepers[doc["part"]].accept(tuple(doc["ballot"]), doc["state"])}

        @on("part.confirm")
        async def _confirm(doc, body):
            return {"me": self.id, **await self.keepers[doc["part"]].confirm(tuple(doc["ballot"]))}

        @on("part.commit")
        async def _commit(doc, body):
            self._publish(doc["part"], doc["state"], spread=False)

        @on("part.hear")
        async def _hear(doc, body):
            return self.known.get(doc["part"])

        @on("part.do")
        async def _do(doc, body):
            try:
                code, out = await self.owners[doc["part"]].do(doc["name"], doc["args"])
            except Unclear:
                raise Refusal(3003) from None
            if code != 1000:
                raise Refusal(code, out)
            return out

        @on("do")
        async def _route(doc, body):
            if not self.in_touch():
                raise Refusal(3003)
            part = doc["part"]
            if part.startswith("of:"):
                part = part_of(part[3:], OTHERS)
            code, out = await self.run_command(part, doc["name"], doc["args"])
            if code != 1000:
                raise Refusal(code, out)
            return out

        @on("core.ping")
        async def _ping(doc, body):
            lack = self._heed(doc)
            return {**self._ping_doc(None), "lack": lack}

        @on("roll.push")
        async def _push(doc, body):
            self._take_roll(doc["roll"])
            return {"me": self.id}

        @on("fitness")
        async def _fitness(doc, body):
            return self._fitness()

        @on("live")
        async def _live(doc, body):
            self._heed_live([[doc["id"], s, n, 0.0] for s, n in doc["live"].items()])
            if doc.get("spread", True):
                for c in list(self.cores.cards.values()):
                    self.crew.once("live", self._call, c["addr"], "live", {**doc, "spread": False})

        @on("news")
        async def _news(doc, body):
            return await self._news(doc)

    def _fitness(self) -> dict:
        """What the doctor asks for."""
        now, base = self.clock.now(), self._base(PLAN)
        voters = base["voters"] if base else {}
        return {"id": self.id, "in_touch": self.in_touch(), "voters": len(voters),
                "up": sum(1 for v in voters if self.alive(v)), "damaged": self.book.damaged,
                "stamps": {p: s["stamp"] for p, s in self.known.items()},
                "silent": {r: now - self.roll.heard[r] for r, e in self.roll.all.items()
                           if e.get("silent") and e["state"] != "gone"}}

    # -- pings

    def _ping_doc(self, addr) -> dict:
        now = self.clock.now()
        doc = {"card": self.card(), "life": self.life, "stores": [[c, self.stores.silent(i, now)] for i, c in self.stores.cards.items()],
               "live": self.live.since(now), "stamps": {p: s["stamp"] for p, s in self.known.items()},
               "others": [c for i, c in self.cores.cards.items() if self.cores.silent(i, now) < self.quiet_s * 4]}
        if self.regions.served:
            doc["served"] = self.regions.words()
        if addr is not None:
            turn = self.acked.get(addr, ("", 0))[1]
            doc["roll"], doc["turn"] = self.roll.beats_since(turn, now), self.roll.beat_turn
        return doc

    def _heed(self, doc: dict) -> bool:
        """Take up a ping or its answer; True if it was told in short of replicas that are not known here."""
        now = self.clock.now()
        card = doc["card"]
        fresh = card["id"] not in self.cores.cards
        for nid, old in list(self.cores.cards.items()):
            if old["addr"] == card["addr"] and nid != card["id"]:
                self.cores.forget(nid)
        self.cores.hear(card, now)
        if fresh:
            self.log.info("control node {} at {} is known", card["id"], card["addr"])
            self.board.touch("news")
        for other in doc["others"] + [card]:
            if other["id"] != self.id and other["addr"] != self.addr:
                if other["id"] not in self.cores.cards and not any(
                        c["addr"] == other["addr"] for c in self.cores.cards.values()):
                    self.cores.learn(other)
                self._watch(other["addr"])
        lack = self._take_roll(doc.get("roll") or [])
        self._heed_live(doc["live"])
        self.regions.heed(doc.get("served", ()))
        for store, age in doc["stores"]:
            self.stores.hear(store, now - age)
        for part, stamp in doc["stamps"].items():
            if stamp > self.known.get(part, {"stamp": 0})["stamp"]:
                self.crew.once("hear", self._hear_part, card["addr"], part)
        return lack

    def _heed_live(self, words: list) -> None:
        now = self.clock.now()
        before = set(self.live.busy(now))
        for edge, svc, n, age in words:
            self.live.put(edge, {svc: n}, now - age)
        if set(self.live.busy(now)) != before:
            self.board.touch("news")

    def _watch(self, addr: str) -> None:
        watched = self.board.read("watched", set())
        if addr not in watched:
            watched.add(addr)
            self.board.post("watched", watched)
            if addr not in {f"{s.rsplit(':', 1)[0]}:{self.boot.ports[0]}" for s in self.boot.seeds}:
                self.crew.keep("ping", self._ping_loop, addr)

    async def _hear_part(self, addr, part) -> None:
        state = await self._call(addr, "part.hear", {"part": part})
        if state is not None:
            self._publish(part, state, spread=False)

    def _take_roll(self, entries: list) -> bool:
        """Fold what another control node told of replicas; True if something in short form is not known here."""
        now = self.clock.now()
        turn, lack = self.roll.turn, False
        for short in entries:
            ent = self.roll.whole(short)
            if ent is None:
                lack = True
                continue
            ent = dict(ent)
            age = ent.pop("age", 0.0)
            ent.pop("silent", None)
            self.roll.beat(ent, now - age)
        if self.roll.turn != turn:
            self.board.touch("news")
        return lack

    async def _ping_loop(self, addr: str) -> None:
        gone_at = None
        while True:
            turn = self.roll.beat_turn
            out = await self._call(addr, "core.ping", self._ping_doc(addr), self.quiet_s)
            now = self.clock.now()
            if out is not None:
                gone_at = None
                self._heed(out)
                # one that started anew since was told the rest in another life: it is told all again
                anew = out["lack"] or self.acked.get(addr, (out["life"], 0))[0] != out["life"]
                self.acked[addr] = (out["life"], 0 if anew else turn)
            else:
                self.acked.pop(addr, None)
                gone_at = gone_at or now
            away = 0 if gone_at is None else min(3.0, 1 + (now - gone_at) * self.beat_s)
            await asyncio.sleep(self.beat_s * max(1.0, away) * random.uniform(0.9, 1.1))

    # -- news

    async def _news(self, doc: dict) -> bytes:
        """Answer a node that asks for news, at once or when there is some, with bytes that others share."""
        who, now = doc["who"], self.clock.now()
        if who["klass"] == "store":
            self.stores.hear(who, now)
        self._heed_live([[who["id"], s, n, 0.0] for s, n in doc["live"].items()])
        self.regions.heed(doc.get("served", ()))
        end = now + doc["hold"]
        while True:
            if self.leaving or not self.in_touch():
                raise Refusal(3003)
            turn = self.board.turn("news")
            parts = [p for p, s in self.known.items() if s["stamp"] > doc["stamps"].get(p, 0)]
            same = doc["life"] == self.life
            after = doc["turn"] if same else 0
            left = end - self.clock.now()
            busy = self.live.busy(self.clock.now())
            if parts or self.roll.turn > after or left <= 0 or not same or sorted(busy) != doc["busy"]:
                cores = [self.addr] + [c["addr"] for i, c in self.cores.cards.items() if self.alive(i)]
                return orjson.dumps({"parts": {p: self._part_news(p) for p in parts}, "roll": self._roll_news(after),
                                     "life": self.life, "turn": self.roll.turn, "cores": cores, "busy": busy})
            await self.board.news("news", turn, min(left, self.quiet_s))

    def _part_news(self, part: str) -> orjson.Fragment:
        """A part as it stands in the news; made once for each stamp."""
        state = self.known[part]
        have = self._part_bytes.get(part)
        if have is None or have[0] != state["stamp"]:
            raw = orjson.dumps({"stamp": state["stamp"], "val": news_view(part, state["val"])})
            have = self._part_bytes[part] = (state["stamp"], orjson.Fragment(raw))
        return have[1]

    def _roll_news(self, after: int) -> orjson.Fragment:
        """The roll's changes after a turn; made once for all who ask with the same turn."""
        if self._roll_bytes.get("turn") != self.roll.turn:
            self._roll_bytes = {"turn": self.roll.turn}
        have = self._roll_bytes.get(after)
        if have is None:
            have = self._roll_bytes[after] = orjson.Fragment(orjson.dumps(self.roll.since(after)))
        return have

    # -- duties

    async def _sweep_loop(self) -> None:
        while True:
            await asyncio.sleep(self.beat_s * 2)
            if self.roll.sweep(self.clock.now(), self.boot.beat_ms / 1000 * 2.5):
                self.board.touch("news")

    async def _tend_loop(self) -> None:
        while True:
            before = self.clock.now()
            # while a part is still unknown, as after a start, each moment counts
            hurry = 1.0 if len(self.known) == len(PARTS) else 0.2
            await asyncio.sleep(self.beat_s * random.uniform(1.0, 1.6) * hurry)
            if self.clock.now() - before > self.quiet_s:
                self.started = self.clock.now()   # this node stood still: what it heard long ago says nothing
                self.ctr.add("woke")
            if not self.in_touch():
                continue
            settled = self.clock.now() - self.started >= self.beat_s * 3
            for part in PARTS:
                if self._owners(part)[:1] == [self.id]:
                    await self._tend(part, settled)
            if not settled:
                continue
            await self._tend_stores()
            if self.book.size > (1 << 20) and self.book.size > self.board.read("rewritten", 0) * 4:
                await self._rewrite()

    async def _tend(self, part: str, settled: bool) -> None:
        own, base = self.owners[part], self._base(part)
        want = self._wanted(base) if settled else None
        if part not in self.known or base["prev"] or want or (own.lead is not None and not own.settled):
            if want:
                self.log.info("part {}: the group becomes {}", part, sorted(want))
            await own.regroup(want or {})

    def _wanted(self, base: dict) -> dict | None:
        """The group that should be, one change away from the one that is; None if it is right."""
        now, voters = self.clock.now(), base["voters"]
        spare = {i: c["addr"] for i, c in self.cores.cards.items() if i not in voters and self.alive(i)}
        if self.id not in voters:
            spare[self.id] = self.addr
        for vid, addr in voters.items():
            for nid, naddr in spare.items():
                if naddr == addr and nid != vid and not self.alive(vid):
                    return {**{k: v for k, v in voters.items() if k != vid}, nid: naddr}
        since = {v: min(self.cores.silent(v, now), now - self.started) for v in voters if v != self.id}
        dead = [v for v, s in since.items() if s >= self.boot.secs("ContactMs")]
        if dead and spare:
            nid = sorted(spare)[0]
            return {**{k: v for k, v in voters.items() if k != dead[0]}, nid: spare[nid]}
        if dead and len(voters) > 3 and since[dead[0]] >= self.boot.secs("ContactMs", 2):
            return {k: v for k, v in voters.items() if k != dead[0]}
        if spare and len(voters) < MOST_VOTERS and not any(s >= self.quiet_s for s in since.values()):
            nid = sorted(spare)[0]
            return {**voters, nid: spare[nid]}
        return None

    async def _tend_stores(self) -> None:
        state = self.known.get(PLAN)
        if state is None:
            return
        now = self.clock.now()
        have = state["val"].get("stores", {})
        for sid, card in list(self.stores.cards.items()):
            if self.stores.silent(sid, now) < self.boot.secs("ContactMs", 0.5) and sid not in have \
                    and sid not in state["val"].get("dropped", {}) \
                    and card["name"] not in state["val"].get("retired", {}):
                await self._try(PLAN, "store.join", card)
        if self._owners(PLAN)[:1] == [self.id]:
            await self._tend_gone(have, now)

    async def _tend_gone(self, have: dict, now: float) -> None:
        """A silent store is to leave once another has come since."""
        for sid, s in have.items():
            heard = max(self.started, self.stores.heard.get(sid, self.started))
            quiet = now - heard
            newer = any(o["no"] > s["no"] and self.board.read(("joined", oid), now) > heard
                        for oid, o in have.items() if oid != sid and o["state"] == "active")
            if s["state"] == "active" and quiet > self.boot.secs("SyncS", 0.45) and newer:
                self.log.info("store {} fell silent and another came: it is to leave", sid)
                await self._try(PLAN, "store.leave", {"id": sid, "quorum": self.quorum.doc()})
        for oid in have:
            if self.board.read(("joined", oid)) is None:
                self.board.post(("joined", oid), now)

    def owns(self, part: str) -> bool:
        """Whether this node is the one to run a part's commands, as far as it knows."""
        return self._owners(part)[:1] == [self.id]

    async def try_command(self, part: str, name: str, args: dict):
        """Run a command of a duty, which comes round again if no majority answers now: (code, document)."""
        try:
            return await self.run_command(part, name, args)
        except Refusal:
            self.ctr.add("duty.put_off")
            return 3003, None

    async def _try(self, part, name, args) -> None:
        await self.try_command(part, name, args)

    def _log_records(self) -> list[bytes]:
        """All that the log must hold."""
        first = orjson.dumps({"id": self.id, "founders": self.founders})
        return [first] + [keeper.record() for keeper in self.keepers.values()]

    async def _rewrite(self) -> None:
        await self.book.rewrite()
        self.board.post("rewritten", self.book.size)

    # -- calls from outside

    async def _http(self, req, body):
        try:
            cmd = decode(req.method, req.raw_path, req.headers, body)
        except BadCall as e:
            self.ctr.add(f"call.bad.{e.code}")
            return fault_result(e.code, e.why)
        self.ctr.add("call." + type(cmd).__name__)
        if not self.in_touch():
            return fault_result(3003, after_s=self.quiet_s)
        try:
            return await self.calls[type(cmd)](cmd)
        except Refusal as e:
            return fault_result(e.code, after_s=self.quiet_s if e.code >= 3000 else None)

    async def _beat(self, cmd: Beat):
        ent = cmd.entry
        turn = self.roll.turn
        self.roll.beat(ent, self.clock.now())
        if self.roll.turn != turn:
            self.board.touch("news")
        if ent["state"] == "draining":
            await self._spread(ent)
        return json_result(1000, {})

    async def _leave_call(self, cmd: Leave):
        old = self.roll.all.get(cmd.iid)
        ent = {**(old or {"id": cmd.iid, "service": "", "addr": "", "zone": "", "slots": 1, "models": {}, "rev": ""}),
               "state": "gone", "seq": (old or {"seq": 0})["seq"] + 1}
        self.roll.beat(ent, self.clock.now())
        self.board.touch("news")
        await self._spread(ent)
        return json_result(1000, {})

    async def _spread(self, ent: dict) -> None:
        """Tell all control nodes at once; Refusal unless a majority of the group heard."""
        base = self._base(PLAN)
        ent = {k: v for k, v in ent.items() if k != "silent"}
        tasks = [asyncio.ensure_future(self._call(c["addr"], "roll.push", {"roll": [{**ent, "age": 0.0}]}))
                 for c in self.cores.cards.values()]
        got = {self.id}
        for t in asyncio.as_completed(tasks):
            out = await t
            if out is not None:
                got.add(out["me"])
            if 2 * sum(1 for v in base["voters"] if v in got) > len(base["voters"]):
                return
        if 2 * sum(1 for v in base["voters"] if v in got) <= len(base["voters"]):
            raise Refusal(3003)

    async def _put_plan(self, cmd: PutPlan):
        code, doc = await self.run_command(PLAN, f"plan.{cmd.kind}", {"doc": cmd.doc, "match": cmd.match})
        return json_result(1000, doc) if code == 1000 else fault_result(code, str(doc))

    async def _get_plan(self, cmd):
        code, doc = await self.run_command(PLAN, "plan.get", {})
        return json_result(1000, doc) if code == 1000 else fault_result(code)

    def _service_of(self, model: str) -> str:
        plan = (self.known.get(PLAN) or {"val": {}})["val"].get("plan") or {}
        for s in plan.get("ServiceTable", []):
            for m in (s.get("Engine") or {}).get("ModelList") or []:
                if m.get("Name") == model:
                    return s["Name"]
        return model

    async def _put_version(self, cmd: PutVersion):
        part = part_of(self._service_of(cmd.model), OTHERS)
        code, doc = await self.run_command(part, "named.put", {"model": cmd.model, "rev": cmd.rev})
        return json_result(1000, doc) if code == 1000 else fault_result(code, str(doc))

    async def _retire(self, cmd: Retire):
        code, doc = await self.run_command(PLAN, "retire.get" if cmd.ask else "retire.start",
                                           {"node": cmd.node, "quorum": self.quorum.doc()})
        return json_result(1000, doc) if code == 1000 else fault_result(code, str(doc))

    async def _on_policy(self, cmd: OnPolicy):
        args = {**cmd.args, "zones": self.boot.zones} if cmd.name == "policy.put" else cmd.args
        code, doc = await self.run_command(PLAN, cmd.name, args)
        return json_result(1000, doc) if code == 1000 else fault_result(code, str(doc))
