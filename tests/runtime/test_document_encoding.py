"""Documents that are kept take as much memory as they are long."""

import sys
import tracemalloc

import orjson
import pytest

from archhatch.share_group.window_journal import WindowJournal
from archhatch.share_group.window import SharePartition
from archhatch.runtime import encode_kept

DOCS = [{}, [], {"Text": "x" * 6000}, {"Text": 'é"\n' * 2000}, {"a": [1, 2.5, None, True], "b": {"c": "d"}}]


@pytest.mark.parametrize("doc", DOCS)
def test_the_same_bytes_as_ever(doc):
    assert encode_kept(doc) == orjson.dumps(doc) and type(encode_kept(doc)) is bytes


def test_many_results_take_little_more_than_their_length():
    doc = {"InstanceId": "i", "OperState": "complete", "Text": "\n".join(["0123456789abcdef" * 20] * 18)}
    encode_kept(doc)
    tracemalloc.start()
    try:
        kept = [encode_kept(doc) for _ in range(50)]
        held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert held < 1.1 * sum(sys.getsizeof(raw) for raw in kept)


def test_records_of_windows_are_kept_in_their_length():
    window, journal = SharePartition("m", 1, 30.0, 200), WindowJournal("r", "m")
    tracemalloc.start()
    try:
        record = journal.next_record(window)
        held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert len(record.body) < 200 and held < 8000
