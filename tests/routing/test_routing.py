import copy

import pytest

from archhatch.control.config_commands import commands
from archhatch.routing import InvalidConfigError, RoutingTable, read_configuration
from archhatch.routing.patch import merge

ROUTE = {
    "Name": "r1",
    "HostName": "h.example",
    "PathPrefix": "/a/",
    "RouteClass": "idempotent",
    "TimeoutMs": 1500,
    "TargetLatencyMs": 200,
    "Priority": 2,
    "Service": "s1",
    "MaxAttempts": 2,
}
GOOD = {
    "Revision": 3,
    "RouteTable": [ROUTE, {**ROUTE, "Name": "r2", "PathPrefix": "/a/b/", "Service": "s2"}],
    "ServiceTable": [{"Name": "s1", "HealthPath": "/health", "MaxConnections": 5, "New": 1}, {"Name": "s2"}],
    "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 100},
}


def changed(function):
    doc = copy.deepcopy(GOOD)
    function(doc)
    return doc


BAD = {
    "unknown service": lambda d: d["RouteTable"][0].update(Service="nope"),
    "unknown service in a split": lambda d: d["RouteTable"][0].update(TrafficSplit=[{"Service": "nope", "Weight": 1}]),
    "same host and prefix": lambda d: d["RouteTable"][1].update(PathPrefix="/a/"),
    "same host in other letters": lambda d: d["RouteTable"][1].update(PathPrefix="/a/", HostName="H.example"),
    "same name": lambda d: d["RouteTable"][1].update(Name="r1"),
    "weights sum to 0": lambda d: d["RouteTable"][0].update(TrafficSplit=[{"Service": "s1", "Weight": 0}]),
    "a time-out of 0": lambda d: d["RouteTable"][0].update(TimeoutMs=0),
    "a time-out that is text": lambda d: d["RouteTable"][0].update(TimeoutMs="soon"),
    "no revision": lambda d: d.pop("Revision"),
    "no routes": lambda d: d.pop("RouteTable"),
    "routes that are no list": lambda d: d.update(RouteTable={}),
    "a prefix without slashes": lambda d: d["RouteTable"][0].update(PathPrefix="a"),
    "a class unheard of": lambda d: d["RouteTable"][0].update(RouteClass="odd"),
    "no service": lambda d: d["RouteTable"][0].pop("Service"),
    "negative weight": lambda d: d["RouteTable"][0].update(TrafficSplit=[{"Service": "s1", "Weight": -1}]),
    "two services of one name": lambda d: d["ServiceTable"].append({"Name": "s1"}),
}


def test_good_plan_is_kept_as_it_came():
    value = {}
    assert commands.run(value, "plan.put", {"doc": copy.deepcopy(GOOD), "match": 0})[0] == 1000
    assert value["plan"] == GOOD


@pytest.mark.parametrize("why", sorted(BAD))
def test_invalid_plans(why):
    with pytest.raises(InvalidConfigError):
        read_configuration(changed(BAD[why]))


def test_a_refusal_lists_the_errors_of_tenants_before_those_of_routes():
    doc = changed(lambda d: d["RouteTable"][0].update(Service="nope"))
    doc["TenantTable"] = [{"Name": "t", "ApiKeys": ["a"]}, {"Name": "t", "ApiKeys": ["b"]}]
    with pytest.raises(InvalidConfigError) as refused:
        read_configuration(doc)
    text = str(refused.value)
    assert text.index("tenant t stands twice") < text.index("unknown service nope")


@pytest.mark.parametrize("doc", [None, 5, [], "x"])
def test_no_plan_at_all(doc):
    with pytest.raises(InvalidConfigError):
        read_configuration(doc)


@pytest.mark.parametrize(
    "host, path, name",
    [
        ("h.example", "/a/x", "r1"),
        ("h.example", "/a/b/x", "r2"),
        ("h.example", "/a/b", "r1"),
        ("H.Example", "/a/", "r1"),
        ("h.example:80", "/a/x", "r1"),
        ("h.example", "/b/", None),
        ("other", "/a/x", None),
        ("", "/a/x", None),
    ],
)
def test_longest_prefix(host, path, name):
    route = RoutingTable.from_document(GOOD).find_route(host, path)
    assert (route.name if route else None) == name


