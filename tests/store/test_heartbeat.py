"""A store's report about itself, as it stands on the wire."""

import orjson

from archhatch.store.heartbeat import HeartbeatStatus, LedRunStatus


def test_the_status_of_an_earlier_version_is_read():
    status = HeartbeatStatus.from_document({"card": {"id": "a"}, "promised": None, "lag": 0.1})
    assert status.accepts_records and not status.is_departing and status.led_runs is None
    full = HeartbeatStatus({"id": "a"}, {"s": 1}, 0.2, False, False, True, 1.5, {"s": LedRunStatus(4, 0.25, ("b",))})
    assert HeartbeatStatus.from_document(orjson.loads(orjson.dumps(full.to_document()))) == full
