"""The rollout controller: weight orders and what replicas report on them."""

from ..reckon import row

CONTROLLER = "rollout controller"
POLLS = 7  # reports read for one load: each 0.15 of it


def replicas(q) -> float:
    """Replicas that one store orders from."""
    return q.held * q.of_service


@row(CONTROLLER, "state: replicas ordered from", "", "the services that it leads")
def _state(q):
    return replicas(q), replicas(q)


@row(CONTROLLER, "orders out, on the mean", "/s", "one for each replica and version")
def _mean(q):
    n = replicas(q) / (q.s.weights_min * 60)
    return n, n


@row(
    CONTROLLER,
    "messages out while weights change: orders, intents, reports",
    "/s",
    "a wave's intents in one record; a report when the load should be done, and a second one",
)
def _wave(q):
    n = replicas(q) / q.s.weights_all_s
    return n * (1 + 2 + POLLS), n * (1 + 2) + 2


@row(CONTROLLER, "messages in while weights change: answers", "/s", "as many")
def _answers(q):
    return _wave(q)


@row(
    CONTROLLER, "bytes out while weights change", "B/s", "about 700 bytes a call", budget=lambda s: s.machine_mb_s * 1e6
)
def _bytes(q):
    return _wave(q)[0] * 700, _wave(q)[1] * 700


@row(
    CONTROLLER,
    "processor time while weights change (calls as an edge's requests: upper bound)",
    "core",
    "fewer reports, intents in one record",
    budget=lambda s: s.machine_core,
)
def _cpu(q):
    n = replicas(q) / q.s.weights_all_s
    return (
        n * ((1 + POLLS) * q.per("edge.request") + q.per("copier.put")),
        n * 3 * q.per("edge.request") + 2 * q.per("copier.put"),
    )


@row(
    CONTROLLER,
    "processor time if one holder ordered from all replicas (upper bound)",
    "core",
    "not done: orders are cut by service",
    budget=lambda s: s.machine_core,
)
def _all(q):
    return q.wave * ((1 + POLLS) * q.per("edge.request") + q.per("copier.put")), None


@row(CONTROLLER, "memory: engines", "B", "those of its services")
def _memory(q):
    return q.s.replicas * q.per("engines.memory"), replicas(q) * q.per("engines.memory")


@row(CONTROLLER, "disk: intents noted while weights change", "B/s", "one record a wave")
def _disk(q):
    return 3 * replicas(q) / q.s.weights_all_s * 120, 3 * 2 * 120


@row(
    CONTROLLER,
    "connections while weights change",
    "",
    "one for each replica that loads",
    budget=lambda s: s.machine_fds,
)
def _conns(q):
    return replicas(q), replicas(q)
