"""Clients of a soak: live requests on kept connections, and trainers that hand batch jobs in, read and end them."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import random
from dataclasses import dataclass, field

from tests.soak.deployment import BURST, HOST, SLOTS, ClientConnection, Message, System, call_once, status_of

TIMEOUTS_S = {"quote": 2.0, "order": 6.0}
PAUSE_S = 0.15  # between a client's requests, about
REST_SHARE = 0.15  # of the requests are followed by a rest on the open connection
LONGEST_REST_S = 6.0
ENDED_SHARE = 0.3  # of the batch jobs are ended early
ENDED_IN_RESET_SHARE = 0.5  # of the others, if connections between stores are reset meanwhile
END_AFTER_RESET_S = 0.1
READ_HOLD_MS = 800
ITEMS = 24


@dataclass
class Outcome:
    """What a client saw of one live request.

    Attributes:
        request_id: Its id.
        route: "quote" or "order".
        edge: The edge that it was sent to.
        sent_at: When it was sent, by the record's clock.
        took_s: How long the answer, or the end of the connection, took.
        status: The status of the answer; 0 if there was none, or not a whole one.
    """

    request_id: str
    route: str
    edge: str
    sent_at: float
    took_s: float = 0.0
    status: int = 0


class LiveClient:
    """Sends requests on a connection until that is closed, then opens another one, to any edge."""

    def __init__(self, system: System, name: str, rng: random.Random, outcomes: list[Outcome]) -> None:
        self.system, self.name, self.rng, self.outcomes = system, name, rng, outcomes
        self._count = 0

    async def run(self, until: asyncio.Event) -> None:
        """Goes on until the event is set."""
        while not until.is_set():
            edge = self.rng.randint(1, self.system.edge_count)
            connection = ClientConnection(self.system.front(edge))
            try:
                await connection.open()
                while not until.is_set() and await self._send(connection, f"edge-{edge}"):
                    rests = self.rng.random() < REST_SHARE
                    await asyncio.sleep(self.rng.uniform(0.0, LONGEST_REST_S if rests else 2 * PAUSE_S))
            except (OSError, TimeoutError):
                await asyncio.sleep(PAUSE_S)
            finally:
                connection.close()

    async def _send(self, connection: ClientConnection, edge: str) -> bool:
        """Sends one request; returns whether the connection may be used again."""
        self._count += 1
        route = self.rng.choice(["quote", "quote", "order"])
        outcome = Outcome(f"{route}-{self.name}-{self._count}", route, edge, self.system.record.now())
        self.outcomes.append(outcome)
        headers = {
            "Host": HOST,
            "X-Archhatch-Request-Id": outcome.request_id,
            "X-Archhatch-Deadline-Ms": str(int(TIMEOUTS_S[route] * 1000)),
        }
        answer: Message | None = None
        with contextlib.suppress(TimeoutError):
            answer = await connection.call(
                "POST", f"/{route}/{self._count}", headers, b"{}", timeout_s=TIMEOUTS_S[route] + 1.0
            )
        outcome.took_s = self.system.record.now() - outcome.sent_at
        is_whole = answer is not None and answer.is_complete
        outcome.status = status_of(answer) if is_whole else 0
        return is_whole and answer is not None and answer.headers.get("connection", "").lower() != "close"


async def send_bursts(system: System) -> None:
    """Sends each edge so many requests of each route at once that two replicas cannot take them all."""
    for edge in range(1, system.edge_count + 1):
        for route, timeout_s in TIMEOUTS_S.items():
            headers = {"Host": HOST, "X-Archhatch-Deadline-Ms": str(int(timeout_s * 1000))}
            calls = [
                call_once(
                    system.front(edge),
                    "POST",
                    f"/{route}/{BURST}",
                    {**headers, "X-Archhatch-Request-Id": f"{route}-{BURST}-{edge}-{n}"},
                )
                for n in range(2 * SLOTS + SLOTS // 2)
            ]
            await asyncio.gather(*calls)


@dataclass
class Job:
    """A batch job as its trainer knows it.

    Attributes:
        job_id: Its id.
        accepted_at: When its 202 came; None before.
        ended_at: When its end was acknowledged; None if it was not.
        is_ending: Whether its trainer has asked for its end.
        results: The ids of the listed items by position, as they were read.
        changed_positions: Positions that were read again with another item.
    """

    job_id: str
    accepted_at: float | None = None
    ended_at: float | None = None
    is_ending: bool = False
    results: list[str] = field(default_factory=list)
    changed_positions: list[int] = field(default_factory=list)

    def is_owed(self) -> bool:
        """Returns whether all of its results are to come."""
        return self.accepted_at is not None and not self.is_ending

    def body(self) -> bytes:
        """Returns the job as it is handed in."""
        entries = [
            {
                "InstanceId": f"item-{self.job_id}-{n}",
                "Path": f"/roll/{n}",
                "GroupId": f"g{n // 4}",
                "TokenCount": 24,
                "HeaderMap": {"X-Archhatch-Model": "m", "X-Archhatch-Token-Count": "16,8"},
                "Payload": base64.b64encode(b"prompt").decode(),
                "ScorerUrl": {"InstanceId": f"reward-{self.job_id}-{n}", "HostName": HOST, "Path": f"/score/{n}"},
            }
            for n in range(ITEMS)
        ]
        document = {"TrainStep": 0, "Model": "m", "MinRevision": 1, "DesiredCount": ITEMS // 4, "Entries": entries}
        return json.dumps(document).encode()


class Trainer:
    """Hands in one batch job after the other, reads each to its end, or ends it before."""

    def __init__(
        self, system: System, name: str, rng: random.Random, jobs: list[Job], reset_begun: asyncio.Event
    ) -> None:
        self.system, self.name, self.rng, self.jobs = system, name, rng, jobs
        self._reset_begun = reset_begun  # set for a moment when connections between stores are reset

    async def run(self, until: asyncio.Event) -> None:
        """Goes on until the event is set; batch jobs that are under way then stay."""
        number = 0
        while not until.is_set():
            number += 1
            job = Job(f"{self.name}{number:012x}")
            self.jobs.append(job)
            await self.hand_in(job)
            await self._read_or_end(job, until)

    async def hand_in(self, job: Job) -> None:
        """Hands a job in, again after each answer but a 202."""
        headers = {"Host": HOST, "X-Archhatch-Request-Id": job.job_id, "Content-Type": "application/json"}
        while status_of(await self._call("POST", "/roll/step", headers, job.body())) != 202:
            await asyncio.sleep(0.2)
        job.accepted_at = self.system.record.now()

    async def _read_or_end(self, job: Job, until: asyncio.Event) -> None:
        ends_early = self.rng.random() < ENDED_SHARE
        end_at = self.system.record.now() + self.rng.uniform(0.5, 4.0)
        while len(job.results) < ITEMS and not until.is_set():
            if ends_early and self.system.record.now() >= end_at:
                await self.end(job)
                return
            if await self._read_until_reset(job) and self.rng.random() < ENDED_IN_RESET_SHARE:
                await asyncio.sleep(END_AFTER_RESET_S)
                await self.end(job)
                return

    async def _read_until_reset(self, job: Job) -> bool:
        """Reads a job's next page; breaks off and returns True when connections between stores are reset."""
        reading = asyncio.ensure_future(self.read(job))
        resetting = asyncio.ensure_future(self._reset_begun.wait())
        await asyncio.wait({reading, resetting}, return_when=asyncio.FIRST_COMPLETED)
        is_reset = resetting.done()
        for task in (reading, resetting):
            task.cancel()
        await asyncio.gather(reading, resetting, return_exceptions=True)
        return is_reset

    async def read(self, job: Job) -> None:
        """Reads a job's next page, and now and then all of it again."""
        start = 0 if self.rng.random() < 0.2 else len(job.results)
        headers = {"Host": HOST, "X-Archhatch-Hold-Ms": str(READ_HOLD_MS)}
        answer = await self._call("GET", f"/api/lots/{job.job_id}?StartAfter={start}", headers)
        if status_of(answer) != 200 or answer is None:
            await asyncio.sleep(0.2)
            return
        for position, row in enumerate(answer.json()["ResultList"], start):
            if position == len(job.results):
                job.results.append(row["InstanceId"])
            elif job.results[position] != row["InstanceId"]:
                job.changed_positions.append(position)

    async def end(self, job: Job) -> None:
        """Ends a job, again until that is acknowledged."""
        job.is_ending = True
        while status_of(await self._call("DELETE", f"/api/lots/{job.job_id}", {"Host": HOST})) != 200:
            await asyncio.sleep(0.2)
        job.ended_at = self.system.record.now()

    async def _call(self, method: str, target: str, headers: dict[str, str], body: bytes = b"") -> Message | None:
        edge = self.rng.randint(1, self.system.edge_count)
        return await call_once(self.system.front(edge), method, target, headers, body, timeout_s=4.0)
