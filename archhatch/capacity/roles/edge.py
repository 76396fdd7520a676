"""An edge: control's part of it has the budget of a node, requests and streams that of a loop."""

from ..reckon import row

EDGE = "edge"


def streams(q) -> float:
    """Live requests under way at one edge."""
    return q.s.requests_s / q.s.edges * q.s.stream_s


@row(EDGE, "state: replicas known", "", "rendezvous subset of each service's replicas, its own region's first")
def _state(q):
    return q.s.replicas, q.mine


@row(EDGE, "messages in, control", "/s", "deltas of the subset and a digest a second from the region's relay")
def _in(q):
    return q.asks + q.told_mean + q.changes, q.asks + q.moves * q.share + q.changes


@row(EDGE, "messages out, control", "/s", "a question each, with the sequence in hand")
def _out(q):
    return _in(q)


@row(EDGE, "requests in, and as many out", "/s", "the system's clients, spread evenly")
def _requests(q):
    n = q.s.requests_s / q.s.edges
    return n, n


@row(
    EDGE,
    "bytes in, control",
    "B/s",
    "deltas; the configuration as deltas too; versions are not told to edges",
    budget=lambda s: s.node_kb_s * 1000,
)
def _bytes(q):
    q.per("news.bytes")
    head = q.at("news.bytes", 0)
    landed = (q.asks + q.told_mean) * head + q.turns * q.entry + q.changes * q.plan_bytes
    built = q.asks * (head + q.s.digest_bytes) + q.moves * q.share * q.entry + q.changes * q.s.patch_bytes
    return landed, built


@row(
    EDGE,
    "bytes in, control, while weights change",
    "B/s",
    "the same: versions are not told to edges",
    budget=lambda s: s.node_kb_s * 1000,
)
def _wave(q):
    return q.wave * q.entry, _bytes(q)[1]


@row(
    EDGE,
    "bytes in, control, while a zone falls silent and comes back",
    "B/s",
    "the same; a zone's replicas within 2.5 beats",
    budget=lambda s: s.node_kb_s * 1000,
)
def _zone(q):
    n = q.s.replicas / q.s.zones / (2.5 * q.s.beat_s)
    return n * q.entry, n * q.share * q.entry


@row(
    EDGE,
    "processor time, control",
    "core",
    "the subset is small; the configuration is still made ready whole",
    budget=lambda s: s.node_core,
)
def _cpu(q):
    plan = q.changes * q.at("plan.make", q.s.routes)
    per = q.per("news.fold") + q.per("picker.again")
    landed = _in(q)[0] * q.half_call + q.turns * per + q.fresh * q.at("picker.new", q.s.replicas) + plan
    built = _in(q)[1] * q.half_call + q.moves * q.share * per + q.fresh * q.share * q.at("picker.new", q.mine) + plan
    return landed * q.asleep, built * q.asleep


@row(
    EDGE,
    "processor time, control, while weights change",
    "core",
    "versions are not told to edges",
    budget=lambda s: s.node_core,
)
def _wave_cpu(q):
    per = q.per("news.fold") + q.per("picker.again")
    return ((q.asks + q.told) * q.half_call + q.wave * per) * q.asleep, _cpu(q)[1]


@row(
    EDGE,
    "bytes out, control, as its zone's relay",
    "B/s",
    "one edge in each zone hands the deltas on to the others",
    budget=lambda s: s.node_kb_s * 1000,
)
def _relay(q):
    return 0, q.s.edges / q.s.zones * _bytes(q)[1]


@row(
    EDGE,
    "processor time, control, as its zone's relay",
    "core",
    "the same: an answer for each edge's question",
    budget=lambda s: s.node_core,
)
def _relay_cpu(q):
    more = q.s.edges / q.s.zones * _in(q)[1] * (q.at("news.one", 0) + q.half_call)
    return 0, _cpu(q)[1] + more * q.asleep


@row(EDGE, "processor time of a start: the whole roll", "s", "a start folds the subset only")
def _start(q):
    def whole(n):  # each new replica is compared with all known ones
        return q.at("news.fold", n) + n * q.at("picker.new", n / 2)

    return whole(q.s.replicas), whole(q.mine)


@row(
    EDGE,
    "processor time, requests and picks",
    "core",
    "a pick looks at the subset's first block (landed); the load is cut by several processes",
    budget=lambda s: s.machine_core,
)
def _picks(q):
    n = q.s.requests_s / q.s.edges
    return n * (q.per("edge.request") + q.at("picker.pick", q.of_service)), n * (
        q.per("edge.request") + q.at("picker.pick", q.of_service)
    ) / q.s.processes


@row(
    EDGE,
    "processor time, events of live streams",
    "core",
    "several processes behind one port (SO_REUSEPORT); bytes passed on without taking events apart",
    budget=lambda s: s.machine_core,
)
def _events(q):
    n = q.live_events / q.s.edges * q.per("edge.event")
    return n, n / q.s.processes


@row(
    EDGE,
    "processor time, all processes of the machine",
    "core",
    "the same processes; more tokens in an event",
    budget=lambda s: s.machine_cores * s.machine_core,
)
def _machine(q):
    n = q.s.processes
    return (_cpu(q)[0] + _picks(q)[0] + _events(q)[0], _relay_cpu(q)[1] + n * (_picks(q)[1] + _events(q)[1]))


@row(
    EDGE, "memory, control", "B", "the subset; its process is counted whole, at rest", budget=lambda s: s.node_mb * 1e6
)
def _memory(q):
    per, plan = q.per("news.memory") + q.per("picker.memory"), q.at("plan.memory", q.s.routes)
    rest = q.at("resident.edge", 0) + plan
    return rest + q.s.replicas * per, rest + q.mine * per


@row(
    EDGE,
    "memory, control and all connections",
    "B",
    "the same, and kept connections to the subset alone",
    budget=lambda s: s.machine_mb * 1e6,
)
def _all_memory(q):
    return tuple(m + n * q.s.connection_bytes for m, n in zip(_memory(q), _conns(q)))


@row(EDGE, "disk", "B", "none: an edge starts from the news")
def _disk(q):
    return 0, 0


@row(
    EDGE,
    "connections",
    "",
    "kept ones to the subset (landed: its first block of each service); clients' beside them",
    budget=lambda s: s.machine_fds,
)
def _conns(q):
    live = streams(q)
    # kept for 30 s after a request; of each service the first block, as long as that is not full
    kept = min(q.block * q.s.services, q.s.requests_s / q.s.edges * 30)
    return 1 + 2 * live + kept, 1 + 2 * live + q.mine
