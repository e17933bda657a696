"""How a plan's ceiling is divided where coordinators grant units of it: the parts add up to one ceiling.

A store with a rate and a burst may be cut into parts, each a store with that part of both: what conforms to
each part conforms together to the whole, whoever can hear whom.
"""

from __future__ import annotations

from dataclasses import dataclass

from hoistfold.interface import Plan

MIN_PRIMARY_SHARE = 0.6  # of a ceiling, unless the quota itself needs more
SECONDARY_SHARE_OF_REST = 0.75  # of what the primary leaves; granted while members can't reach the primary


@dataclass(slots=True, frozen=True)
class CeilingShares:
    """Of one ceiling: what the two coordinators grant from, and what all members take from evenly."""

    primary: float
    secondary: float
    members: float

    def granted_by(self, index: int) -> float:
        """The part of the coordinator at an index in their order; none from the third on."""
        return (self.primary, self.secondary)[index] if index < 2 else 0.0


def ceiling_shares(plan: Plan) -> CeilingShares:
    """The parts of a plan's ceiling; all of it is the members' where the plan has none."""
    if not plan.ceiling_rate or not plan.ceiling_burst:
        return CeilingShares(0.0, 0.0, 1.0)
    needed = max(plan.rate / plan.ceiling_rate, plan.burst / plan.ceiling_burst)
    primary = min(1.0, max(MIN_PRIMARY_SHARE, needed))
    secondary = (1.0 - primary) * SECONDARY_SHARE_OF_REST
    return CeilingShares(primary, secondary, 1.0 - primary - secondary)
