"""The simulated world: virtual time, incarnations that freeze and end, disks that lose unsynced data, cut links."""

import asyncio
import random

import pytest

from archhatch.rpc import CallError, Handlers, CallRefusedError
from archhatch.simulation.disk import SimulatedDisk
from archhatch.simulation.faults import FaultKind, Shape, draw_faults
from archhatch.simulation.loop import Incarnation, SimulationStuckError, VirtualLoop
from archhatch.simulation.network import SimulatedNetwork


@pytest.fixture
def loop():
    loop = VirtualLoop(random.Random(1))
    yield loop
    loop.shut([])


async def tick(loop, out, count):
    for _ in range(count):
        await asyncio.sleep(1)
        out.append(loop.time())


# -- the loop


def test_time_jumps_to_the_next_timer(loop):
    loop.run_until_complete(asyncio.sleep(3600))
    assert loop.time() == 3600


def test_a_frozen_incarnation_waits_for_its_thaw(loop):
    out, incarnation = [], Incarnation("a")
    loop.spawn(incarnation, tick(loop, out, 3))
    loop.call_outside(1.5, loop.freeze, incarnation)
    loop.call_outside(10, loop.thaw, incarnation)
    loop.run_until_complete(asyncio.sleep(20))
    assert out == [1, 10, 11]


def test_nothing_of_an_ended_incarnation_runs_again(loop):
    out, incarnation = [], Incarnation("a")
    loop.spawn(incarnation, tick(loop, out, 9))
    loop.call_outside(2.5, loop.end, incarnation)
    loop.run_until_complete(asyncio.sleep(20))
    assert out == [1, 2]


def test_a_loop_without_anything_to_do_says_so(loop):
    with pytest.raises(SimulationStuckError):
        loop.run_until_complete(asyncio.Event().wait())


def test_the_seed_mixes_incarnations_and_keeps_the_order_of_each():
    def order(seed):
        loop, out = VirtualLoop(random.Random(seed)), []
        for name in "ab":
            for at in range(8):
                Incarnation(name)
            incarnation = Incarnation(name)
            for at in range(8):
                loop.call_soon(out.append, f"{name}{at}", context=incarnation.context)
        loop.run_until_complete(asyncio.sleep(1))
        loop.shut([])
        return out

    one, other = order(1), order(2)
    assert one == order(1) != other
    assert [x for x in one if x[0] == "a"] == [f"a{at}" for at in range(8)]


# -- the disk


class Bench:
    """A disk and the moments of its calls."""

    def __init__(self, seed=1):
        self.now = 0.0
        self.disk = SimulatedDisk(random.Random(seed), lambda: self.now)
        self.disk.makedirs("/d")

    def write(self, path, data, sync=True, folder=True):
        handle = self.disk.open(path, create=True)
        self.disk.pwrite(handle, data, 0)
        if sync:
            self.disk.datasync(handle)
        if folder:
            self.disk.sync_folder("/d")
        return handle

    def read(self, path):
        if not self.disk.exists(path):
            return None
        handle = self.disk.open(path, create=False)
        return self.disk.pread(handle, 99, 0)


def after_power_loss(**options):
    """What is left of a file after a loss of power, over many seeds."""
    out = set()
    for seed in range(60):
        bench = Bench(seed)
        bench.write("/d/a", b"abcdef", **options)
        bench.disk.lose_power()
        out.add(bench.read("/d/a"))
    return out


def test_what_was_synced_outlives_a_loss_of_power():
    assert after_power_loss() == {b"abcdef"}


def test_what_was_not_synced_is_there_missing_or_torn():
    left = after_power_loss(sync=False)
    assert {b"", b"abcdef"} < left and None not in left


def test_a_name_without_a_sync_of_its_folder_may_be_lost():
    assert after_power_loss(folder=False) == {b"abcdef", None}


def test_a_removed_name_may_come_back():
    left = set()
    for seed in range(40):
        bench = Bench(seed)
        bench.write("/d/a", b"abc")
        bench.disk.remove("/d/a")
        bench.disk.lose_power()
        left.add(bench.read("/d/a"))
    assert left == {b"abc", None}


def test_the_death_of_a_process_leaves_what_was_written():
    bench = Bench()
    bench.write("/d/a", b"abc", sync=False, folder=False)
    bench.disk.kill()
    assert bench.read("/d/a") == b"abc"


