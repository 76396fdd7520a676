"""The group that should vote on a register, in case tables."""

import pytest

from archhatch.consensus.reconfiguration import GroupSize, GroupView, UnreachableTimeouts, desired_group

VOTERS = {"a": "a:1", "b": "b:1", "c": "c:1"}
ALIVE_TIMEOUT_S = 0.75
SIZE3, SIZE5, TIMEOUTS = GroupSize.for_losses(1), GroupSize.for_losses(2), UnreachableTimeouts(1.5, 6.0)


def group_view(voters, spares="", leaving="", **silent):
    return GroupView(
        {v: f"{v}:1" for v in voters},
        {s: f"{s}:1" for s in spares},
        {v: silent.get(v, 0.0) for v in voters},
        set(leaving),
    )


GROUPS = [  # why, what is seen, size, the group that should be (None: as it is)
    ("whole", group_view("abc"), SIZE3, None),
    ("one spare alone bears nothing more", group_view("abc", "d"), SIZE3, None),
    ("two spares bear one loss more", group_view("abc", "de"), SIZE3, "abcde"),
    ("founders that are too few grow at once", group_view("abc", "d"), SIZE5, "abcd"),
    ("an even group is made odd", group_view("abcd", "e"), SIZE3, "abcde"),
    ("as many as wanted", group_view("abcde", "f"), SIZE3, None),
    ("silent for a moment", group_view("abc", "d", c=1.0), SIZE3, None),
    ("silent for long", group_view("abc", "d", c=1.5), SIZE3, "abd"),
    ("the longest silent first", group_view("abcde", "f", b=2.0, c=3.0), SIZE5, "abdef"),
    ("silent, nobody to take its place", group_view("abc", c=60.0), SIZE3, None),
    ("never below what bears the losses", group_view("abcde", c=60.0, d=60.0), SIZE5, None),
    ("a spare voter that is gone is left out", group_view("abcde", c=6.0), SIZE3, "abde"),
    ("... not too soon", group_view("abcde", c=5.9), SIZE3, None),
    ("it will end and another is there", group_view("abc", "d", leaving="b"), SIZE3, "acd"),
    ("it will end, nobody is there", group_view("abc", leaving="b"), SIZE3, None),
    ("it will end and is not needed", group_view("abcde", leaving="b"), SIZE3, "acde"),
    ("one ends while another is silent", group_view("abc", "d", leaving="b", c=2.0), SIZE3, "acd"),
    ("no growth while one is silent", group_view("abc", "de", c=1.0), SIZE3, None),
]


@pytest.mark.parametrize("why, seen, size, group", GROUPS, ids=[g[0] for g in GROUPS])
def test_the_group_that_should_be(why, seen, size, group):
    want = desired_group(seen, size, TIMEOUTS, ALIVE_TIMEOUT_S)
    assert want == (None if group is None else {v: f"{v}:1" for v in group})


@pytest.mark.parametrize("silent, want", [(0.5, None), (0.75, {"a": "a:1", "b": "b:1", "new": "c:1"})])
def test_a_wiped_voter_gives_its_place_to_the_node_at_its_address(silent, want):
    seen = GroupView(VOTERS, {"new": "c:1", "other": "d:1"}, {"a": 0.0, "b": 0.0, "c": silent})
    assert desired_group(seen, SIZE3, TIMEOUTS, ALIVE_TIMEOUT_S) == want


def test_a_spare_of_the_emptiest_zone_is_taken():
    seen = GroupView(
        VOTERS,
        {"d": "d:1", "e": "e:1"},
        {"a": 0.0, "b": 0.0, "c": 2.0},
        zones={"a": "x", "b": "x", "c": "y", "d": "x", "e": "y"},
    )
    assert set(desired_group(seen, SIZE3, TIMEOUTS, ALIVE_TIMEOUT_S)) == {"a", "b", "e"}
