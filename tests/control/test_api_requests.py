import orjson
import pytest

from archhatch.control.api_requests import (
    InvalidRequestError,
    HeartbeatRequest,
    GetConfigRequest,
    DeregisterRequest,
    ChangeConfigRequest,
    NameVersionRequest,
    RetirementRequest,
    decode,
)

BEAT = {
    "Service": "s",
    "Address": "10.0.0.1:80",
    "Zone": "z",
    "SlotCount": 3,
    "OperState": "up",
    "Sequence": 4,
    "ModelList": [{"Name": "m", "Revision": 2}],
}


@pytest.mark.parametrize(
    "method, path, heads, doc, kind",
    [
        ("PUT", "/api/instances/i-1", {}, BEAT, HeartbeatRequest),
        ("DELETE", "/api/instances/i%2F1", {}, None, DeregisterRequest),
        ("PUT", "/api/config", {"If-Match": "5"}, {"Revision": 6}, ChangeConfigRequest),
        ("PATCH", "/api/config", {"If-Match": '"5"'}, {"Revision": 6}, ChangeConfigRequest),
        ("GET", "/api/config", {}, None, GetConfigRequest),
        ("POST", "/api/version-put", {}, {"Model": "m", "Revision": 2}, NameVersionRequest),
        ("POST", "/api/retire/n", {}, {"DeadlineS": 3}, RetirementRequest),
        ("GET", "/api/retire/n", {}, None, RetirementRequest),
    ],
)
def test_decode(method, path, heads, doc, kind):
    assert type(decode(method, path, heads, orjson.dumps(doc) if doc else b"")) is kind


def test_beat_fields():
    entry = decode("PUT", "/api/instances/i-1", {}, orjson.dumps(BEAT)).entry
    assert entry["models"] == {"m": 2} and entry["slots"] == 3 and entry["state"] == "up" and entry["seq"] == 4
    assert decode("DELETE", "/api/instances/i%2F1", {}, b"").replica_id == "i/1"


@pytest.mark.parametrize(
    "method, path, heads, body, code",
    [
        ("GET", "/nope", {}, b"", 2009),
        ("POST", "/api/config", {}, b"", 2010),
        ("PUT", "/api/config", {}, b"{", 2002),
        ("PUT", "/api/config", {}, b"{}", 2015),
        ("PUT", "/api/config", {"If-Match": "x"}, b"{}", 2015),
        ("PUT", "/api/config", {"If-Match": "1"}, b'{"Revision":"2"}', 2002),
        ("PUT", "/api/config", {"If-Match": "1"}, b'{"Revision":true}', 2002),
        ("PUT", "/api/config", {"If-Match": "1"}, b"[]", 2002),
        ("POST", "/api/version-put", {}, b'{"Model":"m"}', 2001),
        ("POST", "/api/version-put", {}, b'{"Model":"m","Revision":0}', 2001),
        ("PUT", "/api/instances/i", {}, b"", 2004),
        ("PUT", "/api/instances/i", {}, b'{"Service":"s"}', 2004),
    ],
)
def test_bad_calls(method, path, heads, body, code):
    with pytest.raises(InvalidRequestError) as e:
        decode(method, path, heads, body)
    assert e.value.code == code


@pytest.mark.parametrize(
    "change",
    [
        {"OperState": "odd"},
        {"Address": "x"},
        {"Address": 5},
        {"Sequence": -1},
        {"Sequence": "1"},
        {"SlotCount": True},
        {"ModelList": [5]},
        {"ModelList": [{"Name": "m", "Revision": "2"}]},
        {"Service": None},
    ],
)
def test_malformed_beats(change):
    with pytest.raises(InvalidRequestError) as e:
        decode("PUT", "/api/instances/i", {}, orjson.dumps({**BEAT, **change}))
    assert e.value.code == 2004
