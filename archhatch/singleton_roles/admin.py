"""The control nodes' side of the duty ledger: lists, shows and resets duties by asking the stores that hold them."""

from __future__ import annotations

from ..runtime import error_result, json_result
from .commands import split_key

DONE, UNREACHED, UNKNOWN = 1000, 3003, 2304


class SingletonRoleAdmin:
    """Answers the administration API's calls on duties.

    >>> # result = await SingletonRoleAdmin(node, "plan").answer("duty.list", "")
    """

    def __init__(self, node, shard: str):
        self.node, self.shard = node, shard

    def _groups(self) -> dict:
        state = self.node.registers.known.get(self.shard)
        return state["val"].get("ledger", {}) if state else {}

    async def answer(self, name: str, key: str):
        """Run one call: `duty.list` (all duties, or the one of a key) or `duty.reset`."""
        if name == "duty.reset":
            code, doc = await self._run(name, key, {"key": key, "node": self.node.settings.node_name})
            return json_result(DONE, {"OperState": "IDLE"}) if code == DONE else error_result(code, str(doc))
        duties: dict = {}
        for namespace in [split_key(key)[0]] if key else sorted(self._groups()):
            code, doc = await self._run("duty.list", namespace, {"key": namespace})
            if code != DONE:
                return error_result(code, namespace)
            duties.update(doc)
        if key and key not in duties:
            return error_result(UNKNOWN, key)
        chosen = [key] if key else sorted(duties)
        return json_result(DONE, {"DutyList": [view(name, duties[name]) for name in chosen]})

    async def _run(self, name: str, key: str, args: dict) -> tuple[int, object]:
        group = self._groups().get(split_key(key)[0])
        if group is None:
            return UNKNOWN, key
        for address in group["voters"].values():
            out = await self.node.call(address, "ledger.run", {"name": name, "args": args, "route": True})
            if out is not None and out["code"] != UNREACHED:
                return out["code"], out["doc"]
        return UNREACHED, None


def view(key: str, duty: dict) -> dict:
    """A duty as operators see it; what it is about to do or did is not told, as it may hold tenants' figures.

    >>> view("a", {"state": "IDLE", "fence": 1, "holder": None, "renewals": 0, "error": "", "audit": []})["OperState"]
    'IDLE'
    """
    return {
        "Name": key,
        "OperState": duty["state"],
        "FenceToken": duty["fence"],
        "Owner": duty["holder"][0] if duty["holder"] else None,
        "Renewals": duty["renewals"],
        "Error": duty["error"],
        "Audit": [{"Event": event, "FenceToken": fence, "Owner": node} for event, fence, node in duty["audit"]],
    }
