"""Data on disk: kept logs of each kind are read as they were, and the same content is written in the same bytes.

For each kind of log, tests/data holds the file before a rewrite (`KIND.appended`), the file after it with a few appends
behind (`KIND.rewritten`), and what reading them has to give (`KIND.json`). The `_build_...` functions write the same
content anew through the code; nothing here writes into tests/data.
"""

import copy
import json
import pathlib
import shutil
import struct
import zlib
from functools import partial
from types import SimpleNamespace
from unittest import mock

import orjson
import pytest
from tests.support.fakes import HandClock, MemBook
from tests.share_group.windows import append
from tests.support.leadership_rig import FakeCopier, FakeStore

from archhatch.jobs import Record, RecordStore, unpack
from archhatch.jobs.record import claim_head
from archhatch.consensus import Acceptor
from archhatch.control.node import ControlNode
from archhatch.control.registers import SHARDS
from archhatch.control.registers import commands as register_commands
from archhatch.share_group import SharePartition, WindowJournal
from archhatch.evacuation.plans import read_plan
from archhatch.runtime import StateBoard, Counters, open_logs
from archhatch.runtime.settings import check_settings
from archhatch.singleton_roles.commands import commands as ledger_commands
from archhatch.singleton_roles.register_host import RoleRegisterHost
from archhatch.rpc.server import Handlers
from archhatch.store.node import StoreNode
from archhatch.rollout_controller import LeadershipTerm
from archhatch.wal import WriteAheadLog, read_records

DATA = pathlib.Path(__file__).parent.parent / "data"
KINDS = ["frames", "core", "core2", "store", "store2", "ledger"]
# Kinds of earlier forms are read as ever, and the same content is written as the kind of the present form.
PRESENT_KINDS = ["frames", "core2", "store2", "ledger"]
LOG_NAMES = {"core2": "core", "store2": "store"}  # where a log's name is not its kind


def kept(name):
    return (DATA / name).read_bytes()


def only_file(folder, name):
    """The one file of a log that is left, and its generation's name."""
    files = sorted(p for p in folder.iterdir() if p.name.split(".")[0] == name)
    assert len(files) == 1
    return files[0].name, files[0].read_bytes()


def settings(folder, name, ip):
    return check_settings(
        {
            "NodeName": name,
            "Zone": "z1",
            "IpAddress": ip,
            "InternalPorts": [1, 9],
            "DataDir": str(folder),
            "Bounds": {"ContactMs": 60000},
        }
    )


# -- the log itself

RAWS = [b"one", b"", bytes(range(256)), "größer als ein Byte".encode(), b'{"a":1}' * 700]
GROUP = [bytes.fromhex("a7c4ba71"), b"x"]  # a record may hold what begins a frame
SNAPSHOT = [b"kept 1", bytes(255 - n for n in range(256)), b""]
BEHIND = [b"behind the closing frame", b"last"]


async def _build_frames(folder):
    wal = WriteAheadLog(str(folder), "frames")
    assert list(wal.load()) == []
    wal.start()
    for raw in RAWS:
        await wal.append(raw)
    await wal.append(*GROUP)
    out = {"frames.appended": only_file(folder, "frames")}
    await wal.rewrite(lambda: SNAPSHOT)
    for raw in BEHIND:
        await wal.append(raw)
    await wal.close()
    out["frames.rewritten"] = only_file(folder, "frames")
    return out


def _read_frames(folder):
    out = {}
    for stage, name in (("appended", "frames"), ("rewritten", "frames.1")):
        place = folder / stage
        place.mkdir()
        shutil.copyfile(DATA / f"frames.{stage}", place / name)
        wal = WriteAheadLog(str(place), "frames")
        out[stage] = [raw.hex() for raw in wal.load()]
        assert not wal.is_damaged and pathlib.Path(wal.path).name == name
        assert (place / name).read_bytes() == kept(f"frames.{stage}")
    return out


def frame(raw, mark=0xA7C4BA71):
    """A frame as it is on disk, made without the code: mark, length and checksum in network order, then the bytes."""
    return struct.pack(">III", mark, len(raw), zlib.crc32(raw)) + raw


def test_the_frames_are_records_and_one_closing_frame():
    assert kept("frames.appended") == b"".join(frame(raw) for raw in RAWS + GROUP)
    before = [frame(raw) for raw in SNAPSHOT]
    heads = zlib.crc32(b"".join(one[:12] for one in before))
    closing = frame(struct.pack(">QI", len(before), heads), 0xA7C4BA72)
    assert kept("frames.rewritten") == b"".join([*before, closing, *(frame(raw) for raw in BEHIND)])


@pytest.mark.parametrize(
    "cut, chosen, records",
    [
        (None, "frames.1", SNAPSHOT + BEHIND),
        (-3, "frames.1", SNAPSHOT + BEHIND[:1]),  # torn in the last append
        (sum(len(frame(raw)) for raw in SNAPSHOT) + 10, "frames", RAWS + GROUP),  # no whole closing frame
    ],
)
def test_which_of_two_kept_generations_counts(tmp_path, cut, chosen, records):
    (tmp_path / "frames").write_bytes(kept("frames.appended"))
    (tmp_path / "frames.1").write_bytes(kept("frames.rewritten")[:cut])
    wal = WriteAheadLog(str(tmp_path), "frames")
    assert list(wal.load()) == records and not wal.is_damaged
    assert only_file(tmp_path, "frames")[0] == chosen


# -- the registers of a control node

