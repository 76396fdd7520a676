"""Messages between the workers and the leader of a share group: share.fetch and share.commit.

The calls follow KIP-932's ShareFetch and ShareAcknowledge. Rows that are arrays on the wire are named tuples here.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

from ..runtime.message import Message, wire

if TYPE_CHECKING:
    from ..rollout_controller.engines import Engine
    from ..routing.routes import Route
    from .window import ShareEntry

FETCH_VERB = "share.fetch"
ACKNOWLEDGE_VERB = "share.commit"


class AcknowledgeType(StrEnum):
    """How a worker ends an acquisition (KIP-932)."""

    ACCEPT = "accept"  # processed: the result is listed
    RELEASE = "release"  # to be delivered again
    REJECT = "reject"  # not processable: listed as aborted


class CancelReason(StrEnum):
    """Why a worker is to stop running an entry."""

    RECALL = "recall"  # its slot is needed: the worker releases it, unless its stream has ended
    ENDED = "ended"  # its batch job ended
    EXPIRED = "expired"  # its acquisition lock expired


class Acquisition(NamedTuple):
    """Names one acquisition of an entry: a later one has a higher delivery count."""

    partition: str
    offset: int
    delivery_count: int


class Cancellation(NamedTuple):
    """Tells a worker to stop running an acquired entry."""

    partition: str
    offset: int
    delivery_count: int
    reason: str


class HeldEntry(NamedTuple):
    """An entry that a worker still holds from an earlier leader epoch; engine_id is None once its stream ended."""

    job_id: str
    item_id: str
    engine_id: str | None


class ReacquiredEntry(NamedTuple):
    """A held entry that the leader acquired for its worker again, under this offset and delivery count."""

    job_id: str
    item_id: str
    offset: int
    delivery_count: int


class SignalKind(StrEnum):
    """What a run may show of its replica; the value of the signal is given behind each."""

    SERVED = "served"  # a whole stream came; first ejection of the replica, in seconds
    VANISHED = "vanished"  # it could not be reached, or fell silent; first ejection of the replica, in seconds
    FAULTED = "faulted"  # it failed; first ejection of the replica, in seconds
    GONE = "gone"  # another incarnation answers at its address; 0
    DOUBT = "doubt"  # it has another version than expected; 0
    FULL = "full"  # it takes no more now; 0
    VERSION = "version"  # it made events under this newer version; the version
    PACE = "pace"  # how fast it is; seconds an event


class Signal(NamedTuple):
    """What a run showed of its replica."""

    kind: str
    value: float


def _to_arrays(rows: Sequence[Sequence] | None) -> list | None:
    return None if rows is None else [list(row) for row in rows]


def _to_acquisitions(rows: list) -> list[Acquisition]:
    return [Acquisition(*row) for row in rows]


def _to_cancellations(rows: list) -> list[Cancellation]:
    return [Cancellation(*row) for row in rows]


def _to_signals(rows: list) -> list[Signal]:
    return [Signal(*row) for row in rows]


def _to_held_entries(rows: list | None) -> list[HeldEntry] | None:
    return None if rows is None else [HeldEntry(*row) for row in rows]


def _to_reacquired_entries(rows: list | None) -> list[ReacquiredEntry] | None:
    return None if rows is None else [ReacquiredEntry(*row) for row in rows]


@dataclass(frozen=True, slots=True)
class FetchRequest(Message):
    """A worker's poll for entries to run.

    Attributes:
        worker_id: The worker's member id.
        incarnation: The start of the worker's process.
        zone: Where the worker stands.
        timer_lag_s: How late the worker's timers fire.
        run: The run whose entries are wanted.
        leader_epoch: The term of the leader that is asked.
        session_epoch: Number of the poll (KIP-932's share session epoch); only the newest is served.
        max_wait_s: How long the leader may wait for entries.
        ended_streams: Acquisitions whose streams ended, so that their slots are free.
        received_batches: Numbers of the answers that arrived.
        held_entries: Under a new leader epoch, all that the worker still holds; otherwise None.
    """

    worker_id: str = wire("worker")
    incarnation: str = wire("life")
    zone: str = wire("zone")
    timer_lag_s: float = wire("lag")
    run: str = wire("run")
    leader_epoch: int = wire("epoch")
    session_epoch: int = wire("poll")
    max_wait_s: float = wire("hold")
    ended_streams: list[Acquisition] = wire("off", encode=_to_arrays, decode=_to_acquisitions)
    received_batches: list[int] = wire("got")
    held_entries: list[HeldEntry] | None = wire("holding", encode=_to_arrays, decode=_to_held_entries)


@dataclass(frozen=True, slots=True)
class SupersededResponse(Message):
    """Answers a poll that was older than one already served."""

    is_superseded: bool = wire("old", default=True)


@dataclass(frozen=True, slots=True)
class FetchResponse(Message):
    """Answers a poll; the acquired records are in the body.

    Attributes:
        is_superseded: Whether a newer poll came meanwhile; the rest means nothing then.
        reacquired_entries: The held entries that the worker keeps; None if it named none.
        cancellations: Entries to stop; in every answer until one that carried them is confirmed.
        batch_number: Number of the answer, to be confirmed by a later poll; None if it has neither a batch in the body
            nor cancellations.
    """

    is_superseded: bool = wire("old", default=False, optional=True)
    reacquired_entries: list[ReacquiredEntry] | None = wire(
        "kept", default=None, encode=_to_arrays, decode=_to_reacquired_entries
    )
    cancellations: list[Cancellation] = wire("drop", default_factory=list, encode=_to_arrays, decode=_to_cancellations)
    batch_number: int | None = wire("batch", default=None)


@dataclass(frozen=True, slots=True, kw_only=True)
class AcquiredRecord(Message):
    """An acquired entry as its worker gets it; the leader writes it with acquired_record_document.

    Attributes:
        partition: The share partition: the model.
        offset: The entry's offset.
        delivery_count: The delivery count of this acquisition.
        job_id: The batch job.
        item_id: The item.
        host: Host of the item's request.
        path: Path of the item's request.
        headers: Headers of the item's request.
        tenant: Whose item it is; None where no key is asked for.
        payload: Base64 of the request's body.
        scorer: The reward call of the item, or None.
        min_version: The lowest model version that may make the text.
        is_single_version: Whether one version must make the whole text.
        max_attempts: Failures after which the item is rejected.
        model_version: The version that the replica is expected to have.
        engine_id: The replica.
        address: The replica's address.
        service: The replica's service.
        texts: The events of earlier, released runs.
        last_event_id: The last of these events.
        versions: The versions that made them.
        failures: Answers of 500 so far.
        priority: Sort key of the reward call: whether the group is surplus, the due time, the group's rank.
        lock_s: Duration of the acquisition lock.
    """

    partition: str = wire("part")
    offset: int = wire("off")
    delivery_count: int = wire("dc")
    job_id: str = wire("lot")
    item_id: str = wire("iid")
    host: str = wire("host")
    path: str = wire("path")
    headers: list = wire("heads")
    tenant: str | None = wire("tenant", default=None)
    payload: str = wire("payload")
    scorer: dict | None = wire("scorer")
    min_version: int = wire("least")
    is_single_version: bool = wire("single")
    max_attempts: int = wire("sends")
    model_version: int = wire("version")
    engine_id: str = wire("engine")
    address: str = wire("addr")
    service: str = wire("service")
    texts: list[str] = wire("texts")
    last_event_id: str = wire("last")
    versions: list[int] = wire("versions")
    failures: int = wire("fails")
    priority: tuple = wire("key", decode=tuple)
    lock_s: float = wire("lock")


def acquired_record_document(
    entry: ShareEntry, engine: Engine, model_version: int, route: Route, lock_s: float
) -> dict:
    """Returns the document of an AcquiredRecord.

    Written out because a leader makes one for every item: by way of the dataclass it costs several times as much.
    tests/share_group/test_messages.py checks that its keys are those of AcquiredRecord, in their order.
    """
    item, batch_job = entry.item, entry.batch_job
    return {
        "part": batch_job.model,
        "off": entry.offset,
        "dc": entry.delivery_count,
        "lot": batch_job.job_id,
        "iid": item.item_id,
        "host": batch_job.host,
        "path": item.path,
        "heads": item.heads,
        "tenant": batch_job.tenant,
        "payload": item.payload,
        "scorer": item.scorer,
        "least": batch_job.min_revision,
        "single": route.is_single_version,
        "sends": route.max_attempts,
        "version": model_version,
        "engine": engine.instance_id,
        "addr": engine.address,
        "service": engine.service,
        "texts": entry.texts,
        "last": entry.last_event_id,
        "versions": sorted(entry.versions),
        "fails": entry.failures,
        "key": [entry.rank >= batch_job.desired_count > 0, batch_job.accepted_at + route.result_due_s, entry.rank],
        "lock": lock_s,
    }


@dataclass(frozen=True, slots=True)
class AcknowledgeRequest(Message):
    """Acknowledgements of one worker; the rows are in the body."""

    worker_id: str = wire("worker")
    run: str = wire("run")
    leader_epoch: int = wire("epoch")


@dataclass(frozen=True, slots=True)
class AcknowledgeResponse(Message):
    """Tells of each acknowledgement, in the order of the request, whether it counts."""

    is_committed: list[bool] = wire("done")


@dataclass(frozen=True, slots=True)
class Acknowledgement(Message):
    """Ends one acquisition.

    Attributes:
        partition: The share partition.
        offset: The entry's offset.
        delivery_count: The delivery count of the acquisition.
        type: An AcknowledgeType; left as text, as it is read for every item.
        engine_id: The replica that ran the item.
        signals: What the run showed of the replica: kind (a SignalKind) and value of each.
    """

    partition: str = wire("part")
    offset: int = wire("off")
    delivery_count: int = wire("dc")
    type: str = wire("kind")
    engine_id: str = wire("engine")
    signals: Sequence[Sequence] = wire("signs", encode=_to_arrays, decode=_to_signals)


@dataclass(frozen=True, slots=True)
class ReleaseAcknowledgement(Acknowledgement):
    """Gives an entry back, with what was made of its text.

    Attributes:
        texts: The events so far.
        last_event_id: The last of them.
        versions: The model versions that made them.
        failures: Answers of 500 so far.
        backoff_s: How long the entry should wait.
        is_home_forgotten: Whether the entry's group may move to another replica.
    """

    texts: list[str] = wire("texts")
    last_event_id: str = wire("last")
    versions: list[int] = wire("versions")
    failures: int = wire("fails")
    backoff_s: float = wire("pause")
    is_home_forgotten: bool = wire("forget_home")


@dataclass(frozen=True, slots=True)
class FinalAcknowledgement(Acknowledgement):
    """Accepts or rejects an entry, with the result to list."""

    result: dict = wire("doc")


def acknowledgement_of(row: dict) -> ReleaseAcknowledgement | FinalAcknowledgement:
    """Reads one row of an acknowledge request.

    Written out, as acquired_record_document is, because a leader reads one for every item; the signals stay the pairs
    that they are in the document. tests/share_group/test_messages.py checks that it reads what to_document wrote.

    Raises:
        KeyError: A key is missing.
    """
    kind = row["kind"]
    acquisition = row["part"], row["off"], row["dc"]
    if kind != AcknowledgeType.RELEASE:
        return FinalAcknowledgement(*acquisition, kind, row["engine"], row["signs"], row["doc"])
    return ReleaseAcknowledgement(
        *acquisition,
        kind,
        row["engine"],
        row["signs"],
        texts=row["texts"],
        last_event_id=row["last"],
        versions=row["versions"],
        failures=row["fails"],
        backoff_s=row["pause"],
        is_home_forgotten=row["forget_home"],
    )
