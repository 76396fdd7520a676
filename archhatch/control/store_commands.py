"""Commands on the membership of the stores, the runs' leases and the emptying of machines.

The `plan` register holds the stores and, for each run, the highest leadership term that has begun (`runs`); the lease
itself (holder, life, term) stands in one of the other registers, by the run's name.  A term begins by `run.begin`: from
then on no older holder's `store.clear` counts, so a leaving store stays a member until the current holder of every run
has said that its copies are not needed.
"""

from __future__ import annotations

from ..jobs import Quorum, active
from ..consensus import Commands

KEEP_DROPPED = 64  # ids of dropped stores that are remembered
KEEP_REFUSED = 64  # machines whose refused retirement is remembered by name
NEVER = -1  # below every version of a register
NOT_BEGUN = 0  # an opened run whose first term has not begun
ACTIVE, LEAVING = "active", "leaving"

commands = Commands()


@commands.on("store.list")
def store_list(value, args):
    """The stores and the runs, sure to be the newest."""
    return 1000, {"stores": value.get("stores", {}), "runs": value.get("runs", {})}, False


@commands.on("store.join")
def store_join(value, args):
    """A store with a disk of its own: {"id", "name", "ip", "zone"}. One that stood at its place before is to leave."""
    stores = value.setdefault("stores", {})
    if args["id"] in stores:
        return 1000, None, False
    if args["id"] in value.get("dropped", {}) or args["name"] in value.get("retired", {}):
        return 2008, "dropped", False
    for sid, store in list(stores.items()):
        if store["name"] == args["name"] or store["ip"] == args["ip"]:
            store["state"] = LEAVING
            _drop_cleared(value, sid)
    value["count"] = value.get("count", 0) + 1
    stores[args["id"]] = {
        "name": args["name"],
        "ip": args["ip"],
        "zone": args["zone"],
        "state": ACTIVE,
        "no": value["count"],
        "clear": {},
    }
    return 1000, None, True


def _spares(value: dict, sid: str, args: dict) -> bool:
    """Whether enough active stores stay without one. What is tolerated comes with the command: all nodes must make the
    same of it, whatever settings they started with."""
    left = {other: store for other, store in active(value.get("stores", {})).items() if other != sid}
    return Quorum.read(args.get("quorum")).spares(left)


def begun_term(value: dict, run: str) -> int:
    """The highest term of a run that has begun. Registers written before terms were noted hold other marks.

    >>> value = {"runs": {"a": 3, "b": "old"}}
    >>> begun_term(value, "a"), begun_term(value, "b"), begun_term({}, "a")
    (3, 0, 0)
    """
    term = value.get("runs", {}).get(run)
    return term if isinstance(term, int) else NOT_BEGUN


def cleared(value: dict, store: dict) -> bool:
    """Whether the current holder of every run has said that a store is not needed.

    >>> cleared({"runs": {"a": 2}}, {"clear": {"a": 1}}), cleared({"runs": {"a": 2}}, {"clear": {"a": 2}})
    (False, True)
    """
    return all(run in store["clear"] and store["clear"][run] >= begun_term(value, run) for run in value.get("runs", {}))


def votes(value: dict, sid: str) -> bool:
    """Whether a store votes in the newest group that was written down of any ledger register.

    >>> votes({"ledger": {"n": {"voters": {"a": "1:1"}, "stamp": 3}}}, "a"), votes({}, "a")
    (True, False)
    """
    return any(sid in group["voters"] for group in value.get("ledger", {}).values())


def _drop_cleared(value: dict, sid: str) -> None:
    """End the membership of a leaving store that nobody needs; only then is its retirement complete."""
    store = value["stores"][sid]
    if store["state"] != LEAVING or not cleared(value, store) or votes(value, sid):
        return
    del value["stores"][sid]
    dropped = value.setdefault("dropped", {})
    dropped[sid] = 1
    while len(dropped) > KEEP_DROPPED:
        del dropped[next(iter(dropped))]
    if store.get("retire"):
        value.setdefault("retired", {})[store["name"]] = "complete"


@commands.on("store.leave")
def store_leave(value, args):
    """A store is to hold nothing any more: {"id", "quorum"}."""
    store = value.get("stores", {}).get(args["id"])
    if store is None or store["state"] == LEAVING:
        return 1000, None, False
    if not _spares(value, args["id"], args):
        return 2013, None, False
    store["state"] = LEAVING
    _drop_cleared(value, args["id"])
    return 1000, None, True


@commands.on("store.clear")
def store_clear(value, args):
    """A run's holder says that a leaving store is not needed for it: {"id", "run", "term", "counted"}.

    `counted` names the stores on which the holder counted copies instead. 2018 if a newer term of the run has begun, or
    if one of the counted stores is to leave by now: the holder judged by an older membership.
    """
    stores = value.get("stores", {})
    store = stores.get(args["id"])
    if store is None or store["state"] != LEAVING:
        return 1000, None, False
    if args["term"] < begun_term(value, args["run"]):
        return 2018, begun_term(value, args["run"]), False
    if any(other not in stores or stores[other]["state"] != ACTIVE for other in args.get("counted", ())):
        return 2018, "membership", False
    if store["clear"].get(args["run"], NOT_BEGUN) >= args["term"]:
        return 1000, None, False
    store["clear"][args["run"]] = args["term"]
    _drop_cleared(value, args["id"])
    return 1000, None, True


