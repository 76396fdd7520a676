"""The control nodes' side of singleton roles: lists, shows and resets them by asking the stores that hold them."""

from __future__ import annotations

from typing import Any, Protocol

from ..runtime import Result, error_result, json_result
from .errors import UnknownRoleError
from .keys import RoleKey
from .messages import RoleReset
from .record import SingletonRole

DONE = 1000
UNREACHED = 3003  # no store of the group gave a clear answer


class AdminNode(Protocol):
    """What the calls on roles use of a control node.

    Attributes:
        settings: The node's settings.
        registers: The control plane's registers, as far as the node knows them.
    """

    settings: Any
    registers: Any

    async def call(self, address: str, verb: str, document: dict, /) -> dict | None:
        """Calls a store; None if it gave no answer."""


class SingletonRoleAdmin:
    """Answers the administration API's calls on singleton roles."""

    def __init__(self, node: AdminNode, shard: str) -> None:
        self._node = node
        self._shard = shard  # the register of the control plane that has the roles' groups

    def _groups(self) -> dict[str, dict]:
        state = self._node.registers.known.get(self._shard)
        return state["val"].get("ledger", {}) if state else {}

    async def answer(self, name: str, key: str) -> Result:
        """Answers one call.

        Args:
            name: `duty.list` or `duty.reset`.
            key: The role's key; empty to list all roles.

        Returns:
            The result for the caller.
        """
        return await (self._reset(key) if name == "duty.reset" else self._list(key))

    async def _reset(self, key: str) -> Result:
        reset = RoleReset(key, self._node.settings.node_name)
        code, details = await self._run("duty.reset", key, reset.to_document())
        if code != DONE:
            return error_result(code, str(details))
        return json_result(DONE, {"OperState": "IDLE"})

    async def _list(self, key: str) -> Result:
        roles: dict[str, dict] = {}
        for namespace in [RoleKey.parse(key).namespace] if key else sorted(self._groups()):
            code, document = await self._run("duty.list", namespace, {"key": namespace})
            if code != DONE:
                return error_result(code, namespace)
            roles.update(document)
        if key and key not in roles:
            return error_result(UnknownRoleError.code, key)
        chosen = [key] if key else sorted(roles)
        return json_result(DONE, {"DutyList": [role_view(name, roles[name]) for name in chosen]})

    async def _run(self, name: str, key: str, args: dict) -> tuple[int, Any]:
        """Runs a command at the first store of the group that gives a clear answer."""
        group = self._groups().get(RoleKey.parse(key).namespace)
        if group is None:
            return UnknownRoleError.code, key
        for address in group["voters"].values():
            answer = await self._node.call(address, "ledger.run", {"name": name, "args": args, "route": True})
            if answer is not None and answer["code"] != UNREACHED:
                return answer["code"], answer["doc"]
        return UNREACHED, None


def role_view(key: str, document: dict) -> dict:
    """Returns a role as operators see it.

    Its intent and its result are left out, as they may hold tenants' figures.

    >>> role_view("accounting", SingletonRole().to_document())["OperState"]
    'IDLE'

    Args:
        key: The role's key.
        document: Its stored record.

    Returns:
        The entry of `DutyList`.
    """
    role = SingletonRole.from_document(document)
    return {
        "Name": key,
        "OperState": role.state.value,
        "FenceToken": role.fencing_token,
        "Owner": role.lease_holder.node if role.lease_holder else None,
        "Renewals": role.renewals,
        "Error": role.error,
        "Audit": [
            {"Event": entry.event, "FenceToken": entry.fencing_token, "Owner": entry.node} for entry in role.audit
        ],
    }
