"""Chooses the use that is reported to the whole ring at once instead of round the ring in the next epochs.

A round of the ring takes several epochs. Near a quota's limit each member would meanwhile admit units that
others have already used. Such use is reported directly, within the part of the receivers' intake that the
messages of the epochs leave free.
"""

from __future__ import annotations

import math

from hoistfold.state import Quota
from hoistfold.token_bucket import TokenBucket

USABLE_INTAKE_SHARE = 0.76  # of a receiver's message intake; the rest is left to the membership
BUDGET_BURST_REPORTS = 5  # to all peers, that may be sent one right after the other
TRIGGER_URGENCY = 1.0  # from which use is reported at once
REPORT_TO_ALL_URGENCY = 0.3  # from which use is reported to all members with the messages of the next epoch
TOLERATED_SHARE = 0.09  # of the allowance over `ALLOWANCE_SECONDS`, which unreported use may exceed
ALLOWANCE_SECONDS = 10.0


class TriggeredReports:
    """The message budget of one gateway, and which use is worth a part of it."""

    def __init__(self, peer_intake: float, peers: int, epoch_seconds: float) -> None:
        """`peers`: number of other gateways, each of which gets one message per epoch."""
        # What each gateway may send if all send as much is what each receives.
        spare = max(0.0, USABLE_INTAKE_SHARE * peer_intake - peers / epoch_seconds)
        self.budget = TokenBucket(spare, max(1.0, float(BUDGET_BURST_REPORTS * peers)))

    def take(self, quota: Quota, now: float) -> bool:
        """Takes the messages of one report from the budget, if there are enough left."""
        return self.budget.take(now, quota.size - 1)

    def covers(self, quota: Quota, now: float) -> bool:
        """Whether a report could be sent now."""
        return self.budget.level(now) * self.budget.capacity >= quota.size - 1


def urgency(quota: Quota, units: float = 0.0) -> float:
    """Fraction of the rest of a quota that is used if every member used as much since its last report.

    `units`: of a request, as if they were used too.
    Above 1 the quota may be exceeded. 0 if it could not be exceeded by much.
    """
    plan, possible = quota.plan, quota.size * (quota.unreported_units + units)
    if possible <= TOLERATED_SHARE * (plan.burst + ALLOWANCE_SECONDS * plan.rate):
        return 0.0
    left = plan.burst - quota.own - quota.others + quota.unreported_units
    return possible / left if left > 0 else math.inf
