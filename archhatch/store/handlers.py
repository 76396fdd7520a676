"""The calls that a store answers. Each names the store that it means; another than that one refuses it."""

from __future__ import annotations

from ..jobs import DeposedError
from ..jobs.record import pack_many, unpack_many
from ..rpc import Handlers, CallRefusedError
from ..rollout_controller import LeadershipTerm
from ..wal import LogError


class StoreHandlers:
    """Registers the handlers of one store.

    >>> # StoreHandlers(store).register(Handlers())
    """

    def __init__(self, store):
        self.store = store

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
            "request.send": self.store.proxy.send,
            "usage.tell": self.store.usage.tell,
        }
        for verb, handler in verbs.items():
            handlers.on(verb)(self._addressed(handler))

    def _addressed(self, handler):
        async def checked(doc, body):
            if doc["to"] != self.store.id:
                self.store.counters.add("call.other_life")
                raise CallRefusedError(2008)
            try:
                return await handler(doc, body)
            except LogError:
                raise CallRefusedError(3010) from None

        return checked

    # -- between stores

    async def _ping(self, doc, body):
        self.store.membership.cards.record_contact(doc["card"], self.store.clock.now())
        return self.store.membership.word().doc()

    async def _prepare(self, doc, body):
        store = self.store
        out = await store.disk.watch(store.record_store.prepare(doc["run"], doc["term"]))
        leadership = store.leaderships.get(doc["run"])
        if out["ok"] and leadership is not None and leadership.term < doc["term"]:
            leadership.step_down()
        return out

    async def _append(self, doc, body):
        if not self.store.ready:
            raise CallRefusedError(3004)
        return await self.store.disk.watch(self.store.record_store.append(unpack_many(body)))

    async def _fetch(self, doc, body):
        return None, pack_many(self.store.record_store.fetch(doc["lot"], doc["poss"], doc["want_lot"]))

    async def _lacks(self, doc, body):
        return lacks(self.store, doc["lot"])

    # -- share groups

    async def _share_fetch(self, doc, body):
        return await self.store.leader.fetch(doc)

    async def _share_commit(self, doc, body):
        return await self.store.leader.commit(doc, body)

    # -- batches of work, for edges

    def _reign_of(self, job_id: str) -> LeadershipTerm:
        leaderships = self.store.leaderships.values()
        if any(job_id in leadership.pending_jobs for leadership in leaderships if leadership.state == "holding"):
            raise CallRefusedError(3004)
        for leadership in leaderships:
            if job_id in leadership.batch_jobs and leadership.state == "holding":
                return leadership
        if any(leadership.state == "reading" for leadership in leaderships):
            raise CallRefusedError(3004)
        raise CallRefusedError(2007)

    def _signed(self, leadership: LeadershipTerm) -> dict:
        """What an answer says of its giver, so that another's answer is not taken for the holder's."""
        return {"run": leadership.run, "me": self.store.id, "term": leadership.term}

    async def _put(self, doc, body):
        leadership = self.store.leaderships.get(doc["run"])
        if leadership is None or leadership.state != "holding" or self.store.leaving or leadership.term < doc["term"]:
            raise CallRefusedError(3004 if may_be_taken(self.store, doc["run"], doc["lot"]) else 3005)
        if doc["lot"] in leadership.pending_jobs:
            raise CallRefusedError(3004)
        if doc["lot"] not in leadership.batch_jobs and not self.store.membership.admits(doc["lot"], len(body)):
            raise CallRefusedError(3004 if may_be_taken(self.store, doc["run"], doc["lot"]) else 3008)
        try:
            await leadership.accept_job(doc, body)
        except DeposedError:
            leadership.step_down()
            raise CallRefusedError(3004) from None
        return self._signed(leadership)

    async def _read(self, doc, body):
        leadership = self._reign_of(doc["lot"])
        page = await leadership.read_results(doc["lot"], doc["after"], doc["hold"])
        if page is None:
            raise CallRefusedError(3004)
        return self._signed(leadership), page

    async def _item(self, doc, body):
        leadership = self._reign_of(doc["lot"])
        if not leadership.is_confirmed():
            raise CallRefusedError(3004)
        raw = leadership.item_payload(doc["lot"], doc["item"])
        if raw is None:
            raise CallRefusedError(2007, "item")
        return self._signed(leadership), raw

    async def _end(self, doc, body):
        leadership = self._reign_of(doc["lot"])
        try:
            await leadership.end_job(doc["lot"])
        except DeposedError:
            leadership.step_down()
            raise CallRefusedError(3004) from None
        return self._signed(leadership)


def lacks(store, job_id: str) -> dict:
    """Whether a lot is not here, and who else may have it as far as this store knows."""
    return {
        "me": store.id,
        "lacks": store.ready and job_id not in store.record_store.batch_jobs,
        "stores": {sid: {"zone": member["zone"]} for sid, member in store.members().items()},
    }


def may_be_taken(store, run: str, job_id: str) -> bool:
    """Whether an earlier copy of a call that hands in this lot may have been taken, or may still be, as far as this
    store can know: then a refusal must not promise that it was not."""
    leadership = store.leaderships.get(run)
    if job_id in store.record_store.batch_jobs or any(
        job_id in other.offered_jobs or job_id in other.batch_jobs for other in store.leaderships.values()
    ):
        return True
    return leadership is not None and leadership.state == "reading"
