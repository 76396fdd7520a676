"""One run of an item at a replica: its request, its events, and what follows from how it ended."""

from __future__ import annotations

import asyncio
import base64

import aiohttp

from ..upstream import AGAIN, ECHO, EXPECT_REV, SEAL, VERSIONS, NotSentError, belongs, has_end, says_not_run
from ..upstream.event_stream import EventReader, follows
from ..upstream.headers import LAST_ID, URGENCY, with_tenant
from .acquired_entry import AcquiredEntry

QUIET, FIRST = 3, 2  # gaps: between two events at most, and beside that until the first one
BESIDE_LIVE = "9"  # the urgency of items at replicas that live requests use too
SET_BY_US = frozenset({"host", ECHO.lower(), EXPECT_REV.lower()})  # headers of an item that are not its sender's


class InvalidStreamError(ValueError):
    """What came is not the answer of this item, or not all of it."""


class ItemStream:
    """run() drives an item once; its job then holds what was made, and its state what comes next.

    >>> # await ItemStream(store).run(job)
    """

    def __init__(self, store):
        self.store = store

    async def run(self, job: AcquiredEntry) -> None:
        """Run an entry once; what is whole moves on to scoring."""
        store, gap = self.store, self.store.gap_s()
        if not job.may_send():
            return
        store.counters.add("item.send")
        try:
            async with asyncio.timeout(gap * (QUIET + FIRST)) as limit:
                async with self._ask(job) as response:
                    if await self._answered(job, response):
                        await self._read_events(job, response, limit)
            return
        except NotSentError:
            store.counters.add("item.too_late")
            return
        except aiohttp.ClientConnectorError:
            job.sign("vanished", gap * 2)
            store.counters.add("item.no_way")
        except (asyncio.TimeoutError, TimeoutError):
            job.sign("vanished", gap * 2)
            store.counters.add("item.silent")
        except (aiohttp.ClientError, OSError, ValueError) as e:
            job.sign("faulted", gap)
            store.counters.add("item.cut")
            store.log.debug("item cut at {}: {!r}", job.card["engine"], e)
        job.forget_home = True

    def _ask(self, job: AcquiredEntry):
        card = job.card
        body = base64.b64decode(card["payload"])
        return self.store.upstream_client.ask(
            card["addr"], card["engine"], "POST", card["path"], self._heads(job), body, 0.0, AGAIN, job.may_send
        )

    def _heads(self, job: AcquiredEntry) -> list:
        card = job.card
        heads = [("Host", card["host"]), (ECHO, card["iid"]), (EXPECT_REV, str(card["version"]))]
        given = with_tenant(card["heads"], card.get("tenant"))
        heads += [(name, value) for name, value in given if name.lower() not in SET_BY_US]
        if card["service"] in self.store.live_services:
            heads.append((URGENCY, BESIDE_LIVE))
        if job.last_id:
            heads.append((LAST_ID, job.last_id))
        return heads

    # -- the answer

    async def _answered(self, job: AcquiredEntry, response) -> bool:
        """Whether a stream follows the head of an answer; any other answer is taken up here."""
        card = job.card
        if not belongs(response, card["iid"], AGAIN):
            response.close()
            raise InvalidStreamError("answer of another item")
        if says_not_run(response):
            await response.read()
            self._turned_away(job, response)
            return False
        if response.status == 422:
            await response.read()
            job.state, job.fails = "scoring", card["sends"]
            return False
        if response.status != 200:
            await response.read()
            self._failed(job, response.status)
            return False
        if SEAL not in response.headers or not has_end(response):
            response.close()
            raise InvalidStreamError("no seal, or nothing that tells where it ends")
        return True

    def _failed(self, job: AcquiredEntry, status: int) -> None:
        gap = self.store.gap_s()
        self.store.counters.add(f"item.{status}")
        if status == 500:
            job.fails += 1
            if job.fails >= job.card["sends"]:
                job.state = "scoring"
        job.sign("faulted", gap)
        job.pause = gap

    def _turned_away(self, job: AcquiredEntry, response) -> None:
        self.store.counters.add(f"item.away.{response.status}")
        other = response.headers.get("X-Archhatch-Instance-Id")
        if response.status == 421 and other not in (None, job.card["engine"]):
            job.sign("gone")
        elif response.status == 421:
            job.sign("doubt")
        else:
            job.sign("full")
            job.forget_home = True

    # -- the events

    async def _read_events(self, job: AcquiredEntry, response, limit: asyncio.Timeout) -> None:
        now, version, gap = self.store.clock.now, job.card["version"], self.store.gap_s()
        current = newest(response.headers.get(VERSIONS, ""), version)
        reader, began, count = EventReader(), now(), 0
        async for raw in response.content.iter_any():
            limit.reschedule(asyncio.get_running_loop().time() + gap * QUIET)
            for event in reader.feed(raw):
                if not follows(job.last_id, event.id):
                    raise InvalidStreamError("an event comes again")
                if event.version:
                    current = newest(event.version, current)
                job.texts.append(event.data)
                job.last_id = event.id
                job.versions.add(current)
                count += 1
        if reader.rest:
            raise InvalidStreamError("stream ended inside an event")
        if current > version:
            job.sign("version", current)
        job.sign("served", gap)
        if count:
            job.sign("pace", (now() - began) / count)
        self._judge_text(job)

    def _judge_text(self, job: AcquiredEntry) -> None:
        """Whole: on to scoring, unless its versions do not fit the lot."""
        card = job.card
        too_old = any(version < card["least"] for version in job.versions)
        if too_old or (card["single"] and len(job.versions) > 1) or not job.texts:
            self.store.counters.add("item.misfit")
            job.drop_text()
            return
        job.state = "scoring"


def newest(head: str, default: int) -> int:
    """The newest number in a head of versions.

    >>> newest("6,7", 1), newest("", 3)
    (7, 3)
    """
    nums = [int(x) for x in head.replace(" ", "").split(",") if x.isdigit()]
    return nums[-1] if nums else default
