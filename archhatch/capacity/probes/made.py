"""Made-up but typical documents for probes: roll entries, configurations, lots, settings."""

from __future__ import annotations

import asyncio
import base64
import random
import tempfile

from ..needs import need

SERVICES, ZONES = 40, 34


def entry(n: int, seq: int = 1) -> dict:
    """One replica of a roll, as a beat is decoded.

    >>> entry(7)["service"]
    'service-07'
    """
    return {
        "id": f"i-{n:08x}",
        "service": f"service-{n % SERVICES:02d}",
        "addr": f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:8080",
        "zone": f"zone-{n % ZONES:02d}",
        "slots": 12,
        "state": "up",
        "seq": seq,
        "models": {f"model-{n % SERVICES:02d}": 7},
        "rev": "v41",
    }


def beat_body(n: int, seq: int) -> bytes:
    """A replica's beat as it comes in, by the published form."""
    import orjson

    e = entry(n)
    return orjson.dumps(
        {
            "Service": e["service"],
            "Address": e["addr"],
            "Zone": e["zone"],
            "Revision": e["rev"],
            "SlotCount": 12,
            "OperState": "up",
            "WarmupLeftMs": 0,
            "Phase": "dual",
            "ModelList": [{"Name": m, "Revision": r, "AdapterList": []} for m, r in e["models"].items()],
            "Sequence": seq,
        }
    )


def plan(routes: int, rev: int = 1) -> dict:
    """A configuration with so many routes over 40 services."""
    kinds = ["idempotent", "non_idempotent", "streaming", "rollout"]
    return {
        "Revision": rev,
        "RouteTable": [
            {
                "Name": f"r-{n:07d}",
                "HostName": f"host{n % 97}.example",
                "PathPrefix": f"/path{n}/",
                "RouteClass": kinds[n % 4],
                "TimeoutMs": 20000,
                "TargetLatencyMs": 400,
                "Priority": 2,
                "Service": f"service-{n % SERVICES:02d}",
                "MaxAttempts": 3,
            }
            for n in range(routes)
        ],
        "ServiceTable": [
            {
                "Name": f"service-{n:02d}",
                "HealthPath": "/health",
                "MaxConnections": 170,
                "Protocol": "h1",
                "TlsMode": False,
                "Engine": {
                    "SlotCount": 12,
                    "KvCapacity": 44875,
                    "KvTokenBytes": 18432,
                    "ModelList": [{"Name": f"model-{n:02d}"}],
                },
            }
            for n in range(SERVICES)
        ],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 33554432, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
    }


_TEXT: list = []


def prose(size: int, seed: int = 0) -> str:
    """Text that deflates about as well as written text does.

    >>> len(prose(100, 7))
    100
    """
    if not _TEXT:
        rng = random.Random(5)
        _TEXT.append(" ".join("".join(rng.choices("etaoinshrdlu", k=rng.randint(2, 9))) for _ in range(40_000)))
    text, at = _TEXT[0], seed * 61 % 50_000
    return (text[at:] + text * (size // len(text) + 1))[:size]


def batch_job(items: int, prompt: int = 1500) -> dict:
    """A lot of so many items in groups of 8, each with a prompt and a scorer."""
    pay = base64.b64encode(prose(prompt).encode()).decode()
    return {
        "TrainStep": 3,
        "Model": "model-00",
        "MinRevision": 1,
        "DesiredCount": items // 8,
        "Entries": [
            {
                "InstanceId": f"it-{n:06d}",
                "Path": f"/roll/{n}",
                "GroupId": f"g{n // 8}",
                "TokenCount": 1000,
                "HeaderMap": {"X-Archhatch-Model": "model-00"},
                "Payload": pay,
                "ScorerUrl": {
                    "InstanceId": f"sc-{n:06d}",
                    "HostName": "host1.example",
                    "Path": f"/score/{n}",
                    "Payload": pay[:200],
                },
            }
            for n in range(items)
        ],
    }


def settings(folder: str | None = None, ip: str = "127.0.0.1"):
    """Settings of one node that founds a system of its own."""
    return need("runtime.settings", "check_settings")(
        {
            "NodeName": "probe",
            "IpAddress": ip,
            "InternalPorts": [1, 2],
            "Bindings": {},
            "SeedPeers": [f"{ip}:1"],
            "Bootstrap": True,
            "DataDir": folder,
            "Zone": "zone-00",
        }
    )


def folder():
    """A folder that goes with its context."""
    return tempfile.TemporaryDirectory(prefix="capacity-")


class Quiet:
    """A log that takes everything and says nothing."""

    def __getattr__(self, name):
        return self._put

    def _put(self, *args, **kwargs):
        return self


async def settle(name: str) -> None:
    """Wait for the tasks of a coroutine that goes on after the answer that it is for.

    >>> # await settle("Replicator._append_here")
    """
    late = [t for t in asyncio.all_tasks() if t.get_coro().__qualname__.endswith(name)]
    if late:
        await asyncio.wait(late, timeout=5.0)


class Sink:
    """The writing half of a connection that counts bytes."""

    def __init__(self):
        self.size = 0

    def write(self, data: bytes) -> None:
        self.size += len(data)

    async def drain(self) -> None:
        pass

    def is_closing(self) -> bool:
        return False
