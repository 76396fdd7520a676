"""Planted faults: each takes one safeguard out of the code by patching it, for as long as a run lasts.

A simulator that does not find them proves nothing by finding nothing else.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from unittest import mock

import orjson

from ..consensus import acceptor, proposal_number as proposal_number, group, proposer
from ..control import registers
from ..control.node import ControlNode
from ..wal import WriteAheadLog
from .disk import SimulatedDisk
from .register_node import RegisterNode

PLANTS: dict[str, Plant] = {}


@dataclass(frozen=True)
class Plant:
    """A planted fault: what it takes out, and a function that gives the patches."""

    name: str
    what: str
    patches: Callable


def plant(name: str, what: str):
    """Register a planted fault: the function gives patchers."""

    def put(function):
        PLANTS[name] = Plant(name, what, function)
        return function

    return put


@contextlib.contextmanager
def planted(name: str | None) -> Iterator[None]:
    """Run with a fault planted; with none if there is no name."""
    with contextlib.ExitStack() as stack:
        for patcher in PLANTS[name].patches() if name else ():
            stack.enter_context(patcher)
        yield


@plant("reused-ballot", "a ballot names the life of its proposer")
def _reused_ballot():
    yield mock.patch.object(proposer, "new_incarnation", lambda: "")


@plant("memory-before-disk", "a promise counts only once its sync has returned")
def _memory_before_disk():
    async def prepare(self, wanted):
        wanted = proposal_number.ProposalNumber.from_wire(wanted)
        if wanted < self.promised:
            return {"ok": False, "promised": self.promised.to_wire()}
        if wanted > self.promised:
            self.promised = wanted
            await self.wal.append(orjson.dumps({"p": self.shard, "b": wanted.to_wire()}))
        return {"ok": True, "ballot": self.proposal_number.to_wire(), "state": self.state}

    async def accept(self, wanted, state):
        wanted = proposal_number.ProposalNumber.from_wire(wanted)
        if wanted < self.promised:
            return {"ok": False, "promised": self.promised.to_wire()}
        if wanted == self.proposal_number and state["stamp"] <= self.state["stamp"]:
            return {"ok": state["stamp"] == self.state["stamp"], "promised": self.promised.to_wire()}
        self.promised, self.proposal_number, self.state = wanted, wanted, state
        await self.wal.append(self.record())
        return {"ok": True}

    yield mock.patch.object(acceptor.Acceptor, "prepare", prepare)
    yield mock.patch.object(acceptor.Acceptor, "accept", accept)


@plant("answer-before-sync", "a vote is told only once its sync has returned")
def _answer_before_sync():
    real = WriteAheadLog.append

    async def append(self, *raws):
        asyncio.ensure_future(real(self, *raws)).add_done_callback(lambda task: task.exception())

    yield mock.patch.object(WriteAheadLog, "append", append)


@plant("unsynced-log", "a record is synced before it is acknowledged")
def _unsynced_log():
    yield mock.patch.object(SimulatedDisk, "datasync", lambda self, handle: None)


@plant("unsynced-folder", "a new file's name is synced before the file counts")
def _unsynced_folder():
    yield mock.patch.object(SimulatedDisk, "sync_folder", lambda self, folder: None)


@plant("lower-ballot-accepted", "a voter keeps its promise")
def _lower_ballot_accepted():
    real = acceptor.Acceptor.accept

    async def accept(self, wanted, state):
        before, self.promised = self.promised, min(self.promised, proposal_number.ProposalNumber.from_wire(wanted))
        out = await real(self, wanted, state)
        self.promised = max(before, self.promised)
        return out

    yield mock.patch.object(acceptor.Acceptor, "accept", accept)


@plant("old-group-forgotten", "while the group changes, a majority of the old one must agree too")
def _old_group_forgotten():
    async def accept(self, state, required=()):
        def chosen(ids):
            return group.is_majority(ids, state.voters)

        targets = state.all_voters() | self.state.all_voters()
        doc = {"part": self.shard, "ballot": self.prepared_number.to_wire(), "state": state.document}
        got = await self._poll(targets, "part.accept", doc, lambda g: chosen(set(g)))
        if chosen({k for k, a in got.items() if a.is_ok}):
            self.state, self.is_committed = state, True
            self._publish(self.shard, state.document)
            return True
        self.prepared_number, self.is_committed = None, False
        return False

    yield mock.patch.object(proposer.Proposer, "_accept", accept)


def _without_least():
    """Patches away that a proposer does not lead with a state older than one known to be chosen: that hides others."""

    def take_lead(self, wanted, state):
        self.prepared_number, self.state, self.is_committed = wanted, state, False
        return True

    return mock.patch.object(proposer.Proposer, "_take_lead", take_lead)


@plant("wiped-node-votes", "an empty disk at an old address makes another node; nobody leads with an old state")
def _wiped_node_votes():
    real = RegisterNode._found

    async def found(self):
        self.machine.bootstrap = True
        await real(self)

    yield mock.patch.object(RegisterNode, "_found", found)
    yield _without_least()


@plant("read-without-contact", "a reading is confirmed by a majority")
def _read_without_contact():
    async def confirm(self):
        return True

    yield mock.patch.object(proposer.Proposer, "_confirm", confirm)


@plant("unsettled-value-told", "a state that a new leader finds is accepted again before it is told")
def _unsettled_value_told():
    real = proposer.Proposer._take_lead

    def take_lead(self, wanted, state):
        out = real(self, wanted, state)
        self.is_committed = out
        return out

    yield mock.patch.object(proposer.Proposer, "_take_lead", take_lead)


@plant("lost-race-acknowledged", "a change that no majority took is not acknowledged")
def _lost_race_acknowledged():
    yield mock.patch.object(proposer, "is_quorum", lambda ids, state: bool(ids))


@plant("snapshot-without-newest", "a rewritten log holds the newest accepted state")
def _snapshot_without_newest():
    real = RegisterNode.snapshot

    def snapshot(self):
        now = real(self)
        old, self.older_snapshot = getattr(self, "older_snapshot", now), now
        return old

    yield mock.patch.object(RegisterNode, "snapshot", snapshot)


def _patch_command(name: str, function):
    return mock.patch.dict(registers.commands.table, {name: function})


@plant("resent-order-refused", "an order that was taken is acknowledged again")
def _resent_order_refused():
    for name in ("plan.put", "plan.patch"):
        real = registers.commands.table[name]

        def forgetful(value, args, real=real):
            value["taken"] = {}
            return real(value, args)

        yield _patch_command(name, forgetful)


@plant("refused-order-taken", "a refusal holds for every copy of the order")
def _refused_order_taken():
    for name in ("plan.put", "plan.patch"):
        real = registers.commands.table[name]

        def lenient(value, args, real=real):
            match = value.get("plan", {}).get("Revision", 0)
            code, doc, changed = real(value, {**args, "match": match} if args["match"] < match else args)
            return (2011, None, changed) if args["match"] < match else (code, doc, changed)

        yield _patch_command(name, lenient)


@plant("two-on-one-version", "a change applies only on top of the version that it names")
def _two_on_one_version():
    for name in ("plan.put", "plan.patch"):
        real = registers.commands.table[name]

        def careless(value, args, real=real):
            return real(value, {**args, "match": value.get("plan", {}).get("Revision", 0)})

        yield _patch_command(name, careless)


@plant("lease-granted-twice", "a term of a lease is granted once")
def _lease_granted_twice():
    def claim(value, args):
        leases = value.setdefault("tenures", {})
        lease = {"holder": args["holder"], "life": args["life"], "term": args["seen"] + 1}
        leases[args["run"]] = lease
        return 1000, lease, True

    yield _patch_command("tenure.claim", claim)


@plant("feed-without-contact", "a control node serves only on a proof of contact with a majority (model control)")
def _feed_without_contact():
    yield mock.patch.object(ControlNode, "check_serving", lambda self: True)
