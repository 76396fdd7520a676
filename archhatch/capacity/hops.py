"""Ways hop by hop: a configuration everywhere, new weights on all replicas; also while a region is cut off."""

from __future__ import annotations

import math
from dataclasses import dataclass

from .needs import need

NEVER = math.inf


@dataclass(frozen=True, slots=True)
class Hop:
    """landed and built: seconds at the worst of 100; None where that way has no such hop."""

    what: str
    landed: float | None
    built: float | None


@dataclass(frozen=True, slots=True)
class Way:
    name: str
    bound: float
    hops: tuple

    def sums(self) -> tuple:
        """Seconds in all: as landed, and with what is to be built.

        >>> Way("w", 3.0, (Hop("a", 1.0, None), Hop("b", 1.0, 0.5))).sums()
        (2.0, 0.5)
        """
        return sum(h.landed or 0.0 for h in self.hops), sum(h.built or 0.0 for h in self.hops)


def _agree(q) -> float:
    """A round of the owner's: to the voters and back, synced there."""
    return 2 * q.s.wan_s + q.s.sync_s


def _told(q) -> list:
    s = q.s
    answers = q.readers * q.at("news.plan", s.routes)
    return [
        Hop(
            "the state to all control nodes: each told by the owner; built: down a tree of regions, two deep",
            s.wan_s,
            2 * s.wan_s,
        ),
        Hop("built only: the region's control node to a relay in each zone", None, s.lan_s),
        Hop(
            "waiting questions for news are answered, one after another, whole, encoded once for all; built: a delta",
            s.lan_s + answers,
            s.lan_s + q.at("news.plan", 1),
        ),
        Hop(
            "the edge reads it and makes it ready",
            q.at("plan.make", s.routes) + q.half_call,
            q.at("plan.make", s.routes) + q.half_call,
        ),
    ]


def change(q) -> Way:
    """A configuration, from the operator's call to the last edge."""
    s = q.s
    return Way(
        "a configuration everywhere",
        s.change_all_s,
        tuple(
            [
                Hop("the operator's call reaches a control node", s.wan_s, s.wan_s),
                Hop("it hands it to the part's owner", s.wan_s, s.wan_s),
                Hop("the owner checks and merges it", q.at("command.patch", s.routes), q.at("command.patch", s.routes)),
                Hop("a majority of the voters takes it, synced", _agree(q), _agree(q)),
                *_told(q),
            ]
        ),
    )


def change_cut(q) -> Way:
    """The same right after a region with the owner and the caller's node was cut off, to all nodes outside it."""
    s, quiet = q.s, q.s.contact_s / 4
    before = [
        Hop("the operator's call to the cut node has no answer within a second: the next node", 1.0, 1.0),
        Hop(
            "the silent owner passes for gone (ContactMs/4); the call that went to it times out (0.4 ContactMs)",
            quiet + 0.4 * s.contact_s,
            quiet + 0.4 * s.contact_s,
        ),
        Hop("the next owner of the part has a majority promise (up to three tries)", 3 * _agree(q), 3 * _agree(q)),
    ]
    return Way(
        "a configuration everywhere outside a region that was just cut off with the owner",
        s.change_all_s,
        tuple(before + list(change(q).hops)),
    )


def change_healed(q) -> Way:
    """What the region that was cut off lacks, from its healing on."""
    s, beat = q.s, q.s.contact_s / 15
    return Way(
        "the newest configuration in a region that was cut off, from its healing on",
        s.change_all_s,
        (
            Hop("the next ping to it (at most 3 beats apart), dialled anew", 3.3 * beat + 0.6, 3.3 * beat + 0.6),
            Hop("stamps differ: the state is asked for", 4 * s.wan_s, 4 * s.wan_s),
            *_told(q)[1:],
        ),
    )


def _waves_landed(q, replicas: float) -> int:
    """Loads at once start at a sixth of the engines that the store knows, all of the roll, and grow by 0.34 for each
    one done as fast as the best."""
    room, left, waves = max(2.0, q.s.replicas / need("rollout_controller.load_concurrency", "LEAST")), replicas, 0
    while left > 0:
        left -= int(room)
        room = min(room + 0.34 * int(room), replicas)
        waves += 1
    return waves


def _waves_built(q, spent: float, each: float) -> int:
    """As many waves as the loads seen leave room for, one at least; a tenth of the time is kept back."""
    return max(1, int((0.9 * q.s.weights_all_s - spent) / each))


def _times(n: int) -> str:
    return "1 wave" if n == 1 else f"{n} waves"


def _named(q) -> list:
    s = q.s
    return [
        Hop("the trainer's call reaches a control node, and the part's owner", 2 * s.wan_s, 2 * s.wan_s),
        Hop("a majority of the voters takes it, synced", _agree(q), _agree(q)),
        Hop(
            "the news of it reaches the holder's control node and the holder", s.wan_s + s.lan_s, 2 * s.wan_s + s.lan_s
        ),
    ]


def _ordered(q, before: list, grown: bool) -> list:
    s = q.s
    once = s.wan_s * 2 + s.sync_s  # an intent noted by a second store
    seen = 0.15 * s.load_s + 2 * s.wan_s  # a report that shows it
    trip = 2 * s.wan_s + seen
    spent = sum(h.built or 0.0 for h in before) + once
    waves = _waves_built(q, spent, trip + s.load_s)
    landed = 1 if grown else _waves_landed(q, q.of_service)
    return [
        Hop(
            f"orders to the {q.of_service:.0f} replicas of a service: as landed {_times(landed)}, each an intent, an "
            f"order and a report; built: {_times(waves)} of {100 / waves:.0f}%, one record of intents for each, noted "
            "meanwhile",
            landed * (once + trip),
            once + waves * trip,
        ),
        Hop(f"the loads themselves, {s.load_s:g} s each wave", landed * s.load_s, waves * s.load_s),
    ]


def weights(q) -> Way:
    """New weights by a holder that has not learnt yet how many loads go at once: it begins with a share of engines."""
    before = _named(q)
    hops = tuple(before + _ordered(q, before, False))
    return Way("new weights on all replicas, by a new holder", q.s.weights_all_s, hops)


def weights_grown(q) -> Way:
    """The same by a holder that learnt that all may load at once."""
    before = _named(q)
    return Way(
        "new weights on all replicas, by a holder that learnt that all may load at once",
        q.s.weights_all_s,
        tuple(before + _ordered(q, before, True)),
    )


def weights_cut(q) -> Way:
    """The same while a region is cut off that held the holder and one more store."""
    s, quiet = q.s, q.s.contact_s / 4
    before = _named(q) + [
        Hop(
            "the silent holder passes for gone; the next store claims the tenure",
            quiet + s.contact_s / 15 + 2 * s.wan_s + _agree(q),
            quiet + s.contact_s / 15 + 2 * s.wan_s + _agree(q),
        ),
        Hop(
            f"all stores but {s.tolerate} must promise (FaultTolerance.Machines); built: all but as many of the "
            "five of a partition, in five regions",
            _agree(q) if s.tolerate >= 2 else NEVER,
            _agree(q),
        ),
        Hop(
            "replicas with a recent intent are left alone for 4/3 of LeaseMs (the others are ordered from meanwhile)",
            s.lease_s * 4 / 3,
            s.lease_s * 4 / 3,
        ),
    ]
    return Way(
        "new weights on all replicas outside a region that was just cut off with the holder and one more store",
        s.weights_all_s,
        tuple(before + _ordered(q, before, False)),
    )


WAYS = (change, change_cut, change_healed, weights, weights_grown, weights_cut)
