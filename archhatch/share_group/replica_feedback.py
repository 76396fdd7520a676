"""What the leader learns of replicas from the runs of their items."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .hosts import LeaderHost
from .messages import Acknowledgement, SignalKind
from .window import ShareEntry

if TYPE_CHECKING:
    from ..rollout_controller.engines import Engine

DOUBT_BACKOFF_GAPS = 0.4  # in replica_pause_s: until an order's outcome is cleared up, in most cases
FULL_BACKOFF_GAPS = 0.2  # in replica_pause_s: until one of a full replica's streams has ended, in most cases
REJECTIONS = frozenset({SignalKind.DOUBT, SignalKind.FULL})
PACE_WEIGHT = 0.1  # weight of the newest run in the moving mean of the pace


class ReplicaFeedback:
    """Judges health, versions and pace of the replicas in one place, for all workers.

    Attributes:
        host: What is used of the node.
    """

    def __init__(self, host: LeaderHost) -> None:
        self.host = host

    def apply(self, entry: ShareEntry, acknowledgement: Acknowledgement) -> None:
        """Applies the signals of one run to its replica, unless the replica is gone."""
        host = self.host
        now = host.clock.now()
        engine = host.engines.all.get(acknowledgement.engine_id)
        if engine is None:
            return
        for kind, value in acknowledgement.signals:
            if kind == SignalKind.PACE:
                engine.seconds_per_event += PACE_WEIGHT * (value - engine.seconds_per_event)
            elif kind == SignalKind.VERSION:
                engine.record_revision(entry.batch_job.model, int(value))
            elif kind == SignalKind.GONE:
                host.engines.remove(engine.instance_id)
                return
            elif kind in REJECTIONS:
                self._back_off(engine, kind, now)
            else:
                if kind == SignalKind.SERVED and host.placement.policy is not None:
                    host.load_balancer.last_answer_at[engine.service, engine.zone] = now  # its region is alive
                engine.health.record(kind, now, value)

    def _back_off(self, engine: Engine, kind: str, now: float) -> None:
        """Sends a replica that rejected an item nothing for a moment."""
        backoff_gaps = FULL_BACKOFF_GAPS
        if kind == SignalKind.DOUBT:
            self.host.orders.verify_replica(engine)
            backoff_gaps = DOUBT_BACKOFF_GAPS
        engine.paused_until = now + self.host.replica_pause_s() * backoff_gaps