CONFIGURATION = {
    "Revision": 1,
    "RouteTable": [
        {
            "Name": "quote",
            "HostName": "quotes.example",
            "PathPrefix": "/q/",
            "RouteClass": "idempotent",
            "TimeoutMs": 250.5,
            "TargetLatencyMs": 40,
            "MaxAttempts": 3,
            "Priority": -1,
            "TrafficSplit": [{"Service": "fast", "Weight": 3}, {"Service": "slow", "Weight": 0.5}],
        },
        {
            "Name": "rollout",
            "HostName": "rollouts.example",
            "PathPrefix": "/",
            "RouteClass": "rollout",
            "ResultDueMs": 60000,
            "MaxQueueS": 30,
            "Service": "llm",
            "FieldOfALaterRelease": {"Größe": [1, None, True]},
        },
    ],
    "ServiceTable": [
        {"Name": "fast", "HealthPath": "/health", "MaxConnections": 5},
        {"Name": "slow"},
        {"Name": "llm", "Engine": {"Kind": "model", "MaxPlaces": 4}},
    ],
    "TenantTable": [{"Name": "yards", "ApiKeys": ["key-1", "key-2"], "Priority": 2}],
    "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 100, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 60000},
}
PATCH = {
    "Revision": 4,
    "Upsert": {"ServiceTable": [{"Name": "new"}], "Limits": {"MaxBodyBytes": 200}},
    "Withdraw": {"TenantTable": ["yards"]},
}
POLICY = """version = {version}

[[rule]]
name = "quotes"
routes = ["quote", "yard-*"]
regions = ["attica", "thessaly"{more}]
hysteresis_s = 4
tenant = "yards"

[[rule]]
name = "rollouts"
class = "rollout"
like = "quotes"
return_after_s = 20.5
tenant = "yards"

[[rule]]
name = "place"
host = "Mills.example"
prefix = "/m/"
home = "crete"
tenant = "mills"

[[rule]]
name = "rest"
class = "*"
regions = ["crete", "attica"]
"""
ZONES = {"z1": "attica", "z2": "thessaly", "z3": "crete"}
FIRST_POLICY = POLICY.format(version=1, more=', "crete"')
SECOND_POLICY = POLICY.format(version=3, more="")
MOVE = {
    "Id": "works-1",
    "Tenant": "yards",
    "Origin": "attica",
    "Target": "thessaly",
    "Reason": "Wartung, größere",
    "NoticeUrl": "http://10.0.0.1:80/n",
    "NoticeWait": "term",
    "StartAfterS": 5,
}


def _plan(**change):
    return {"plan": read_plan({**MOVE, **change})}


def _store(n, zone, name=None):
    return {"id": f"s-{n:04d}", "name": name or f"disk-{n}", "ip": f"10.0.1.{n}", "zone": zone}


def _step(name, origin, placed, to, why, age_s, term=2):
    return {
        "id": name,
        "term": term,
        "from": origin,
        "placed": placed,
        "to": to,
        "why": why,
        "age_s": age_s,
    }


def _report(state, placed, copied, drained, run_term=2):
    return {
        "id": "works-1",
        "run": "llm",
        "run_term": run_term,
        "state": state,
        "placed": placed,
        "copied": copied,
        "drained": drained,
    }


