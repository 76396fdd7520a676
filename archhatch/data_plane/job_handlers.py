"""Calls about lots: handed on to the store that holds the run."""

from __future__ import annotations

import asyncio
from urllib.parse import parse_qs, urlsplit

from ..runtime import Result, error_result
from ..runtime.numbers import read_count, read_decimal
from ..upstream import ECHO
from ..upstream.headers import HOLD
from ..jobs import InvalidJobError, Quorum, check_job
from ..rpc import CallError

NOT_TAKEN = {2008, 3001, 3005, 3008}  # refusals after which this very call has put nothing anywhere
LONGEST_HOLD_S = 5.0  # a read is held no longer, whatever its caller allows
UNCLEAR_KEPT = 4096  # hand-ins without a clear outcome that are remembered


class JobHandlers:
    """Hands lots in, reads them, ends them.

    >>> # result = await desk.hand_in(request, route, body, tenant)
    """

    def __init__(self, settings, config_watcher, lines, counters, clock):
        self.settings, self.config_watcher, self.connections, self.counters, self.clock = (
            settings,
            config_watcher,
            lines,
            counters,
            clock,
        )
        self.port = settings.internal_ports[0] + 1
        self.run_of: dict[str, str] = {}
        self.unclear: dict[str, None] = {}  # lots that were sent to a store without a clear answer, oldest first
        self.quorum = Quorum.from_settings(settings)

    def _stores(self) -> dict:
        return (self.config_watcher.shards.get("plan") or {}).get("stores", {})

    def _tenures(self) -> dict:
        out: dict = {}
        for value in self.config_watcher.shards.values():
            for run, ten in (value.get("tenures") or {}).items():
                if run not in out or ten["term"] > out[run]["term"]:
                    out[run] = ten
        return out

    def _addr(self, sid: str | None) -> str | None:
        s = self._stores().get(sid)
        return f"{s['ip']}:{self.port}" if s else None

    async def hand_in(self, request, route, body: bytes, tenant: str | None = None) -> Result:
        """Have a lot taken for a tenant; None where no key is asked for."""
        job_id = request.headers.get(ECHO, "")
        try:
            model = check_job(job_id, body)
        except InvalidJobError as e:
            self.counters.add("lot.malformed")
            return error_result(2003, str(e))
        run = self.config_watcher.plan.models().get(model, route.split[0][0])
        head = {"lot": job_id, "run": run, "host": request.headers.get("Host", ""), "path": request.raw_path}
        if tenant is not None:
            head["tenant"] = tenant
        end = self.clock.now() + max(0.4, self.settings.seconds("ContactMs", 0.6))
        while self.clock.now() < end:
            lease = self._tenures().get(run, {})
            address = self._addr(lease.get("holder"))
            if address is not None:
                result = await self._put(address, lease, head, body, max(0.2, end - self.clock.now()))
                if result is not None:
                    return result
            await asyncio.sleep(0.1)
        # a copy of this lot that went out earlier may still be taken, whatever the later ones met
        unclear = job_id in self.unclear
        self.counters.add("lot.unclear" if unclear else "lot.refused")
        return error_result(4003) if unclear else error_result(3005, after_s=0.3)

    async def _put(self, address: str, lease: dict, head: dict, body: bytes, timeout_s: float) -> Result | None:
        """Hand a lot to a run's holder; None if it did not take it, or did not say so."""
        job_id = head["lot"]
        try:
            code, doc, _ = await self.connections.to(address).call(
                "lot.put", {"to": lease["holder"], "term": lease["term"], **head}, body, timeout_s=timeout_s
            )
        except CallError as e:
            if e.sent:
                self._note_unclear(job_id)
            return None
        except asyncio.CancelledError:  # the client left; the store may take the lot all the same
            self._note_unclear(job_id)
            raise
        if code == 1000 and doc["me"] == lease["holder"]:
            self.run_of[job_id] = head["run"]
            self.unclear.pop(job_id, None)
            return Result(202)
        if code == 2003:
            return error_result(2003, str(doc))
        if code == 2008:
            self.counters.add("lot.other_life")
        if code not in NOT_TAKEN:
            self._note_unclear(job_id)
        return None

    def _note_unclear(self, job_id: str) -> None:
        self.unclear[job_id] = None
        while len(self.unclear) > UNCLEAR_KEPT:
            del self.unclear[next(iter(self.unclear))]

    async def read(self, request, path: str, target: str) -> Result:
        _, _, kind, job_id = path.split("/", 3)
        query = parse_qs(urlsplit(target).query)
        if kind == "items":
            if request.method != "GET" or "InstanceId" not in query:
                return error_result(2010 if request.method != "GET" else 2001)
            return await self._ask("lot.item", {"lot": job_id, "item": query["InstanceId"][0]}, 0.0)
        if request.method == "DELETE":
            return await self._ask("lot.end", {"lot": job_id}, 0.0)
        if request.method != "GET":
            return error_result(2010)
        after = read_count(query.get("StartAfter", ["0"])[0])
        if after is None:
            return error_result(2001, "StartAfter")
        hold_ms = read_decimal(request.headers.get(HOLD, "0"))
        if hold_ms is None:
            return error_result(2001, HOLD)
        hold = min(hold_ms / 1000, LONGEST_HOLD_S)
        return await self._ask("lot.read", {"lot": job_id, "after": after, "hold": hold}, hold)

    async def _ask(self, verb: str, doc: dict, hold: float) -> Result:
        """Ask the holders; whoever holds the lot's run answers. 404 only when enough stores lack it."""
        tens = self._tenures()
        end = self.clock.now() + hold + self.settings.seconds("ContactMs", 0.25)
        first = tens.get(self.run_of.get(doc["lot"], ""), {}).get("holder")
        holders = ([first] if first else []) + sorted({t["holder"] for t in tens.values()} - {first})
        unsure = False
        for sid in holders:
            address = self._addr(sid)
            if address is None:
                unsure = True
                continue
            try:
                code, out, raw = await self.connections.to(address).call(
                    verb, {"to": sid, **doc}, timeout_s=max(0.3, end - self.clock.now())
                )
            except CallError:
                unsure = True
                continue
            if code == 2008 or (code == 1000 and not self._from_holder(sid, out)):
                self.counters.add("lot.other_life")
                unsure = True
                continue
            if code == 1000:
                self.run_of[doc["lot"]] = out["run"]
                kind = "application/json" if verb != "lot.item" else "application/octet-stream"
                return Result(200, raw, [("Content-Type", kind)])
            if code == 2007 and out == "item":
                return error_result(2007)
            unsure = unsure or code != 2007
        if unsure or not await self._nowhere(doc["lot"]):
            self.counters.add("lot.not_sure")
            return error_result(3004, after_s=0.2)
        return error_result(2007)

    def _from_holder(self, sid: str, out: dict) -> bool:
        """Whether an answer comes from the store that was asked, under no older term than the newest one known."""
        return out["me"] == sid and out["term"] >= self._tenures().get(out["run"], {}).get("term", 0)

    async def _nowhere(self, job_id: str) -> bool:
        """Whether so many stores lack the lot that it cannot have been accepted. Members that only the stores know of
        count too: the news of an edge that stood still are old."""
        stores = self._stores()
        words = await asyncio.gather(*[self._lacks(f"{s['ip']}:{self.port}", sid, job_id) for sid, s in stores.items()])
        members = dict(stores)
        for word in words:
            for sid, m in (word or {"stores": {}})["stores"].items():
                members.setdefault(sid, m)
        return self.quorum.has_heard_enough(
            {sid for sid, word in zip(stores, words) if word and word["lacks"]}, members
        )

    async def _lacks(self, address: str, sid: str, job_id: str) -> dict | None:
        try:
            code, out, _ = await self.connections.to(address).call(
                "shelf.lacks", {"to": sid, "lot": job_id}, timeout_s=0.4
            )
        except CallError:
            return None
        if code == 2008 or (code == 1000 and out["me"] != sid):
            self.counters.add("lot.other_life")
        return out if code == 1000 and out["me"] == sid else None
