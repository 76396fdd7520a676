"""The asking side of a part: runs commands on the register under a ballot that it keeps while nobody objects."""
from __future__ import annotations

import asyncio
import random

import orjson

from .group import covers, members


class Unclear(Exception):
    """No majority answered: what was asked may have been taken, or not."""


class Proposer:
    """Runs commands on one part, several at a time in one round.

    ask(addr, verb, doc) calls another node (or this one) and gives its answer, or None.

    >>> # code, doc = await owner.do("plan.get", {}); raises Unclear
    """

    def __init__(self, part, me, commands, ask, base, publish, counters, secs=1.0):
        self.part, self.me, self.commands = part, me, commands
        self._ask, self._base, self._publish, self.ctr = ask, base, publish, counters
        self.secs = secs
        self.lead: tuple | None = None
        self.state: dict | None = None
        self.settled = False
        self.top = 0
        self._inbox: list = []
        self._busy = asyncio.Lock()
        self._late: set = set()

    async def do(self, name: str, args: dict):
        """Run a command; its code and document once a majority stands behind them."""
        fut = asyncio.get_running_loop().create_future()
        self._inbox.append((name, args, fut))
        async with self._busy:
            if not fut.done():
                jobs, self._inbox = self._inbox, []
                await self._serve(jobs)
        return fut.result()

    async def regroup(self, voters: dict) -> bool:
        """Change the group, one step at a time, through a state that both groups must accept."""
        async with self._busy:
            if not await self._hold():
                return False
            if self.state["prev"]:
                if not await self._accept({**self.state, "prev": None, "stamp": self.state["stamp"] + 1}):
                    return False
            if voters and voters != self.state["voters"]:
                old = self.state["voters"]
                if not await self._accept({**self.state, "voters": voters, "prev": old,
                                           "stamp": self.state["stamp"] + 1}):
                    return False
                return await self._accept({**self.state, "prev": None, "stamp": self.state["stamp"] + 1})
            return self.settled or await self._accept(self.state)

    async def _hold(self) -> bool:
        for _ in range(3):
            if self.lead is not None or await self._prepare():
                return True
            await asyncio.sleep(self.secs * random.uniform(0.02, 0.12))
        return False

    async def _serve(self, jobs: list) -> None:
        for _ in range(3):
            if not await self._hold():
                break
            val = orjson.loads(orjson.dumps(self.state["val"]))
            outs, did = [], False
            for name, args, _ in jobs:
                code, doc, changed = self.commands.run(val, name, args)
                outs.append((code, doc))
                did = did or changed
            if did:
                ok = await self._accept({**self.state, "val": val, "stamp": self.state["stamp"] + 1})
            elif not self.settled:
                ok = await self._accept(self.state)
            else:
                ok = await self._confirm()
            if ok:
                for (_, _, fut), out in zip(jobs, outs):
                    if not fut.done():
                        fut.set_result(out)
                return
        for _, _, fut in jobs:
            if not fut.done():
                fut.set_exception(Unclear(self.part))

    async def _poll(self, targets: dict, verb: str, doc: dict, enough) -> dict:
        """Ask all targets at once; the answers by id, as soon as there are enough or one refuses."""
        tasks = {asyncio.ensure_future(self._ask(addr, verb, {"part": self.part, **doc})): vid
                 for vid, addr in targets.items()}
        got: dict = {}
        wait = set(tasks)
        end = asyncio.get_running_loop().time() + self.secs
        while wait and not enough(got):
            left = end - asyncio.get_running_loop().time()
            if left <= 0:
                break
            done, wait = await asyncio.wait(wait, timeout=left, return_when=asyncio.FIRST_COMPLETED)
            for t in done:
                ans = t.result()
                if ans is not None and ans.get("me") != tasks[t]:
                    self.ctr.add("part.other_life")
                elif ans is not None:
                    got[tasks[t]] = ans
                    if not ans.get("ok"):
                        self.top = max(self.top, ans["promised"][0])
            if any(not a.get("ok") for a in got.values()):
                break
        for t in wait:
            self._late.add(t)
            t.add_done_callback(self._late.discard)
        return got

    async def _prepare(self) -> bool:
        base = self._base()
        if base is None:
            return False
        self.top += 1
        ballot = (self.top, self.me)
        seen, best, best_ballot, yes = base, base, (0, ""), {}
        for _ in range(4):
            cfg = seen
            got = await self._poll({k: v for k, v in members(cfg).items() if k not in yes}, "part.prepare",
                                   {"ballot": ballot}, lambda g: covers(set(g) | set(yes), cfg))
            if any(not a["ok"] for a in got.values()):
                self.ctr.add("part.lost_race")
                return False
            yes.update(got)
            for ans in yes.values():
                if ans["state"] is not None:
                    rank = (tuple(ans["ballot"]), ans["state"]["stamp"])
                    if rank[0] > best_ballot or (rank[0] == best_ballot and rank[1] > best["stamp"]):
                        best, best_ballot = ans["state"], rank[0]
            if not covers(set(yes), cfg):
                return False
            if covers(set(yes), best):
                break
            seen = best
        else:
            return False
        if best["stamp"] < base["stamp"]:
            return False
        self.lead, self.state, self.settled = ballot, best, False
        self.ctr.add("part.lead")
        return True

    async def _accept(self, state: dict) -> bool:
        before, ballot = self.state, self.lead
        got = await self._poll(members(state) | members(before), "part.accept", {"ballot": ballot, "state": state},
                               lambda g: covers(set(g), state) and covers(set(g), before))
        yes = {k for k, a in got.items() if a["ok"]}
        if covers(yes, state) and covers(yes, before):
            self.state, self.settled = state, True
            self._publish(self.part, state)
            return True
        self.lead, self.settled = None, False
        self.ctr.add("part.accept_failed")
        return False

    async def _confirm(self) -> bool:
        got = await self._poll(members(self.state), "part.confirm", {"ballot": self.lead},
                               lambda g: covers(set(g), self.state))
        if covers({k for k, a in got.items() if a["ok"]}, self.state):
            return True
        self.lead, self.settled = None, False
        return False
