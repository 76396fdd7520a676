"""An acquired entry in a worker's hands."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from .messages import AcquiredRecord, Acquisition, FinalAcknowledgement, ReleaseAcknowledgement, Signal, SignalKind


class WorkState(StrEnum):
    """How far a worker has come with an entry."""

    RUNNING = "running"  # its stream takes a slot of a replica
    SCORING = "scoring"  # its stream ended; the reward call waits or is under way
    ACKNOWLEDGING = "acknowledging"  # until the leader committed the acknowledgement


@dataclass(frozen=True, slots=True)
class ScoredItem:
    """The item as the scoring of the rollout controller reads it.

    Attributes:
        iid: The item's id.
        scorer: Its reward call, or None.
    """

    iid: str
    scorer: dict | None


@dataclass(eq=False, slots=True)
class AcquiredEntry:
    """An acquired entry, from its arrival at a worker until its acknowledgement is committed.

    The fields item, may_send and score_fails are read by the scoring of the rollout controller under these names.

    Attributes:
        run: The run.
        record: The entry as the leader sent it.
        locked_until: End of the acquisition lock, by this node's steady clock.
        offset: The offset; a new leader may have given it another than the record's.
        delivery_count: The delivery count; likewise.
        item: What the scoring needs of the item.
        may_send: Whether a request may still reach a replica; asked right before it is written.
        state: How far the worker has come.
        texts: The events so far.
        last_event_id: The last of them.
        versions: The model versions that made them.
        failures: Answers of 500 so far.
        score_fails: Answers of 500 to the reward call.
        signals: What the run showed of its replica.
        backoff_s: How long the entry should wait once it is released.
        is_home_forgotten: Whether the entry's group may move to another replica.
        is_stream_end_reported: Whether the leader is being told that the slot is free.
        acknowledgement: What the leader is to commit, once the state is ACKNOWLEDGING.
        task: The task that runs the entry.
    """

    run: str
    record: AcquiredRecord
    locked_until: float
    offset: int
    delivery_count: int
    item: ScoredItem
    may_send: Callable[[], bool] = lambda: False
    state: WorkState = WorkState.RUNNING
    texts: list[str] = field(default_factory=list)
    last_event_id: str = ""
    versions: set[int] = field(default_factory=set)
    failures: int = 0
    score_fails: int = 0
    signals: list[Signal] = field(default_factory=list)
    backoff_s: float = 0.0
    is_home_forgotten: bool = False
    is_stream_end_reported: bool = False
    acknowledgement: ReleaseAcknowledgement | FinalAcknowledgement | None = None
    task: asyncio.Task | None = None

    @classmethod
    def of(cls, run: str, record: AcquiredRecord, locked_until: float) -> AcquiredEntry:
        """Returns an entry that begins where the record says that earlier runs ended."""
        return cls(
            run,
            record,
            locked_until,
            record.offset,
            record.delivery_count,
            ScoredItem(record.item_id, record.scorer),
            texts=record.texts,
            last_event_id=record.last_event_id,
            versions=set(record.versions),
            failures=record.failures,
        )

    def key(self) -> tuple[str, str]:
        """Returns the batch job's and the item's id."""
        return self.record.job_id, self.record.item_id

    def acquisition(self) -> Acquisition:
        """Returns the acquisition that the worker holds."""
        return Acquisition(self.record.partition, self.offset, self.delivery_count)

    def drop_text(self) -> None:
        """Discards the text so far: the item starts over."""
        self.texts = []
        self.last_event_id = ""
        self.versions = set()

    def signal(self, kind: SignalKind, value: float = 0.0) -> None:
        """Notes for the leader what the run showed of its replica."""
        self.signals.append(Signal(kind, value))
