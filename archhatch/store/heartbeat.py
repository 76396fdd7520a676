"""What a store tells others of itself in the answer to each ping."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Leading:
    """A run that a store leads, or takes over: under which term, for how long it has made no progress, and which
    departing stores' copies it does not need any more."""

    term: int
    idle_s: float
    spared: tuple = ()


@dataclass(frozen=True)
class HeartbeatStatus:
    """A store's word about itself.

    promised: the terms that it promised, by run; None while it has not learned all of them and proves nothing.
    leads: None from a store that does not say what it leads.

    >>> word = HeartbeatStatus(card={"id": "a"}, promised={"r": 2}, leads={"r": Leading(2, 0.5, ("b",))})
    >>> HeartbeatStatus.read(word.doc()) == word
    True
    """

    card: dict
    promised: dict | None = None
    lag: float = 0.0
    takes: bool = True  # its disk takes new records
    roomy: bool = True  # there is room for new lots as well
    departing: bool = False  # it is about to end: copies must not count on it
    oldest_write_s: float = 0.0
    leads: dict[str, Leading] | None = field(default_factory=dict)
    demand: dict[str, float] = field(default_factory=dict)  # service -> places that the runs led here need

    def doc(self) -> dict:
        """The document that goes over the wire."""
        leads = (
            None
            if self.leads is None
            else {run: [lead.term, round(lead.idle_s, 3), list(lead.spared)] for run, lead in self.leads.items()}
        )
        return {
            "card": self.card,
            "promised": self.promised,
            "lag": self.lag,
            "takes": self.takes,
            "roomy": self.roomy,
            "departing": self.departing,
            "oldest_write_s": self.oldest_write_s,
            "leads": leads,
            "demand": self.demand,
        }

    @classmethod
    def read(cls, doc: dict) -> HeartbeatStatus:
        """The word in a document; a store of an earlier version says less."""
        leads = doc.get("leads")
        if leads is not None:
            leads = {run: Leading(term, idle_s, tuple(spared)) for run, (term, idle_s, spared) in leads.items()}
        return cls(
            doc["card"],
            doc["promised"],
            doc["lag"],
            doc.get("takes", True),
            doc.get("roomy", True),
            doc.get("departing", False),
            doc.get("oldest_write_s", 0.0),
            leads,
            doc.get("demand", {}),
        )
