"""A platform that takes duties, by the published protocol: it keeps what it accepted and judges the holders' order."""

import asyncio
from dataclasses import dataclass

import orjson
from aiohttp import web


@dataclass(frozen=True)
class Call:
    path: str
    holder: str
    fence: int
    doc: dict


class Platform:
    """Takes calls, or is in trouble: `mood` is "silent" (no answer), "down" (a reset) or a status."""

    def __init__(self):
        self.calls: list[Call] = []
        self.mood: str | int = 200

    async def start(self):
        self.server = web.Server(self._serve, access_log=None)
        self.site = await asyncio.get_running_loop().create_server(self.server, "127.0.0.1", 0)
        return self

    @property
    def settings(self) -> dict:
        """`CloudApi` of a settings file."""
        port = self.site.sockets[0].getsockname()[1]
        return {"Address": f"127.0.0.1:{port}", "Duties": ["accounting", "scaling"], "DutyPerS": 50.0}

    async def stop(self):
        self.site.close()
        await self.server.shutdown(0.01)

    async def _serve(self, request):
        body = await request.read()
        if self.mood == "down":
            request.transport.abort()
            return web.Response()
        if self.mood == "silent":
            await asyncio.sleep(3600)
        if self.mood == 200:
            heads = request.headers
            holder, fence = heads["X-Archhatch-Duty-Owner"], int(heads["X-Archhatch-Fence-Token"])
            self.calls.append(Call(request.path, holder, fence, orjson.loads(body)))
        return web.Response(status=self.mood)

    def reports(self) -> dict:
        """The windows that were reported, each with its counts; one with two different counts is a fault."""
        windows: dict = {}
        for call in self.calls:
            if call.path == "/accounting":
                assert windows.setdefault(call.doc["WindowId"], call.doc["Counts"]) == call.doc["Counts"]
        return windows

    def faults(self) -> list:
        """Fences that had two holders, and fences that came after higher ones."""
        found, holders, highest = [], {}, {}
        for call in self.calls:
            if holders.setdefault((call.path, call.fence), call.holder) != call.holder:
                found.append(("two holders", call))
            subject = (call.path, call.doc.get("Service"), call.doc.get("Zone"))
            if call.fence < highest.get(subject, 0):
                found.append(("a lower fence", call))
            highest[subject] = max(call.fence, highest.get(subject, 0))
        return found
