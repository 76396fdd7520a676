"""Hosts ledger registers on a store: its votes, its proposers and the care for their groups.

The first group of a namespace is written into the control plane's `plan` register, once; each later one as well, after
the register itself has it. Who knows no voter any more finds the group there, and a store stays a member for as long
as the newest group written there names it.
"""

from __future__ import annotations

import asyncio
import random

import orjson

from ..consensus import Acceptor, Proposer, UnclearResultError, members
from ..membership import rank
from ..rpc import CallError, CallRefusedError
from ..wal import LogError, WriteAheadLog
from .commands import commands, split_key
from .group import GroupKeeper
from .watch import LeaseWatch

UNREACHED, DISK_REFUSES = 3003, 3010
NAMESPACES = {"accounting": "accounting", "capacity": "scaling"}  # each with the duty in the settings that needs it
ROUND = 0.25  # of ContactMs: how long a majority may take for one round
WITHIN = 0.4  # of ContactMs: a command that has not begun by then is not begun
REWRITE_BYTES = 1 << 20  # the log is rewritten from this length on,
REWRITE_GROWTH = 4  # ... once it is so many times as long as after the last rewrite
SETTLED_BEATS = 4  # heartbeats for which a store has been up before it changes groups
PART, STATE = "p", "s"  # names in the log's records, as those of the control plane's registers


