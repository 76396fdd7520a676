"""Whose agreement counts. A state names its voters and, while they change, the previous ones."""

from __future__ import annotations

from collections.abc import Container, Iterable, Sized
from typing import Protocol

from .register_state import PREVIOUS_VOTERS_KEY, VOTERS_KEY


class Voters(Iterable[str], Sized, Protocol):
    """The ids of a group; a mapping from id to address is one."""


def is_majority(node_ids: Container[str], voters: Voters) -> bool:
    """Returns whether more than half of the voters are among the nodes.

    >>> is_majority({"a", "b"}, {"a": 1, "b": 1, "c": 1}), is_majority({"a"}, {"a": 1, "b": 1})
    (True, False)
    """
    return 2 * sum(1 for voter in voters if voter in node_ids) > len(voters)


def is_quorum(node_ids: Container[str], state: dict) -> bool:
    """Returns whether the nodes are a majority of a state's voters, and of the previous ones while the group changes.

    >>> is_quorum({"a", "b"}, {"voters": {"a": 1, "b": 1, "c": 1}, "prev": {"a": 1, "c": 1, "d": 1}})
    False

    Args:
        node_ids: Ids of nodes that agree.
        state: The document of a register's state.
    """
    # read by key, without a view: a control node asks this for each call that it answers
    if not is_majority(node_ids, state[VOTERS_KEY]):
        return False
    previous = state[PREVIOUS_VOTERS_KEY]
    return not previous or is_majority(node_ids, previous)
