"""Clients that do not behave: no process ends or uses more than its machine has, and ordinary callers get answers.

Each test starts processes of its own and checks nothing that depends on the machine's speed.
"""

import asyncio
import contextlib
import itertools

import pytest
from tests.crowds.clients import (
    batch_job,
    batch_jobs_and_resets,
    bodies_and_resets,
    body_in_chunks,
    body_piece_by_piece,
    body_with_length,
    chunked_status,
    crowd,
    job_body,
    nothing,
    ordinary_status,
    requests_ahead,
    slow_body,
    unread_answer,
)
from tests.crowds.deployment import LARGE_ANSWER_MARK, small_system

MAX_BODY_BYTES = 32 << 20
LARGE_BYTES = 30_000_000
TARGET = "/quote/1"

FRONT_CROWDS = {
    "large bodies whole": (10, lambda: body_with_length(TARGET, LARGE_BYTES)),
    "large bodies but for a byte": (10, lambda: body_with_length(TARGET, LARGE_BYTES, missing=1)),
    "large bodies piece by piece": (10, lambda: body_piece_by_piece(TARGET, LARGE_BYTES, missing=1)),
    "large bodies of requests that run once": (10, lambda: body_with_length("/order/1", LARGE_BYTES, missing=1)),
    "large chunks": (10, lambda: body_in_chunks(TARGET, LARGE_BYTES, 65_000)),
    "large chunks to the end": (10, lambda: body_in_chunks(TARGET, LARGE_BYTES, 65_000, is_ended=True)),
    "small chunks": (60, lambda: body_in_chunks(TARGET, 2_000_000, 1)),
    "slow ends": (150, lambda: slow_body(TARGET, 1_000_000, missing=40)),
    "requests sent ahead": (40, lambda: requests_ahead(TARGET, 100, 200_000)),
    "answers unread": (30, lambda: unread_answer(f"/quote{LARGE_ANSWER_MARK}1")),
    "streams unread": (100, lambda: unread_answer("/talk/1")),
    "resets within bodies": (
        40,
        lambda: bodies_and_resets(TARGET, 300_000, itertools.cycle([200_000, 300_000]), 400),
    ),
    "resets behind batch jobs": (8, lambda: batch_jobs_and_resets(job_body(100_000, 75), 30)),
    "batch jobs": (8, lambda: batch_job(job_body(200_000, 75))),
    "large batch jobs that do not deflate": (4, lambda: batch_job(job_body(300_000, 75, is_random=True))),
}


def play(scenario, **options):
    """Plays a scenario on a system of its own, and checks the bounds of its processes."""

    async def go():
        async with small_system(**options) as (system, watch):
            await scenario(system)
            assert watch.broken_bounds() == []

    asyncio.run(go())


@pytest.mark.parametrize("name", FRONT_CROWDS)
def test_a_crowd_at_the_front(name):
    size, make_script = FRONT_CROWDS[name]

    async def scenario(system):
        async with crowd(system.front(), size, make_script()):
            assert await ordinary_status(system.front()) == 200

    play(scenario)


@pytest.mark.parametrize("job_id, is_random", [(None, False), (None, True), ("one-job", False), ("one-job", True)])
def test_a_crowd_of_batch_jobs_at_several_edges(job_id, is_random):
    async def scenario(system):
        async with contextlib.AsyncExitStack() as crowds:
            script = batch_job(job_body(200_000, 75, is_random), job_id)
            scripts = [crowd(system.front(edge), 3, script) for edge in range(1, system.edge_count + 1)]
            await asyncio.gather(*(crowds.enter_async_context(one) for one in scripts))
            assert await ordinary_status(system.front()) == 200

    play(scenario, edge_count=6)


@pytest.mark.parametrize("method, target", [("GET", "/api/readiness"), ("POST", "/other")])
def test_a_crowd_at_the_readiness_address(method, target):
    async def scenario(system):
        async with crowd(system.readiness(), 10, body_with_length(target, LARGE_BYTES, missing=1, method=method)):
            assert await ordinary_status(system.front()) == 200

    play(scenario)


@pytest.mark.parametrize("method, target", [("PUT", "/api/config"), ("PUT", "/api/instances/i-1"), ("GET", "/other")])
def test_a_crowd_at_a_control_node(method, target):
    async def scenario(system):
        address = system.control_addresses[0]
        async with crowd(address, 10, body_with_length(target, LARGE_BYTES, missing=1, method=method)):
            assert await ordinary_status(system.front()) == 200

    play(scenario)


def test_all_crowds_at_once():
    async def scenario(system):
        crowds = [crowd(system.front(), size, make_script()) for size, make_script in FRONT_CROWDS.values()]
        crowds.append(crowd(system.readiness(), 10, body_with_length("/other", LARGE_BYTES, missing=1)))
        crowds.append(crowd(system.front(), 600, nothing))
        async with contextlib.AsyncExitStack() as entered:
            await asyncio.gather(*(entered.enter_async_context(one) for one in crowds))
            assert await ordinary_status(system.front()) == 200

    play(scenario)


def test_more_connections_than_descriptors():
    async def scenario(system):
        async with crowd(system.front(), 700, nothing):
            assert await ordinary_status(system.front()) == 200

    play(scenario, max_fds=512)


@pytest.mark.parametrize("target", ["/quote/1", "/order/1"])
def test_the_largest_request_is_served_in_calm(target):
    async def scenario(system):
        assert await ordinary_status(system.front(), target, bytes(MAX_BODY_BYTES)) == 200

    play(scenario)


@pytest.mark.parametrize("chunk_bytes", [1 << 16, 64])
def test_the_largest_chunked_request_is_served_in_calm(chunk_bytes):
    async def scenario(system):
        assert await chunked_status(system.front(), MAX_BODY_BYTES, chunk_bytes) == 200

    play(scenario)


def test_two_of_the_largest_requests_at_once_are_both_served():
    async def scenario(system):
        body = bytes(MAX_BODY_BYTES)
        statuses = await asyncio.gather(*(ordinary_status(system.front(), TARGET, body) for _ in range(2)))
        assert statuses == [200, 200]

    play(scenario)
