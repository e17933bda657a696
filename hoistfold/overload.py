"""Priorities of request classes under overload: classes with low earnings for their work yield first.

A request is admitted while the attempts in flight are below its share of the capacity. The class with the
best earnings may use all of it; the shares of the others shrink with the refusal rate of that class.
"""

from __future__ import annotations

MIN_RESERVED = 0.3  # of capacity, kept from a class with no earnings while the best class is never refused
MAX_RESERVED = 0.8  # the same while the best class is refused often
HIGH_REFUSAL_RATE = 0.1  # of the best class's requests, from which MAX_RESERVED applies
SMOOTHING = 0.05  # weight of the latest request in the refusal rate
TOP_EARNINGS = 0.99  # relative earnings from which a class counts as the best one


class ClassPriority:
    """Tracks how scarce capacity is for the class with the best earnings."""

    def __init__(self) -> None:
        self.refusal_rate = 0.0  # of the best class's recent requests

    def capacity_share(self, earnings: float) -> float:
        """Share of the capacity above which a request is refused.

        `earnings`: value per work relative to the best class, 0 to 1.
        """
        scarcity = min(1.0, self.refusal_rate / HIGH_REFUSAL_RATE)
        reserved = MIN_RESERVED + (MAX_RESERVED - MIN_RESERVED) * scarcity
        return 1.0 - reserved * (1.0 - earnings)

    def observe(self, earnings: float, refused: bool) -> None:
        """Records a request that was decided on by capacity."""
        if earnings >= TOP_EARNINGS:
            self.refusal_rate += SMOOTHING * (refused - self.refusal_rate)
