"""The asking side of the news: a node asks a control node with its stamps, and is answered when there is more."""
from __future__ import annotations

import asyncio
import random

from ..rpc import CallError


class Newsreader:
    """Keeps the newest parts and the roll in hand; never goes back in one life.

    >>> # reader = Newsreader(boot, card, lines, board, clock, ctr); await reader.run()
    """

    def __init__(self, boot, card, lines, board, clock, ctr):
        self.boot, self.card, self.lines = boot, card, lines
        self.board, self.clock, self.ctr = board, clock, ctr
        self.port = boot.ports[0]
        self.addrs = [f"{s.rsplit(':', 1)[0]}:{self.port}" for s in boot.seeds]
        random.shuffle(self.addrs)
        self.stamps: dict[str, int] = {}
        self.parts: dict[str, dict] = {}
        self.roll: dict[str, dict] = {}
        self.life, self.turn = "", 0
        self.fresh_at = float("-inf")
        self.hold_s = boot.secs("ContactMs", 1 / 3)
        self.at = 0
        self.mine: list = []
        self.plan = None
        self.live = None
        self.busy: dict = {}
        self.proved = None   # gives the answers that came from replicas, by zone, while a placement policy is set

    def candidates(self) -> list:
        return self.addrs[self.at:] + self.addrs[:self.at]

    async def run(self) -> None:
        while True:
            addr = self.addrs[self.at % len(self.addrs)]
            served = self.proved(self.clock.now()) if self.proved is not None else []
            more = {"served": served} if served else {}
            try:
                code, doc, _ = await self.lines.to(addr).call(
                    "news", {"live": self.live.tally() if self.live is not None else {},
                             "busy": sorted(self.busy), "who": self.card, "stamps": self.stamps, "life": self.life, "turn": self.turn,
                             "hold": self.hold_s, **more}, secs=self.hold_s + self.boot.secs("ContactMs", 0.2))
            except CallError:
                code, doc = 3003, None
            if code != 1000:
                self.ctr.add("news.refused")
                self.at = (self.at + 1) % len(self.addrs)
                await asyncio.sleep(random.uniform(0.02, 0.06))
                continue
            self.fold(doc)

    def fold(self, doc: dict) -> None:
        """Take up one answer."""
        self.fresh_at = self.clock.now()
        self.life, self.turn = doc["life"], doc["turn"]
        here = self.addrs[self.at % len(self.addrs)]
        known = [a for a in doc["cores"]]
        if known:
            self.addrs = list(dict.fromkeys(known + ([here] if here not in known else [])))
            self.at = self.addrs.index(here)
        changed = False
        for part, got in doc["parts"].items():
            if got["stamp"] > self.stamps.get(part, 0):
                self.stamps[part], self.parts[part] = got["stamp"], got["val"]
                changed = True
            else:
                self.ctr.add("news.late_part")
        if doc["busy"] != self.busy:
            self.busy = doc["busy"]
            self.board.touch("work")
        fresh = []
        for ent in doc["roll"]:
            old = self.roll.get(ent["id"])
            if old is not None and (old["state"] == "gone" or (old["state"] == "draining" and ent["state"] == "up")
                                    or (ent["seq"] < old["seq"] and ent["state"] == old["state"])):
                self.ctr.add("news.late_entry")
                continue
            self.roll[ent["id"]] = ent
            fresh.append(ent)
        if fresh:
            self.mine.extend(fresh)
            self.board.touch("roll")
        if changed:
            self.board.touch("parts")

    def take_roll(self) -> list:
        """Entries that came since the last call."""
        out, self.mine = self.mine, []
        return out

    async def do(self, part: str, name: str, args: dict, secs: float = 1.5):
        """Run a command on a part, through any control node: (code, document)."""
        for _ in range(2):
            for addr in self.candidates():
                try:
                    code, doc, _ = await self.lines.to(addr).call(
                        "do", {"part": part, "name": name, "args": args}, secs=secs)
                except CallError:
                    continue
                if code not in (3001, 3003):
                    return code, doc
        return 3003, None
