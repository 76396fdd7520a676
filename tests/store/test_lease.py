"""What a store does about a lease: the decision alone, case by case."""

import pytest

from archhatch.store.lease import (
    ForeignLease,
    HeldLease,
    LeadershipPhase,
    LeaseAction,
    decide_foreign_lease,
    decide_held_lease,
)


OWN = [  # the holder's own state -> what it does
    (HeldLease(LeadershipPhase.NONE), LeaseAction.BEGIN),
    (HeldLease(LeadershipPhase.READING), LeaseAction.WAIT),
    (HeldLease(LeadershipPhase.HOLDING), LeaseAction.WAIT),
    (HeldLease(LeadershipPhase.OVER), LeaseAction.RENEW),
    (HeldLease(LeadershipPhase.HOLDING, is_slow=True), LeaseAction.TRANSFER),
    (HeldLease(LeadershipPhase.HOLDING, accepts_records=False), LeaseAction.TRANSFER),
    (HeldLease(LeadershipPhase.READING, accepts_records=False), LeaseAction.TRANSFER),
    (HeldLease(LeadershipPhase.OVER, accepts_records=False), LeaseAction.TRANSFER),
    (HeldLease(LeadershipPhase.NONE, accepts_records=False), LeaseAction.TRANSFER),
    (HeldLease(LeadershipPhase.HOLDING, accepts_records=False, has_successor=False), LeaseAction.WAIT),
    (HeldLease(LeadershipPhase.OVER, accepts_records=False, has_successor=False), LeaseAction.WAIT),
    (HeldLease(LeadershipPhase.HOLDING, accepts_records=False, can_successor_gather=False), LeaseAction.WAIT),
]  # nobody could take over: it serves on


@pytest.mark.parametrize("own, step", OWN)
def test_what_a_holder_does(own, step):
    assert decide_held_lease(own) is step


@pytest.mark.parametrize(
    "lease, step",
    [
        (ForeignLease(None), LeaseAction.WAIT),
        (ForeignLease(9.0, may_lead=False), LeaseAction.WAIT),
        (ForeignLease(0.0), LeaseAction.CLAIM),
        (ForeignLease(0.5, claim_rank=1), LeaseAction.WAIT),
        (ForeignLease(0.6, claim_rank=1), LeaseAction.CLAIM),
        (ForeignLease(1.1, claim_rank=2), LeaseAction.WAIT),
        (ForeignLease(1.2, claim_rank=2), LeaseAction.CLAIM),
    ],
)
def test_what_the_others_do(lease, step):
    assert decide_foreign_lease(lease, 0.6) is step
