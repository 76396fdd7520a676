"""The feed's messages keep their keys, and the order of these."""

import orjson
import pytest

from archhatch.membership.feed_messages import FeedAnswer, FeedQuery, ShardUpdate
from archhatch.runtime.message import InvalidMessageError

QUERY = {
    "live": {"s": 1.5},
    "busy": ["s"],
    "who": {"id": "e"},
    "stamps": {"plan": 3},
    "life": "x",
    "turn": 4,
    "hold": 1.0,
}
ANSWER = {"parts": {}, "roll": [], "life": "x", "turn": 1, "cores": [], "busy": {}}


@pytest.mark.parametrize("more", [{}, {"served": [["s", "z1", 1.0]]}])
def test_a_query_has_the_same_bytes_as_ever(more):
    document = {**QUERY, **more}
    assert orjson.dumps(FeedQuery.from_document(document).to_document()) == orjson.dumps(document)


def test_an_answer_of_an_older_node_lacks_what_that_did_not_send():
    answer = FeedAnswer.from_document(ANSWER)
    assert (answer.node_id, answer.newest_versions, answer.wall_time) == ("", None, None)


@pytest.mark.parametrize(
    "update, read",
    [
        ({"stamp": 3, "val": {"a": 1}}, ShardUpdate(3, value={"a": 1})),
        ({"stamp": 3, "base": 2, "changes": [{"is": 1}]}, ShardUpdate(3, base=2, changes=[{"is": 1}])),
    ],
)
def test_a_shard_comes_whole_or_as_changes(update, read):
    assert FeedAnswer.from_document({**ANSWER, "parts": {"plan": update}}).shards == {"plan": read}


@pytest.mark.parametrize("key", ANSWER)
def test_an_answer_that_lacks_a_key_is_refused(key):
    with pytest.raises(InvalidMessageError):
        FeedAnswer.from_document({k: v for k, v in ANSWER.items() if k != key})
