"""Requests about batch jobs: handed on to the store that leads the job's run."""

from __future__ import annotations

import asyncio
import dataclasses
import secrets
from collections.abc import Collection
from typing import Protocol, cast
from urllib.parse import parse_qs, urlsplit

from aiohttp.web_request import BaseRequest

from ..jobs import LARGE_JOB_BYTES, InvalidJobError, Quorum, check_job
from ..memory import RecentTexts
from ..routing import Route, RoutingTable
from ..rpc import CallError, ConnectionPool
from ..runtime import Clock, Counters, Result, Settings, error_result
from ..runtime.numbers import read_count, read_decimal
from ..upstream import REQUEST_ID_HEADER
from ..upstream.headers import HOLD_MS_HEADER
from .job_messages import (
    EndJobRequest,
    JobAbsenceRequest,
    JobAbsenceResponse,
    JobQuery,
    JobQueryResponse,
    ReadItemRequest,
    ReadJobRequest,
    ReserveJobRequest,
    SubmitJobRequest,
    SubmitJobResponse,
)
from .store_directory import RunLease, ShardDocuments, newest_leases, registered_stores, store_address

HTTP_OK = 200
HTTP_ACCEPTED = 202
HTTP_NOT_FOUND = 404

DONE_CODE = 1000
INVALID_REQUEST_CODE = 2001
INVALID_JOB_CODE = 2003
NOT_FOUND_CODE = 2007
WRONG_PROCESS_CODE = 2008  # the store at that address is not the one that was meant
METHOD_NOT_ALLOWED_CODE = 2010
OTHER_RUN_CODE = 2020  # the job belongs to the run that the answer names
NOT_SURE_CODE = 3004
NO_LEADER_CODE = 3005
SUBMISSION_UNCLEAR_CODE = 4003
# Refusals after which this very call has put nothing anywhere.
NOT_TAKEN_CODES = frozenset({2008, 3001, 3005, 3008})

UNKNOWN_CALL_CODE = 2009  # of a store of an earlier version
RESERVE_CALL_S = 0.4
CLAIM_BYTES = 8
MAX_HOLD_S = 5.0  # a read is held no longer, whatever its caller allows
BEYOND_ALL_RESULTS = 1 << 31  # a position: asks whether a job is there, without any result
MAX_KNOWN_JOBS = 16_384  # whose run is remembered; of others all leaders are asked in turn
MAX_UNCLEAR_JOBS = 4096  # submissions without a clear outcome that are remembered
MAX_KNOWN_MODELS = 4096  # whose runs are remembered
SUBMIT_CONTACT_SHARE = 0.6  # of ContactMs: how long a submission looks for its leader,
MIN_SUBMIT_S = 0.4  # ... at least
MIN_SUBMIT_CALL_S = 0.2
SUBMIT_RETRY_S = 0.1
QUERY_CONTACT_SHARE = 0.25  # of ContactMs: how long a question may take beyond its hold
MIN_QUERY_CALL_S = 0.3
ABSENCE_CALL_S = 0.4
OTHER_END_S = 0.4  # how long leaders that should not have an ended job are waited for
RETRY_SUBMISSION_AFTER_S = 0.3
RETRY_QUERY_AFTER_S = 0.2


class ConfigSource(Protocol):
    """Has the newest configuration.

    Attributes:
        shards: The shards' documents by name.
        plan: The configuration's routes; None before the first one came.
    """

    shards: ShardDocuments
    plan: RoutingTable | None


