"""Costs by the number of replicas, on this machine: python3 benchmarks/microbench.py [--rounds N]. Not a test.

Prints one row for each number of replicas; each figure is the least of some rounds, in microseconds a call.
"""

import asyncio
import gc
import os
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path[:0] = [os.path.join(ROOT, "target", "deps"), ROOT]

import orjson  # noqa: E402

from archhatch.membership import ReplicaRegistry  # noqa: E402
from archhatch.control.node import ControlNode  # noqa: E402
from archhatch.control.peers import PeerReport  # noqa: E402
from archhatch.runtime import open_logs  # noqa: E402
from archhatch.runtime.settings import check_settings  # noqa: E402
from archhatch.upstream import LoadBalancer  # noqa: E402
from archhatch.rollout_controller import Engines  # noqa: E402

SIZES = (100, 1000, 10000)
ZONES = [f"z{n}" for n in range(5)]
ASKERS = 50


def entries(count):
    return [
        {
            "id": f"i-{n}",
            "addr": f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:80",
            "service": f"s{n % 2}",
            "zone": ZONES[n % 5],
            "slots": 6,
            "state": "up",
            "seq": 1,
            "rev": "v1",
            "models": {"m0": 1, "m1": 1},
        }
        for n in range(count)
    ]


def least(function, calls, rounds=3):
    """Microseconds a call, the least of some rounds; fn(k) is the k-th call."""
    best = float("inf")
    for _ in range(rounds):
        gc.collect()
        began = time.perf_counter()
        for k in range(calls):
            function(k)
        best = min(best, time.perf_counter() - began)
    return best / calls * 1e6


def picking(count):
    p, ents = LoadBalancer(ZONES[0], "edge-1"), entries(count)
    p.apply_updates(ents)

    def churn(k):  # one replica of the service changes between two requests
        p.apply_updates([{**ents[k % count], "state": "gone"}, ents[k % count]])
        p.select_replica("s0", set(), 0.0)

    calls = max(5, 20000 // count)
    return {
        "pick": least(lambda k: p.select_replica("s0", set(), 0.0), calls),
        "pick after a change": least(churn, calls),
        "fold, each entry new": least(lambda k: LoadBalancer(ZONES[0], "e").apply_updates(ents), 1, 1) / count,
    }


def engines(count):
    es, ents = Engines(), entries(count)
    out = {"engines fold, each entry new": least(lambda k: Engines().apply_entries(ents), 1, 1) / count}
    es.apply_entries(ents)
    out["engines of a service"] = least(lambda k: es.of_service("s0"), max(20, 20000 // count))
    return out


def rolls(count):
    registry = ReplicaRegistry()
    for e in entries(count):
        registry.record_heartbeat(e, 0.0)
    turn, beats = registry.version - 1, registry.heartbeat_version - 1
    calls = max(20, 50000 // count)
    return {
        "roll since one change": least(lambda k: registry.changes_since(turn), calls),
        "beats since one beat": least(lambda k: registry.heartbeats_since(beats, 1.0), calls),
    }


def feed_answer(count):
    settings = check_settings(
        {
            "NodeName": "c",
            "Role": "core",
            "IpAddress": "127.0.0.1",
            "Zone": "z0",
            "Bindings": {"ControlPlane": "127.0.0.1:1"},
            "InternalPorts": [2, 3],
            "SeedPeers": ["127.0.0.1:1"],
            "Bootstrap": True,
            "DataDir": "/tmp/unused",
        }
    )
    core = ControlNode(settings, open_logs("bench", "CRITICAL"))
    core.has_majority_contact = lambda: True
    for e in entries(count):
        core.registry.record_heartbeat(e, 0.0)
    core.known["plan"] = {
        "stamp": 7,
        "val": {
            "plan": {"RouteTable": [{"Name": f"r{n}", "HostName": "h", "PathPrefix": "/"} for n in range(count // 10)]}
        },
    }
    turn = core.registry.version

    async def all_ask(shard, after):
        stamps = {} if shard else {"plan": 7}
        for n in range(ASKERS):
            out = await core.feed.answer(
                {
                    "who": {"id": f"e{n}", "klass": "edge"},
                    "live": {"s0": 1},
                    "busy": [],
                    "turn": after,
                    "stamps": stamps,
                    "life": core.incarnation,
                    "hold": 0.0,
                }
            )
            if not isinstance(out, bytes):
                out = orjson.dumps(out)

    def ask(shard, after):
        return least(lambda k: asyncio.run(all_ask(shard, after)), 1) / ASKERS

    return {"news, one entry": ask(False, turn - 1), "news, whole roll and part": ask(True, 0)}


def beats(count):
    """What one beat of every replica costs on its way to another control node: microseconds and bytes a replica."""
    settings = check_settings(
        {
            "NodeName": "c",
            "Role": "core",
            "IpAddress": "127.0.0.1",
            "Zone": "z0",
            "Bindings": {"ControlPlane": "127.0.0.1:1"},
            "InternalPorts": [2, 3],
            "SeedPeers": ["127.0.0.1:1"],
            "Bootstrap": True,
            "DataDir": "/tmp/unused",
        }
    )
    a, b = (ControlNode(settings, open_logs("bench", "CRITICAL")) for _ in range(2))
    a.id, b.id = "a", "b"
    ents = entries(count)

    def ping(k):
        for e in ents:
            a.registry.record_heartbeat({**e, "seq": k + 2}, 0.0)
        raw = orjson.dumps(a.peers.ping_document("b:1"))
        b.peers.merge_replicas(orjson.loads(raw)["roll"])
        a.peers.reports["b:1"] = PeerReport("x", a.registry.heartbeat_version)
        return len(raw)

    ping(0)
    began = time.perf_counter()
    size = ping(1)
    took = time.perf_counter() - began
    return {"all beats told, each": took / count * 1e6, "bytes of them, each": size / count}


def main():
    rows = [{**picking(c), **engines(c), **rolls(c), **feed_answer(c), **beats(c)} for c in SIZES]
    print(f"{'microseconds':32}" + "".join(f"{c:>12,}" for c in SIZES))
    for name in rows[0]:
        print(f"{name:32}" + "".join(f"{r[name]:>12.1f}" for r in rows))


if __name__ == "__main__":
    main()
