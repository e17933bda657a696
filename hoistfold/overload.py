"""Which requests yield while the backends are overloaded: those that earn little for their work, first.

A request is admitted while what is out takes less than its part of the room. The part of the class that earns
most is all of it; how far the others stay below follows from how often that class finds no room itself.
"""

from __future__ import annotations

LEAST_RESERVED = 0.3  # of the room, from a class that earns nothing, while the best one always finds room
MOST_RESERVED = 0.8  # the same while the best class is refused often
OFTEN = 0.1  # of the best class's requests
LEARNT_PER_REQUEST = 0.05  # of the distance to what the last request of the best class found
BEST = 0.99  # of the best class's earnings: as good as the best


class ClassPriority:
    """Learns how scarce room is for the class that earns most."""

    def __init__(self) -> None:
        self.refused_part = 0.0  # of the best class's requests, lately

    def part_of_room(self, earnings: float) -> float:
        """The part of the room that may be taken before such a request is refused.

        `earnings`: worth for its work, as a part of the best class's, 0 to 1.
        """
        scarcity = min(1.0, self.refused_part / OFTEN)
        reserved = LEAST_RESERVED + (MOST_RESERVED - LEAST_RESERVED) * scarcity
        return 1.0 - reserved * (1.0 - earnings)

    def observe(self, earnings: float, refused: bool) -> None:
        """Counts a request that was decided on for room."""
        if earnings >= BEST:
            self.refused_part += LEARNT_PER_REQUEST * (refused - self.refused_part)
