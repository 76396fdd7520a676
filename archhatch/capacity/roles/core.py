"""A control node: beats of its region, what nodes tell each other, and the news for its readers."""

from ..reckon import row

CORE = "control node"
NEAR = 4  # neighbours in a tree of 11: the one above and up to three below, by region


def words(q) -> float:
    """Words about live requests: an edge and a service each."""
    return q.s.edges * q.s.live_services_edge


@row(
    CORE,
    "state: replicas known",
    "",
    "its region's by KeepaliveTarget, and those of the services whose roll it owns by rendezvous",
)
def _state(q):
    return q.s.replicas, 2 * q.s.replicas / q.s.cores


@row(
    CORE, "beats in", "/s", "KeepaliveTarget pins each replica to its region's node; KeepaliveMs is not ours to stretch"
)
def _beats(q):
    return q.beats / q.s.cores, q.beats / q.s.cores


@row(CORE, "messages in: beats, pings, questions", "/s", "neighbours of the tree once a second instead of all pings")
def _in(q):
    return (
        q.beats / q.s.cores + 2 * q.others * q.pings + q.readers * (q.asks + q.told_mean + q.changes),
        q.beats / q.s.cores + 2 * NEAR + q.moves + q.readers * (q.asks + q.moves * q.share + q.changes),
    )


@row(CORE, "messages out", "/s", "an answer to each, and what it asks itself")
def _out(q):
    return _in(q)


@row(CORE, "bytes in: beats", "B/s", "spread evenly", budget=lambda s: s.machine_mb_s * 1e6)
def _beat_bytes(q):
    n = q.beats / q.s.cores * q.s.beat_bytes
    return n, n


@row(
    CORE,
    "bytes in (and out): rolls between control nodes",
    "B/s",
    "only changes, with a sequence, over the tree; a digest a second finds gaps",
    budget=lambda s: s.machine_mb_s * 1e6,
)
def _mesh(q):
    rolls = q.beats * q.per("ping.bytes") + q.turns * q.per("ping.whole_bytes")
    return (
        q.others * rolls + 2 * q.others * q.pings * q.at("ping.bytes", 0),
        q.turns * q.per("ping.whole_bytes") + NEAR * q.s.regions * q.s.digest_bytes,
    )


@row(
    CORE,
    "bytes in (and out): words about live requests",
    "B/s",
    "summed by region and service, once a second",
    budget=lambda s: s.machine_mb_s * 1e6,
)
def _live(q):
    return (
        2 * q.others * q.pings * q.s.services * q.per("ping.live_bytes"),
        NEAR * q.s.regions * q.s.services * q.per("ping.live_bytes"),
    )


@row(
    CORE,
    "bytes out: news",
    "B/s",
    "each reader's subset; the configuration as deltas",
    budget=lambda s: s.machine_mb_s * 1e6,
)
def _news_bytes(q):
    return (
        q.readers * (q.turns * q.entry + q.changes * q.s.patch_bytes),
        q.readers * (q.moves * q.share * q.entry + q.changes * q.s.patch_bytes + q.asks * q.s.digest_bytes),
    )


@row(CORE, "processor time: beats", "core", "over HTTP, each folded once", budget=lambda s: s.machine_core)
def _beat_cpu(q):
    n = q.beats / q.s.cores * q.per("beat.http")
    return n, n


@row(CORE, "processor time: pings with rolls", "core", "only changes, over the tree", budget=lambda s: s.machine_core)
def _ping_cpu(q):
    each = q.beats / q.pings  # beats that one ping carries: all heard anywhere since the last
    landed = q.others * q.pings * (q.at("ping.make", each) + q.at("ping.take", each) + 2 * q.half_call)
    built = (q.moves + q.versions) * (q.per("ping.make") + q.per("ping.take")) + 2 * NEAR * 2 * q.half_call
    return landed, built


@row(
    CORE,
    "processor time: news",
    "core",
    "an answer is made once for all who ask alike (landed); a change is told only to whom it concerns",
    budget=lambda s: s.machine_core,
)
def _news_cpu(q):
    landed = q.readers * (
        (q.told_mean + q.asks) * (q.at("news.one", q.s.replicas) + q.half_call)
        + q.changes * q.at("news.plan", q.s.routes)
    )
    built = q.readers * ((q.moves * q.share + q.asks + q.changes) * (q.at("news.one", 0) + q.half_call))
    return landed, built


@row(
    CORE,
    "processor time: news, while weights change",
    "core",
    "versions go to the holder of the service alone",
    budget=lambda s: s.machine_core,
)
def _wave_cpu(q):
    landed = q.readers * q.told * (q.at("news.one", q.s.replicas) + q.half_call)
    return landed, q.wave / q.s.cores * (q.at("news.one", 0) + q.half_call) + _news_cpu(q)[1]


@row(CORE, "processor time: sweeps for silent replicas", "core", "its region's alone", budget=lambda s: s.machine_core)
def _sweep(q):
    return q.pings / 2 * q.at("roll.sweep", q.s.replicas), q.pings / 2 * q.at("roll.sweep", q.s.replicas / q.s.cores)


@row(CORE, "processor time: all of these on the mean", "core", "all of these", budget=lambda s: s.machine_core)
def _all_cpu(q):
    parts = [function(q) for function in (_beat_cpu, _ping_cpu, _news_cpu, _sweep)]
    return sum(a for a, _ in parts), sum(b for _, b in parts)


@row(CORE, "memory", "B", "its region's replicas and the services' that it owns", budget=lambda s: s.machine_mb * 1e6)
def _memory(q):
    rest = q.at("resident.core", 0) + 3 * q.at("plan.memory", q.s.routes) + words(q) / q.s.cores * 300
    landed, built = _conns(q)
    return (
        rest + q.s.replicas * q.per("roll.memory") + landed * q.s.connection_bytes,
        rest + _state(q)[1] * q.per("roll.memory") + built * q.s.connection_bytes,
    )


@row(CORE, "disk written, a voter", "B/s", "each voter writes the whole state for each change; still small")
def _disk(q):
    n = q.changes * q.at("command.bytes", q.s.routes)
    return n, n


@row(
    CORE,
    "connections",
    "",
    "replicas keep one each to their region's node; readers and neighbours one each",
    budget=lambda s: s.machine_fds,
)
def _conns(q):
    return q.s.replicas / q.s.cores + q.readers + 2 * q.others, q.s.replicas / q.s.cores + q.readers + 2 * NEAR
