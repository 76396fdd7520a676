"""Leases of duties that one control node at a time does, kept in a register: holder, life and a term that only rises.

What a holder does is written under its term, and a command of an older term is refused: an effect that is no write to
the register must be one that may happen twice.
"""

from __future__ import annotations

from ..consensus import Commands

OTHER_TERM = 2018

commands = Commands()


@commands.on("lease.claim")
def lease_claim(value, args):
    """Take a duty's lease, if its term is still the one seen: {"duty", "holder", "life", "seen"}."""
    leases = value.setdefault("leases", {})
    now = leases.get(args["duty"])
    if now and (now["holder"], now["life"]) == (args["holder"], args["life"]) and now["term"] > args["seen"]:
        return 1000, now, False
    if (now["term"] if now else 0) != args["seen"]:
        return 2011, now, False
    leases[args["duty"]] = {"holder": args["holder"], "life": args["life"], "term": args["seen"] + 1}
    return 1000, leases[args["duty"]], True


def is_held_under(value: dict, duty: str, term: int) -> bool:
    """Whether a term is the one under which a duty is held.

    >>> is_held_under({"leases": {"d": {"term": 3}}}, "d", 3), is_held_under({"leases": {"d": {"term": 3}}}, "d", 2)
    (True, False)
    """
    return value.get("leases", {}).get(duty, {}).get("term") == term