STEPS = [  # register, command, arguments, code
    ("plan", "noop", {}, 1000),
    # the configuration
    ("plan", "plan.put", {"doc": CONFIGURATION, "match": 0}, 1000),
    ("plan", "plan.put", {"doc": CONFIGURATION, "match": 0}, 1000),
    ("plan", "plan.put", {"doc": {**CONFIGURATION, "Revision": 9}, "match": 4}, 2011),  # refused ahead
    ("plan", "plan.put", {"doc": {**CONFIGURATION, "Revision": 8}, "match": 2}, 2011),
    ("plan", "plan.patch", {"doc": PATCH, "match": 1}, 1000),
    ("plan", "plan.put", {"doc": {"Revision": 5}, "match": 4}, 2002),
    ("plan", "plan.patch", {"doc": {"Revision": 6, "Withdraw": {"ServiceTable": ["new"]}}, "match": 4}, 1000),
    # stores and runs
    ("plan", "store.join", _store(1, "z1"), 1000),
    ("plan", "store.join", _store(2, "z2"), 1000),
    ("plan", "store.join", _store(3, "z3"), 1000),
    ("plan", "store.join", _store(4, "z3"), 1000),
    ("plan", "store.join", _store(5, "z1"), 1000),
    ("plan", "run.open", {"run": "llm"}, 1000),
    ("plan", "run.open", {"run": "fast"}, 1000),
    ("plan", "run.begin", {"run": "llm", "term": 1}, 1000),
    ("plan", "run.begin", {"run": "fast", "term": 1}, 1000),
    ("plan", "run.begin", {"run": "llm", "term": 2}, 1000),
    ("plan", "run.begin", {"run": "llm", "term": 1}, 2018),
    ("plan", "store.leave", {"id": "s-0004", "quorum": None}, 1000),
    ("plan", "store.clear", {"id": "s-0004", "run": "llm", "term": 2, "counted": ["s-0001"]}, 1000),
    ("plan", "store.clear", {"id": "s-0004", "run": "fast", "term": 1, "counted": []}, 1000),  # dropped
    ("plan", "store.join", _store(4, "z3"), 2008),
    ("plan", "retire.start", {"node": "disk-5", "quorum": None, "seen": 3}, 1000),
    ("plan", "store.clear", {"id": "s-0005", "run": "llm", "term": 2}, 1000),
    ("plan", "store.clear", {"id": "s-0005", "run": "fast", "term": 1}, 1000),  # dropped, and its machine retired
    ("plan", "retire.start", {"node": "unknown", "quorum": None, "seen": 3}, 2008),
    ("plan", "store.join", _store(6, "z1", "disk-1"), 1000),  # in the place of s-0001, which leaves
    ("plan", "store.clear", {"id": "s-0001", "run": "llm", "term": 2, "counted": ["s-0006"]}, 1000),
    ("plan", "retire.start", {"node": "disk-3", "quorum": None, "seen": 4}, 2013),  # too few would stay
    ("plan", "store.join", _store(7, "z2"), 1000),
    ("plan", "retire.start", {"node": "disk-3", "quorum": None, "seen": 4}, 3004),  # perhaps a copy of that one
    ("plan", "retire.start", {"node": "disk-3", "quorum": None, "seen": 999}, 1000),
    ("plan", "ledger.group", {"key": "accounting", "voters": {"s-0002": "10.0.1.2:9"}, "stamp": 0}, 1000),
    (
        "plan",
        "ledger.group",
        {"key": "accounting", "voters": {"s-0002": "10.0.1.2:9", "s-0006": "10.0.1.6:9"}, "stamp": 7},
        1000,
    ),
    ("plan", "ledger.group", {"key": "capacity", "voters": {"s-0003": "10.0.1.3:9"}, "stamp": 0}, 1000),
    # the policy and the facts on regions
    ("plan", "policy.put", {"text": FIRST_POLICY, "match": 0, "zones": ZONES}, 1000),
    ("plan", "policy.zones", {"zones": {"z1": "other", "z4": "crete"}}, 1000),
    ("plan", "region.out", {"region": "attica", "rule": "quotes", "reason": "slow", "by": "n1"}, 1000),
    ("plan", "region.out", {"region": "crete", "rule": "quotes", "reason": "silent", "by": "n1"}, 1000),
    ("plan", "region.out", {"region": "attica", "rule": "*", "reason": "works", "by": "operator", "epoch": 1}, 1000),
    ("plan", "region.back", {"region": "attica", "rule": "quotes", "reason": "fine", "by": "n2", "epoch": 2}, 1000),
    ("plan", "region.out", {"region": "attica", "rule": "quotes", "reason": "slow", "by": "n2"}, 1000),
    ("plan", "policy.put", {"text": SECOND_POLICY, "match": 1, "zones": {}}, 1000),  # crete's finding falls away
    ("plan", "region.back", {"region": "attica", "rule": "*", "reason": "done", "by": "operator"}, 1000),
    ("plan", "region.out", {"region": "attica", "rule": "quotes", "reason": "", "by": "n", "calm": True}, 1000),
    ("plan", "region.back", {"region": "attica", "rule": "quotes", "reason": "fine", "by": "n"}, 1000),
    # leases of duties
    ("plan", "lease.claim", {"duty": "regions", "holder": "n1", "life": "l1", "seen": 0}, 1000),
    ("plan", "lease.claim", {"duty": "evacuation", "holder": "n1", "life": "l1", "seen": 0}, 1000),
    ("plan", "lease.claim", {"duty": "evacuation", "holder": "n2", "life": "l7", "seen": 1}, 1000),
    ("plan", "lease.claim", {"duty": "evacuation", "holder": "n3", "life": "l1", "seen": 1}, 2011),
    # evacuations: one to its end, one cancelled while it moves, one that fails, one still planned
    ("plan", "evacuation.plan", {**_plan(), "dry_run": True}, 1000),
    ("plan", "evacuation.plan", _plan(), 1000),
    ("plan", "evacuation.start", {"id": "works-1"}, 1000),
    ("plan", "evacuation.notice", {"id": "works-1", "term": 2, "kind": "start", "word": "failed"}, 1000),
    ("plan", "evacuation.notice", {"id": "works-1", "term": 2, "kind": "start", "word": "term over"}, 1000),
    ("plan", "evacuation.age", {"id": "works-1", "term": 2, "age_s": 4.25}, 1000),
    ("plan", "evacuation.step", _step("works-1", "announced", "origin", "preparing", "told", 5.125), 1000),
    ("plan", "evacuation.step", _step("works-1", "announced", "origin", "preparing", "told", 6.0, 1), 2018),
    ("plan", "evacuation.report", _report("preparing", "origin", True, False), 1000),
    ("plan", "evacuation.report", _report("preparing", "origin", True, False, 1), 2018),
    ("plan", "evacuation.step", _step("works-1", "preparing", "origin", "moving", "copied", 60.06), 1000),
    ("plan", "evacuation.report", _report("moving", "target", True, True), 1000),
    ("plan", "evacuation.step", _step("works-1", "moving", "target", "moved", "drained", 90), 1000),
    ("plan", "evacuation.notice", {"id": "works-1", "term": 2, "kind": "moved", "word": "acknowledged"}, 1000),
    ("plan", "evacuation.return", {"id": "works-1", "why": "works are over"}, 1000),
    ("plan", "evacuation.step", _step("works-1", "returning", "target", "returning", "home", 95.5), 1000),
    ("plan", "evacuation.step", _step("works-1", "returning", "origin", "returned", "drained", 99.99), 1000),
    ("plan", "evacuation.plan", _plan(Id="works-2", Reason="", Room=0.5), 1000),
    ("plan", "evacuation.start", {"id": "works-2"}, 1000),
    ("plan", "evacuation.step", _step("works-2", "announced", "origin", "preparing", "", 1.0), 1000),
    ("plan", "evacuation.step", _step("works-2", "preparing", "origin", "moving", "", 2.0), 1000),
    ("plan", "evacuation.cancel", {"id": "works-2", "why": "no works"}, 1000),
    ("plan", "evacuation.step", _step("works-2", "returning", "target", "returning", "", 3.0), 1000),
    ("plan", "evacuation.step", _step("works-2", "returning", "origin", "cancelled", "", 4.0), 1000),
    ("plan", "evacuation.plan", _plan(Id="works-3"), 1000),
    ("plan", "evacuation.start", {"id": "works-3"}, 1000),
    ("plan", "evacuation.step", _step("works-3", "announced", "origin", "failed", "deadline", 86400.0), 1000),
    ("plan", "evacuation.plan", _plan(Id="works-4"), 1000),
    ("plan", "evacuation.cancel", {"id": "works-4"}, 1000),
    ("plan", "evacuation.plan", _plan(Id="works-5", NoticeTermS=7), 1000),
    ("plan", "evacuation.start", {"id": "works-5"}, 1000),
    # named versions and runs' leases
    ("p0", "named.put", {"model": "llm", "rev": 2}, 1000),
    ("p0", "named.put", {"model": "llm", "rev": 2}, 1000),
    ("p0", "named.put", {"model": "größer", "rev": 9007199254740991}, 1000),
    ("p0", "tenure.claim", {"run": "llm", "holder": "s-0001", "life": "l1", "seen": 0}, 1000),
    ("p0", "tenure.claim", {"run": "llm", "holder": "s-0002", "life": "l2", "seen": 1}, 1000),
    ("p0", "tenure.claim", {"run": "llm", "holder": "s-0003", "life": "l3", "seen": 1}, 2011),
    ("p1", "tenure.claim", {"run": "fast", "holder": "s-0003", "life": "l3", "seen": 0}, 1000),
]


