"""Majorities, and quorums while the group changes."""

import pytest

from archhatch.consensus import is_majority, is_quorum


@pytest.mark.parametrize(
    "ids, voters, ok",
    [
        ("ab", "abc", True),
        ("a", "abc", False),
        ("ad", "abc", False),
        ("abc", "abcde", True),
        ("ab", "abcd", False),
        ("a", "a", True),
    ],
)
def test_is_majority(ids, voters, ok):
    assert is_majority(set(ids), dict.fromkeys(voters)) is ok


@pytest.mark.parametrize(
    "ids, voters, prev, ok",
    [("ab", "abc", None, True), ("ab", "abd", "abc", True), ("bd", "abd", "abc", False), ("ac", "abd", "abc", False)],
)
def test_quorum_of_both_groups(ids, voters, prev, ok):
    assert is_quorum(set(ids), {"voters": dict.fromkeys(voters), "prev": dict.fromkeys(prev) if prev else None}) is ok
