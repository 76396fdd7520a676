"""Commands on the parts. 'plan' holds the configuration and the stores; the others versions and tenures by service."""
from __future__ import annotations

from ..areacodes import facts
from ..batches import Quorum, active
from ..consensus import Commands
from . import config_commands

PLAN = "plan"
OTHERS = ["p0", "p1", "p2"]
PARTS = [PLAN] + OTHERS
KEEP_TAKEN = 64

commands = Commands()
commands.table.update(facts.commands.table)
commands.table.update(config_commands.commands.table)


@commands.on("noop")
def noop(val, args):
    """Nothing but proof of a majority."""
    return 1000, None, False


@commands.on("store.list")
def store_list(val, args):
    """The stores and the runs, sure to be the newest."""
    return 1000, {"stores": val.get("stores", {}), "runs": val.get("runs", {})}, False


@commands.on("store.join")
def store_join(val, args):
    """A store with a disk of its own: {"id", "name", "ip", "zone"}. One that stood at its place before is to leave."""
    stores = val.setdefault("stores", {})
    if args["id"] in stores:
        return 1000, None, False
    if args["id"] in val.get("dropped", {}) or args["name"] in val.get("retired", {}):
        return 2008, "dropped", False
    for sid, s in list(stores.items()):
        if s["name"] == args["name"] or s["ip"] == args["ip"]:
            s["state"] = "leaving"
            _drop_cleared(val, sid)
    val["count"] = val.get("count", 0) + 1
    stores[args["id"]] = {"name": args["name"], "ip": args["ip"], "zone": args["zone"], "state": "active",
                          "no": val["count"], "clear": {}}
    return 1000, None, True


def _spares(val, sid: str, args) -> bool:
    """Whether enough active stores stay without one. What is tolerated comes with the command: all nodes must make the
    same of it, whatever settings they started with."""
    left = {s: m for s, m in active(val.get("stores", {})).items() if s != sid}
    return Quorum.read(args.get("quorum")).spares(left)


def _drop_cleared(val, sid: str) -> None:
    s = val["stores"][sid]
    if s["state"] == "leaving" and all(run in s["clear"] for run in val.get("runs", {})):
        del val["stores"][sid]
        dropped = val.setdefault("dropped", {})
        dropped[sid] = 1
        while len(dropped) > KEEP_TAKEN:
            del dropped[next(iter(dropped))]
        if s.get("retire"):
            val.setdefault("retired", {})[s["name"]] = "complete"


@commands.on("store.leave")
def store_leave(val, args):
    """A store is to hold nothing any more: {"id", "quorum"}."""
    s = val.get("stores", {}).get(args["id"])
    if s is None or s["state"] == "leaving":
        return 1000, None, False
    if not _spares(val, args["id"], args):
        return 2013, None, False
    s["state"] = "leaving"
    _drop_cleared(val, args["id"])
    return 1000, None, True


@commands.on("store.clear")
def store_clear(val, args):
    """A run's holder says that a leaving store is not needed for it: {"id", "run", "term"}."""
    s = val.get("stores", {}).get(args["id"])
    if s is None or s["state"] != "leaving" or s["clear"].get(args["run"]):
        return 1000, None, False
    s["clear"][args["run"]] = args["term"]
    _drop_cleared(val, args["id"])
    return 1000, None, True


@commands.on("run.open")
def run_open(val, args):
    """The runs of a service are to have tenures from now on: {"run"}, the service's name."""
    runs = val.setdefault("runs", {})
    if args["run"] in runs:
        return 1000, None, False
    runs[args["run"]] = 1
    for s in val.get("stores", {}).values():
        s["clear"].pop(args["run"], None)
    return 1000, None, True


@commands.on("retire.start")
def retire_start(val, args):
    """The operator wants a machine emptied: {"node", "quorum"}."""
    if args["node"] in val.get("retired", {}):
        return 1000, {"OperState": val["retired"][args["node"]]}, False
    for sid, s in val.get("stores", {}).items():
        if s["name"] == args["node"] and s["state"] == "active":
            if not _spares(val, sid, args):
                return 2013, None, False
            s["state"], s["retire"] = "leaving", True
            _drop_cleared(val, sid)
            return 1000, {"OperState": "active"}, True
    for s in val.get("stores", {}).values():
        if s["name"] == args["node"]:
            did = not s.get("retire")
            s["retire"] = True
            return 1000, {"OperState": "active"}, did
    return 2008, None, False


@commands.on("retire.get")
def retire_get(val, args):
    """How far a machine's emptying is: {"node"}."""
    if args["node"] in val.get("retired", {}):
        return 1000, {"OperState": val["retired"][args["node"]]}, False
    if any(s["name"] == args["node"] and s.get("retire") for s in val.get("stores", {}).values()):
        return 1000, {"OperState": "active"}, False
    return 2008, None, False


@commands.on("named.put")
def named_put(val, args):
    """A trainer names a version: {"model", "rev"}. Naming it again is no fault."""
    named = val.setdefault("named", {})
    if args["rev"] <= named.get(args["model"], 1):
        return 1000, {"Revision": named.get(args["model"], 1)}, False
    named[args["model"]] = args["rev"]
    return 1000, {"Revision": args["rev"]}, True


@commands.on("tenure.claim")
def tenure_claim(val, args):
    """Take a run's tenure, if its term is still the one seen: {"run", "holder", "life", "seen"}."""
    ten = val.setdefault("tenures", {})
    cur = ten.get(args["run"])
    if cur and cur["holder"] == args["holder"] and cur["life"] == args["life"] and cur["term"] > args["seen"]:
        return 1000, cur, False
    if (cur["term"] if cur else 0) != args["seen"]:
        return 2011, cur, False
    ten[args["run"]] = {"holder": args["holder"], "life": args["life"], "term": args["seen"] + 1}
    return 1000, ten[args["run"]], True


@commands.on("tenure.list")
def tenure_list(val, args):
    """All tenures of the part, sure to be the newest."""
    return 1000, val.get("tenures", {}), False

def news_view(part: str, val: dict) -> dict:
    """What of a part's value other nodes need."""
    if part == PLAN:
        return {"plan": val.get("plan"), "stores": val.get("stores", {}), "runs": val.get("runs", {}),
                "dropped": val.get("dropped", {}), "retired": val.get("retired", {}),
                **facts.policy_view(val)}
    return val
