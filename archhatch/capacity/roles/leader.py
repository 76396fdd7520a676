"""A store as leader of partitions: lots read in, items given out to workers, settlements copied and listed."""

from ..reckon import row

LEADER = "store as partition leader"
KEPT = 2  # lots of a trainer in hand: the open one, and the ended one that StatusS keeps


def batch_jobs(q) -> float:
    """Lots a second that one store takes as holder."""
    return q.held / (q.s.step_min * 60)


@row(LEADER, "state: samples in hand", "", "the same; texts on disk, heads in memory")
def _state(q):
    n = q.held * KEPT * q.s.samples
    return n, n


@row(LEADER, "state: replicas known", "", "the services that it leads; edges and workers know the rest")
def _known(q):
    return q.s.replicas, q.held * q.of_service


@row(
    LEADER,
    "messages in: lots, copies, pings, news, batches of workers",
    "/s",
    "landed: a poll and a settlement for each sample at worst; a batch each; pings only in a group of five stores",
)
def _in(q):
    own, copies = q.rate / q.s.stores, q.s.tolerate * q.rate / q.s.stores
    return (
        2 * own + q.polls + copies + 2 * (q.s.stores - 1) * q.pings + q.asks + q.told_mean,
        2 * own / q.s.batch
        + q.polls
        + copies / q.s.batch
        + 2 * 4 * q.pings
        + q.asks
        + q.told_mean * q.held / q.s.services,
    )


@row(LEADER, "messages out", "/s", "the same number: each is a call and its answer")
def _out(q):
    return _in(q)


@row(
    LEADER,
    "bytes in: lots and copies",
    "B/s",
    "three copies of all (FaultTolerance.Machines 2)",
    budget=lambda s: s.machine_mb_s * 1e6,
)
def _bytes(q):
    n = (1 + q.s.tolerate) * (q.rate / q.s.stores * q.sample_bytes + batch_jobs(q) * q.at("lot.bytes", q.s.samples))
    return n, n


@row(LEADER, "bytes in: rolls", "B/s", "entries of its services alone", budget=lambda s: s.machine_mb_s * 1e6)
def _roll_bytes(q):
    return q.turns * q.entry, q.turns * q.entry * q.held / q.s.services


@row(
    LEADER,
    "processor time: lots and copies",
    "core",
    "three copies; a sync for each sample's batch",
    budget=lambda s: s.machine_core,
)
def _cpu(q):
    n = batch_jobs(q) * (
        q.at("lot.read", q.s.samples)
        + 2 * q.at("rpc.pack", q.at("lot.bytes", q.s.samples))
        + 2 * q.at("rpc.read", q.at("lot.bytes", q.s.samples))
    )
    size = q.sample_bytes / 4000  # measured with texts of 4,000 bytes
    return n + q.rate / q.s.stores * size * q.per("copier.put"), n + q.rate / q.s.stores * size * (
        q.per("shelf.append") * 3 + q.per("records.pack") * 2 + q.per("records.unpack") * 2
    )


@row(
    LEADER,
    "processor time: giving items out",
    "core",
    "landed: at worst a share.fetch and a share.commit for each sample, idle polls as full ones; both in batches",
    budget=lambda s: s.machine_core,
)
def _place(q):
    own, one = q.rate / q.s.stores, q.at("leader.fetch", q.of_service)
    turn = q.held * q.at("leader.turn", q.of_service)
    idle = 2 * q.pings  # turns of the loop while there is no news
    return (
        (own + q.polls) * one + (own + idle) * turn,
        own / q.s.batch * q.at("leader.batch", q.s.batch) + q.polls * one + (own / q.s.batch + idle) * turn,
    )


@row(
    LEADER,
    "processor time if one leader gave out all items",
    "core",
    "not done: services are spread over the stores",
    budget=lambda s: s.machine_core,
)
def _place_all(q):
    n = q.s.stores
    own, one, polls = q.rate, q.at("leader.fetch", q.of_service), q.polls * n
    return (own + polls) * one + (own + 2 * q.pings) * q.s.trainers * q.at("leader.turn", q.of_service), None


@row(
    LEADER,
    "time of a step's samples by the locks of its partition",
    "s",
    "ShareLocks set to what rate and length of a sample need",
    budget=lambda s: s.step_min * 60,
)
def _locks(q):
    def time(locks):
        return q.s.samples / min(locks, q.s.samples) * q.s.sample_s

    return time(q.s.share_locks), time(q.s.share_locks_set)


@row(
    LEADER,
    "time that one lock must hold",
    "s",
    "a worker's poll renews its locks (else ShareLockS must be set above a sample's time)",
    budget=lambda s: s.share_lock_s,
)
def _lock(q):
    return q.s.sample_s, q.s.cancel_s / 4


@row(LEADER, "processor time: the roll", "core", "its services alone", budget=lambda s: s.machine_core)
def _roll(q):
    per = q.per("news.fold") + 2 * q.per("picker.again")
    new = q.at("engines.new", q.s.replicas) + q.at("picker.new", q.s.replicas)
    part = q.held / q.s.services
    small = q.at("engines.new", q.held * q.of_service) + q.at("picker.new", q.held * q.of_service)
    return (q.turns * (per + q.half_call) + q.fresh * new, part * (q.turns * (per + q.half_call) + q.fresh * small))


@row(
    LEADER,
    "memory",
    "B",
    "texts stay on disk behind an index; one lot's bytes at a time",
    budget=lambda s: s.machine_mb * 1e6,
)
def _memory(q):
    head = max(0.0, q.per("result.memory") - 4000)
    per_lot = q.at("lot.memory", q.s.samples)
    registry = q.per("news.memory") + q.per("picker.memory") + q.per("engines.memory")
    rest = q.at("resident.store", 0) + q.at("plan.memory", q.s.routes)
    copies = (1 + q.s.tolerate) * q.held * KEPT
    texts = q.at("lot.bytes", q.s.samples) + q.s.samples * (head + q.sample_bytes)
    landed = (
        rest + q.held * KEPT * per_lot + copies * texts + q.s.replicas * registry + _conns(q)[0] * q.s.connection_bytes
    )
    built = (
        rest
        + q.held * per_lot
        + copies * q.s.samples * head
        + q.held * q.of_service * registry
        + _conns(q)[1] * q.s.connection_bytes
    )
    return landed, built


@row(
    LEADER,
    "disk held",
    "B",
    "the book is written anew once it is twice what is kept",
    budget=lambda s: s.machine_disk_gb * 1e9,
)
def _disk(q):
    n = 2 * (1 + q.s.tolerate) * q.held * KEPT * (q.at("lot.bytes", q.s.samples) + q.s.samples * q.sample_bytes)
    return n, n


@row(
    LEADER,
    "connections",
    "",
    "stores of its lots' groups, its control node, edges that hand in or read",
    budget=lambda s: s.machine_fds,
)
def _conns(q):
    return 2 * (q.s.stores - 1) + 1 + q.s.edges, 2 * 4 + 1 + q.s.edges + q.s.stores * q.s.processes
