"""One run of an item at a replica: its request, its events, and what follows from how it ended."""

from __future__ import annotations

import asyncio
import base64
from contextlib import AbstractAsyncContextManager

import aiohttp

from ..exceptions import ArchhatchError
from ..runtime.numbers import read_count
from ..upstream import (
    REQUEST_ID_HEADER,
    EXPECTED_REVISION_HEADER,
    REPLY_SEAL_HEADER,
    WEIGHT_VERSIONS_HEADER,
    NotSentError,
    is_response_to,
    has_body_framing,
    declares_not_executed,
    Delivery,
)
from ..upstream.event_stream import Event, EventReader, is_next_event
from ..upstream.headers import LAST_EVENT_ID_HEADER, URGENCY_LEVEL_HEADER, with_tenant
from .acquired_entry import AcquiredEntry, WorkState
from .hosts import WorkerHost
from .messages import SignalKind

MAX_EVENT_GAPS = 3  # in replica_pause_s: the longest time between two events
FIRST_EVENT_GAPS = 2  # in replica_pause_s: what the first event may take beside that, for the prompt to be read
VANISHED_EJECTION_GAPS = 2  # in replica_pause_s: first ejection of a replica that vanished; one gap if it failed
LIVE_SERVICE_URGENCY = "9"  # urgency of items at replicas that live requests use too: the lowest
OWN_HEADERS = frozenset(
    {"host", REQUEST_ID_HEADER.lower(), EXPECTED_REVISION_HEADER.lower()}
)  # headers that are not the sender's to set
INSTANCE_ID_HEADER = "X-Archhatch-Instance-Id"  # on a 421: who answers at the address

HTTP_OK = 200
HTTP_MISDIRECTED = 421
HTTP_UNPROCESSABLE = 422
HTTP_SERVER_ERROR = 500


class InvalidStreamError(ArchhatchError, ValueError):
    """What came is not the answer of this item, or not all of it."""


