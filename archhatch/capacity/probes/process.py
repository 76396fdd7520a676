"""What a process costs before it does anything, and what a call over a rpc costs."""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys

from ..needs import need
from ..probe import probe
from .made import Quiet, prose

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__)))))
SHOW = (
    "import sys; sys.path[:0] = {path!r}\nimport {module}\n"
    "print([r for r in open('/proc/self/status') if r.startswith('VmRSS')][0].split()[1])"
)


def resident(module: str) -> int:
    """Bytes in memory of a fresh process that loaded a module."""
    code = SHOW.format(path=[os.path.join(ROOT, "target", "deps"), ROOT], module=module)
    out = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=20)
    if out.returncode:
        raise ValueError(f"{module} cannot be loaded: {out.stderr.strip().splitlines()[-1:]}")
    return int(out.stdout) * 1024


def _resident(name: str, module: str) -> None:
    @probe(
        name, "bytes", f"a process that loaded {module} and holds nothing (the same at each size)", "nothing", (0, 1)
    )
    async def _one(n):
        yield (lambda: resident(module)), 1


for _name, _mod in (
    ("resident.core", "archhatch.control.node"),
    ("resident.store", "archhatch.store.node"),
    ("resident.edge", "archhatch.data_plane.edge"),
):
    _resident(_name, _mod)


@probe("rpc.call", "cpu", "calls over loopback with small heads, both ends together", "calls", (200, 400, 800))
async def _call(n):
    verbs = need("rpc", "Handlers")()

    @verbs.on("ping")
    async def _ping(doc, body):
        return {"ok": True}

    counters = need("runtime", "Counters")()
    desk = need("rpc", "Server", "open", "port", "close")(verbs, Quiet(), counters)
    await desk.open("127.0.0.1:0")
    lines = need("rpc", "ConnectionPool", "to", "end")(counters)
    line = lines.to(f"127.0.0.1:{desk.port()}")
    await line.call("ping", {})

    async def function():
        for _ in range(n):
            await line.call("ping", {"a": 1}, timeout_s=5.0)

    yield function, 1
    lines.end()
    await desk.close()
    await asyncio.sleep(0)


@probe("rpc.pack", "cpu", "frame an envelope with a body, deflated", "bytes", (4096, 65536, 524288))
async def _pack(n):
    pack, env, body = need("rpc.framing", "pack"), need("rpc", "Envelope"), prose(n).encode()
    yield (lambda: [pack(env(call=1, verb="x", body=body)) for _ in range(3)]), 3


@probe("rpc.read", "cpu", "read a framed envelope with a deflated body", "bytes", (4096, 65536, 524288))
async def _read(n):
    pack, read, env = need("rpc.framing", "pack"), need("rpc.framing", "read_frame"), need("rpc", "Envelope")
    raw = pack(env(call=1, verb="x", body=prose(n).encode()))

    async def function():
        for _ in range(5):
            rd = asyncio.StreamReader(limit=1 << 24)
            rd.feed_data(raw)
            await read(rd)

    yield function, 5
