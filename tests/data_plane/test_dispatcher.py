"""What an edge that is about to end still takes."""

from types import SimpleNamespace

import pytest
from tests.support.fakes import HandClock

from archhatch.data_plane.admission import Admitted
from archhatch.data_plane.dispatcher import RequestDispatcher
from archhatch.data_plane.shutdown_window import ShutdownWindow
from archhatch.routing import RouteClass
from archhatch.runtime import Counters, Result, StateBoard

ROUTE = SimpleNamespace(kind=RouteClass.NON_IDEMPOTENT, allows_anonymous=True, timeout_s=6.0)


def dispatcher(clock):
    """A dispatcher of one route, and what it passes on."""
    passed_on = []

    async def pass_on(*_):
        passed_on.append(clock.now())
        return Result(200)

    it = RequestDispatcher(
        settings=None,
        state_board=StateBoard(),
        clock=clock,
        counters=Counters(),
        admission=SimpleNamespace(check=lambda *_: Admitted(None)),
        job_handlers=None,
        request_forwarder=SimpleNamespace(forward=pass_on),
        stream_relay=SimpleNamespace(relay=pass_on),
    )
    it.routing_table = SimpleNamespace(find_route=lambda host, path: ROUTE, has_tenants=False)
    return it, passed_on


# Orders that an edge took 3.5 s after its SIGTERM ran, and were cut off without an answer (review/2).
@pytest.mark.parametrize("kind", [RouteClass.NON_IDEMPOTENT, RouteClass.IDEMPOTENT, RouteClass.STREAMING])
@pytest.mark.parametrize(
    "at, deadline_ms, status",
    [(101.0, 6000, 200), (103.0, 6000, 503), (103.0, 3700, 200), (103.0, 3900, 503), (106.7, 200, 503)],
)
def test_an_ending_edge_takes_only_what_it_can_answer(run, kind, at, deadline_ms, status):
    async def go():
        clock = HandClock(at)
        it, passed_on = dispatcher(clock)
        ROUTE.kind = kind
        it.shutdown_window = ShutdownWindow(certain_from=102.6, ends_at=106.8)
        headers = {"Host": "h", "X-Archhatch-Request-Id": "r", "X-Archhatch-Deadline-Ms": str(deadline_ms)}
        request = SimpleNamespace(raw_path="/x/1", headers=headers, method="POST")
        result = await it.dispatch(request, b"")
        assert result.status == status and len(passed_on) == (status == 200)

    run(go())