def test_a_failed_sync_is_not_made_good_by_a_later_one():
    left = set()
    for seed in range(40):
        bench = Bench(seed)
        handle = bench.write("/d/a", b"", folder=True)
        bench.disk.pwrite(handle, b"abc", 0)
        bench.disk.failing_syncs = 1.0
        with pytest.raises(OSError):
            bench.disk.datasync(handle)
        bench.disk.failing_syncs = 0.0
        bench.disk.datasync(handle)
        bench.disk.lose_power()
        left.add(bench.read("/d/a"))
    assert b"" in left


@pytest.mark.parametrize(
    "fault, call",
    [
        ({"full": True}, lambda b: b.write("/d/a", b"x")),
        ({"failing_writes": 1.0}, lambda b: b.write("/d/a", b"x")),
        ({"failing_syncs": 1.0}, lambda b: b.write("/d/a", b"x")),
    ],
)
def test_a_disk_in_trouble_refuses(fault, call):
    bench = Bench()
    for name, value in fault.items():
        setattr(bench.disk, name, value)
    with pytest.raises(OSError):
        call(bench)


def test_calls_whose_moment_had_not_come_never_happened(loop):
    incarnation = Incarnation("a")
    disk = incarnation.disk = SimulatedDisk(random.Random(1), loop.time)
    disk.makedirs("/d")
    disk.stalled_until = 5.0

    async def write():
        await loop.run_in_executor(None, lambda: disk.pwrite(disk.open("/d/a", create=True), b"abc", 0))

    loop.spawn(incarnation, write())
    loop.run_until_complete(asyncio.sleep(1))
    disk.kill()
    assert not disk.exists("/d/a")


# -- the network


@pytest.fixture
def net(loop):
    return SimulatedNetwork(loop, random.Random(1))


def serve(net, host, incarnation, identity="me"):
    handlers, heard = Handlers(), []

    @handlers.on("echo")
    async def _echo(doc, body):
        heard.append(doc)
        return {"got": doc}, body

    @handlers.on("no")
    async def _no(doc, body):
        raise CallRefusedError(3003, "why")

    server = net.at(host, incarnation).server(handlers, None, None, lambda: identity)
    net.loop.run_until_complete(server.open(f"{host}:1"))
    return heard


def call(net, verb="echo", to="", timeout_s=1.0):
    return net.loop.run_until_complete(
        net.at("a").pool(None).to("b:1").call(verb, {"x": (1, 2)}, b"raw", timeout_s, to)
    )


def test_a_call_and_its_refusals(net):
    serve(net, "b", Incarnation("b"))
    assert call(net) == (1000, {"got": {"x": [1, 2]}}, b"raw")  # documents pass through the wire's form
    assert call(net, "no")[:2] == (3003, "why")
    assert call(net, "what")[0] == 2009
    assert call(net, to="other")[0] == 2008 and call(net, to="me")[0] == 1000


@pytest.mark.parametrize("source, target, heard", [("a", "b", 0), ("b", "a", 1)])
def test_a_cut_works_in_one_direction(net, source, target, heard):
    got = serve(net, "b", Incarnation("b"))
    net.cut(source, target)
    with pytest.raises(CallError):
        call(net)
    assert len(got) == heard
    net.heal(source, target)
    assert call(net)[0] == 1000


@pytest.mark.parametrize(
    "spoil, sent",
    [(lambda net, incarnation: net.loop.end(incarnation), False), (lambda net, incarnation: net.dark.add("b"), True)],
)
def test_a_dead_process_refuses_and_a_dark_machine_is_silent(net, spoil, sent):
    incarnation = Incarnation("b")
    serve(net, "b", incarnation)
    spoil(net, incarnation)
    with pytest.raises(CallError) as caught:
        call(net)
    assert caught.value.sent is sent


# -- schedules

EVERYONE = (FaultKind.KILL_ALL, FaultKind.POWER_LOSS_ALL, FaultKind.ROUGH_NETWORK)


@pytest.mark.parametrize("shape", [Shape(), Shape(6, 5, 2, 40.0)], ids=["3", "5"])
def test_no_more_machines_are_lost_at_once_than_may_be(shape):
    for seed in range(60):
        faults = [f for f in draw_faults(random.Random(seed), shape) if f.kind not in EVERYONE]
        for now in faults:
            lost = {f.slot for f in faults if f.at <= now.at < f.at + f.duration + shape.sync_s}
            assert len(lost) <= shape.tolerance