FALLBACK_STEPS = [("plan", "plan.fallback", {"Document": CONFIGURATION, "Form": 2}, 1000)]


async def _core_node(folder):
    """A control node that has its log and its registers, and is in touch with nobody but a second voter in memory."""
    node = ControlNode(settings(folder, "c1", "10.0.0.1"), open_logs("t", "CRITICAL"), HandClock())
    node.wal.snapshot = node.registers.snapshot
    node.registers.load(node.wal, node.wal.load())
    node.wal.start()
    return node


UNREADABLE = {**CONFIGURATION, "Revision": 20, "RouteTable": None}  # as a later version may have it


def _put_by_a_later_version(document):
    """Takes a configuration that this version cannot read."""
    return SimpleNamespace(revision=document["Revision"])


async def _build_core(folder):
    """A log of the present form, `core2`."""
    node = await _core_node(folder)
    other = {shard: Acceptor(shard, MemBook(), Counters()) for shard in SHARDS}
    me, second = "f-10.0.0.1", "f-10.0.0.2"
    address, second_address = node.address, "10.0.0.2:1"
    node.id, node.registers.founders = me, {me: address}
    await node.wal.append(node.registers.identity())

    async def ask(addr, verb, doc):
        name, voters = (me, node.registers.acceptors) if addr == address else (second, other)
        args = [doc["ballot"]] + ([doc["state"]] if "state" in doc else [])
        return {"me": name, **await getattr(voters[doc["part"]], verb.partition(".")[2])(*args)}

    node.ask, node.peers.spread_commit = ask, lambda *told: None
    registers, lines = node.registers, []
    registers.start()
    for shard in SHARDS:
        registers.proposers[shard].incarnation = f"life-{shard}"

    async def take(steps):
        for shard, name, args, code in steps:
            got, _ = await registers.run_locally(shard, name, copy.deepcopy(args), 30.0)
            assert got == code, (name, args, got)
        for shard, state in registers.known.items():
            lines.append(b"%s %d %s\n" % (shard.encode(), state["stamp"], orjson.dumps(state["val"])))

    await take(STEPS[:20])
    # another node's promise comes between, under a higher ballot
    assert (await registers.acceptors["plan"].prepare([6, "f-10.0.0.9", "another-life"]))["ok"]
    await take(STEPS[20:30])
    assert await registers.proposers["plan"].reconfigure({me: address, second: second_address})
    await take(STEPS[30:40])
    assert await registers.proposers["plan"].reconfigure({me: address})
    await take(STEPS[40:])
    with mock.patch("archhatch.control.config_commands.read_configuration", _put_by_a_later_version):
        await take([("plan", "plan.put", {"doc": UNREADABLE, "match": 6}, 1000)])
    await take(FALLBACK_STEPS)
    assert (await registers.acceptors["p2"].prepare([3, "f-10.0.0.9", "another-life"]))[
        "ok"
    ]  # promised, accepted nothing
    assert (await registers.acceptors["p1"].prepare([8, "f-10.0.0.9", "another-life"]))["ok"]  # above what it accepted
    out = {"core2.appended": only_file(folder, "core")}
    await node.wal.rewrite()
    await take([("p0", "named.put", {"model": "llm", "rev": 3}, 1000)])
    await node.wal.close()
    out["core2.rewritten"] = only_file(folder, "core")
    out["core2.values"] = ("", b"".join(lines))
    return out


def _read_core(folder, kind="core"):
    out = {}
    for stage, name in (("appended", "core"), ("rewritten", "core.1")):
        place = folder / stage
        place.mkdir()
        shutil.copyfile(DATA / f"{kind}.{stage}", place / name)
        out[stage] = {
            "records": [json.loads(raw) for raw in read_records(kept(f"{kind}.{stage}"))[0]],
            **_core_state(place),
        }
    return out


def _core_state(folder):
    """What a control node makes of its log."""
    node = ControlNode(settings(folder, "c1", "10.0.0.1"), open_logs("t", "CRITICAL"), HandClock())
    node.registers.load(node.wal, node.wal.load())
    votes = {
        shard: {
            "promised": list(voter.promised),
            "ballot": list(voter.proposal_number),
            "state": voter.state,
            "base": node.registers.newest_state(shard)["stamp"],
        }
        for shard, voter in node.registers.acceptors.items()
    }
    return {"id": node.id, "founders": node.registers.founders, "votes": votes}


# -- the records of a store

LOT = {
    "TrainStep": 7,
    "Model": "llm-a",
    "MinRevision": 2,
    "DesiredCount": 2,
    "Entries": [
        {
            "InstanceId": "i1",
            "Path": "/generate/1",
            "HeaderMap": {"Content-Type": "application/json"},
            "Payload": "eyJhIjoxfQ==",
            "TokenCount": 5,
            "GroupId": "g",
            "ScorerUrl": {"InstanceId": "c1", "HostName": "scorer.example", "Path": "/score"},
        },
        {"InstanceId": "i2", "Path": "/generate/2", "GroupId": 4},
        {"InstanceId": "i3", "Path": "/generate/3"},
    ],
}
RESULT = {"InstanceId": "i1", "StatusCode": 200, "Revision": 2, "Payload": "größer", "Reward": 0.5, "Score": None}


