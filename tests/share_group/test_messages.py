"""The messages between workers and leader: their documents, in the order and with the keys that nodes exchange."""

from types import SimpleNamespace

import orjson
import pytest

from archhatch.share_group.messages import (
    AcknowledgeType,
    AcquiredRecord,
    Acquisition,
    Cancellation,
    CancelReason,
    FetchRequest,
    FetchResponse,
    FinalAcknowledgement,
    HeldEntry,
    ReacquiredEntry,
    ReleaseAcknowledgement,
    Signal,
    SignalKind,
    SupersededResponse,
    acknowledgement_of,
    acquired_record_document,
)
from archhatch.share_group.window import ShareEntry

FINAL = FinalAcknowledgement(
    "m", 4, 2, AcknowledgeType.ACCEPT, "i-1", [Signal(SignalKind.SERVED, 0.5)], {"InstanceId": "0-0"}
)
RELEASE = ReleaseAcknowledgement(
    "m", 4, 2, AcknowledgeType.RELEASE, "i-1", [], ["a"], "1", [3], failures=1, backoff_s=0.5, is_home_forgotten=True
)
DOCUMENTS = [
    (
        FetchRequest("w", "x", "z", 0.5, "r", 3, 7, 0.25, [Acquisition("m", 4, 2)], [6], [HeldEntry("a", "0", None)]),
        b'{"worker":"w","life":"x","zone":"z","lag":0.5,"run":"r","epoch":3,"poll":7,"hold":0.25,"off":[["m",4,2]],'
        b'"got":[6],"holding":[["a","0",null]]}',
    ),
    (SupersededResponse(), b'{"old":true}'),
    (FetchResponse(is_superseded=True), b'{"old":true,"kept":null,"drop":[],"batch":null}'),
    (
        FetchResponse(False, [ReacquiredEntry("a", "0", 4, 2)], [Cancellation("m", 4, 2, CancelReason.RECALL)], 8),
        b'{"kept":[["a","0",4,2]],"drop":[["m",4,2,"recall"]],"batch":8}',
    ),
    (
        FINAL,
        b'{"part":"m","off":4,"dc":2,"kind":"accept","engine":"i-1","signs":[["served",0.5]],'
        b'"doc":{"InstanceId":"0-0"}}',
    ),
    (
        RELEASE,
        b'{"part":"m","off":4,"dc":2,"kind":"release","engine":"i-1","signs":[],"texts":["a"],"last":"1",'
        b'"versions":[3],"fails":1,"pause":0.5,"forget_home":true}',
    ),
]


@pytest.mark.parametrize("message, encoded", DOCUMENTS, ids=lambda value: type(value).__name__)
def test_messages_have_their_bytes_and_are_read_back(message, encoded):
    assert orjson.dumps(message.to_document()) == encoded
    assert type(message).from_document(orjson.loads(encoded)) == message


@pytest.mark.parametrize("message", [FINAL, RELEASE], ids=["final", "release"])
def test_an_acknowledgement_is_read_by_its_type(message):
    read = acknowledgement_of(orjson.loads(orjson.dumps(message.to_document())))
    assert type(read) is type(message) and read.to_document() == message.to_document()


@pytest.mark.parametrize("lacking", ["part", "kind", "doc"])
def test_an_acknowledgement_that_lacks_a_key_is_refused(lacking):
    document = FINAL.to_document()
    del document[lacking]
    with pytest.raises(KeyError, match=lacking):
        acknowledgement_of(document)


def test_the_document_of_an_acquired_record_has_the_records_keys_in_their_order():
    item = SimpleNamespace(item_id="0-0", path="/x", heads=[["A", "b"]], payload="e30=", scorer=None)
    batch_job = SimpleNamespace(
        model="m", job_id="a", host="h", tenant=None, min_revision=2, desired_count=1, accepted_at=10.0
    )
    entry = ShareEntry(4, batch_job, item, 1, delivery_count=2, texts=["a"], last_event_id="1", versions={3, 2})
    engine = SimpleNamespace(instance_id="i-1", address="a:1", service="s")
    route = SimpleNamespace(is_single_version=True, max_attempts=3, result_due_s=5.0)
    document = acquired_record_document(entry, engine, 3, route, 30.0)
    record = AcquiredRecord.from_document(orjson.loads(orjson.dumps(document)))
    assert orjson.dumps(record.to_document()) == orjson.dumps(document)
    assert (record.offset, record.delivery_count, record.versions, record.priority) == (4, 2, [2, 3], (True, 15.0, 1))
