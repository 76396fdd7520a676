"""What an edge that is about to end still takes."""

from types import SimpleNamespace

import orjson
import pytest
from tests.support.fakes import HandClock
from tests.support.standins import batch_job

from archhatch.data_plane.admission import Admitted
from archhatch.data_plane.dispatcher import RequestDispatcher
from archhatch.data_plane.shutdown_window import ShutdownWindow
from archhatch.jobs import InvalidJobError, check_job
from archhatch.routing import RouteClass, RoutingTable
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


LIVE = {"HostName": "live", "RouteClass": "idempotent", "Service": "s"}
HOSTS = {
    "Revision": 1,
    "ServiceTable": [{"Name": "s"}],
    "RouteTable": [
        {**LIVE, "Name": "all", "PathPrefix": "/"},
        {**LIVE, "Name": "some", "HostName": "other", "PathPrefix": "/x/"},
        {**LIVE, "Name": "jobs", "HostName": "trainers", "PathPrefix": "/roll/", "RouteClass": "rollout"},
        {**LIVE, "Name": "beside", "HostName": "trainers", "PathPrefix": "/"},
    ],
}


@pytest.mark.parametrize(
    "host, path, is_job_call",
    [
        ("trainers", "/api/lots/a?StartAfter=0", True),
        ("trainers:80", "/api/items/a", True),
        ("trainers", "/api/other", False),
        ("live", "/api/lots/a", False),  # a route's request like any other: its prefix covers it
        ("live:80", "/api/items/a", False),
        ("other", "/api/lots/a", True),  # a job whose route is gone is still read
        ("nowhere", "/api/lots/a", True),
    ],
)
def test_calls_about_jobs_are_taken_where_jobs_are_and_no_route_covers_them(run, clock, host, path, is_job_call):
    """Guards against a service's own paths under /api/lots/ being answered by the edge."""

    async def handle(*_):
        return Result(204)

    async def go():
        it, passed_on = dispatcher(clock)
        it._job_handlers = SimpleNamespace(handle=handle)
        it.routing_table = RoutingTable.from_document(HOSTS)
        request = SimpleNamespace(raw_path=path, headers={"Host": host}, method="GET")
        assert (await it.dispatch(request, b"")).status == (204 if is_job_call else 200)
        assert bool(passed_on) is not is_job_call

    run(go())


@pytest.mark.parametrize(
    "target, status",
    [
        ("/quote/../other/26", 400),
        ("/quote/%2e%2E/other", 400),
        ("/quote/.%2e/other?x", 400),
        ("/quote/..%2fother", 400),
        ("/quote/..\\other", 400),
        ("/quote/..", 400),
        ("/quote/./x", 400),
        ("/api/lots/../x", 400),
        ("/quote/a%2Fb//c?x=/../", 200),
        ("/quote/.../..a", 200),
    ],
)
def test_dot_segments_are_refused_before_a_route_is_chosen(run, clock, target, status):
    """Guards against a replica that resolves them, and serves what the request's route did not allow."""

    async def go():
        it, passed_on = dispatcher(clock)
        it.routing_table = RoutingTable.from_document(HOSTS)
        request = SimpleNamespace(raw_path=target, headers={"Host": "live"}, method="GET")
        assert (await it.dispatch(request, b"")).status == status and len(passed_on) == (status == 200)

    run(go())


@pytest.mark.parametrize("field", ["Path", "ScorerUrl"])
def test_items_with_dot_segments_are_refused(field):
    job = batch_job(groups=1)
    item = job["Entries"][1]
    (item if field == "Path" else item["ScorerUrl"])["Path"] = "/roll/../q/1"
    with pytest.raises(InvalidJobError, match=r"Entries\[1\].*dot segment"):
        check_job("l", orjson.dumps(job))
