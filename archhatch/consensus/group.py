"""Who must say yes. A state names its voters and, while they change, those before them."""


def majority(ids, voters) -> bool:
    """More than half of the voters are among ids.

    >>> majority({"a", "b"}, {"a": 1, "b": 1, "c": 1}), majority({"a"}, {"a": 1, "b": 1})
    (True, False)
    """
    return 2 * sum(1 for v in voters if v in ids) > len(voters)


def covers(ids, state) -> bool:
    """A majority of the state's voters, and of the earlier ones while the group changes.

    >>> covers({"a", "b"}, {"voters": {"a": 1, "b": 1, "c": 1}, "prev": {"a": 1, "c": 1, "d": 1}})
    False
    """
    return majority(ids, state["voters"]) and (not state["prev"] or majority(ids, state["prev"]))


def members(state) -> dict:
    """All voters of a state with their addresses, earlier ones included."""
    out = dict(state["prev"] or {})
    out.update(state["voters"])
    return out
