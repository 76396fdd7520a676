"""Pings between control nodes: who is there, what it holds, and what it heard of replicas and stores."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

FORGOTTEN = 4.0  # times the time after which a node counts as silent: it is not told of to others any more
SLOWEST_PING = 3.0  # times the usual pause between pings, to a node that has long been silent


@dataclass(frozen=True, slots=True)
class PeerReport:
    """What one life of another control node has been told: the turns up to which it knows replicas and stores, and the
    control nodes that were named to it."""

    incarnation: str
    heartbeats: int = 0
    stores: int = 0
    others: tuple = ()


NOTHING_TOLD = PeerReport("")


class Peers:
    """Keeps pinging the other control nodes, and folds what they tell.

    >>> # peers = Peers(node); peers.start(); doc = peers.ping_document("10.0.0.2:7380")
    """

    def __init__(self, node):
        self.node = node
        self.reports: dict[str, PeerReport] = {}  # address -> what the node there has surely taken up
        self.leaving: set = set()  # nodes that said that they are about to end
        self._disk_fails_since: dict[str, float] = {}
        seeds = {f"{seed.rsplit(':', 1)[0]}:{node.settings.internal_ports[0]}" for seed in node.settings.seed_peers}
        self._seeds = seeds - {node.address}
        self._watched = {node.address} | seeds

    def start(self) -> None:
        """Ping the seeds; others are found through them."""
        for address in sorted(self._seeds):
            self.node.task_group.run_forever("ping", self.ping_loop, address)

    def watch(self, address: str) -> None:
        """Ping an address from now on."""
        if address not in self._watched:
            self._watched.add(address)
            self.node.task_group.run_forever("ping", self.ping_loop, address)

    # -- what is told

    def ping_document(self, address: str | None) -> dict:
        """What a ping, or its answer (no address), tells."""
        node, now = self.node, self.node.clock.now()
        doc = {
            "card": node.card(),
            "life": node.incarnation,
            "stamps": node.registers.versions(),
            "accepted": node.registers.accepted(),
            "leaving": node.leaving,
            "takes": node.disk_takes(),
            "wall": node.clock.wall_time(),
        }
        if address is None:
            return {**doc, "others": self._others()}
        told = self.reports.get(address, NOTHING_TOLD)
        if self._names(others := self._others()) != told.others:
            doc["others"] = others
        if node.regions.served:
            doc["served"] = node.regions.words()
        doc["live"] = node.live.edge_totals(now)
        doc["stores"] = node.stores.changes_since(told.stores, now)
        doc["roll"], doc["turn"] = node.registry.heartbeats_since(told.heartbeats, now), node.registry.heartbeat_version
        return doc

    def _others(self) -> list:
        """Cards of the control nodes that were heard not too long ago."""
        node, now = self.node, self.node.clock.now()
        heard = node.quiet_s * FORGOTTEN
        return [card for i, card in node.cores.cards.items() if node.cores.silence_s(i, now) < heard]

    def _names(self, cards: list) -> tuple:
        return tuple(sorted(card["id"] for card in cards))

    def announce(self) -> None:
        """Ping all at once: this node has something to say that cannot wait, as that it will end."""
        for card in list(self.node.cores.cards.values()):
            self.node.task_group.spawn("announce", self._ping, card["addr"])

    def spread_commit(self, shard: str, version: int, proposal_number) -> None:
        """Tell all that a state was chosen. Who has accepted it needs no copy of it, others fetch it."""
        doc = {"part": shard, "stamp": version, "ballot": list(proposal_number or ()), "addr": self.node.address}
        for card in list(self.node.cores.cards.values()):
            self.node.task_group.spawn("commit", self.node.call, card["addr"], "part.commit", doc, None, card["id"])

    # -- what is heard

    def merge_ping(self, doc: dict) -> bool:
        """Take up a ping or its answer; True if it was told in short of replicas that are not known here."""
        node, now = self.node, self.node.clock.now()
        self._heed_card(doc["card"], now)
        self._heed_leaving(doc["card"]["id"], doc.get("leaving", False))
        self.note_disk_health(doc["card"]["id"], doc.get("takes", True))
        for other in doc.get("others", []) + [doc["card"]]:
            if other["id"] != node.id and other["addr"] != node.address:
                if other["id"] not in node.cores.cards and not self._at(other["addr"]):
                    node.cores.update_card(other)
                self.watch(other["addr"])
        lack = self.merge_replicas(doc.get("roll") or [])
        lack = self._take_stores(doc.get("stores") or [], now) or lack
        if "live" in doc:
            self.merge_live_totals(doc["card"]["id"], doc["live"])
        node.regions.heed(doc.get("served", ()))
        for shard in node.registers.told_chosen(doc["stamps"]):
            node.task_group.spawn("hear", self.fetch_state, doc["card"]["addr"], shard, doc["card"]["id"])
        return lack

    def _heed_card(self, card: dict, now: float) -> None:
        node = self.node
        fresh = card["id"] not in node.cores.cards
        for old in [i for i in self._at(card["addr"]) if i != card["id"]]:
            node.cores.forget(old)  # another life stands at its address
            node.agreed_time.forget(old)
            node.contact.forget(old)
            self.leaving.discard(old)
        node.cores.record_contact(card, now)
        if fresh:
            node.log.info("control node {} at {} is known", card["id"], card["addr"])
            node.state_board.notify("news")

    def _heed_leaving(self, node_id: str, leaving: bool) -> None:
        if leaving and node_id not in self.leaving:
            self.leaving.add(node_id)
            self.node.state_board.notify("tend")  # its place in the groups is to be taken before it ends
        elif not leaving:
            self.leaving.discard(node_id)

    def note_disk_health(self, node_id: str, takes: bool) -> None:
        """Whether a node's disk takes records, by its own word."""
        if takes:
            self._disk_fails_since.pop(node_id, None)
        else:
            self._disk_fails_since.setdefault(node_id, self.node.clock.now())

    def disk_fails_for(self, node_id: str) -> float:
        """Seconds since a node first said that its disk takes no records; 0 if it does."""
        now = self.node.clock.now()
        return now - self._disk_fails_since.get(node_id, now)

    def _at(self, address: str) -> list:
        return [i for i, card in self.node.cores.cards.items() if card["addr"] == address]

    def merge_live_requests(self, edge: str, live: dict) -> None:
        """Live requests that an edge told of here, by service."""
        self._fold_live(self.node.live.record_edge, edge, live)

    def merge_live_totals(self, node_id: str, live: dict) -> None:
        """Live requests that another control node was told of, by service."""
        self._fold_live(self.node.live.record_node, node_id, live)

    def _fold_live(self, put, teller: str, live: dict) -> None:
        node, now = self.node, self.node.clock.now()
        before = set(node.live.totals(now))
        put(teller, live, now)
        if set(node.live.totals(now)) != before:
            node.state_board.notify("news")

    def _take_stores(self, sightings: list, now: float) -> bool:
        """Fold when others heard of stores; True if one is named by its id alone and not known here."""
        stores, lack = self.node.stores, False
        for word, age in sightings:
            if isinstance(word, dict):
                stores.record_contact(word, now - age)
            else:
                lack = not stores.record_sighting(word, now - age) or lack
        return lack

    def merge_replicas(self, entries: list) -> bool:
        """Fold what another control node told of replicas; True if something in short form is not known here."""
        node, now = self.node, self.node.clock.now()
        turn, lack = node.registry.version, False
        for short in entries:
            entry = node.registry.expand(short)
            if entry is None:
                lack = True
                continue
            entry = dict(entry)
            age = entry.pop("age", 0.0)
            entry.pop("silent", None)
            node.registry.record_heartbeat(entry, now - age)
        if node.registry.version != turn:
            node.state_board.notify("news")
        return lack

    async def fetch_state(self, address: str, shard: str, node_id: str) -> None:
        """Ask a node for a newer chosen state that it told of."""
        state = await self.node.call(address, "part.hear", {"part": shard}, None, node_id)
        if state is not None:
            self.node.registers.learn(shard, state)

    # -- pings

    async def ping_loop(self, address: str) -> None:
        """Ping an address for good; one that does not answer less often."""
        node, silent_since = self.node, None
        while True:
            answered = await self._ping(address)
            now = node.clock.now()
            silent_since = None if answered else silent_since or now
            slower = (
                1.0 if silent_since is None else min(SLOWEST_PING, 1 + (now - silent_since) * node.heartbeat_interval_s)
            )
            await asyncio.sleep(node.heartbeat_interval_s * slower * random.uniform(0.9, 1.1))

    def _note_time(self, out: dict, sent_at: float) -> None:
        """Fold the time of day that an answer shows: of the middle between its question and its arrival."""
        now = self.node.clock.now()
        self.node.agreed_time.record_clock(self.node.id, self.node.clock.wall_time(), now)
        if "wall" in out:
            self.node.agreed_time.record_clock(out["card"]["id"], out["wall"], (sent_at + now) / 2)

    async def _ping(self, address: str) -> bool:
        node = self.node
        turn, stores, sent_at = node.registry.heartbeat_version, node.stores.version, node.clock.now()
        others = self._names(self._others())
        out = await node.call(address, "core.ping", self.ping_document(address))
        node.check_serving()  # a loss of contact is seen before the answer hides it, as after a freeze
        if out is None:
            self.reports.pop(address, None)
            return False
        node.contact.record_answer(out["card"]["id"], sent_at, out.get("accepted", {}))
        self._note_time(out, sent_at)
        self.merge_ping(out)
        node.check_serving()
        # one that started anew since was told the rest in another life: it is told all again
        anew = out["lack"] or self.reports.get(address, PeerReport(out["life"])).incarnation != out["life"]
        self.reports[address] = PeerReport(out["life"]) if anew else PeerReport(out["life"], turn, stores, others)
        return True