class JobHandlers:
    """Submits jobs, reads their results and ends them.

    Attributes:
        run_by_job: The run of the jobs that this edge saw last.
        unclear: The jobs that were sent to a store last without a clear answer.
    """

    def __init__(
        self,
        settings: Settings,
        config_source: ConfigSource,
        connections: ConnectionPool,
        counters: Counters,
        clock: Clock,
    ) -> None:
        self._settings, self._config_source = settings, config_source
        self._connections, self.counters, self._clock = connections, counters, clock
        self._store_port = settings.internal_ports[0] + 1
        self.run_by_job = RecentTexts[str](MAX_KNOWN_JOBS)
        self.unclear = RecentTexts[None](MAX_UNCLEAR_JOBS)
        self._runs_by_model = RecentTexts[set[str]](MAX_KNOWN_MODELS)  # the runs to which jobs of a model went
        self._quorum = Quorum.from_settings(settings)

    def _leases(self) -> dict[str, RunLease]:
        return newest_leases(self._config_source.shards)

    def _address_of(self, store_id: str | None) -> str | None:
        return store_address(self._config_source.shards, store_id, self._store_port)

    async def submit(self, request: BaseRequest, route: Route, body: bytes, tenant: str | None = None) -> Result:
        """Has a job taken by the leader of its run.

        Args:
            request: The client's request.
            route: Its route.
            body: The job.
            tenant: The tenant that it counts for; None where no key is needed.
        """
        job_id = request.headers.get(REQUEST_ID_HEADER, "")
        try:
            model = check_job(job_id, body)
        except InvalidJobError as error:
            self.counters.add("job.malformed")
            return error_result(INVALID_JOB_CODE, str(error))
        assert self._config_source.plan is not None  # the request was routed by it
        service_by_model = self._config_source.plan.service_by_model()
        run_id = service_by_model.get(model, route.traffic_split[0][0])
        if self._may_be_in_other_run(model, run_id, service_by_model.values()):
            result = await self._find_accepted(job_id)
            if result is not None:
                return result
        message = SubmitJobRequest(
            store_id="",
            term=0,
            job_id=job_id,
            run_id=run_id,
            host=request.headers.get("Host", ""),
            path=request.raw_path,
            tenant=tenant,
        )
        result = await self._submit_to_leader(message, body)
        if result is not None:
            return result
        # a copy of this job that was sent earlier may still be taken, whatever the later ones met
        if job_id in self.unclear:
            self.counters.add("job.unclear")
            return error_result(SUBMISSION_UNCLEAR_CODE)
        self.counters.add("job.refused")
        return error_result(NO_LEADER_CODE, after_s=RETRY_SUBMISSION_AFTER_S)

    def _may_be_in_other_run(self, model: str, run_id: str, services: Collection[str]) -> bool:
        """Whether a job of a model may have been accepted before the model, or its route, came to this run.

        That is so if there is a run to which this edge sent jobs of the model, or one that serves no model any more.
        Of a model that this edge may have forgotten, each run is one.
        """
        other_runs = self._leases().keys() - {run_id}
        known = self._runs_by_model.get(model)
        if known is None and self._runs_by_model.has_let_go:
            return bool(other_runs)
        self._runs_by_model.put(model, (known or set()) | {run_id})
        return any(run in (known or ()) or run not in services for run in other_runs)

    async def _find_accepted(self, job_id: str) -> Result | None:
        """Returns the answer for a job that another run accepted, or may have; None if it is surely in none.

        An accepted job stays with its run. One that is sent again goes by its model's present service, where it would
        be taken a second time.
        """
        query = ReadJobRequest(store_id="", job_id=job_id, start_after=BEYOND_ALL_RESULTS, hold_s=0.0)
        found = await self._ask(query, 0.0)
        if found.status == HTTP_OK:
            self.counters.add("job.accepted_before")
            return Result(HTTP_ACCEPTED)
        if found.status == HTTP_NOT_FOUND:
            return None
        self.counters.add("job.unclear")
        return error_result(SUBMISSION_UNCLEAR_CODE)

    async def _submit_to_leader(self, message: SubmitJobRequest, body: bytes) -> Result | None:
        """Looks for a run's leader until one takes the job or the time is over, which returns None."""
        deadline = self._clock.now() + max(MIN_SUBMIT_S, self._settings.seconds("ContactMs", SUBMIT_CONTACT_SHARE))
        claim = secrets.token_hex(CLAIM_BYTES)
        while self._clock.now() < deadline:
            lease = self._leases().get(message.run_id)
            address = self._address_of(lease.holder_id) if lease is not None else None
            if lease is not None and address is not None:
                addressed = dataclasses.replace(message, store_id=lease.holder_id, term=lease.term)
                if len(body) <= LARGE_JOB_BYTES or await self._reserve(address, addressed, len(body), claim):
                    timeout_s = max(MIN_SUBMIT_CALL_S, deadline - self._clock.now())
                    result = await self._submit_to(address, addressed, body, timeout_s)
                    if result is not None:
                        return result
            await asyncio.sleep(SUBMIT_RETRY_S)
        return None

    async def _reserve(self, address: str, message: SubmitJobRequest, size: int, claim: str) -> bool:
        """Whether a run's leader has room for the body of a large job now; nothing is sent of it before."""
        request = ReserveJobRequest(store_id=message.store_id, job_id=message.job_id, size=size, claim=claim)
        try:
            code, _, _ = await self._connections.to(address).call(
                "lot.reserve", request.to_document(), timeout_s=RESERVE_CALL_S
            )
        except CallError:
            return False
        if code not in (DONE_CODE, UNKNOWN_CALL_CODE):
            self.counters.add("job.waits_for_memory")
            return False
        return True

    async def _submit_to(self, address: str, message: SubmitJobRequest, body: bytes, timeout_s: float) -> Result | None:
        """Sends a job to a run's leader; None if it did not take it, or did not say so."""
        job_id = message.job_id
        try:
            code, document, _ = await self._connections.to(address).call(
                "lot.put", message.to_document(), body, timeout_s=timeout_s
            )
        except CallError as error:
            if error.sent:
                self._note_unclear(job_id)
            return None
        except asyncio.CancelledError:  # the client left; the store may take the job all the same
            self._note_unclear(job_id)
            raise
        if code == DONE_CODE and SubmitJobResponse.from_document(cast(dict, document)).store_id == message.store_id:
            self.run_by_job.put(job_id, message.run_id)
            self.unclear.remove(job_id)
            return Result(HTTP_ACCEPTED)
        if code == INVALID_JOB_CODE:
            return error_result(INVALID_JOB_CODE, str(document))
        if code == WRONG_PROCESS_CODE:
            self.counters.add("job.wrong_process")
        if code not in NOT_TAKEN_CODES:
            self._note_unclear(job_id)
        if code == OTHER_RUN_CODE:
            self.run_by_job.put(job_id, str(document))
            return await self._find_accepted(job_id)
        return None

    def _note_unclear(self, job_id: str) -> None:
        self.unclear.put(job_id, None)

    async def handle(self, request: BaseRequest, path: str, target: str) -> Result:
        """Answers a request under /api/lots/ or /api/items/.

        Args:
            request: The client's request.
            path: Its path.
            target: Its whole request target.
        """
        _, _, kind, job_id = path.split("/", 3)
        query = parse_qs(urlsplit(target).query)
        if kind == "items":
            return await self._read_item(request, job_id, query)
        if request.method == "DELETE":
            return await self._end(job_id)
        if request.method != "GET":
            return error_result(METHOD_NOT_ALLOWED_CODE)
        return await self._read_job(request, job_id, query)

    async def _end(self, job_id: str) -> Result:
        """Ends a job where it is led, and at the other leaders as well: earlier versions let two runs accept one."""
        query = EndJobRequest(store_id="", job_id=job_id)
        result = await self._ask(query, 0.0)
        lease = self._leases().get(self.run_by_job.get(job_id) or "")
        if result.status != HTTP_OK or lease is None:
            return result
        others = {lease.holder_id for lease in self._leases().values()} - {lease.holder_id}
        calls = [
            asyncio.ensure_future(self._ask_store(address, dataclasses.replace(query, store_id=store_id), OTHER_END_S))
            for store_id in others
            if (address := self._address_of(store_id)) is not None
        ]
        if calls:
            await asyncio.wait(calls)
        return result

    async def _read_item(self, request: BaseRequest, job_id: str, query: dict[str, list[str]]) -> Result:
        if request.method != "GET":
            return error_result(METHOD_NOT_ALLOWED_CODE)
        if "InstanceId" not in query:
            return error_result(INVALID_REQUEST_CODE)
        return await self._ask(ReadItemRequest(store_id="", job_id=job_id, item_id=query["InstanceId"][0]), 0.0)

    async def _read_job(self, request: BaseRequest, job_id: str, query: dict[str, list[str]]) -> Result:
        start_after = read_count(query.get("StartAfter", ["0"])[0])
        if start_after is None:
            return error_result(INVALID_REQUEST_CODE, "StartAfter")
        hold_ms = read_decimal(request.headers.get(HOLD_MS_HEADER, "0"))
        if hold_ms is None:
            return error_result(INVALID_REQUEST_CODE, HOLD_MS_HEADER)
        hold_s = min(hold_ms / 1000, MAX_HOLD_S)
        message = ReadJobRequest(store_id="", job_id=job_id, start_after=start_after, hold_s=hold_s)
        return await self._ask(message, hold_s)

    async def _ask(self, query: JobQuery, hold_s: float) -> Result:
        """Asks the leaders; the one that leads the job's run answers. 404 only when enough stores lack the job."""
        deadline = self._clock.now() + hold_s + self._settings.seconds("ContactMs", QUERY_CONTACT_SHARE)
        is_sure = True
        for store_id in self._leaders_for(query.job_id):
            address = self._address_of(store_id)
            if address is None:
                is_sure = False
                continue
            timeout_s = max(MIN_QUERY_CALL_S, deadline - self._clock.now())
            answer = await self._ask_store(address, dataclasses.replace(query, store_id=store_id), timeout_s)
            if isinstance(answer, Result):
                return answer
            is_sure = is_sure and answer
        if not is_sure or not await self._is_absent(query.job_id):
            self.counters.add("job.not_sure")
            return error_result(NOT_SURE_CODE, after_s=RETRY_QUERY_AFTER_S)
        return error_result(NOT_FOUND_CODE)

    def _leaders_for(self, job_id: str) -> list[str]:
        """The stores that lead runs, the one that leads the job's run first, if it is known."""
        leases = self._leases()
        lease = leases.get(self.run_by_job.get(job_id) or "")
        first = lease.holder_id if lease is not None else None
        others = sorted({lease.holder_id for lease in leases.values()} - {first})
        return ([first] if first else []) + others

    async def _ask_store(self, address: str, query: JobQuery, timeout_s: float) -> Result | bool:
        """Asks one store; returns its answer or, if it has none, whether it surely does not lead the job's run."""
        try:
            code, document, body = await self._connections.to(address).call(
                query.verb, query.to_document(), timeout_s=timeout_s
            )
        except CallError:
            return False
        response = JobQueryResponse.from_document(cast(dict, document)) if code == DONE_CODE else None
        if code == WRONG_PROCESS_CODE or (response is not None and not self._is_from_leader(query.store_id, response)):
            self.counters.add("job.wrong_process")
            return False
        if response is not None:
            self.run_by_job.put(query.job_id, response.run_id)
            return Result(HTTP_OK, body, [("Content-Type", query.content_type)])
        if code == NOT_FOUND_CODE and document == "item":
            return error_result(NOT_FOUND_CODE)
        return code == NOT_FOUND_CODE

    def _is_from_leader(self, store_id: str, response: JobQueryResponse) -> bool:
        """Whether an answer comes from the store that was asked, under no older term than the newest one known."""
        lease = self._leases().get(response.run_id)
        return response.store_id == store_id and response.term >= (lease.term if lease is not None else 0)

    async def _is_absent(self, job_id: str) -> bool:
        """Whether so many stores lack the job that it cannot have been accepted.

        Members that only the stores know of count too: the configuration of an edge whose process stood still is old.
        """
        stores = registered_stores(self._config_source.shards)
        responses = await asyncio.gather(
            *[
                self._ask_absence(f"{store['ip']}:{self._store_port}", store_id, job_id)
                for store_id, store in stores.items()
            ]
        )
        members = dict(stores)
        for response in responses:
            if response is not None:
                for store_id, member in response.stores.items():
                    members.setdefault(store_id, member)
        lacking = {
            store_id
            for store_id, response in zip(stores, responses, strict=True)
            if response is not None and response.is_absent
        }
        return self._quorum.has_heard_enough(lacking, members)

    async def _ask_absence(self, address: str, store_id: str, job_id: str) -> JobAbsenceResponse | None:
        """Asks a store whether it lacks a job; None if the store that was meant gave no answer."""
        message = JobAbsenceRequest(store_id, job_id)
        try:
            code, document, _ = await self._connections.to(address).call(
                "shelf.lacks", message.to_document(), timeout_s=ABSENCE_CALL_S
            )
        except CallError:
            return None
        response = JobAbsenceResponse.from_document(cast(dict, document)) if code == DONE_CODE else None
        is_wrong_process = response is not None and response.store_id != store_id
        if code == WRONG_PROCESS_CODE or is_wrong_process:
            self.counters.add("job.wrong_process")
        return None if is_wrong_process else response