class _LogCopier(FakeCopier):
    """Has records on this store's disk, and tells that another has them as well."""

    async def replicate(self, run, term, records, contest=None):
        assert all(await self.store.record_store.append([Record({**r.head, "by": term}, r.body) for r in records]))
        for record in records:
            record.held |= {"me", "b"}


def _work(window, journal):
    """Moves of a window's entries, with the records of them: a snapshot, deltas, and a new snapshot behind those."""
    yield journal.next_record(window)
    entries = [append(window, at) for at in range(40)]
    for n, kind in enumerate(("accept", "reject", "release", "release", "accept")):
        window.acquire(entries[n], "w1", 0.0)
        window.acknowledge(n, "w1", 1, kind)
    yield journal.next_record(window)
    window.acquire(entries[2], "w2", 0.0)
    window.release_lock(entries[2])
    window.archive(entries[6])
    window.archive(entries[7], found=True)
    yield journal.next_record(window)
    for n in range(8, 38):
        window.acquire(entries[n], "w1", 0.0)
        window.acknowledge(n, "w1", 1, "accept" if n % 3 else "release")
        yield journal.next_record(window)
    for n in (3, 5):
        window.acquire(entries[n], "w1", 0.0)
        window.acknowledge(n, "w1", 2 if n == 3 else 1, "accept")
        yield journal.next_record(window)


async def _build_store(folder):
    clock = HandClock()
    wal = WriteAheadLog(str(folder), "store", clock=clock)
    record_store = RecordStore(wal, clock, Counters())
    record_store.load(wal.load())
    wal.start()
    await record_store.take_id("s-0001")
    store = FakeStore(clock)
    store.record_store = store.record_stores["me"] = record_store
    store.replicator = _LogCopier(store)
    first = await _hold_run(store, "llm", 1)
    clock.at += 1.25
    for job_id in ("lot-1", "lot-2"):
        head = {
            "lot": job_id,
            "host": "rollouts.example",
            "path": "/lots/",
            "tenant": "yards" if job_id == "lot-1" else None,
        }
        await first.accept_job(head, orjson.dumps(LOT))
    await first.record_order_intent("replica-1")
    for n in (1, 2):
        clock.at += 0.0625
        await first.append_result(first.batch_jobs["lot-1"], f"i{n}", {**RESULT, "InstanceId": f"i{n}"})
    await first.append_result(first.batch_jobs["lot-2"], "i1", RESULT)
    await first.end_job("lot-2")
    window = SharePartition("llm-a", 1, lock_s=30.0, max_locks=200)
    for record in _work(window, WindowJournal("llm", "llm-a")):
        await first.replicate(record)
    # the second term reads all that, and writes anew what too few stores hold
    clock.at += 10
    second = await _hold_run(store, "llm", 2)
    clock.at += 0.5
    await second.record_order_intent("replica-2")
    await second.append_result(second.batch_jobs["lot-1"], "i3", {**RESULT, "InstanceId": "i3"})
    restored, journal = SharePartition("llm-a", 2, lock_s=30.0, max_locks=200), WindowJournal("llm", "llm-a")
    journal.restore(restored, second.window_records, Counters())
    restored.archive(append(restored, 40))
    await second.replicate(journal.next_record(restored))
    # a delta of another partition, whose snapshot this store never got
    other, behind = SharePartition("llm-b", 2, lock_s=30.0, max_locks=200), WindowJournal("llm", "llm-b")
    behind.next_record(other)
    other.archive(append(other, 0))
    await second.replicate(behind.next_record(other))
    assert (await record_store.prepare("fast", 4))["ok"]
    claims = [(claim_head("lot-3", "llm"), 2), (claim_head("lot-4", "fast"), 4)]
    claims.append((claim_head("lot-4", "fast", is_withdrawn=True), 4))
    for head, term in claims:
        assert await record_store.append([Record({**head, "by": term})]) == [True]
    out = {"store2.appended": only_file(folder, "store")}
    await wal.rewrite()
    await second.end_job("lot-1")
    await wal.close()
    out["store2.rewritten"] = only_file(folder, "store")
    return out


async def _hold_run(store, run, term):
    leadership = LeadershipTerm(store, run, term)
    await leadership.begin()
    assert leadership.state == "holding"
    return leadership


def _read_store(folder, kind="store"):
    out = {}
    for stage, name in (("appended", "store"), ("rewritten", "store.1")):
        place = folder / stage
        place.mkdir()
        shutil.copyfile(DATA / f"{kind}.{stage}", place / name)
        records = [unpack(raw) for raw in read_records(kept(f"{kind}.{stage}"))[0]]
        out[stage] = {"records": [[r.head, r.body.decode()] for r in records], **_store_state(place)}
    return out


def _store_state(folder):
    """What a store makes of its log, and what a window's next leader makes of the store's words."""
    clock = HandClock()
    record_store = RecordStore(WriteAheadLog(str(folder), "store", clock=clock), clock, Counters())
    record_store.load(record_store.wal.load())
    told = record_store.describe_run("llm")
    batch_jobs = {
        job_id: [[r.head, r.body.decode()] for r in record_store.fetch(job_id, [0, 1, 2], True)]
        for job_id in sorted(told["lots"])
    }
    windows = {}
    for shard in sorted({head["part"] for head, _ in told["windows"]}):
        window, counters = SharePartition(shard, 9, lock_s=30.0, max_locks=200), Counters()
        journal = WindowJournal("llm", shard)
        journal.restore(window, [(h, b) for h, b in told["windows"] if h["part"] == shard], counters)
        counts = {str(offset): count for offset, count in window.restored_counts.items()}
        windows[shard] = [window.start_offset, window.next_offset, counts, journal.snapshot_epoch]
    state = {
        "id": record_store.id,
        "promised": record_store.promised_terms,
        "told": told,
        "lots": batch_jobs,
        "windows": windows,
    }
    return json.loads(orjson.dumps(state))


