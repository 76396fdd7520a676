"""Which item runs next, where; runs it, has it scored and listed."""
from __future__ import annotations

import asyncio
import base64

import aiohttp

from ..sends import ECHO, EXPECT_REV, NOT_RUN, SEAL, VERSIONS
from ..sends.events import EventReader
from ..sends.heads import LAST_ID, URGENCY
from ..tickets import Deposed
from .lull import Lull
from .scoring import Scoring
from .work import Work

LOOK = 48   # waiting items of a lot that are looked at for one place


class Dispatch:
    """Fills the places of the engines with waiting items, the most urgent lots first.

    >>> # dispatch = Dispatch(store); crew.keep("dispatch", dispatch.run)
    """

    def __init__(self, store):
        self.st = store
        self.works: dict[str, dict[str, Work]] = {}
        self.waiting: dict[str, list[Work]] = {}
        self.homes: dict[tuple, str] = {}
        self.lull = Lull()
        self.scoring = Scoring(store, self.lull)

    async def run(self) -> None:
        st, turn = self.st, 0
        while True:
            self.lull.heed(st.news.busy)
            self._sync()
            self._give_back()
            while self._place_one():
                pass
            turn = await st.board.news("work", turn, st.beat_s * 0.5)

    # -- what there is to do

    def _lots(self) -> list:
        """Open lots with their lanes, the most urgent first."""
        out = []
        plan = self.st.plan
        if plan is None:
            return out
        for reign in self.st.reigns.values():
            if reign.state != "holding":
                continue
            for lot in reign.lots.values():
                if not lot.ended and len(lot.done) < lot.total:
                    lane = plan.lane(lot.host, lot.path.split("?", 1)[0])
                    if lane is not None:
                        out.append((lot.taken + lane.due_s, lot.lid, lot, lane, reign))
        out.sort(key=lambda x: x[:2])
        return out

    def _sync(self) -> None:
        """New lots get their works; ended ones lose what still runs."""
        live = {lid: (lot, reign) for _, lid, lot, _, reign in self._lots()}
        for lid in [k for k in self.works if k not in live]:
            for w in self.works.pop(lid).values():
                if w.task is not None and w.state in ("running", "scoring") and w.item.iid not in w.lot.done:
                    w.task.cancel()
            self.waiting.pop(lid, None)
            self.homes = {k: v for k, v in self.homes.items() if k[0] != lid}
        for lid, (lot, _) in live.items():
            if lid not in self.works:
                self.works[lid] = {}
                groups: dict = {}
                for it in lot.items.values():
                    groups.setdefault(it.group, len(groups))
                    if it.iid not in lot.done:
                        self.works[lid][it.iid] = Work(lot, it, groups[it.group])
                self.waiting[lid] = sorted(self.works[lid].values(), key=lambda w: (w.rank, w.item.at))

    def short(self, reign, model: str) -> bool:
        """Whether items that the trainer waits for find no free place under a version that they allow."""
        for lot in reign.lots.values():
            if lot.model != model or lot.ended:
                continue
            if not any(w.rank < lot.want or not lot.want for w in self.waiting.get(lot.lid, ())):
                continue
            if not any(e.busy() < self._places(e) and model not in e.held and e.revs.get(model, 1) >= lot.least
                       and not e.draining for e in self.st.engines.of(reign.run)):
                return True
        return False

    # -- picking

    def _place_one(self) -> bool:
        """Put one waiting item on an engine; False if nothing fits anywhere."""
        now = self.st.clock.now()
        free: dict[str, list] = {}
        for e in self.st.engines.all.values():
            if not e.draining and e.pause_until <= now and e.busy() < self._places(e) and e.fitness.look(now) != "resting":
                free.setdefault(e.service, []).append(e)
        if not free:
            return False
        lots = self._lots()
        for surplus in (False, True):
            for _, lid, lot, lane, reign in lots:
                if not reign.fresh():
                    continue
                engines = [e for s, _ in lane.split for e in free.get(s, ())
                           if lot.model not in e.held and e.revs.get(lot.model, 1) >= lot.least
                           and self.st.placement.allows(lane, e.zone)]
                if not engines:
                    continue
                hit = self._match(lid, lot, lane, engines, surplus, now)
                if hit is not None:
                    w, e = hit
                    self.waiting[lid].remove(w)
                    self.homes.setdefault((lid, w.item.group), e.iid)
                    w.state, w.engine = "running", e
                    e.running[lot.model] = e.running.get(lot.model, 0) + 1
                    w.task = self.st.crew.once("item", self._run, w, e, lane, reign)
                    return True
        return False

    def _places(self, e) -> int:
        return self.lull.places(e.service, e.slots, len(self.st.engines.of(e.service)))

    def _give_back(self) -> None:
        """Live requests are back: break off the newest items over the places that are left. What is made of their
        texts is kept, and they go on where it ends."""
        if not self.lull.busy:
            return
        for e in self.st.engines.all.values():
            over = e.busy() - self._places(e)
            if over <= 0:
                continue
            here = [w for works in self.works.values() for w in works.values() if w.engine is e and not w.recalled]
            over -= sum(1 for works in self.works.values() for w in works.values() if w.engine is e and w.recalled)
            for w in sorted(here, key=lambda w: len(w.texts))[:max(0, over)]:
                w.recalled = True
                w.task.cancel()
                self.st.ctr.add("item.recalled")

    def _match(self, lid, lot, lane, engines, surplus, now):
        byid = {e.iid: e for e in engines}
        spare = min(engines, key=lambda e: (e.busy() / e.slots, e.pace))
        other = None
        looked = 0
        for w in self.waiting[lid]:
            if (w.rank >= lot.want > 0) != surplus:
                continue
            if w.not_before > now:
                continue
            looked += 1
            if looked > LOOK:
                break
            home = self.homes.get((lid, w.item.group))
            if home is None:
                return w, spare
            if home in byid:
                return w, byid[home]
            other = other or w
        return (other, spare) if other is not None else None

    # -- running

    async def _run(self, w: Work, e, lane, reign) -> None:
        st, model = self.st, w.lot.model
        rev = e.revs.get(model, 1)
        again = 0.0
        try:
            again = await self._stream(w, e, lane, rev)
        finally:
            e.running[model] -= 1
            w.engine = None
            w.recalled = False
            if w.state == "running":
                w.state = "waiting"
                w.not_before = st.clock.now() + (again or 0.0)
                if w.lot.lid in self.waiting:
                    self.waiting[w.lot.lid].insert(0, w)
            st.board.touch("work")
        if w.state == "scoring":
            try:
                await self._finish(w, lane, reign)
            except Deposed:
                reign.over()

    async def _stream(self, w: Work, e, lane, rev: int) -> float:
        """Run an item once; what is whole moves on to scoring. Gives the pause before another try."""
        st, lot = self.st, w.lot
        if not w.fits(rev, lane.single):
            w.drop_text()
        heads = [("Host", lot.host), (ECHO, w.item.iid), (EXPECT_REV, str(rev))] + [
            (k, v) for k, v in w.item.heads if k.lower() not in ("host", ECHO.lower(), EXPECT_REV.lower())]
        if self._has_live(e.service):
            heads.append((URGENCY, "9"))
        if w.last_id:
            heads.append((LAST_ID, w.last_id))
        now = st.clock.now
        st.ctr.add("item.send")
        quiet = st.gap_s() * 3
        try:
            async with asyncio.timeout(quiet + st.gap_s() * 2) as limit:
                async with st.caller.ask(e.addr, e.iid, "POST", w.item.path, heads, base64.b64decode(w.item.payload),
                                         0.0) as resp:
                    if NOT_RUN in resp.headers or resp.status == 421:
                        data = await resp.read()
                        return self._turned_away(w, e, resp, data)
                    if resp.headers.get(ECHO) != w.item.iid:
                        resp.close()
                        raise ValueError("answer of another item")
                    if resp.status == 422:
                        w.state = "scoring"
                        w.fails = lane.sends
                        return 0.0
                    if resp.status != 200:
                        await resp.read()
                        st.ctr.add(f"item.{resp.status}")
                        if resp.status == 500:
                            w.fails += 1
                            if w.fails >= lane.sends:
                                w.state = "scoring"
                        return st.gap_s()
                    if SEAL not in resp.headers:
                        raise ValueError("no seal")
                    cur = _rev(resp.headers.get(VERSIONS, ""), rev)
                    rd, began, n = EventReader(), now(), 0
                    async for raw in resp.content.iter_any():
                        limit.reschedule(asyncio.get_running_loop().time() + quiet)
                        for ev in rd.feed(raw):
                            if ev.version:
                                cur = _rev(ev.version, cur)
                            w.texts.append(ev.data)
                            w.last_id = ev.id
                            w.versions.add(cur)
                            n += 1
                    if rd.rest:
                        raise ValueError("stream ended inside an event")
                    if cur > e.revs.get(lot.model, 1):
                        e.proven(lot.model, cur)
            e.fitness.note("served", now(), st.gap_s())
            if n:
                e.pace += 0.1 * ((now() - began) / n - e.pace)
            if any(v < lot.least for v in w.versions) or (lane.single and len(w.versions) > 1) or not w.texts:
                st.ctr.add("item.misfit")
                w.drop_text()
                return 0.0
            w.state = "scoring"
            return 0.0
        except aiohttp.ClientConnectorError:
            e.fitness.note("vanished", now(), st.gap_s() * 2)
            st.ctr.add("item.no_way")
        except (asyncio.TimeoutError, TimeoutError):
            e.fitness.note("vanished", now(), st.gap_s() * 2)
            st.ctr.add("item.silent")
        except (aiohttp.ClientError, OSError, ValueError) as ex:
            e.fitness.note("faulted", now(), st.gap_s())
            st.ctr.add("item.cut")
            st.log.debug("item cut at {}: {!r}", e.iid, ex)
        self.homes.pop((lot.lid, w.item.group), None)
        return 0.0

    def _has_live(self, service: str) -> bool:
        """Whether live lanes lead to a service too: its own requests then go before rollouts in the replica's queue."""
        return service in self.st.live_services

    def _turned_away(self, w: Work, e, resp, data: bytes) -> float:
        st = self.st
        st.ctr.add(f"item.away.{resp.status}")
        other = resp.headers.get("X-Archhatch-Instance-Id")
        if resp.status == 421 and other not in (None, e.iid):
            st.engines.all.pop(e.iid, None)
            return 0.0
        if resp.status == 421:
            st.orders.doubt(e)
            e.pause_until = st.clock.now() + st.gap_s() * 0.4
            return 0.0
        e.pause_until = st.clock.now() + st.gap_s() * 0.2
        self.homes.pop((w.lot.lid, w.item.group), None)
        return 0.0

    # -- scoring and listing

    async def _finish(self, w: Work, lane, reign) -> None:
        st = self.st
        iid = w.item.iid
        doc = {"InstanceId": iid, "OperState": "aborted", "Text": "", "WeightVersions": []}
        if w.fails < lane.sends:
            key = (w.rank >= w.lot.want > 0, w.lot.taken + lane.due_s, w.rank)
            score = await self.scoring.score(w, key) if w.item.scorer else ""
            if score is not None:
                doc = {"InstanceId": iid, "OperState": "complete", "Text": "\n".join(w.texts),
                       "WeightVersions": sorted(w.versions)}
                if w.item.scorer:
                    doc["Score"] = score
        st.ctr.add("item." + doc["OperState"])
        w.texts = []
        await reign.list_result(w.lot, iid, doc)
        w.state = "done"


def _rev(head: str, dflt: int) -> int:
    """The newest number in a head of versions.

    >>> _rev("6,7", 1), _rev("", 3)
    (7, 3)
    """
    nums = [int(x) for x in head.replace(" ", "").split(",") if x.isdigit()]
    return nums[-1] if nums else dflt