def test_split_by_weight():
    doc = changed(
        lambda d: d["RouteTable"][0].update(
            TrafficSplit=[{"Service": "s1", "Weight": 90}, {"Service": "s2", "Weight": 10}]
        )
    )
    route = RoutingTable.from_document(doc).find_route("h.example", "/a/x")
    got = [route.choose_service() for _ in range(2000)]
    assert 195 <= got.count("s2") <= 205 and set(got) == {"s1", "s2"}


def test_merge():
    out = merge(
        GOOD,
        {
            "Revision": 9,
            "Upsert": {"RouteTable": [{**ROUTE, "TimeoutMs": 9}]},
            "Withdraw": {"RouteTable": ["r2"], "ServiceTable": ["s2"]},
        },
    )
    assert out["Revision"] == 9 and out["RouteTable"] == [{**ROUTE, "TimeoutMs": 9}] and len(out["ServiceTable"]) == 1
    assert GOOD["Revision"] == 3 and len(GOOD["RouteTable"]) == 2


@pytest.mark.parametrize(
    "change, field",
    [
        ({}, "Revision"),
        ({"Revision": "4"}, "Revision"),
        ({"Revision": 4, "Odd": 1}, "Odd"),
        ({"Revision": 4, "Upsert": []}, "Upsert"),
        ({"Revision": 4, "Upsert": {"RouteTable": [5]}}, "Upsert.RouteTable[0]"),
        ({"Revision": 4, "Upsert": {"RouteTable": [{}]}}, "Upsert.RouteTable[0].Name"),
        ({"Revision": 4, "Upsert": {"RouteTable": [{"Name": []}]}}, "Upsert.RouteTable[0].Name"),
        ({"Revision": 4, "Upsert": {"ServiceTable": [{"Name": 5}]}}, "Upsert.ServiceTable[0].Name"),
        ({"Revision": 4, "Upsert": {"TenantTable": {}}}, "Upsert.TenantTable"),
        ({"Revision": 4, "Upsert": {"Limits": []}}, "Upsert.Limits"),
        ({"Revision": 4, "Upsert": {"Odd": []}}, "Upsert.Odd"),
        ({"Revision": 4, "Withdraw": []}, "Withdraw"),
        ({"Revision": 4, "Withdraw": {"RouteTable": [5]}}, "Withdraw.RouteTable[0]"),
        ({"Revision": 4, "Withdraw": {"RouteTable": ["r1", {}]}}, "Withdraw.RouteTable[1]"),
        ({"Revision": 4, "Withdraw": {"RouteTable": "r1"}}, "Withdraw.RouteTable"),
        ({"Revision": 4, "Withdraw": {"Limits": {"MaxBodyBytes": 1}}}, "Withdraw.Limits"),
    ],
)
def test_bad_changes_are_refused_as_configurations_by_the_name_of_the_field(change, field):
    """Guards against refusals as malformed commands, without a field: names that are no text, a Withdraw of Limits."""
    with pytest.raises(InvalidConfigError) as refused:
        merge(GOOD, change)
    assert str(refused.value).startswith(field + ": ")


@pytest.mark.parametrize("weights", [(90, 10), (50, 50), (1, 1, 1), (97, 2, 1)])
@pytest.mark.parametrize("nodes, each", [(1, 300), (30, 10), (1, 40)])
def test_shares_of_a_split_stay_near_their_weights(weights, nodes, each):
    """One node's picks lie within one pick of the weights and a little; many nodes with few picks each add up."""
    from archhatch.routing.weighted_sequence import WeightedSequence

    split = tuple((str(n), float(weight)) for n, weight in enumerate(weights))
    sequences = [WeightedSequence(split, phase=n * 0.754877666) for n in range(nodes)]
    picks = [sequence.next() for sequence in sequences for _ in range(each)]
    for name, weight in split:
        wanted = len(picks) * weight / sum(weights)
        assert abs(picks.count(name) - wanted) <= 2.5 if nodes == 1 else abs(picks.count(name) - wanted) <= 12
