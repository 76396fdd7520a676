"""A store as worker: samples streamed from replicas, scored and committed to their leader."""

from ..reckon import row
from . import leader

WORKER = "store as worker"


def running(q) -> float:
    """Samples under way on one store: what the rate and the length of a sample make."""
    return q.rate * q.s.sample_s / q.s.stores


@row(WORKER, "state: samples under way", "", "the same, held by process")
def _state(q):
    return running(q), running(q)


@row(
    WORKER,
    "messages out: fetches and commits",
    "/s",
    "landed: a poll and a settlement for each sample at worst; a batch each",
)
def _out(q):
    own, idle = q.rate / q.s.stores, q.polls
    return 2 * own + idle, 2 * own / q.s.batch + idle


@row(WORKER, "messages in: events of samples", "/s", "one for each token; the protocol allows several tokens in one")
def _in(q):
    n = q.sample_events / q.s.stores
    return n, n


@row(
    WORKER,
    "bytes in: events of samples",
    "B/s",
    "about 30 bytes of frame an event",
    budget=lambda s: s.machine_mb_s * 1e6,
)
def _bytes(q):
    n = q.sample_events / q.s.stores * (30 + q.s.token_bytes * q.s.tokens_event)
    return n, n


@row(
    WORKER,
    "processor time: events, as an edge's (upper bound)",
    "core",
    "several worker processes on a store machine",
    budget=lambda s: s.machine_core,
)
def _cpu(q):
    n = q.sample_events / q.s.stores * q.per("edge.event")
    return n, n / q.s.processes


@row(
    WORKER,
    "processor time: cutting the events alone (lower bound)",
    "core",
    "the same",
    budget=lambda s: s.machine_core,
)
def _cut(q):
    n = q.sample_events / q.s.stores * q.per("events.read")
    return n, n / q.s.processes


@row(
    WORKER,
    "processor time: worker and leader in one process, upper bound",
    "core",
    "workers beside the leader's process",
    budget=lambda s: s.machine_core,
)
def _both(q):
    parts = [function(q) for function in (leader._cpu, leader._place, leader._roll)]
    return _cpu(q)[0] + sum(a for a, _ in parts), sum(b for _, b in parts)


@row(
    WORKER,
    "processor time, all processes of the machine, upper bound",
    "core",
    "the same processes",
    budget=lambda s: s.machine_cores * s.machine_core,
)
def _machine(q):
    return _both(q)[0], _both(q)[1] + q.s.processes * _cpu(q)[1]


@row(
    WORKER,
    "memory: texts under way",
    "B",
    "half of a text each, on the mean; beside the process",
    budget=lambda s: s.machine_mb * 1e6,
)
def _memory(q):
    # an event's text is a string of its own in a list, 60 bytes at least
    n = running(q) * q.s.sample_tokens / q.s.tokens_event / 2 * 60
    rest = q.at("resident.store", 0)
    conns = _conns(q)
    return (
        rest + n + conns[0] * q.s.connection_bytes,
        q.s.processes * rest + running(q) * q.sample_bytes / 2 + conns[1] * q.s.connection_bytes,
    )


@row(WORKER, "disk", "B", "none: what is not committed runs again")
def _disk(q):
    return 0, 0


@row(WORKER, "connections", "", "one for each sample under way", budget=lambda s: s.machine_fds)
def _conns(q):
    return running(q), running(q) + q.s.processes * q.s.stores
