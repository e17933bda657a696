"""Division of a plan's ceiling where coordinators grant units of it.

A token bucket can be split into parts that each have a fraction of its rate and burst: what conforms to every
part conforms in total to the whole, whichever members can reach each other.
"""

from __future__ import annotations

from dataclasses import dataclass

from hoistfold.interface import Plan

MIN_PRIMARY_SHARE = 0.6  # of a ceiling, unless the quota itself needs more
SECONDARY_SHARE_OF_REST = 0.75  # of what the primary leaves; granted while members can't reach the primary


@dataclass(slots=True, frozen=True)
class CeilingShares:
    """Fractions of a ceiling: granted by each of two coordinators, and used by the members evenly."""

    primary: float
    secondary: float
    members: float

    def granted_by(self, index: int) -> float:
        """Fraction that the coordinator at an index of their order grants from; 0 from the third on."""
        return (self.primary, self.secondary)[index] if index < 2 else 0.0


def ceiling_shares(plan: Plan) -> CeilingShares:
    """Splits a plan's ceiling; without one, all of it belongs to the members."""
    if not plan.ceiling_rate or not plan.ceiling_burst:
        return CeilingShares(0.0, 0.0, 1.0)
    needed = max(plan.rate / plan.ceiling_rate, plan.burst / plan.ceiling_burst)
    primary = min(1.0, max(MIN_PRIMARY_SHARE, needed))
    secondary = (1.0 - primary) * SECONDARY_SHARE_OF_REST
    return CeilingShares(primary, secondary, 1.0 - primary - secondary)