@commands.on("run.open")
def run_open(value, args):
    """The runs of a service are to have leases from now on: {"run"}, the service's name."""
    runs = value.setdefault("runs", {})
    if args["run"] in runs:
        return 1000, None, False
    runs[args["run"]] = NOT_BEGUN
    for store in value.get("stores", {}).values():
        store["clear"].pop(args["run"], None)
    return 1000, None, True


@commands.on("run.begin")
def run_begin(value, args):
    """A leadership term begins: {"run", "term"}. Tells the stores to gather from; clears of older terms end to count.

    2018 if a higher term has begun already.
    """
    runs = value.setdefault("runs", {})
    before = begun_term(value, args["run"])
    if args["term"] < before:
        return 2018, before, False
    did = runs.get(args["run"]) != args["term"]
    runs[args["run"]] = args["term"]
    return 1000, {"stores": value.get("stores", {}), "runs": runs}, did


def _refuse_retirement(value: dict, args: dict, code: int):
    """Refuse to empty a machine for good: copies of the order that set out before this refusal are not carried out.

    A copy is known by `seen`, the version of the register that its receiver held when the operator's call came in.
    """
    refused = value.setdefault("retire_refused", {})
    refused.pop(args["node"], None)
    refused[args["node"]] = args.get("at_version", 0)
    while len(refused) > KEEP_REFUSED:
        value["retire_floor"] = refused.pop(next(iter(refused)))
    return code, None, True


def _refused_before(value: dict, args: dict) -> bool:
    """Whether an order may be a copy of one that was refused since it set out."""
    since = max(value.get("retire_refused", {}).get(args["node"], NEVER), value.get("retire_floor", NEVER))
    return args.get("seen", since + 1) <= since


@commands.on("retire.start")
def retire_start(value, args):
    """The operator wants a machine emptied: {"node", "quorum", "seen"}."""
    if args["node"] in value.get("retired", {}):
        return 1000, {"OperState": value["retired"][args["node"]]}, False
    for sid, store in value.get("stores", {}).items():
        if store["name"] == args["node"] and store["state"] == ACTIVE:
            if not _spares(value, sid, args):
                return _refuse_retirement(value, args, 2013)
            if _refused_before(value, args):
                return 3004, None, False
            store["state"], store["retire"] = LEAVING, True
            _drop_cleared(value, sid)
            return 1000, {"OperState": "active"}, True
    for store in value.get("stores", {}).values():
        if store["name"] == args["node"]:
            did = not store.get("retire")
            store["retire"] = True
            return 1000, {"OperState": "active"}, did
    return _refuse_retirement(value, args, 2008)


@commands.on("retire.get")
def retire_get(value, args):
    """How far a machine's emptying is: {"node"}."""
    if args["node"] in value.get("retired", {}):
        return 1000, {"OperState": value["retired"][args["node"]]}, False
    if any(store["name"] == args["node"] and store.get("retire") for store in value.get("stores", {}).values()):
        return 1000, {"OperState": "active"}, False
    return 2008, None, False


@commands.on("tenure.claim")
def tenure_claim(value, args):
    """Take a run's lease, if its term is still the one seen: {"run", "holder", "life", "seen"}."""
    leases = value.setdefault("tenures", {})
    now = leases.get(args["run"])
    if now and now["holder"] == args["holder"] and now["life"] == args["life"] and now["term"] > args["seen"]:
        return 1000, now, False
    if (now["term"] if now else 0) != args["seen"]:
        return 2011, now, False
    leases[args["run"]] = {"holder": args["holder"], "life": args["life"], "term": args["seen"] + 1}
    return 1000, leases[args["run"]], True


@commands.on("tenure.list")
def tenure_list(value, args):
    """All leases of the register, sure to be the newest."""
    return 1000, value.get("tenures", {}), False


@commands.on("ledger.group")
def ledger_group(value, args):
    """The voters of a ledger register: {"key", "voters", "stamp"}. The first ones are written once, later ones under
    the version that the register had with them."""
    groups = value.setdefault("ledger", {})
    now = groups.get(args["key"])
    if now is not None and args["stamp"] <= now["stamp"]:
        return 1000, now, False
    if any(sid not in value.get("stores", {}) for sid in args["voters"]):
        return 2018, now, False
    groups[args["key"]] = {"voters": args["voters"], "stamp": args["stamp"]}
    for sid in list(value.get("stores", {})):
        _drop_cleared(value, sid)
    return 1000, groups[args["key"]], True
