"""The leader's answers to polls: what they carry is told again until the worker confirms it."""

import asyncio
from types import SimpleNamespace

import orjson
import pytest
from tests.support.fakes import HandClock

from archhatch.runtime import Counters, StateBoard
from archhatch.share_group.entry_fetcher import EntryFetcher
from archhatch.share_group.fetch import FetchHandler
from archhatch.share_group.leader_client import DONE_CODE, LeaderAddress
from archhatch.share_group.leader_session import LeaderSession
from archhatch.share_group.led_partitions import LedPartitions
from archhatch.share_group.lost_acquisitions import release_lost
from archhatch.share_group.messages import Cancellation, CancelReason
from archhatch.share_group.window import EntryState, SharePartition

ENDED = Cancellation("m", 0, 1, CancelReason.ENDED)


class Leader:
    """A leader of one run with one entry, which worker "w1" runs."""

    def __init__(self):
        self.batch_job = SimpleNamespace(job_id="lot1", model="m", is_ended=False)
        self.run = LedPartitions(SimpleNamespace(run="llm", term=3, batch_jobs={}), 0.0, lock_s=30.0, max_locks=200)
        self.window = self.run.windows["m"] = SharePartition("m", 3, lock_s=30.0, max_locks=200)
        self.entry = self.window.append(self.batch_job, SimpleNamespace(item_id="0-0", group="0", at=0), 0)
        self.run.entries["lot1"] = {"0-0": self.entry}
        self.host = SimpleNamespace(
            clock=HandClock(), state_board=StateBoard(), counters=Counters(), quiet_s=0.75, alive=lambda node_id: True
        )
        self.host.engines = SimpleNamespace(all={})
        led_runs = SimpleNamespace(find=lambda name, epoch: self.run, is_led=lambda name, run: True)
        self.batch = []
        acquisition = SimpleNamespace(acquire_batch=lambda run, worker, now: self.take_batch())
        self.handler = FetchHandler(self.host, led_runs, acquisition)
        self.polls = 0

    def take_batch(self):
        batch, self.batch = self.batch, []
        return batch

    def offer_entry(self):
        self.window.acquire(self.entry, "w1", self.host.clock.now())
        self.batch = [SimpleNamespace(entry=self.entry, document={})]

    async def poll(self, received=(), held=None, wait_s=0.0):
        self.polls += 1
        document = {"worker": "w1", "life": "l", "zone": "z", "lag": 0.0, "run": "llm", "epoch": 3, "poll": self.polls}
        document |= {"hold": wait_s, "off": [], "got": list(received), "holding": held}
        answer, _ = await self.handler.fetch(document)
        return [Cancellation(*row) for row in answer.get("drop", [])], answer.get("batch")


# Reward calls of an ended batch job ran for seconds at a store whose connections had been reset (review/3): the answer
# to the poll of the dead connection had taken the cancellations with it.
def test_cancellations_are_told_again_until_an_answer_that_carried_them_is_confirmed(run):
    async def go():
        leader = Leader()
        await leader.poll(held=[])
        leader.offer_entry()
        _, number = await leader.poll()
        lost = asyncio.ensure_future(leader.poll(received=[number], wait_s=0.7))  # its connection is reset
        await asyncio.sleep(0)
        leader.run.drop_job("lot1")
        leader.host.state_board.notify("share-worker:llm:w1")
        assert (await lost)[0] == [ENDED]
        cancellations, number = await leader.poll()
        assert cancellations == [ENDED] and number is not None
        assert await leader.poll(received=[number]) == ([], None)

    run(go())


def test_an_answer_confirms_only_the_cancellations_that_it_carried(run):
    async def go():
        leader = Leader()
        await leader.poll(held=[])
        worker = leader.run.workers["w1"]
        second = Cancellation("m", 7, 1, CancelReason.RECALL)
        worker.cancellations.append(ENDED)
        _, first_number = await leader.poll()
        worker.cancellations.append(second)
        cancellations, number = await leader.poll(received=[first_number])
        assert cancellations == [second]
        assert await leader.poll(received=[number]) == ([], None) and not worker.unconfirmed_cancellations

    run(go())


# A worker went on with entries that were taken from it while its polls did not arrive, beyond the end of their job.
@pytest.mark.parametrize("way", ["batch not confirmed", "attached without it"])
def test_a_worker_is_told_to_stop_what_is_taken_from_it(run, way):
    async def go():
        leader = Leader()
        await leader.poll(held=[])
        leader.offer_entry()
        _, number = await leader.poll()  # it arrives, and runs
        if way == "batch not confirmed":
            leader.host.clock.at += 0.8
            release_lost(leader.host, leader.run, leader.host.clock.now())
            cancellations, _ = await leader.poll(received=[number])
        else:
            cancellations, _ = await leader.poll(held=[])  # sent before it arrived
        assert (
            cancellations == [ENDED._replace(reason=CancelReason.EXPIRED)]
            and leader.entry.state is EntryState.AVAILABLE
        )

    run(go())


@pytest.mark.parametrize("age_s, confirmed, has_stopped", [(0.1, [9], True), (1.6, [], False)])
def test_a_worker_confirms_an_answer_only_if_it_took_it_up(run, age_s, confirmed, has_stopped):
    async def go():
        clock = HandClock()
        session = LeaderSession()
        session.follow(3)
        entry = SimpleNamespace(
            task=asyncio.ensure_future(asyncio.sleep(60)), key=lambda: ("lot1", "0-0"), acquisition=lambda: ENDED[:3]
        )
        session.entries[entry.key()] = entry
        session.must_reattach = False

        async def answer(*_):
            clock.at += age_s
            return DONE_CODE, {"drop": [list(ENDED)], "batch": 9}, orjson.dumps([])

        host = SimpleNamespace(clock=clock, counters=Counters(), state_board=StateBoard(), id="w1", incarnation="l")
        host.settings, host.timer_lag_s, host.quiet_s = SimpleNamespace(zone="z"), 0.0, 0.75
        fetcher = EntryFetcher(host, SimpleNamespace(call=answer), None, max_wait_s=0.75, max_batch_age_s=1.5)
        await fetcher._poll("llm", session, LeaderAddress(3, "s1", "1.1.1.1:7"))
        assert session.received_batches == confirmed and bool(entry.task.cancelling()) is has_stopped
        await fetcher._poll("llm", session, LeaderAddress(3, "s1", "1.1.1.1:7"))
        assert entry.task.cancelling() == has_stopped  # one that is told again stops nothing twice
        entry.task.cancel()

    run(go())