class ItemStream:
    """Drives replicas; an entry then holds what was made, and its state what comes next.

    Attributes:
        host: What is used of the node.
    """

    def __init__(self, host: WorkerHost) -> None:
        self.host = host

    async def run(self, entry: AcquiredEntry) -> None:
        """Runs an entry once; one that is whole, or failed for good, goes on to SCORING."""
        host, replica_pause_s = self.host, self.host.replica_pause_s()
        if not entry.may_send():
            return
        host.counters.add("item.send")
        try:
            async with asyncio.timeout(replica_pause_s * (MAX_EVENT_GAPS + FIRST_EVENT_GAPS)) as time_limit:
                async with self._ask(entry) as response:
                    if await self._is_stream(entry, response):
                        await self._read_events(entry, response, time_limit)
        except NotSentError:
            host.counters.add("item.too_late")
            return
        except aiohttp.ClientConnectorError:
            entry.signal(SignalKind.VANISHED, replica_pause_s * VANISHED_EJECTION_GAPS)
            host.counters.add("item.connect_failed")
        except TimeoutError:
            entry.signal(SignalKind.VANISHED, replica_pause_s * VANISHED_EJECTION_GAPS)
            host.counters.add("item.timed_out")
        except (aiohttp.ClientError, OSError, ValueError) as error:
            if isinstance(error, InvalidStreamError):
                host.counters.add("item.malformed")
            entry.signal(SignalKind.FAULTED, replica_pause_s)
            host.counters.add("item.cut")
            host.log.debug(
                "item {}: stream broken off, engine={} error={!r}",
                entry.record.item_id,
                entry.record.engine_id,
                error,
            )
        else:
            return
        entry.is_home_forgotten = True

    def _ask(self, entry: AcquiredEntry) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
        record = entry.record
        return self.host.upstream_client.request(
            record.address,
            record.engine_id,
            "POST",
            record.path,
            self._headers(entry),
            base64.b64decode(record.payload),
            0.0,
            Delivery.AT_LEAST_ONCE,
            entry.may_send,
        )

    def _headers(self, entry: AcquiredEntry) -> list[tuple[str, str]]:
        record = entry.record
        headers = [
            ("Host", record.host),
            (REQUEST_ID_HEADER, record.item_id),
            (EXPECTED_REVISION_HEADER, str(record.model_version)),
        ]
        given = with_tenant(record.headers, record.tenant)
        headers += [(name, value) for name, value in given if name.lower() not in OWN_HEADERS]
        if record.service in self.host.live_services:
            headers.append((URGENCY_LEVEL_HEADER, LIVE_SERVICE_URGENCY))
        if entry.last_event_id:
            headers.append((LAST_EVENT_ID_HEADER, entry.last_event_id))
        return headers

    async def _is_stream(self, entry: AcquiredEntry, response: aiohttp.ClientResponse) -> bool:
        """Returns whether a stream follows the head of an answer; deals with any other answer.

        Raises:
            InvalidStreamError: The answer is not this item's, or nothing tells where its stream ends.
        """
        record = entry.record
        if not is_response_to(response, record.item_id, Delivery.AT_LEAST_ONCE):
            response.close()
            raise InvalidStreamError("answer of another item")
        if declares_not_executed(response):
            await response.read()
            self._note_rejection(entry, response)
            return False
        if response.status == HTTP_UNPROCESSABLE:
            await response.read()
            entry.state = WorkState.SCORING
            entry.failures = record.max_attempts
            return False
        if response.status != HTTP_OK:
            await response.read()
            self._note_failure(entry, response.status)
            return False
        if REPLY_SEAL_HEADER not in response.headers or not has_body_framing(response):
            response.close()
            raise InvalidStreamError("no seal, or nothing that tells where it ends")
        return True

    def _note_failure(self, entry: AcquiredEntry, status: int) -> None:
        """The item ran and failed; only answers of 500 count towards its attempts."""
        replica_pause_s = self.host.replica_pause_s()
        self.host.counters.add(f"item.{status}")
        if status == HTTP_SERVER_ERROR:
            entry.failures += 1
            if entry.failures >= entry.record.max_attempts:
                entry.state = WorkState.SCORING
        entry.signal(SignalKind.FAULTED, replica_pause_s)
        entry.backoff_s = replica_pause_s

    def _note_rejection(self, entry: AcquiredEntry, response: aiohttp.ClientResponse) -> None:
        """The replica did not run the item: it is another one, has another version, or is full."""
        self.host.counters.add(f"item.rejected.{response.status}")
        answering_id = response.headers.get(INSTANCE_ID_HEADER)
        if response.status != HTTP_MISDIRECTED:
            entry.signal(SignalKind.FULL)
            entry.is_home_forgotten = True
        elif answering_id not in (None, entry.record.engine_id):
            entry.signal(SignalKind.GONE)
        else:
            entry.signal(SignalKind.DOUBT)

    async def _read_events(
        self, entry: AcquiredEntry, response: aiohttp.ClientResponse, time_limit: asyncio.Timeout
    ) -> None:
        """Reads the stream to its end.

        Raises:
            InvalidStreamError: An event came again, or the stream ended inside one.
        """
        now, expected, replica_pause_s = self.host.clock.now, entry.record.model_version, self.host.replica_pause_s()
        loop_time = asyncio.get_running_loop().time
        current = newest_version(response.headers.get(WEIGHT_VERSIONS_HEADER, ""), expected)
        reader, began_at, count = EventReader(), now(), 0
        async for chunk in response.content.iter_any():
            time_limit.reschedule(loop_time() + replica_pause_s * MAX_EVENT_GAPS)
            for event in reader.feed(chunk):
                _check_event(event, entry.last_event_id)
                if event.version:
                    current = newest_version(event.version, current)
                entry.texts.append(event.data)
                entry.last_event_id = event.id
                entry.versions.add(current)
                count += 1
        if reader.remainder:
            raise InvalidStreamError("stream ended inside an event")
        if current > expected:
            entry.signal(SignalKind.VERSION, current)
        entry.signal(SignalKind.SERVED, replica_pause_s)
        if count:
            entry.signal(SignalKind.PACE, (now() - began_at) / count)
        self._judge_text(entry)

    def _judge_text(self, entry: AcquiredEntry) -> None:
        """Sends a whole text on to scoring, unless the batch job does not allow the versions that made it."""
        record = entry.record
        is_too_old = any(version < record.min_version for version in entry.versions)
        is_mixed = record.is_single_version and len(entry.versions) > 1
        if is_too_old or is_mixed or not entry.texts:
            self.host.counters.add("item.unusable")
            entry.drop_text()
            return
        entry.state = WorkState.SCORING


def newest_version(header: str, default: int) -> int:
    """Returns the last number in a header of versions, or the default if it is empty.

    >>> newest_version("6,7", 1), newest_version("", 3)
    (7, 3)

    Raises:
        InvalidStreamError: It lists something else than numbers.
    """
    if not header.strip():
        return default
    version = default
    for part in header.split(","):
        number = read_count(part.strip())
        if number is None:
            raise InvalidStreamError("the weight versions are no numbers")
        version = number
    return version


def _check_event(event: Event, last_event_id: str) -> None:
    """Checks that an event can be kept, handed on and followed by the next.

    Raises:
        InvalidStreamError: It cannot.
    """
    if not is_next_event(last_event_id, event.id):
        raise InvalidStreamError("an event comes again, or its id is no number")
    if not event.id.isascii() or not event.id.isprintable():
        raise InvalidStreamError("the id of an event is not ASCII")
    if not event.data.isascii() and not _is_unicode(event.data):
        raise InvalidStreamError("the data of an event is not UTF-8")


def _is_unicode(text: str) -> bool:
    """Whether text that was decoded leniently has no byte in it that was not UTF-8."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