# -- the ledger

A, B = {"node": "disk-1", "life": "l1"}, {"node": "disk-2", "life": "l2"}
LEASE, WINDOW = "accounting", "accounting/window:{}"


def _effect(number, who, fence, **args):
    return {"key": WINDOW.format(number), **who, "fence": fence, **args}


DUTIES = [  # seconds to wait, command, arguments, code
    (0, "request", {"key": LEASE, **A, "lease_s": 5.0}, 1000),
    (0, "request", {"key": LEASE, **B, "lease_s": 5.0}, 2301),
    (3, "renew", {"key": LEASE, **A, "fence": 1}, 1000),
    (0, "intend", _effect(1, A, 1, intent={"Größe": 3, "Rows": [1.5, None]}), 1000),
    (0, "commit", _effect(1, A, 1, result={"Sum": 3}), 1000),
    (0, "intend", _effect(2, A, 1, intent={"n": 2}), 1000),
    (6, "request", {"key": LEASE, **B, "lease_s": 7.5}, 1000),  # the lease has lapsed
    (0, "renew", {"key": LEASE, **A, "fence": 1}, 2302),
    (0, "intend", _effect(2, B, 2, intent={"n": 99}), 1000),  # goes on with the first intent
    (0, "commit", _effect(2, B, 2, result=None), 1000),
    (0, "intend", _effect(3, B, 2, intent="text"), 1000),
    (0, "fail", _effect(3, B, 2, error="ungültig"), 1000),
    (0, "reset", {"key": WINDOW.format(3), "node": "operator"}, 1000),
    (0, "intend", _effect(3, B, 2, intent=[3]), 1000),
    (0, "commit", _effect(3, B, 2, result=[3]), 1000),
    *[
        step
        for n in range(4, 11)  # more than are kept: the oldest are dropped, and a floor is written
        for step in (
            (0, "intend", _effect(n, B, 2, intent={"n": n}), 1000),
            (0, "commit", _effect(n, B, 2, result={"n": n}), 1000),
        )
    ],
    (0, "intend", _effect(1, B, 2, intent={}), 2304),
    (0, "intend", _effect(11, B, 2, intent={"n": 11}), 1000),
    (0, "release", {"key": LEASE, **B, "fence": 2, "rest_s": 1.5}, 1000),
    (2, "request", {"key": LEASE, **A, "lease_s": 5.0}, 1000),
    (0, "intend", _effect(12, A, 3, intent={"n": 12}), 1000),
    (0, "fail", _effect(12, A, 3, error="x" * 300), 1000),
    *[(0, "renew", {"key": LEASE, **A, "fence": 3}, 1000)] * 3,
    *[  # more steps than the trail of a record keeps
        step
        for fence in range(4, 9)
        for step in (
            (0, "release", {"key": LEASE, **A, "fence": fence - 1, "rest_s": 0.0}, 1000),
            (0, "request", {"key": LEASE, **A, "lease_s": 5.0}, 1000),
        )
    ],
    (0, "request", {"key": "capacity", **A, "lease_s": 120.0}, 1000),
    (0, "fail", {"key": "capacity", **A, "fence": 1, "error": "no such duty"}, 1000),
    (0, "reset", {"key": "capacity", "node": "operator"}, 1000),
    (0, "request", {"key": "capacity", **B, "lease_s": 120.0}, 1000),
    (0, "commit", {"key": "capacity", **B, "fence": 2, "result": {"done": True}}, 1000),
    (0, "request", {"key": "capacity", **A, "lease_s": 120.0}, 1000),  # done before
]


def _ledger_host(folder):
    """A store's ledger in a group of this store alone."""
    clock, me = HandClock(), "s-0001"
    groups = {name: {"voters": {me: "10.0.1.1:9"}, "stamp": 0} for name in ("accounting", "capacity")}

    async def watch(write):
        return await write

    store = SimpleNamespace(
        settings=settings(folder, "disk-1", "10.0.1.1"),
        id=me,
        clock=clock,
        log=open_logs("t", "CRITICAL"),
        counters=Counters(),
        state_board=StateBoard(),
        verbs=Handlers(),
        disk=SimpleNamespace(watch=watch),
        config_watcher=SimpleNamespace(shards={"plan": {"ledger": groups}}),
        members=lambda: {me: {"addr": "10.0.1.1:9"}},
        membership=SimpleNamespace(stays=lambda sid: True, takes=lambda sid: True),
        addr_of=lambda member: f"{member['ip']}:9",
    )
    host = RoleRegisterHost(store)
    host.register(store.verbs)
    return host, clock


async def _build_ledger(folder):
    host, clock = _ledger_host(folder)
    host.load()
    for name, proposer in host.proposers.items():
        proposer.incarnation = f"life-{name}"
    lines = []

    async def take(steps):
        for wait_s, name, args, code in steps:
            clock.at += wait_s
            got, doc = await host.run(f"duty.{name}", copy.deepcopy(args))
            assert got == code, (name, args, got, doc)
        for namespace, state in host.known.items():
            lines.append(b"%s %d %s\n" % (namespace.encode(), state["stamp"], orjson.dumps(state["val"])))

    await take(DUTIES)
    out = {"ledger.appended": only_file(folder, "ledger")}
    await host.wal.rewrite()
    await take([(0, "renew", {"key": LEASE, **A, "fence": 8}, 1000)])
    await host.close()
    out["ledger.rewritten"] = only_file(folder, "ledger")
    out["ledger.values"] = ("", b"".join(lines))
    return out


