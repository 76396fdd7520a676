"""Hosts role registers on a store: its votes, its proposers, and the routing of commands to their owners."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import orjson

from ..consensus import Acceptor, Proposer, UnclearResultError, members
from ..membership import rank
from ..rpc import CallError, CallRefusedError, Handlers
from ..wal import LogError, WriteAheadLog
from .commands import commands
from .errors import UnknownRoleError
from .group_maintenance import GroupMaintenance
from .keys import RoleKey
from .node import RoleNode
from .watch import LeaseWatch

DONE = 1000
UNREACHED = 3003  # no majority answered: the command may have been carried out
DISK_REFUSES = 3010
NAMESPACES = {"accounting": "accounting", "capacity": "scaling"}  # each with the duty in the settings that needs it
DEFAULT_DATA_DIR = "/tmp/archhatch"
ROUND_TIMEOUT = 0.25  # of ContactMs: how long a majority may take for one round
COMMAND_TIMEOUT = 0.4  # of ContactMs: a command that has not begun by then is not begun
OWNERS_TRIED = 2  # owners that a command is sent to in turn: the first may just have failed
MIN_REWRITE_BYTES = 1 << 20  # the log is rewritten from this length on,
REWRITE_GROWTH = 4  # ... once it is so many times as long as after the last rewrite
MAINTENANCE_JITTER = (0.8, 1.2)  # of a heartbeat: spreads the stores' maintenance over time
SHARD_KEY = "p"  # the name of the register in the log's records, as in those of the control plane's registers

Vote = Callable[[dict, bytes], Awaitable[dict]]


class RoleRegisterHost:
    """Runs role commands on the namespaces' registers, wherever their owners are.

    Attributes:
        wal: The log that holds this store's votes.
        acceptors: This store's vote in each namespace.
        known: The newest state that this store knows to be chosen, by namespace.
        proposers: Runs commands, by namespace; filled by `load`.
        needed: The namespaces whose roles the settings ask for.
        watch: Since when each lease has been seen unchanged.
    """

    def __init__(self, node: RoleNode) -> None:
        settings = node.settings
        self.wal = WriteAheadLog(
            settings.data_dir or DEFAULT_DATA_DIR,
            "ledger",
            node.log,
            clock=node.clock,
            counters=node.counters,
            limit_bytes=settings.disk_mb * 1_000_000,
        )
        self.acceptors = {name: Acceptor(name, self.wal, node.counters) for name in NAMESPACES}
        self.known: dict[str, dict] = {}
        self.proposers: dict[str, Proposer] = {}
        duties = settings.platform_api.duties if settings.platform_api is not None else ()
        self.needed = [name for name, duty in NAMESPACES.items() if duty in duties]
        self.watch = LeaseWatch()
        self._node = node
        self._groups = GroupMaintenance(node, self)
        self._bytes_after_rewrite = 0

    # -- start and end

    def load(self) -> None:
        """Restores the votes from the log, and begins to take appends."""
        for raw in self.wal.load():
            record = orjson.loads(raw)
            if record[SHARD_KEY] in self.acceptors:
                self.acceptors[record[SHARD_KEY]].adopt(record)
        self.wal.snapshot = lambda: [acceptor.record() for acceptor in self.acceptors.values()]
        self.wal.start()
        for name in NAMESPACES:
            self.proposers[name] = self._new_proposer(name)

    def _new_proposer(self, namespace: str) -> Proposer:
        return Proposer(
            namespace,
            self._node.id,
            commands,
            self._ask,
            partial(self.base, namespace),
            self.learn,
            self._node.counters,
            timeout_s=self._node.settings.seconds("ContactMs", ROUND_TIMEOUT),
            chosen_version=partial(self._least_version, namespace),
        )

    async def close(self) -> None:
        """Closes the log; what is acknowledged stays on the disk."""
        await self.wal.close()

    def register(self, handlers: Handlers) -> None:
        """Registers the handlers of calls by other stores and by control nodes."""
        handlers.on("part.prepare")(self._voting("prepare"))
        handlers.on("part.accept")(self._voting("accept"))
        handlers.on("part.confirm")(self._voting("confirm"))
        handlers.on("ledger.run")(self._run_for_others)

    def _voting(self, name: str) -> Vote:
        async def vote(document: dict, _body: bytes) -> dict:
            acceptor = self.acceptors[document["part"]]
            args = (document["ballot"], document["state"]) if name == "accept" else (document["ballot"],)
            try:
                return {"me": self._node.id, **await self._node.disk.watch(getattr(acceptor, name)(*args))}
            except LogError:
                raise CallRefusedError(DISK_REFUSES) from None

        return vote

    async def _run_for_others(self, document: dict, _body: bytes) -> dict:
        run = self.run if document.get("route") else self._run_here
        code, answer = await run(document["name"], document["args"])
        return {"code": code, "doc": answer, "me": self._node.id}

    # -- what is known

    def published_group(self, namespace: str) -> dict | None:
        """The namespace's group in the control plane's register, as far as this store has seen it."""
        plan_shard = self._node.config_watcher.shards.get("plan") or {}
        return plan_shard.get("ledger", {}).get(namespace)

    def _least_version(self, namespace: str) -> int:
        """The version that is known to be chosen: voters that have an older one were left behind."""
        states = (self.known.get(namespace), self.published_group(namespace))
        return max(state["stamp"] if state else 0 for state in states)

    def base(self, namespace: str) -> dict | None:
        """The newest state seen, chosen or not: it names whom to ask."""
        states = [self.known.get(namespace), self.acceptors[namespace].state]
        published = self.published_group(namespace)
        if published is not None:
            states.append({"stamp": published["stamp"], "val": {}, "voters": published["voters"], "prev": None})
        return max((state for state in states if state is not None), key=lambda state: state["stamp"], default=None)

    def roles(self, namespace: str) -> dict[str, dict]:
        """The namespace's records in the newest state that was seen here: a hint, not a proof."""
        base = self.base(namespace)
        return base["val"].get("duties", {}) if base else {}

    def owner(self, namespace: str) -> str | None:
        """The id of the voter in touch that runs the namespace's commands, as far as this store knows."""
        return next(iter(self._owners(namespace)), None)

    def _owners(self, namespace: str) -> list[str]:
        base = self.base(namespace)
        if base is None:
            return []
        present = self._node.members()
        membership = self._node.membership
        reachable = [store_id for store_id in base["voters"] if store_id in present and membership.stays(store_id)]
        writable = [store_id for store_id in reachable if membership.takes(store_id)]
        return rank(namespace, writable or reachable)

    def votes_anywhere(self) -> bool:
        """Whether this store is a voter of any namespace's newest group."""
        bases = [base for base in map(self.base, NAMESPACES) if base is not None]
        return any(self._node.id in members(base) for base in bases)

    def learn(self, namespace: str, state: dict) -> None:
        """Takes in a state that is known to be chosen, unless a newer one is known."""
        known = self.known.get(namespace)
        if known is not None and state["stamp"] <= known["stamp"]:
            return
        self.known[namespace] = state
        now = self._node.clock.now()
        for key, record in state["val"].get("duties", {}).items():
            self.watch.record_grant(key, record["fence"], record["renewals"], now)
        self.watch.keep_only({key for name in self.known for key in self.roles(name)})
        self._node.state_board.notify("ledger")

    # -- commands

    async def run(self, name: str, args: dict) -> tuple[int, Any]:
        """Runs a command where its namespace's owner is.

        Args:
            name: The command, such as `duty.list`.
            args: Its arguments; `key` names the namespace.

        Returns:
            The numbered code and the document; 3003 if no majority answered, when the command may have been carried
            out.
        """
        namespace = RoleKey.parse(args["key"]).namespace
        if namespace not in self.proposers:
            return UnknownRoleError.code, namespace
        for owner in self._owners(namespace)[:OWNERS_TRIED]:
            if owner == self._node.id:
                return await self._run_here(name, args)
            answer = await self._call_store(owner, "ledger.run", {"name": name, "args": args})
            if answer is not None and answer["me"] == owner:
                return answer["code"], answer["doc"]
            self._node.counters.add("ledger.owner_unreachable")
        return UNREACHED, None

    async def _run_here(self, name: str, args: dict) -> tuple[int, Any]:
        namespace = RoleKey.parse(args["key"]).namespace
        if name == "duty.request":
            args = {**args, **self.watch.request_arguments(args["key"], self._node.clock.now())}
        timeout_s = self._node.settings.seconds("ContactMs", COMMAND_TIMEOUT)
        try:
            return await self.proposers[namespace].execute(name, args, timeout_s)
        except UnclearResultError:
            return UNREACHED, None

    async def _ask(self, address: str, verb: str, document: dict) -> dict | None:
        """Carries a proposer's question to a voter, which may be this store itself."""
        if address == self._node.addr_of({"ip": self._node.settings.ip_address}):
            try:
                return await self._node.verbs.table[verb](document, b"")
            except CallRefusedError:
                return None
        return await self._call(address, verb, document)

    async def _call_store(self, store_id: str, verb: str, document: dict) -> dict | None:
        member = self._node.members().get(store_id)
        return None if member is None else await self._call(member["addr"], verb, document)

    async def _call(self, address: str, verb: str, document: dict) -> dict | None:
        timeout_s = self._node.settings.seconds("ContactMs", COMMAND_TIMEOUT)
        try:
            code, answer, _ = await self._node.connections.to(address).call(verb, document, timeout_s=timeout_s)
        except CallError:
            return None
        return answer if code == DONE else None

    # -- upkeep

    async def maintain_groups(self) -> None:
        """Maintains the groups of the namespaces that the settings need, and the log; for good."""
        while True:
            await asyncio.sleep(self._node.heartbeat_interval_s * random.uniform(*MAINTENANCE_JITTER))
            if not self._node.ready or self._node.plan is None:
                continue
            for namespace in self.needed:
                await self._groups.maintain(namespace)
            await self._rewrite_if_long()

    async def _rewrite_if_long(self) -> None:
        if self.wal.size <= MIN_REWRITE_BYTES or self.wal.size <= self._bytes_after_rewrite * REWRITE_GROWTH:
            return
        try:
            await self.wal.rewrite()
        except LogError:
            self._node.counters.add("ledger.rewrite_failed")  # the log before it still holds everything
            return
        self._bytes_after_rewrite = self.wal.size
