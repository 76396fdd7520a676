"""The typed documents of a store keep the keys that stand on the wire, in their order."""

import orjson
import pytest

from archhatch.evacuation.record import EvacuationState, Place
from archhatch.runtime.message import InvalidMessageError
from archhatch.store.messages import (
    EvacuationReport,
    FetchRecordsRequest,
    JobRequest,
    LeaderSignature,
    LeaseClaimRequest,
    LeaseTerm,
    MissingJobAnswer,
    PrepareRequest,
    ReadItemRequest,
    ReadResultsRequest,
    RunLease,
    SendAnswer,
    SendRequest,
    SubmitJobRequest,
)

MESSAGES = [
    (RunLease("s1", 4, "l1"), b'{"holder":"s1","term":4,"life":"l1"}'),
    (LeaseTerm(4), b'{"term":4}'),
    (LeaseClaimRequest("r", "s1", "l1", 3), b'{"run":"r","holder":"s1","life":"l1","seen":3}'),
    (
        EvacuationReport("e1", "r", 4, EvacuationState.MOVING, Place.TARGET, True, False),
        b'{"id":"e1","run":"r","run_term":4,"state":"moving","placed":"target","copied":true,"drained":false}',
    ),
    (PrepareRequest("r", 4), b'{"run":"r","term":4}'),
    (FetchRecordsRequest("l", [0, 2], True), b'{"lot":"l","poss":[0,2],"want_lot":true}'),
    (JobRequest("l"), b'{"lot":"l"}'),
    (
        MissingJobAnswer("s1", True, {"s2": {"zone": "z"}}),
        b'{"me":"s1","lacks":true,"stores":{"s2":{"zone":"z"}}}',
    ),
    (SubmitJobRequest("l", "r", 4), b'{"lot":"l","run":"r","term":4}'),
    (ReadResultsRequest("l", 7, 0.5), b'{"lot":"l","after":7,"hold":0.5}'),
    (ReadItemRequest("l", "i"), b'{"lot":"l","item":"i"}'),
    (LeaderSignature("r", "s1", 4), b'{"run":"r","me":"s1","term":4}'),
    (
        SendRequest("s", "h", "POST", "/p", [["A", "1"]], "q", ["i0"], 1.0),
        b'{"service":"s","host":"h","method":"POST","target":"/p","heads":[["A","1"]],"rid":"q","tried":["i0"],'
        b'"secs":1.0}',
    ),
    (SendAnswer("yes", 200, [["A", "1"]], ""), b'{"ran":"yes","status":200,"heads":[["A","1"]],"why":""}'),
]


@pytest.mark.parametrize("message, encoded", MESSAGES, ids=[type(m).__name__ for m, _ in MESSAGES])
def test_a_message_keeps_its_bytes(message, encoded):
    assert orjson.dumps(message.to_document()) == encoded
    assert type(message).from_document(orjson.loads(encoded)) == message


@pytest.mark.parametrize("message", [m for m, _ in MESSAGES], ids=[type(m).__name__ for m, _ in MESSAGES])
def test_a_document_that_lacks_a_key_is_refused(message):
    with pytest.raises(InvalidMessageError):
        type(message).from_document({})
