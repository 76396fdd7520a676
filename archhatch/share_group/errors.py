"""Refusals of a partition leader."""

from __future__ import annotations

from ..rpc import CallRefusedError

NOT_LEADER_CODE = 3005  # docs/codes.md
LEADER_EPOCH_CODE = 3007  # docs/codes.md


class NotLeaderError(CallRefusedError):
    """This node does not lead the run, or does no longer."""

    code = NOT_LEADER_CODE

    def __init__(self) -> None:
        super().__init__(NOT_LEADER_CODE)


class LeaderEpochError(CallRefusedError):
    """The caller named another leader epoch, or must say first which entries it holds; answers with the epoch."""

    code = LEADER_EPOCH_CODE

    def __init__(self, leader_epoch: int) -> None:
        super().__init__(LEADER_EPOCH_CODE, leader_epoch)
