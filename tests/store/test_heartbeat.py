"""A store's report about itself, as it stands on the wire."""

import orjson
import pytest

from archhatch.runtime.message import InvalidMessageError
from archhatch.store.heartbeat import HeartbeatStatus, LedRunStatus


def test_the_status_of_an_earlier_version_is_read():
    status = HeartbeatStatus.from_document({"card": {"id": "a"}, "promised": None, "lag": 0.1})
    assert status.accepts_records and not status.is_departing and status.led_runs is None
    full = HeartbeatStatus({"id": "a"}, {"s": 1}, 0.2, False, False, True, 1.5, {"s": LedRunStatus(4, 0.25, ("b",))})
    assert HeartbeatStatus.from_document(orjson.loads(orjson.dumps(full.to_document()))) == full


MALFORMED = [
    ("card", None),
    ("card", {"zone": "z"}),
    ("card", {"id": 7}),
    ("card", {"id": "a", "ip": 7}),
    ("promised", {"s": "4"}),
    ("promised", {"s": True}),
    ("promised", {"s": -1}),
    ("promised", ["s"]),
    ("lag", "0.1"),
    ("lag", None),
    ("lag", -1.0),
    ("lag", 1e300),
    ("takes", 1),
    ("roomy", "yes"),
    ("departing", None),
    ("oldest_write_s", [0.1]),
    ("leads", {"s": [4, 0.25]}),
    ("leads", {"s": [4, "0.25", []]}),
    ("leads", {"s": [4, 0.25, "b"]}),
    ("leads", {"s": {"term": 4}}),
    ("demand", {"s": "4"}),
    ("demand", 4),
]


@pytest.mark.parametrize("key, value", MALFORMED)
def test_a_status_with_a_malformed_field_is_not_read(key, value):
    full = HeartbeatStatus({"id": "a"}, {"s": 1}, 0.2, False, False, True, 1.5, {"s": LedRunStatus(4, 0.25, ("b",))})
    with pytest.raises(InvalidMessageError, match=f"^{key}"):
        HeartbeatStatus.from_document({**full.to_document(), key: value})
