"""The API for replicas, operators and trainers: heartbeats, configuration, retirements, policy, evacuations, roles."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, Protocol, cast

from ..consensus import is_majority
from ..http_server import BodyTerms
from ..membership import ReplicaEntry, shard_of, without_marks
from ..rpc import CallRefusedError
from ..runtime import error_result, json_result
from ..singleton_roles.admin import SingletonRoleAdmin
from . import topics
from .api_messages import (
    ChangeConfigRequest,
    DeregisterRequest,
    EvacuationRequest,
    GetConfigRequest,
    HeartbeatRequest,
    InvalidRequestError,
    NameVersionRequest,
    PolicyRequest,
    RetirementRequest,
    SingletonRoleRequest,
)
from .api_requests import decode, max_body_bytes_of
from .config_commands import ConfigChange, why_invalid
from .register_values import RegisterValue
from .registers import PLAN, SERVICE_SHARDS
from .result_codes import DONE, INVALID_CONFIG, NO_CONFIG, NO_MAJORITY, TARGET_LACKS_CAPACITY, is_retryable

if TYPE_CHECKING:
    from aiohttp.web import BaseRequest

    from ..evacuation.controller import EvacuationController
    from ..jobs import Quorum
    from ..membership import PeerSet, ReplicaRegistry
    from ..routing import ConfigurationFollower
    from ..runtime import Clock, Counters, Result, Settings, StateBoard
    from .agreement import Registers
    from .configuration_fallback import ConfigurationFallback


# Headers of the configuration, while the newest one cannot be read: why not, and which revision is in force.
UNREADABLE_HEADER = "X-Archhatch-Config-Unreadable"
IN_FORCE_HEADER = "X-Archhatch-Config-In-Force"
DOCUMENT_COST_RATIO = 4.0  # memory of a document that is read, checked and agreed upon, to the bytes of its body


class AdminApiHost(Protocol):
    """What the API uses of its control node.

    Attributes:
        id: The node's id.
        quiet_s: After this many seconds a caller may try again, as a lost majority may be back by then.
    """

    id: str
    quiet_s: float
    settings: Settings
    clock: Clock
    counters: Counters
    state_board: StateBoard
    registry: ReplicaRegistry
    cores: PeerSet
    quorum: Quorum
    registers: Registers
    configuration: ConfigurationFollower
    configuration_fallback: ConfigurationFallback
    evacuations: EvacuationController

    def check_serving(self) -> bool:
        """Returns whether the node may answer callers."""

    async def call(self, address: str, verb: str, document: dict) -> Any:  # noqa: ANN401 - any JSON
        """Calls another node; None if it does not answer."""


class AdminApi:
    """Decodes a request and runs it: heartbeats on the registry, everything else as a command on a register."""

    def __init__(self, node: AdminApiHost) -> None:
        self.node = node
        self.singleton_roles = SingletonRoleAdmin(node, PLAN)
        self._handlers: dict[type, Callable[[Any], Awaitable[Result]]] = {
            HeartbeatRequest: self.record_heartbeat,
            DeregisterRequest: self.deregister,
            ChangeConfigRequest: self._change_config,
            GetConfigRequest: self._get_config,
            NameVersionRequest: self._name_version,
            RetirementRequest: self._retire,
            PolicyRequest: self._run_policy_command,
            EvacuationRequest: self._run_evacuation_command,
            SingletonRoleRequest: self._run_role_command,
        }

    def screen(self, http_request: BaseRequest) -> Result | BodyTerms:
        """Refuses a request whose body is not there yet by its head alone, or says on what terms the body is read."""
        try:
            max_bytes = max_body_bytes_of(http_request.method, http_request.raw_path)
        except InvalidRequestError as error:
            self.node.counters.add(f"request.invalid.{error.code}")
            return error_result(error.code, error.why)
        if not self.node.check_serving():
            return self._refuse_unserving()
        return BodyTerms(cost_ratio=DOCUMENT_COST_RATIO if max_bytes is None else 1.0, max_bytes=max_bytes)

    def _refuse_unserving(self) -> Result:
        self.node.counters.add("request.not_serving")
        return error_result(NO_MAJORITY, after_s=self.node.quiet_s)

    async def answer(self, http_request: BaseRequest, body: bytes) -> Result:
        """Answers a request; 503 at once while this node may not serve, so that the caller goes on to another one.

        Args:
            http_request: The request line and the headers.
            body: The body.

        Returns:
            The result, with a numbered code if it is an error.
        """
        node = self.node
        try:
            request = decode(http_request.method, http_request.raw_path, http_request.headers, body)
        except InvalidRequestError as error:
            node.counters.add(f"request.invalid.{error.code}")
            return error_result(error.code, error.why)
        node.counters.add("request." + type(request).__name__)
        if not node.check_serving():
            return self._refuse_unserving()
        try:
            return await self._handlers[type(request)](request)
        except CallRefusedError as refusal:
            return error_result(refusal.code, after_s=self._retry_after_s(refusal.code))

    def _retry_after_s(self, code: int) -> float | None:
        return self.node.quiet_s if is_retryable(code) else None

    # -- replicas

    async def record_heartbeat(self, request: HeartbeatRequest) -> Result:
        """Records a heartbeat; `draining` is acknowledged once a majority of the control nodes knows of it."""
        node, entry = self.node, request.heartbeat.to_entry(request.replica_id)
        version = node.registry.version
        node.registry.record_heartbeat(entry, node.clock.now())
        if node.registry.version != version:
            node.state_board.notify(topics.FEED)
        if entry["state"] == "draining":
            await self._push_to_majority(entry)
        return json_result(DONE, {})

    async def deregister(self, request: DeregisterRequest) -> Result:
        """Marks a replica as gone; acknowledged once a majority of the control nodes knows of it."""
        node = self.node
        last: Any = node.registry.replicas.get(request.replica_id) or _unknown_replica(request.replica_id)
        entry = cast(ReplicaEntry, {**last, "state": "gone", "seq": last["seq"] + 1})
        node.registry.record_heartbeat(entry, node.clock.now())
        node.state_board.notify(topics.FEED)
        await self._push_to_majority(entry)
        return json_result(DONE, {})

    async def _push_to_majority(self, entry: ReplicaEntry) -> None:
        """Sends a replica's entry to all control nodes at once.

        Raises:
            CallRefusedError: NO_MAJORITY, if no majority of the group has taken it up.
        """
        node = self.node
        group = node.registers.group(PLAN)
        assert group is not None  # a node that knows no group does not serve
        voters = group["voters"]
        first_age_s = node.clock.now() - node.registry.first_heard[entry["id"]]
        document = {"roll": [{**without_marks(entry), "age": 0.0, "first_age": first_age_s}]}
        calls = [
            asyncio.ensure_future(node.call(card["addr"], "roll.push", document)) for card in node.cores.cards.values()
        ]
        informed = {node.id}
        for call in asyncio.as_completed(calls):
            answer = await call
            if answer is not None:
                informed.add(answer["me"])
            if is_majority(informed, voters):
                return
        if not is_majority(informed, voters):
            raise CallRefusedError(NO_MAJORITY)

    # -- operators and trainers

    async def _run(self, shard: str, command: str, args: dict) -> Result:
        code, document = await self.node.registers.run(shard, command, args)
        if code == DONE:
            return json_result(DONE, document)
        return error_result(code, str(document), after_s=self._retry_after_s(code))

    async def _change_config(self, request: ChangeConfigRequest) -> Result:
        change = ConfigChange(request.document, request.expected_revision)
        why = why_invalid(self._register_value(), request.kind, change)
        if why is not None:
            return error_result(INVALID_CONFIG, why)
        args = change.to_document()
        return await self._run(PLAN, f"plan.{request.kind}", args)

    async def _get_config(self, _request: GetConfigRequest) -> Result:
        """Returns the newest configuration; headers say if it cannot be read and an older one is in force."""
        result = await self._run(PLAN, "plan.get", {})
        fallback = self.node.configuration_fallback
        fallback.update()
        if fallback.unreadable is not None:
            result.head.append((UNREADABLE_HEADER, _header_value(fallback.unreadable.why)))
            result.head.append((IN_FORCE_HEADER, str(fallback.readable_revision())))
        return result

    def _register_value(self) -> RegisterValue:
        state = self.node.registers.known.get(PLAN)
        return state["val"] if state is not None else {}

    def _service_of(self, model: str) -> str:
        """Returns the service that serves a model; the model's own name if the configuration names none.

        Raises:
            CallRefusedError: NO_CONFIG, because the register that holds the model's versions is not known yet.
        """
        self.node.configuration.update(self._register_value())
        table = self.node.configuration.table
        if table is None:
            raise CallRefusedError(NO_CONFIG)
        return table.service_by_model().get(model, model)

    async def _name_version(self, request: NameVersionRequest) -> Result:
        shard = shard_of(self._service_of(request.model), SERVICE_SHARDS)
        return await self._run(shard, "named.put", {"model": request.model, "rev": request.version})

    async def _retire(self, request: RetirementRequest) -> Result:
        command = "retire.get" if request.is_query else "retire.start"
        args = {
            "node": request.machine,
            "quorum": self.node.quorum.to_document(),
            "seen": self.node.registers.chosen_version(PLAN),
        }
        return await self._run(PLAN, command, args)

    async def _run_policy_command(self, request: PolicyRequest) -> Result:
        zones = {"zones": self.node.settings.zones} if request.command == "policy.put" else {}
        return await self._run(PLAN, request.command, {**request.args, **zones})

    async def _run_role_command(self, request: SingletonRoleRequest) -> Result:
        return await self.singleton_roles.answer(request.command, request.key)

    async def _run_evacuation_command(self, request: EvacuationRequest) -> Result:
        if request.command == "evacuation.plan":
            refusal = await self._check_evacuation_plan(request.args)
            if refusal is not None:
                return refusal
        return await self._run(PLAN, request.command, request.args)

    async def _check_evacuation_plan(self, args: dict) -> Result | None:
        """Returns why a plan cannot be taken, None if it can.

        What the policy forbids is answered first: with another target, the capacity is another question.
        """
        code, document = await self.node.registers.run(PLAN, "evacuation.plan", {**args, "dry_run": True})
        if code != DONE:
            return error_result(code, str(document))
        missing = self.node.evacuations.capacity_gaps(args["plan"], document["RuleList"])
        if missing and document["OperState"] == "planned":
            return error_result(TARGET_LACKS_CAPACITY, "; ".join(missing))
        return None


def _header_value(text: str) -> str:
    r"""Returns text as a header can carry it.

    >>> _header_value("a" + chr(10) + chr(0x20AC)) == r"a\n\u20ac"
    True
    """
    return text.encode("unicode_escape").decode("ascii")


def _unknown_replica(replica_id: str) -> dict:
    """Returns an entry for a replica that deregisters without having been known here."""
    return {
        "id": replica_id,
        "service": "",
        "addr": "",
        "zone": "",
        "slots": 1,
        "models": {},
        "rev": "",
        "seq": 0,
    }
