"""The operator API: configurations checked, agreed upon and told to all."""

from ..reckon import row

API = "operator API"


@row(API, "state: routes and services", "", "one register, its voters' whole")
def _state(q):
    return q.s.routes + q.s.services, q.s.routes + q.s.services


@row(API, "messages in: changes, at peak", "/s", "any control node takes them and hands them to the part's owner")
def _in(q):
    n = q.changes * q.s.change_peak
    return n, n


@row(API, "messages out for one change", "", "a tree: regions, then zones, then readers")
def _out(q):
    return q.s.voters - 1 + q.others + q.s.edges + q.s.stores, q.s.voters - 1 + q.others + q.s.edges + q.s.stores


@row(
    API, "bytes out for one change, all nodes together", "B", "a delta with its sequence; whole only to who lacks more"
)
def _one(q):
    state = q.at("command.bytes", q.s.routes)
    readers = q.s.edges + q.s.stores
    return (
        (q.s.voters - 1 + q.others) * state + readers * q.plan_bytes,
        (q.s.voters - 1) * state + (q.others + readers) * q.s.patch_bytes,
    )


@row(API, "bytes out at peak, the owner", "B/s", "the same", budget=lambda s: s.machine_mb_s * 1e6)
def _bytes(q):
    n, state = q.changes * q.s.change_peak, q.at("command.bytes", q.s.routes)
    return (
        n * ((q.s.voters - 1 + q.others) * state + q.readers * q.plan_bytes),
        n * ((q.s.voters - 1) * state + (q.others + q.readers) * q.s.patch_bytes),
    )


@row(API, "bytes in at peak, an edge", "B/s", "the same", budget=lambda s: s.node_kb_s * 1000)
def _edge(q):
    n = q.changes * q.s.change_peak
    return n * q.plan_bytes, n * q.s.patch_bytes


@row(
    API,
    "processor time at peak, the owner (with its voters' part: upper bound)",
    "core",
    "a change's own rows checked, not the whole configuration",
    budget=lambda s: s.machine_core,
)
def _cpu(q):
    n = q.changes * q.s.change_peak
    return (
        n * q.at("command.patch", q.s.routes),
        n * (q.at("command.patch", q.s.routes) - q.at("plan.check", q.s.routes) + q.at("plan.check", 1)),
    )


@row(API, "processor time at peak, an edge", "core", "lanes of the changed hosts alone", budget=lambda s: s.node_core)
def _edge_cpu(q):
    n = q.changes * q.s.change_peak
    return (
        n * q.asleep * (q.at("plan.make", q.s.routes) + q.half_call),
        n * q.asleep * (q.at("plan.make", 1) + q.half_call),
    )


@row(API, "memory", "B", "known state, keeper's and owner's: three of them")
def _memory(q):
    return 3 * q.at("plan.memory", q.s.routes), 3 * q.at("plan.memory", q.s.routes)


@row(API, "disk written at peak, a voter", "B/s", "whole states; still small", budget=lambda s: s.machine_mb_s * 1e6)
def _disk(q):
    n = q.changes * q.s.change_peak * q.at("command.bytes", q.s.routes)
    return n, n


@row(API, "connections", "", "a call each, kept for a while", budget=lambda s: s.machine_fds)
def _conns(q):
    return 20, 20
