"""The asking side of the news: a node asks a control node with its versions, and is answered when there is more."""

from __future__ import annotations

import asyncio
import random
from collections import deque

from ..rpc import CallError, is_misdirected
from .delta import apply_all
from .config_sources import ConfigSources, Verdict

NO_MAJORITY, NO_CONFIGURATION, DONE = 3003, 3001, 1000
TIMES_KEPT = 4  # answers whose time of day is compared
HURRY = 0.125  # of its usual time a question waits while a newer version is known to be out


class ConfigWatcher:
    """Keeps the newest parts and the roll in hand; never goes back in one life.

    >>> # reader = ConfigWatcher(settings, card, lines, state_board, clock, counters); await reader.run()
    """

    def __init__(self, settings, card, lines, state_board, clock, counters):
        self.settings, self.card, self.connections = settings, card, lines
        self.state_board, self.clock, self.counters = state_board, clock, counters
        self.port = settings.internal_ports[0]
        self.addrs = [f"{s.rsplit(':', 1)[0]}:{self.port}" for s in settings.seed_peers]
        random.shuffle(self.addrs)
        self.versions: dict[str, int] = {}
        self.shards: dict[str, dict] = {}
        self.replicas: dict[str, dict] = {}
        self.incarnation, self.registry_version = "", 0
        self.fresh_at = float("-inf")
        self.confirmed_at = float("-inf")  # when the last question was asked whose answer a serving node gave
        self._time_ahead: deque[float] = deque(maxlen=TIMES_KEPT)
        self._failed = False  # whether the last question had no answer
        self.hold_s = settings.seconds("ContactMs", 1 / 3)
        self.grace_s = settings.seconds("ContactMs", 0.2)  # how much longer than the question waits an answer may take
        self.sources = ConfigSources(self.hold_s)
        self.at = 0
        self.mine: list = []
        self.plan = None
        self.live = None
        self.live_totals: dict = {}
        self.successes_by_zone = (
            None  # gives the answers that came from replicas, by zone, while a placement policy is set
        )

    def agreed_time(self, steady: float) -> float | None:
        """The time of day, in seconds since 1970, at a point of this node's steady clock; None before the first news.

        An answer that was long on its way shows a time that is behind; the least delayed of the last ones counts.
        """
        return steady + max(self._time_ahead) if self._time_ahead else None

    def source_addresses(self) -> list:
        """The addresses of control nodes, the present source first."""
        return self.addrs[self.at :] + self.addrs[: self.at]

    async def run(self) -> None:
        """Ask, one question after the other."""
        while True:
            self._failed = not await self.ask_once()
            if self._failed:
                self.counters.add("news.refused")
                self.at = (self.at + 1) % len(self.addrs)
                await asyncio.sleep(random.uniform(0.02, 0.06))

    async def ask_once(self) -> bool:
        """Ask the present source and take up its answer; False if it gave none."""
        address, asked = self.addrs[self.at % len(self.addrs)], self.clock.now()
        hurry = self._failed or self.sources.hurried(self.versions, asked)
        hold = self.hold_s * (HURRY if hurry else 1.0)
        told = dict(self.sources.told)
        try:
            code, doc, _ = await self.call(address, "news", self._question(hold, asked), hold + self.grace_s)
        except CallError:
            return False
        if code != DONE:
            return False
        if self.clock.now() - asked > hold + self.grace_s:
            self.counters.add("news.asked_anew")  # this node stood still: the answer waited for it, and is old
            return True
        if self.accept_answer(address, doc, told) is Verdict.GOOD:
            self.confirmed_at = max(self.confirmed_at, asked)
        return True

    def _question(self, hold: float, now: float) -> dict:
        served = self.successes_by_zone(now) if self.successes_by_zone is not None else []
        doc = {
            "live": self.live.tally() if self.live is not None else {},
            "busy": sorted(self.live_totals),
            "who": self.card,
            "stamps": self.versions,
            "life": self.incarnation,
            "turn": self.registry_version,
            "hold": hold,
        }
        if served:
            doc["served"] = served
        return doc

    def accept_answer(self, address: str, doc: dict, told: dict) -> Verdict:
        """Fold an answer of a source, unless it is one of an ended life; leave the source if it is behind. What the
        answer shows of its source.

        told: the newest versions that had been told of when the question was asked.
        """
        verdict = Verdict.OLD_LIFE
        if self.sources.heed(address, doc):
            newest = {**{shard: got["stamp"] for shard, got in doc["parts"].items()}, **(doc.get("newest") or {})}
            self.apply_answer(doc)
            verdict = self.sources.judge(self.versions, told, newest)
        if verdict is not Verdict.GOOD:
            self.counters.add(f"news.{verdict.value}")
        after = self.sources.next_after(verdict, self.addrs, address, self.clock.now())
        if after in self.addrs:
            self.at = self.addrs.index(after)
        return verdict

    async def call(self, address: str, verb: str, doc: dict, timeout_s: float):
        """Call a control node by its id, where it is known; one that is another by now is asked again without."""
        node = self.sources.node(address)
        out = await self.connections.to(address).call(verb, doc, timeout_s=timeout_s, to=node)
        if node and is_misdirected(*out[:2]):
            self.counters.add("news.other_node")
            self.sources.forget(address)
        return out

    def apply_answer(self, doc: dict) -> None:
        """Take up one answer."""
        self.fresh_at = self.clock.now()
        if doc.get("time") is not None:
            self._time_ahead.append(doc["time"] - self.fresh_at)
        self.incarnation, self.registry_version = doc["life"], doc["turn"]
        here = self.addrs[self.at % len(self.addrs)]
        known = [a for a in doc["cores"]]
        if known:
            self.addrs = list(dict.fromkeys(known + ([here] if here not in known else [])))
            self.at = self.addrs.index(here)
        changed = False
        for shard, got in doc["parts"].items():
            changed = self._fold_part(shard, got) or changed
        if doc["busy"] != self.live_totals:
            self.live_totals = doc["busy"]
            self.state_board.notify("work")
        fresh = []
        for entry in doc["roll"]:
            old = self.replicas.get(entry["id"])
            if old is not None and (
                old["state"] == "gone"
                or (old["state"] == "draining" and entry["state"] == "up")
                or (entry["seq"] < old["seq"] and entry["state"] == old["state"])
            ):
                self.counters.add("news.late_entry")
                continue
            self.replicas[entry["id"]] = entry
            fresh.append(entry)
        if fresh:
            self.mine.extend(fresh)
            self.state_board.notify("roll")
        if changed:
            self.state_board.notify("parts")

    def _fold_part(self, shard: str, got: dict) -> bool:
        """Take up a register, whole or as the changes since the version that this node has; whether it is newer."""
        held = self.versions.get(shard, 0)
        if got["stamp"] <= held:
            self.counters.add("news.late_part")
            return False
        if "changes" not in got:
            value = got["val"]
        elif got["base"] == held:
            value = apply_all(self.shards[shard], got["changes"])
        else:
            self.counters.add("news.other_base")  # the next question names the version that is held
            return False
        self.versions[shard], self.shards[shard] = got["stamp"], value
        return True

    def take_changed_replicas(self) -> list:
        """Entries that came since the last call."""
        out, self.mine = self.mine, []
        return out

    async def run_command(self, shard: str, name: str, args: dict, timeout_s: float = 1.5):
        """Run a command on a part, through any control node: (code, document)."""
        for _ in range(2):
            for address in self.source_addresses():
                try:
                    code, doc, _ = await self.call(
                        address, "do", {"part": shard, "name": name, "args": args}, timeout_s
                    )
                except CallError:
                    continue
                if code not in (NO_CONFIGURATION, NO_MAJORITY) and not is_misdirected(code, doc):
                    return code, doc
        return NO_MAJORITY, None