async def _read_ledger(folder):
    out = {}
    for stage, name in (("appended", "ledger"), ("rewritten", "ledger.1")):
        place = folder / stage
        place.mkdir()
        shutil.copyfile(DATA / f"ledger.{stage}", place / name)
        host, _ = _ledger_host(place)
        host.load()
        votes = {
            name: {
                "promised": list(voter.promised),
                "ballot": list(voter.proposal_number),
                "state": voter.state,
                "duties": host.roles(name),
            }
            for name, voter in host.acceptors.items()
        }
        await host.close()
        records = [json.loads(raw) for raw in read_records(kept(f"ledger.{stage}"))[0]]
        out[stage] = {"records": records, "votes": votes}
    return out


# -- the comparisons

BUILD = {"frames": _build_frames, "core2": _build_core, "store2": _build_store, "ledger": _build_ledger}
READ = {
    "frames": _read_frames,
    "core": _read_core,
    "core2": partial(_read_core, kind="core2"),
    "store": _read_store,
    "store2": partial(_read_store, kind="store2"),
    "ledger": _read_ledger,
}


async def _content(kind, folder):
    """What the code makes of the kept files of a kind."""
    got = READ[kind](folder)
    return got if isinstance(got, dict) else await got


@pytest.mark.parametrize("kind", KINDS)
def test_what_is_kept_is_read(run, tmp_path, kind):
    assert run(_content(kind, tmp_path)) == json.loads(kept(f"{kind}.json"))


@pytest.mark.parametrize("kind", PRESENT_KINDS)
def test_the_same_content_is_written_in_the_same_bytes(run, tmp_path, kind):
    built = run(BUILD[kind](tmp_path))
    for name, (_, data) in built.items():
        assert data == kept(name), name
    log = LOG_NAMES.get(kind, kind)
    assert [file for _, (file, _) in sorted(built.items())][:2] == [log, f"{log}.1"]  # their names on disk


def _without_form(raw):
    """A record of a control node's log as it was before configurations were marked with their form."""
    record = json.loads(raw)
    if record.get("s"):
        record["s"]["val"].pop("plan_form", None)
    return record


def test_the_form_of_configurations_is_all_that_was_added_to_the_logs_of_control_nodes():
    """Guards against a migration that changes more of the stored records than the mark of the form."""
    earlier = [json.loads(raw) for raw in read_records(kept("core.appended"))[0]]
    present = [_without_form(raw) for raw in read_records(kept("core2.appended"))[0]]
    steps_behind = [record for record in present if record.get("s") and record["s"]["val"].get("plan") == UNREADABLE]
    assert steps_behind and [record for record in present if record not in steps_behind] == earlier


async def _rewrite_core(folder):
    node = await _core_node(folder)
    await node.wal.rewrite()
    await node.wal.close()


async def _rewrite_store(folder):
    clock = HandClock()
    record_store = RecordStore(WriteAheadLog(str(folder), "store", clock=clock), clock, Counters())
    record_store.load(record_store.wal.load())
    record_store.wal.start()
    await record_store.wal.rewrite()
    await record_store.wal.close()


async def _rewrite_ledger(folder):
    host, _ = _ledger_host(folder)
    host.load()
    await host.wal.rewrite()
    await host.close()


REWRITE = {"core": _rewrite_core, "core2": _rewrite_core, "ledger": _rewrite_ledger}
REWRITE |= {"store": _rewrite_store, "store2": _rewrite_store}


@pytest.mark.parametrize("kind", REWRITE)
def test_a_kept_log_is_rewritten_in_the_kept_bytes(run, tmp_path, kind):
    log = LOG_NAMES.get(kind, kind)
    (tmp_path / log).write_bytes(kept(f"{kind}.appended"))
    run(REWRITE[kind](tmp_path))
    name, data = only_file(tmp_path, log)
    assert name == f"{log}.1" and len(data) > 100 and kept(f"{kind}.rewritten").startswith(data)


def test_every_command_that_changes_a_register_is_kept():
    reading = {"plan.get", "store.list", "retire.get", "tenure.list", "policy.get", "region.list", "evacuation.get"}
    assert set(register_commands.table) - {name for _, name, _, _ in [*STEPS, *FALLBACK_STEPS]} == reading
    used = {f"duty.{name}" for _, name, _, _ in DUTIES}
    assert set(ledger_commands.table) - used == {"duty.list", "duty.settle"}


SHARD_NAMES = {"plan", "p0", "p1", "p2"}


def test_every_kind_of_record_is_kept():
    content = {kind: json.loads(kept(f"{kind}.json"))["appended"]["records"] for kind in REWRITE}
    assert {head["k"] for head, _ in content["store"]} == set("IPLRESUO")
    assert {head["k"] for head, _ in content["store2"]} == set("IPLRESUOC")
    for kind, shards in (("core", SHARD_NAMES), ("core2", SHARD_NAMES), ("ledger", {"accounting", "capacity"})):
        shapes = {tuple(record) for record in content[kind]}
        assert shapes == {("p", "b"), ("p", "b", "ab", "s")} | ({("id", "founders")} if kind != "ledger" else set())
        assert {record["p"] for record in content[kind] if "p" in record} == shards


class _EnoughError(Exception):
    """Ends the start of a node once it has read its logs."""


def test_a_store_starts_on_kept_logs(run, tmp_path):
    (tmp_path / "store").write_bytes(kept("store.appended"))
    (tmp_path / "ledger.1").write_bytes(kept("ledger.rewritten"))

    async def no_port(address):
        raise _EnoughError

    async def go():
        node = StoreNode(settings(tmp_path, "disk-1", "10.0.1.1"), open_logs("t", "CRITICAL"), HandClock())
        node.rpc_server = SimpleNamespace(open=no_port)
        with pytest.raises(_EnoughError):
            await node.start()
        node.config_watcher = SimpleNamespace(shards={})
        await node.upstream_client.close()
        await node.ledger.close()
        await node.wal.close()
        assert node.id == "s-0001" and sorted(node.record_store.batch_jobs) == ["lot-1", "lot-2"]
        assert node.ledger.roles("capacity")["capacity"]["state"] == "COMMITTED"

    run(go())
    assert sorted(path.name for path in tmp_path.iterdir()) == ["ledger.1", "store"]
    assert (tmp_path / "store").read_bytes() == kept("store.appended")
    assert (tmp_path / "ledger.1").read_bytes() == kept("ledger.rewritten")


