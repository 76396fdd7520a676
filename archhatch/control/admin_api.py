"""Calls from outside: heartbeats of replicas, orders of operators and trainers."""

from __future__ import annotations

import asyncio

from ..consensus import majority
from ..membership import shard_of
from ..runtime import error_result, json_result
from ..singleton_roles.admin import SingletonRoleAdmin
from ..rpc import CallRefusedError
from .api_requests import (
    InvalidRequestError,
    HeartbeatRequest,
    GetPlan,
    DeregisterRequest,
    OnDuty,
    OnEvacuation,
    OnPolicy,
    PutPlan,
    PutVersion,
    Retire,
    decode,
)
from .registers import SERVICE_SHARDS, PLAN

DONE = 1000
NO_ROOM = 2204
NO_PLAN = 3001
UNREACHED = 3003
UNCLEAR = 3000  # codes from here on say nothing final


class AdminApi:
    """Decodes a call into a command and runs it.

    >>> # result = await AdminApi(node).answer(request, body)
    """

    def __init__(self, node):
        self.node = node
        self.duties = SingletonRoleAdmin(node, PLAN)
        self.calls = {
            HeartbeatRequest: self.record_heartbeat,
            DeregisterRequest: self.deregister,
            PutPlan: self._put_plan,
            GetPlan: self._get_plan,
            PutVersion: self._put_version,
            Retire: self._retire,
            OnPolicy: self._on_policy,
            OnEvacuation: self._on_evacuation,
            OnDuty: self._on_duty,
        }

    async def answer(self, request, body: bytes):
        """The result of a call; 503 at once while this node may not serve, so that the caller goes on to another."""
        node = self.node
        try:
            command = decode(request.method, request.raw_path, request.headers, body)
        except InvalidRequestError as e:
            node.counters.add(f"call.bad.{e.code}")
            return error_result(e.code, e.why)
        node.counters.add("call." + type(command).__name__)
        if not node.check_serving():
            node.counters.add("call.not_serving")
            return error_result(UNREACHED, after_s=node.quiet_s)
        try:
            return await self.calls[type(command)](command)
        except CallRefusedError as e:
            return error_result(e.code, after_s=node.quiet_s if e.code >= UNCLEAR else None)

    # -- replicas

    async def record_heartbeat(self, command: HeartbeatRequest):
        """A heartbeat; `draining` is acknowledged once a majority has heard of it."""
        node, entry = self.node, command.entry
        turn = node.registry.turn
        node.registry.beat(entry, node.clock.now())
        if node.registry.turn != turn:
            node.state_board.touch("news")
        if entry["state"] == "draining":
            await self._spread(entry)
        return json_result(1000, {})

    async def deregister(self, command: DeregisterRequest):
        """A replica ends."""
        node = self.node
        nameless = {
            "id": command.iid,
            "service": "",
            "addr": "",
            "zone": "",
            "slots": 1,
            "models": {},
            "rev": "",
            "seq": 0,
        }
        old = node.registry.all.get(command.iid) or nameless
        entry = {**old, "state": "gone", "seq": old["seq"] + 1}
        node.registry.beat(entry, node.clock.now())
        node.state_board.touch("news")
        await self._spread(entry)
        return json_result(1000, {})

    async def _spread(self, entry: dict) -> None:
        """Tell all control nodes at once; CallRefusedError unless a majority of the group heard."""
        node = self.node
        voters = node.registers.group(PLAN)["voters"]
        doc = {"roll": [{**{k: v for k, v in entry.items() if k != "silent"}, "age": 0.0}]}
        tasks = [asyncio.ensure_future(node.call(c["addr"], "roll.push", doc)) for c in node.cores.cards.values()]
        heard = {node.id}
        for task in asyncio.as_completed(tasks):
            out = await task
            if out is not None:
                heard.add(out["me"])
            if majority(heard, voters):
                return
        if not majority(heard, voters):
            raise CallRefusedError(UNREACHED)

    # -- operators and trainers

    async def _run(self, shard: str, name: str, args: dict):
        code, doc = await self.node.registers.run(shard, name, args)
        if code == 1000:
            return json_result(1000, doc)
        return error_result(code, str(doc), after_s=self.node.quiet_s if code >= UNCLEAR else None)

    async def _put_plan(self, command: PutPlan):
        return await self._run(PLAN, f"plan.{command.kind}", {"doc": command.doc, "match": command.match})

    async def _get_plan(self, command: GetPlan):
        return await self._run(PLAN, "plan.get", {})

    def _service_of(self, model: str) -> str:
        plan = (self.node.registers.known.get(PLAN) or {"val": {}})["val"].get("plan")
        if plan is None:
            raise CallRefusedError(NO_PLAN)  # the register that holds the model's versions is not known yet
        for service in plan.get("ServiceTable", []):
            for row in (service.get("Engine") or {}).get("ModelList") or []:
                if row.get("Name") == model:
                    return service["Name"]
        return model

    async def _put_version(self, command: PutVersion):
        shard = shard_of(self._service_of(command.model), SERVICE_SHARDS)
        return await self._run(shard, "named.put", {"model": command.model, "rev": command.rev})

    async def _retire(self, command: Retire):
        name = "retire.get" if command.ask else "retire.start"
        args = {"node": command.node, "quorum": self.node.quorum.doc(), "seen": self.node.registers.version(PLAN)}
        return await self._run(PLAN, name, args)

    async def _on_policy(self, command: OnPolicy):
        zones = {"zones": self.node.settings.zones} if command.name == "policy.put" else {}
        return await self._run(PLAN, command.name, {**command.args, **zones})

    async def _on_duty(self, command: OnDuty):
        return await self.duties.answer(command.name, command.key)

    async def _on_evacuation(self, command: OnEvacuation):
        args = command.args
        if command.name == "evacuation.plan":
            # what the policy forbids is said first: with another target, the room is another question
            code, doc = await self.node.registers.run(PLAN, command.name, {**args, "dry_run": True})
            if code != DONE:
                return error_result(code, str(doc))
            missing = self.node.evacuations.lacks(args["plan"], doc["RuleList"])
            if missing and doc["OperState"] == "planned":
                return error_result(NO_ROOM, "; ".join(missing))
        return await self._run(PLAN, command.name, args)
