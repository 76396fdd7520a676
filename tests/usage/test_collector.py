"""What a store collects of usage."""

from tests.support.usage_stores import Stores, usage_sender

from archhatch.usage.collector import MAX_WINDOWS, UsageCollector


def test_two_lives_of_an_edge_add_up_and_old_words_are_passed_over():
    gathered = UsageCollector()
    words = [  # edge, life, version, sums, counts of window 1 afterwards
        ("e1", "a", 1, {1: {"t": 1}}, {"t": 1}),
        ("e1", "a", 3, {1: {"t": 3}}, {"t": 3}),
        ("e1", "a", 2, {1: {"t": 2}}, {"t": 3}),
        ("e1", "b", 1, {1: {"t": 1, "u": 1}}, {"t": 4, "u": 1}),
        ("e2", "c", 1, {1: {"u": 2}}, {"t": 4, "u": 3}),
        ("e1", "a", 4, {2: {"t": 1}}, {"t": 4, "u": 3}),  # an edge tells no more of a window; it still counts
    ]
    for edge, incarnation, version, sums, counts in words:
        gathered.record_report(edge, incarnation, version, sums, 0.0)
        assert gathered.counts_in(1) == counts


def test_a_store_keeps_the_last_windows_only():
    edge, collector = usage_sender(Stores()), UsageCollector()
    for window in range(60):
        edge.record_request("t", 5.0 * window + 1)
        collector.record_report("e1", "a", window, edge.counter.counts, 0.0)
    assert collector.windows() == list(range(60 - MAX_WINDOWS, 60))
