"""The calls that a store answers. Each names the store that it means; another than that one refuses it."""

from __future__ import annotations

from ..jobs import DeposedError
from ..jobs.record import pack_many, unpack_many
from ..rpc import Handlers, Refusal
from ..rollout_controller import LeadershipTerm
from ..wal import LogError


class StoreHandlers:
    """Registers the handlers of one store.

    >>> # StoreHandlers(store).register(Handlers())
    """

    def __init__(self, store):
        self.st = store

    def register(self, handlers: Handlers) -> None:
        """Put all verbs into a table of handlers."""
        verbs = {
            "store.ping": self._ping,
            "shelf.prepare": self._prepare,
            "shelf.append": self._append,
            "shelf.fetch": self._fetch,
            "shelf.lacks": self._lacks,
            "share.fetch": self._share_fetch,
            "share.commit": self._share_commit,
            "lot.put": self._put,
            "lot.read": self._read,
            "lot.item": self._item,
            "lot.end": self._end,
            "request.send": self.st.proxy.send,
            "usage.tell": self.st.usage.tell,
        }
        for verb, handler in verbs.items():
            handlers.on(verb)(self._addressed(handler))

    def _addressed(self, handler):
        async def checked(doc, body):
            if doc["to"] != self.st.id:
                self.st.ctr.add("call.other_life")
                raise Refusal(2008)
            try:
                return await handler(doc, body)
            except LogError:
                raise Refusal(3010) from None

        return checked

    # -- between stores

    async def _ping(self, doc, body):
        self.st.membership.cards.hear(doc["card"], self.st.clock.now())
        return self.st.membership.word().doc()

    async def _prepare(self, doc, body):
        st = self.st
        out = await st.disk.watch(st.shelf.prepare(doc["run"], doc["term"]))
        reign = st.reigns.get(doc["run"])
        if out["ok"] and reign is not None and reign.term < doc["term"]:
            reign.over()
        return out

    async def _append(self, doc, body):
        if not self.st.ready:
            raise Refusal(3004)
        return await self.st.disk.watch(self.st.shelf.append(unpack_many(body)))

    async def _fetch(self, doc, body):
        return None, pack_many(self.st.shelf.fetch(doc["lot"], doc["poss"], doc["want_lot"]))

    async def _lacks(self, doc, body):
        return lacks(self.st, doc["lot"])

    # -- share groups

    async def _share_fetch(self, doc, body):
        return await self.st.leader.fetch(doc)

    async def _share_commit(self, doc, body):
        return await self.st.leader.commit(doc, body)

    # -- batches of work, for edges

    def _reign_of(self, lid: str) -> LeadershipTerm:
        reigns = self.st.reigns.values()
        if any(lid in reign.pending for reign in reigns if reign.state == "holding"):
            raise Refusal(3004)
        for reign in reigns:
            if lid in reign.lots and reign.state == "holding":
                return reign
        if any(reign.state == "reading" for reign in reigns):
            raise Refusal(3004)
        raise Refusal(2007)

    def _signed(self, reign: LeadershipTerm) -> dict:
        """What an answer says of its giver, so that another's answer is not taken for the holder's."""
        return {"run": reign.run, "me": self.st.id, "term": reign.term}

    async def _put(self, doc, body):
        reign = self.st.reigns.get(doc["run"])
        if reign is None or reign.state != "holding" or self.st.leaving or reign.term < doc["term"]:
            raise Refusal(3004 if may_be_taken(self.st, doc["run"], doc["lot"]) else 3005)
        if doc["lot"] in reign.pending:
            raise Refusal(3004)
        if doc["lot"] not in reign.lots and not self.st.membership.admits(doc["lot"], len(body)):
            raise Refusal(3004 if may_be_taken(self.st, doc["run"], doc["lot"]) else 3008)
        try:
            await reign.put(doc, body)
        except DeposedError:
            reign.over()
            raise Refusal(3004) from None
        return self._signed(reign)

    async def _read(self, doc, body):
        reign = self._reign_of(doc["lot"])
        page = await reign.read(doc["lot"], doc["after"], doc["hold"])
        if page is None:
            raise Refusal(3004)
        return self._signed(reign), page

    async def _item(self, doc, body):
        reign = self._reign_of(doc["lot"])
        if not reign.fresh():
            raise Refusal(3004)
        raw = reign.item(doc["lot"], doc["item"])
        if raw is None:
            raise Refusal(2007, "item")
        return self._signed(reign), raw

    async def _end(self, doc, body):
        reign = self._reign_of(doc["lot"])
        try:
            await reign.end(doc["lot"])
        except DeposedError:
            reign.over()
            raise Refusal(3004) from None
        return self._signed(reign)


def lacks(store, lid: str) -> dict:
    """Whether a lot is not here, and who else may have it as far as this store knows."""
    return {
        "me": store.id,
        "lacks": store.ready and lid not in store.shelf.lots,
        "stores": {sid: {"zone": member["zone"]} for sid, member in store.members().items()},
    }


def may_be_taken(store, run: str, lid: str) -> bool:
    """Whether an earlier copy of a call that hands in this lot may have been taken, or may still be, as far as this
    store can know: then a refusal must not promise that it was not."""
    reign = store.reigns.get(run)
    if lid in store.shelf.lots or any(lid in other.offered or lid in other.lots for other in store.reigns.values()):
        return True
    return reign is not None and reign.state == "reading"
