"""What a store knows to be on its disk: records by lot, windows, orders, and the terms that it promised to runs."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from .record import Kind, Record, pack, unpack

OVERHEAD = 200  # bytes reckoned for a record besides its body


class RecordState:
    """Acknowledged state only: nothing gets here before its sync has returned.

    >>> # state.load(raws); state.standing(record); state.apply(record); raws = state.snapshot()
    """

    def __init__(self, clock):
        self.clock = clock
        self._clear()

    def _clear(self) -> None:
        self.id = ""
        self.promised_terms: dict[str, int] = {}
        self.batch_jobs: dict[str, dict] = {}
        self.windows: dict[tuple, list] = {}  # (run, partition) -> its newest snapshot and the deltas behind it
        self.strays: dict[tuple, list] = {}  # (run, partition) -> deltas whose snapshot is not here
        self.ticks: dict[str, tuple] = {}  # run -> the newest (term, seconds of that term) that a record bears
        self.noted: dict[str, dict] = {}  # run -> replica -> (term, seconds of it) of its last intent to order
        self.order_intents: dict[str, dict] = {}  # run -> replica -> when the last intent to order was synced here

    def load(self, raws: Iterable[bytes]) -> None:
        """Take up the records of a log."""
        for raw in raws:
            record = unpack(raw)
            kind = record.head["k"]
            if kind == Kind.IDENTITY:
                self.id = record.head["id"]
                continue
            if "term" in record.head:
                self._promise(record.head["run"], record.head["term"])
            if kind != Kind.PROMISE:
                self._tick(record.head)
                if not self.standing(record):
                    self.apply(record)

    def _promise(self, run: str, term: int) -> None:
        self.promised_terms[run] = max(term, self.promised_terms.get(run, 0))

    def _tick(self, head: dict) -> None:
        if "t" in head:
            self.ticks[head["run"]] = max(self.ticks.get(head["run"], (0, 0.0)), (head["term"], head["t"]))

    # -- records

    def standing(self, record: Record) -> bool:
        """Whether this record, or one as good, is here."""
        kind, head = record.head["k"], record.head
        if kind == Kind.SNAPSHOT:
            have = self.windows.get((head["run"], head["part"]))
            return bool(have) and have[0].epoch() >= record.epoch()
        if kind == Kind.UPDATE:
            return self._update_stands(record)
        entry = self.batch_jobs.get(head["lot"])
        if entry is None or kind == Kind.ORDER:
            return False
        if kind == Kind.RESULT:
            old = entry["results"].get(head["pos"])
            return old is not None and old.rank() >= record.rank()
        return entry["lot" if kind == Kind.LOT else "end"] is not None

    def _update_stands(self, record: Record) -> bool:
        """A delta is superseded by a newer snapshot, and held behind its own one, or until that comes."""
        place = record.head["run"], record.head["part"]
        have = self.windows.get(place, [])
        if have and have[0].epoch() > record.epoch():
            return True
        return any(other.place() == record.place() for other in have[1:] + self.strays.get(place, []))

    def apply(self, record: Record) -> None:
        """Put a record that is on the disk, and does not stand yet, in its place."""
        kind, head = record.head["k"], record.head
        self._tick(head)
        if kind == Kind.ORDER:
            self.order_intents.setdefault(head["run"], {})[head["iid"]] = self.clock.now()
            if "t" in head:
                self.noted.setdefault(head["run"], {})[head["iid"]] = (head["term"], head["t"])
        elif kind == Kind.SNAPSHOT:
            self._apply_snapshot(record)
        elif kind == Kind.UPDATE:
            place = head["run"], head["part"]
            have = self.windows.get(place)
            ours = have and have[0].epoch() == record.epoch()
            (have if ours else self.strays.setdefault(place, [])).append(record)
        else:
            self._apply_to_lot(record)

    def _apply_snapshot(self, record: Record) -> None:
        """A newer snapshot deletes what lay before it; deltas that came ahead of it take their place behind it."""
        place = record.head["run"], record.head["part"]
        strays = self.strays.pop(place, [])
        self.windows[place] = [record, *(s for s in strays if s.epoch() == record.epoch())]
        later = [s for s in strays if s.epoch() > record.epoch()]
        if later:
            self.strays[place] = later

    def _apply_to_lot(self, record: Record) -> None:
        kind, head = record.head["k"], record.head
        entry = self.batch_jobs.get(head["lot"])
        if entry is None:
            entry = self.batch_jobs[head["lot"]] = {
                "run": head["run"],
                "lot": None,
                "results": {},
                "end": None,
                "at": self.clock.now(),
                "bytes": 0,
            }
        if kind == Kind.RESULT:
            old = entry["results"].get(head["pos"])
            entry["bytes"] -= 0 if old is None else len(old.body) + OVERHEAD
            entry["results"][head["pos"]] = record
        else:
            entry["lot" if kind == Kind.LOT else "end"] = record
        entry["bytes"] += len(record.body) + OVERHEAD

    # -- what others ask for

    def describe_run(self, run: str) -> dict:
        """What is here of a run, for its new holder."""
        batch_jobs = {}
        for job_id, entry in self.batch_jobs.items():
            if entry["run"] == run:
                results = [[pos, r.head["term"], r.head["item"]] for pos, r in entry["results"].items()]
                batch_jobs[job_id] = {
                    "lot": entry["lot"] is not None,
                    "end": entry["end"] is not None,
                    "results": results,
                }
        now, last = self.clock.now(), self.order_intents.get(run, {})
        windows = [[r.head, r.body.decode()] for r in self._window_records(run)]
        return {
            "lots": batch_jobs,
            "windows": windows,
            "orders": {iid: now - at for iid, at in last.items()},
            "noted": {iid: at for iid, at in self.noted.get(run, {}).items() if iid in last},
            "tick": self.ticks.get(run),
        }

    def _window_records(self, run: str | None = None) -> list[Record]:
        return [
            record
            for kept in (self.windows, self.strays)
            for (of, _), records in kept.items()
            if run is None or of == run
            for record in records
        ]

    def fetch(self, job_id: str, poss: list, batch_job: bool) -> list[Record]:
        """Records of a lot that are here."""
        entry = self.batch_jobs.get(job_id)
        if entry is None:
            return []
        out = [entry["lot"]] if batch_job and entry["lot"] is not None else []
        if entry["end"] is not None:
            out.append(entry["end"])
        return out + [entry["results"][pos] for pos in poss if pos in entry["results"]]

    # -- what is kept

    def forget(self, lids, order_s: float) -> None:
        """Drop lots that nobody may ask for any more, and intents to order that are older than order_s."""
        now = self.clock.now()
        for run, last in self.order_intents.items():
            self.order_intents[run] = {iid: at for iid, at in last.items() if now - at <= order_s}
            self.noted[run] = {iid: at for iid, at in self.noted.get(run, {}).items() if iid in self.order_intents[run]}
        for job_id in lids:
            self.batch_jobs.pop(job_id, None)

    def snapshot(self) -> Iterator[bytes]:
        """All that is kept, for a rewritten log. Gathered now; packed as it is taken, also in another thread."""
        heads = [{"k": Kind.IDENTITY, "id": self.id}]
        heads += [{"k": Kind.PROMISE, "run": run, "term": term} for run, term in self.promised_terms.items()]
        for run, last in self.order_intents.items():
            noted = self.noted.get(run, {})
            for iid in last:
                at = dict(zip(("term", "t"), noted[iid], strict=True)) if iid in noted else {}
                heads.append({"k": Kind.ORDER, "lot": "", "run": run, "iid": iid, **at})
        records = [Record(head) for head in heads] + self._window_records()
        for entry in self.batch_jobs.values():
            records += [r for r in (entry["lot"], entry["end"], *entry["results"].values()) if r is not None]
        return (pack(record) for record in records)

    def size(self) -> int:
        """Bytes that the lots' records come to."""
        return sum(entry["bytes"] for entry in self.batch_jobs.values())
