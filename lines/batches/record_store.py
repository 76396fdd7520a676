"""What one store keeps: records by lot and the terms that it promised to runs. Synced before it is answered."""
from __future__ import annotations


from .record import Record, pack, unpack


class RecordStore:
    """All records on this store.

    >>> # shelf = RecordStore(book, clock, ctr); shelf.load(raws); ok = await shelf.append(term, recs)
    """

    def __init__(self, book, clock, ctr):
        self.book, self.clock, self.ctr = book, clock, ctr
        self.id = ""
        self.promised: dict[str, int] = {}
        self.lots: dict[str, dict] = {}
        self.windows: dict[tuple, list] = {}   # (run, partition) -> its newest snapshot and the deltas behind it
        self.ticks: dict[str, tuple] = {}    # run -> the newest (term, seconds of that term) that a record bears
        self.noted: dict[str, dict] = {}     # run -> replica -> (term, seconds of that term) of its last intent to order
        self.orders: dict[str, dict] = {}   # run -> replica -> when the last intent to order came here

    def load(self, raws: list) -> None:
        for raw in raws:
            rec = unpack(raw)
            k = rec.head["k"]
            if k == "I":
                self.id = rec.head["id"]
            elif k == "P":
                self._promise(rec.head["run"], rec.head["term"])
            else:
                if "term" in rec.head:
                    self._promise(rec.head["run"], rec.head["term"])
                self._apply(rec)

    def _promise(self, run: str, term: int) -> bool:
        if term > self.promised.get(run, 0):
            self.promised[run] = term
            return True
        return False

    def _entry(self, lid: str, run: str) -> dict:
        ent = self.lots.get(lid)
        if ent is None:
            ent = self.lots[lid] = {"run": run, "lot": None, "results": {}, "end": None, "at": self.clock.now()}
        return ent

    def _apply(self, rec: Record) -> bool:
        """Put a record in its place; False if one as good stands there."""
        h = rec.head
        if "t" in h:
            self.ticks[h["run"]] = max(self.ticks.get(h["run"], (0, 0.0)), (h["term"], h["t"]))
        if h["k"] == "O":
            self.orders.setdefault(h["run"], {})[h["iid"]] = self.clock.now()
            if "t" in h:
                self.noted.setdefault(h["run"], {})[h["iid"]] = (h["term"], h["t"])
            return True
        if h["k"] in ("S", "U"):
            return self._apply_window(rec)
        ent = self._entry(h["lot"], h["run"])
        if h["k"] == "L":
            if ent["lot"] is not None:
                return False
            ent["lot"] = rec
        elif h["k"] == "E":
            if ent["end"] is not None:
                return False
            ent["end"] = rec
        else:
            old = ent["results"].get(h["pos"])
            if old is not None and old.head["term"] >= h["term"]:
                return False
            ent["results"][h["pos"]] = rec
        return True

    def _apply_window(self, rec: Record) -> bool:
        """A newer snapshot deletes what lay before it; a delta stands only behind its own snapshot."""
        h = rec.head
        have = self.windows.get((h["run"], h["part"]))
        if h["k"] == "S":
            if have and (have[0].head["term"], have[0].head["se"]) >= (h["term"], h["se"]):
                return False
            self.windows[h["run"], h["part"]] = [rec]
            return True
        if not have or (have[0].head["term"], have[0].head["se"]) != (h["term"], h["se"]) \
                or any(r.head["n"] == h["n"] for r in have[1:]):
            return False
        have.append(rec)
        return True

    async def prepare(self, run: str, term: int) -> dict:
        """Promise a run's new holder to take nothing from older ones; tells what is here of the run."""
        if term < self.promised.get(run, 0):
            self.ctr.add("shelf.prepare_refused")
            return {"ok": False, "promised": self.promised[run]}
        fresh = [pack(Record({"k": "P", "run": run, "term": term}))] if self._promise(run, term) else []
        lots = {}
        for lid, ent in self.lots.items():
            if ent["run"] == run:
                lots[lid] = {"lot": ent["lot"] is not None, "end": ent["end"] is not None,
                             "results": [[p, r.head["term"], r.head["item"]] for p, r in ent["results"].items()]}
        # what is told must be on the disk, also when the promise stood before: others count on these copies
        await self.book.append(*fresh)
        if self.promised[run] != term:
            return {"ok": False, "promised": self.promised[run]}
        now = self.clock.now()
        windows = [[r.head, r.body.decode()] for (of, _), recs in self.windows.items() if of == run for r in recs]
        last = self.orders.get(run, {})
        return {"ok": True, "lots": lots, "windows": windows, "orders": {i: now - at for i, at in last.items()},
                "noted": {i: at for i, at in self.noted.get(run, {}).items() if i in last},
                "tick": self.ticks.get(run)}

    async def append(self, recs: list) -> list:
        """Take records, each under its run's term; the answer says for each whether it is here and synced."""
        out, fresh = [], []
        for rec in recs:
            run, term = rec.head["run"], rec.head["by"]
            if term < self.promised.get(run, 0):
                self.ctr.add("shelf.stale_term")
                out.append(False)
                continue
            if self._promise(run, term):
                fresh.append(pack(Record({"k": "P", "run": run, "term": term})))
            kept = Record({k: v for k, v in rec.head.items() if k != "by"}, rec.body)
            if self._apply(kept):
                fresh.append(pack(kept))
            out.append(True)
        # also when nothing is new: an earlier copy may still be on its way to the disk
        await self.book.append(*fresh)
        return out

    def fetch(self, lid: str, poss: list, lot: bool) -> list:
        """Records of a lot that are here."""
        ent = self.lots.get(lid)
        if ent is None:
            return []
        out = [ent["lot"]] if lot and ent["lot"] is not None else []
        if ent["end"] is not None:
            out.append(ent["end"])
        return out + [ent["results"][p] for p in poss if p in ent["results"]]

    def forget(self, lids, order_s: float) -> None:
        """Lots that nobody may ask for any more, and intents to order that are older than order_s."""
        now = self.clock.now()
        for run, last in self.orders.items():
            self.orders[run] = {i: at for i, at in last.items() if now - at <= order_s}
            self.noted[run] = {i: at for i, at in self.noted.get(run, {}).items() if i in self.orders[run]}
        for lid in lids:
            self.lots.pop(lid, None)

    def snapshot(self) -> list[bytes]:
        """All that is kept, for a rewritten book."""
        out = [pack(Record({"k": "I", "id": self.id}))]
        out += [pack(Record({"k": "P", "run": r, "term": t})) for r, t in self.promised.items()]
        for run, last in self.orders.items():
            for iid in last:
                head = {"k": "O", "lot": "", "run": run, "iid": iid}
                if iid in self.noted.get(run, {}):
                    head["term"], head["t"] = self.noted[run][iid]
                out.append(pack(Record(head)))
        out += [pack(r) for recs in self.windows.values() for r in recs]
        for ent in self.lots.values():
            for rec in [ent["lot"], ent["end"], *ent["results"].values()]:
                if rec is not None:
                    out.append(pack(rec))
        return out

    def size(self) -> int:
        return sum(len(r.body) + 200 for e in self.lots.values() for r in [e["lot"], *e["results"].values()]
                   if r is not None)