class RoleRegisterHost:
    """Runs duty commands on the namespaces' registers, wherever their owners are.

    >>> # host = RoleRegisterHost(store); host.load(); code, doc = await host.run("duty.list", {"key": "accounting"})
    """

    def __init__(self, store):
        self.store = store
        settings = store.settings
        self.wal = WriteAheadLog(
            settings.data_dir or "/tmp/archhatch",
            "ledger",
            store.log,
            clock=store.clock,
            counters=store.counters,
            limit_bytes=settings.disk_mb * 1_000_000,
        )
        self.acceptors = {name: Acceptor(name, self.wal, store.counters) for name in NAMESPACES}
        self.known: dict[str, dict] = {}  # namespace -> the newest state that this store knows to be chosen
        self.proposers: dict[str, Proposer] = {}
        duties = settings.platform_api.duties if settings.platform_api is not None else ()
        self.needed = [name for name, duty in NAMESPACES.items() if duty in duties]
        self.keeper = GroupKeeper(store)
        self.watch = LeaseWatch()
        self._rewritten = 0

    # -- life

    def load(self) -> None:
        """Take up what the log holds, and begin to take appends."""
        for raw in self.wal.load():
            record = orjson.loads(raw)
            if record[PART] in self.acceptors:
                self.acceptors[record[PART]].adopt(record)
        self.wal.snapshot = lambda: [acceptor.record() for acceptor in self.acceptors.values()]
        self.wal.start()
        for name in NAMESPACES:
            self.proposers[name] = Proposer(
                name,
                self.store.id,
                commands,
                self._ask,
                lambda name=name: self.base(name),
                self._learn,
                self.store.counters,
                timeout_s=self.store.settings.seconds("ContactMs", ROUND),
                chosen_version=lambda name=name: self._least(name),
            )

    async def close(self) -> None:
        """End; what is acknowledged stays on the disk."""
        await self.wal.close()

    def register(self, handlers) -> None:
        """Answer the calls of other stores and of control nodes."""
        handlers.on("part.prepare")(self._voting("prepare"))
        handlers.on("part.accept")(self._voting("accept"))
        handlers.on("part.confirm")(self._voting("confirm"))
        handlers.on("ledger.run")(self._run_for_others)

    def _voting(self, name: str):
        async def vote(doc, body):
            acceptor = self.acceptors[doc["part"]]
            args = (doc["ballot"], doc["state"]) if name == "accept" else (doc["ballot"],)
            try:
                return {"me": self.store.id, **await self.store.disk.watch(getattr(acceptor, name)(*args))}
            except LogError:
                raise CallRefusedError(DISK_REFUSES) from None

        return vote

    async def _run_for_others(self, doc, body):
        if doc.get("route"):
            code, out = await self.run(doc["name"], doc["args"])
        else:
            code, out = await self._run_here(doc["name"], doc["args"])
        return {"code": code, "doc": out, "me": self.store.id}

    # -- what is known

    def _published(self, namespace: str) -> dict | None:
        return (self.store.config_watcher.shards.get("plan") or {}).get("ledger", {}).get(namespace)

    def _least(self, namespace: str) -> int:
        published = self._published(namespace)
        known = self.known.get(namespace)
        return max(known["stamp"] if known else 0, published["stamp"] if published else 0)

    def base(self, namespace: str) -> dict | None:
        """The newest state seen, chosen or not: it names whom to ask."""
        states = [self.known.get(namespace), self.acceptors[namespace].state]
        published = self._published(namespace)
        if published is not None:
            states.append({"stamp": published["stamp"], "val": {}, "voters": published["voters"], "prev": None})
        return max((s for s in states if s is not None), key=lambda s: s["stamp"], default=None)

    def duties(self, namespace: str) -> dict:
        """The namespace's duties in the newest state that was seen here: a hint, not a proof."""
        base = self.base(namespace)
        return base["val"].get("duties", {}) if base else {}

    def owner(self, namespace: str) -> str | None:
        """The voter in touch that runs the namespace's commands, as far as this store knows."""
        return next(iter(self._owners(namespace)), None)

    def _owners(self, namespace: str) -> list:
        base = self.base(namespace)
        if base is None:
            return []
        present = self.store.members()
        fit = [sid for sid in base["voters"] if sid in present and self.store.membership.stays(sid)]
        able = [sid for sid in fit if self.store.membership.takes(sid)]
        return rank(namespace, able or fit)

    def votes_anywhere(self) -> bool:
        """Whether this store is a voter of any namespace's newest group."""
        bases = [base for base in map(self.base, NAMESPACES) if base is not None]
        return any(self.store.id in members(base) for base in bases)

    def _learn(self, namespace: str, state: dict) -> None:
        known = self.known.get(namespace)
        if known is not None and state["stamp"] <= known["stamp"]:
            return
        self.known[namespace] = state
        now = self.store.clock.now()
        for key, duty in state["val"].get("duties", {}).items():
            self.watch.note(key, duty["fence"], duty["renewals"], now)
        self.watch.keep_only({key for name in self.known for key in self.duties(name)})
        self.store.state_board.notify("ledger")

    # -- commands

    async def run(self, name: str, args: dict) -> tuple[int, object]:
        """Run a command where its namespace's owner is: (code, document). 3003 if no majority answered: the command may
        have been carried out."""
        namespace = split_key(args["key"])[0]
        if namespace not in self.proposers:
            return 2304, namespace
        for owner in self._owners(namespace)[:2]:
            if owner == self.store.id:
                return await self._run_here(name, args)
            out = await self._call(owner, "ledger.run", {"name": name, "args": args})
            if out is not None and out["me"] == owner:
                return out["code"], out["doc"]
            self.store.counters.add("ledger.owner_silent")
        return UNREACHED, None

    async def _run_here(self, name: str, args: dict) -> tuple[int, object]:
        namespace = split_key(args["key"])[0]
        if name == "duty.request":
            args = {**args, **self.watch.args(args["key"], self.store.clock.now())}
        try:
            return await self.proposers[namespace].execute(name, args, self.store.settings.seconds("ContactMs", WITHIN))
        except UnclearResultError:
            return UNREACHED, None

    async def _ask(self, address: str, verb: str, doc: dict) -> dict | None:
        """A proposer's question to a voter, this store among them."""
        if address == self.store.addr_of({"ip": self.store.settings.ip_address}):
            try:
                return await self.store.verbs.table[verb](doc, b"")
            except CallRefusedError:
                return None
        return await self._call_addr(address, verb, doc)

    async def _call(self, sid: str, verb: str, doc: dict) -> dict | None:
        member = self.store.members().get(sid)
        return None if member is None else await self._call_addr(member["addr"], verb, doc)

    async def _call_addr(self, address: str, verb: str, doc: dict) -> dict | None:
        try:
            code, out, _ = await self.store.connections.to(address).call(
                verb, doc, timeout_s=self.store.settings.seconds("ContactMs", WITHIN)
            )
        except CallError:
            return None
        return out if code == 1000 else None

    # -- groups

    async def care(self) -> None:
        """Found, settle and mend the groups that are this store's to look after, for good."""
        store = self.store
        while True:
            await asyncio.sleep(store.heartbeat_interval_s * random.uniform(0.8, 1.2))
            if not store.ready or store.plan is None:
                continue
            for namespace in self.needed:
                await self._care_for(namespace)
            await self._rewrite_if_long()

    async def _care_for(self, namespace: str) -> None:
        if self.base(namespace) is None:
            await self._found(namespace)
            return
        if self.owner(namespace) == self.store.id:
            await self._tend(namespace)

    async def _found(self, namespace: str) -> None:
        """Have the first group written down, if this store is the one to do it."""
        voters = self.keeper.first(namespace)
        up = [sid for sid in self.store.members() if self.store.membership.stays(sid)]
        if voters is None or rank(namespace, up)[:1] != [self.store.id]:
            return
        if self.store.clock.now() - self.keeper.started < self.store.heartbeat_interval_s * SETTLED_BEATS:
            return
        code, _ = await self.store.config_watcher.run_command(
            "plan", "ledger.group", {"key": namespace, "voters": voters, "stamp": 0}
        )
        self.store.counters.add(f"ledger.found.{code}")

    async def _tend(self, namespace: str) -> None:
        """Settle what is not known to be chosen, and bring the group to what it should be."""
        proposer, base = self.proposers[namespace], self.base(namespace)
        settled = self.store.clock.now() - self.keeper.started >= self.store.heartbeat_interval_s * SETTLED_BEATS
        want = self.keeper.wanted(base) if settled and namespace in self.known else None
        if (
            want
            or namespace not in self.known
            or base["prev"]
            or proposer.prepared_number is None
            or not proposer.is_committed
        ):
            if want:
                self.store.log.info("ledger {}: the group becomes {}", namespace, sorted(want))
            await proposer.reconfigure(want or {})
            if proposer.is_committed and proposer.state is not None:
                self._learn(namespace, proposer.state.document)
        await self._publish_group(namespace)

    async def _publish_group(self, namespace: str) -> None:
        known, published = self.known.get(namespace), self._published(namespace)
        if known is None or known["prev"] or published is None or known["voters"] == published["voters"]:
            return
        args = {"key": namespace, "voters": known["voters"], "stamp": known["stamp"]}
        code, _ = await self.store.config_watcher.run_command("plan", "ledger.group", args)
        self.store.counters.add(f"ledger.group.{code}")

    async def _rewrite_if_long(self) -> None:
        if self.wal.size <= REWRITE_BYTES or self.wal.size <= self._rewritten * REWRITE_GROWTH:
            return
        try:
            await self.wal.rewrite()
        except LogError:
            self.store.counters.add("ledger.rewrite_failed")  # the log before it still holds everything
            return
        self._rewritten = self.wal.size
