"""Peers: when each was last heard, and what two nodes report to each other."""

from archhatch.membership import PeerSet


def test_neighbours():
    n = PeerSet()
    n.update_card({"id": "a"})
    assert n.silence_s("a", 1e9) == float("inf")
    n.record_contact({"id": "a"}, 5.0)
    n.record_contact({"id": "a"}, 4.0)
    assert n.silence_s("a", 7.0) == 2.0


def test_sightings_are_told_once_and_two_that_tell_each_other_come_to_rest():
    one, two = PeerSet(step_s=0.2), PeerSet(step_s=0.2)
    one.record_contact({"id": "s", "ip": "1"}, 10.0)
    turns = [0, 0]
    for step in range(20):  # each tells the other what it was not told yet; on the way it grows a little younger
        for k, (a, b) in enumerate([(one, two), (two, one)]):
            for word, age in a.changes_since(turns[k], 11.0 + step):
                heard_at = 11.0 + step - age + 0.003
                assert (
                    b.record_contact(word, heard_at) is None
                    if isinstance(word, dict)
                    else b.record_sighting(word, heard_at)
                )
            turns[k] = a.version
    assert one.version == two.version == 2 and two.last_heard["s"] < 10.1
    one.record_contact({"id": "s", "ip": "1"}, 40.0)
    assert one.changes_since(turns[0], 40.0) == [["s", 0.0]]
    one.record_contact({"id": "s", "ip": "2"}, 40.1)  # another card is told whole, however soon
    assert one.changes_since(turns[0], 40.1)[0][0] == {"id": "s", "ip": "2"}
    assert two.record_sighting("unknown", 40.0) is False
    one.forget("s")
    assert one.changes_since(0, 40.0) == [] and one.silence_s("s", 40.0) == float("inf")