# -- what earlier releases wrote, in the forms that the code says it still reads; nothing writes these any more

EARLIER_STATE = {
    "stamp": 4,
    "val": {"runs": {"llm": "a mark from before terms were noted"}, "named": {"llm": 2}},
    "voters": {"f-10.0.0.1": "10.0.0.1:1"},
    "prev": None,
}
EARLIER_CORE = [  # ballots that name no life
    {"id": "f-10.0.0.1", "founders": {"f-10.0.0.1": "10.0.0.1:1"}},
    {"p": "plan", "b": [1, "f-10.0.0.1"]},
    {"p": "plan", "b": [1, "f-10.0.0.1"], "ab": [1, "f-10.0.0.1"], "s": EARLIER_STATE},
    {"p": "p0", "b": [0, ""], "ab": [0, ""], "s": None},
]
UNSENDABLE = {"Model": "llm-a", "Entries": [{"InstanceId": "i1", "Path": "/a b", "HeaderMap": {"A": "b\nc"}}]}
EARLIER_STORE = [  # a lot without a tenant or a place in the step log, which would not be taken today; an order
    ({"k": "I", "id": "s-0001"}, b""),
    ({"k": "P", "run": "llm", "term": 1}, b""),
    ({"k": "L", "lot": "lot-1", "run": "llm", "host": "h", "path": "/p/"}, orjson.dumps(UNSENDABLE)),
    ({"k": "R", "lot": "lot-1", "run": "llm", "pos": 0, "term": 1, "item": "i1"}, b'{"InstanceId":"i1"}'),
    ({"k": "O", "lot": "", "run": "llm", "iid": "replica-1"}, b""),
]


def _build_earlier():
    """The kept files of earlier forms, made without the code."""
    heads = [(orjson.dumps(head), body) for head, body in EARLIER_STORE]
    return {
        "core.earlier": b"".join(frame(orjson.dumps(record)) for record in EARLIER_CORE),
        "store.earlier": b"".join(frame(struct.pack(">I", len(head)) + head + body) for head, body in heads),
    }


def test_the_kept_files_of_earlier_forms_are_these():
    for name, data in _build_earlier().items():
        assert data == kept(name)


def test_an_earlier_log_of_a_control_node_is_read_and_written_on(run, tmp_path):
    (tmp_path / "core").write_bytes(kept("core.earlier"))
    (tmp_path / "core.new").write_bytes(frame(b"{}")[:9])  # a rewrite that an earlier release did not finish
    state = _core_state(tmp_path)
    assert only_file(tmp_path, "core") == ("core", kept("core.earlier"))
    assert state["id"] == "f-10.0.0.1" and state["founders"] == {"f-10.0.0.1": "10.0.0.1:1"}
    plan = {"promised": [1, "f-10.0.0.1", ""], "ballot": [1, "f-10.0.0.1", ""], "state": EARLIER_STATE, "base": 4}
    assert state["votes"]["plan"] == plan
    assert state["votes"]["p0"] == {"promised": [0, "", ""], "ballot": [0, "", ""], "state": None, "base": 0}

    async def go():
        node = await _core_node(tmp_path)
        node.registers.start()
        node.peers.spread_commit = lambda *told: None
        node.registers.proposers["plan"].incarnation = "a-life"
        assert (await node.registers.run_locally("plan", "run.begin", {"run": "llm", "term": 1}, 30.0))[0] == 1000
        await node.wal.close()

    run(go())
    proposal_number = [1, "f-10.0.0.1", "a-life"]
    state = {**EARLIER_STATE, "stamp": 5, "val": {**EARLIER_STATE["val"], "runs": {"llm": 1}}}
    behind = [
        {"p": "plan", "b": proposal_number},
        {"p": "plan", "b": proposal_number, "ab": proposal_number, "s": state},
    ]
    added = b"".join(frame(orjson.dumps(record)) for record in behind)
    assert (tmp_path / "core").read_bytes() == kept("core.earlier") + added


def test_an_earlier_log_of_a_store_is_read_and_served(run, tmp_path):
    (tmp_path / "store").write_bytes(kept("store.earlier"))

    async def go():
        clock = HandClock()
        record_store = RecordStore(WriteAheadLog(str(tmp_path), "store", clock=clock), clock, Counters())
        record_store.load(record_store.wal.load())
        told = record_store.describe_run("llm")
        assert record_store.id == "s-0001" and record_store.promised_terms == {"llm": 1}
        assert told["lots"] == {"lot-1": {"lot": True, "end": False, "results": [[0, 1, "i1"]]}}
        assert (told["orders"], told["noted"], told["tick"]) == ({"replica-1": 0.0}, {}, None)
        record_store.wal.start()
        store = FakeStore(clock)
        store.record_store = store.record_stores["me"] = record_store
        store.replicator = _LogCopier(store)
        leadership = await _hold_run(store, "llm", 2)
        batch_job = leadership.batch_jobs["lot-1"]
        assert (
            batch_job.model,
            batch_job.base_offset,
            batch_job.tenant,
            [r.head["item"] for r in batch_job.results],
        ) == (
            "llm-a",
            0,
            None,
            ["i1"],
        )
        await record_store.wal.close()

    run(go())
    raws = [orjson.dumps({"k": "P", "run": "llm", "term": 2})]
    raws += [orjson.dumps({**EARLIER_STORE[3][0], "term": 2, "t": 0.0})]
    bodies = [b"", EARLIER_STORE[3][1]]
    added = b"".join(frame(struct.pack(">I", len(h)) + h + b) for h, b in zip(raws, bodies, strict=True))
    assert (tmp_path / "store").read_bytes() == kept("store.earlier") + added
