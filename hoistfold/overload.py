"""Which requests yield while the backends are overloaded: those that earn little for their work, first.

A request is admitted while what is out takes less than its part of the room. The part of the class that earns
most is all of it; how far the others stay below follows from how often that class finds no room itself.
"""

from __future__ import annotations

MIN_RESERVED = 0.3  # of capacity, kept from a class with no earnings while the best class is never refused
MAX_RESERVED = 0.8  # the same while the best class is refused often
HIGH_REFUSAL_RATE = 0.1  # of the best class's requests, from which MAX_RESERVED applies
SMOOTHING = 0.05  # weight of the latest request in the refusal rate
TOP_EARNINGS = 0.99  # relative earnings from which a class counts as the best one


class ClassPriority:
    """Learns how scarce room is for the class that earns most."""

    def __init__(self) -> None:
        self.refusal_rate = 0.0  # of the best class's requests, lately

    def capacity_share(self, earnings: float) -> float:
        """The part of the room that may be taken before such a request is refused.

        `earnings`: worth for its work, as a part of the best class's, 0 to 1.
        """
        scarcity = min(1.0, self.refusal_rate / HIGH_REFUSAL_RATE)
        reserved = MIN_RESERVED + (MAX_RESERVED - MIN_RESERVED) * scarcity
        return 1.0 - reserved * (1.0 - earnings)

    def observe(self, earnings: float, refused: bool) -> None:
        """Counts a request that was decided on for room."""
        if earnings >= TOP_EARNINGS:
            self.refusal_rate += SMOOTHING * (refused - self.refusal_rate)
