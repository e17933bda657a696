"""How long a client may have waited, by the time that a try of its request is given.

Clients give most tries the same time. The last one gets all that is left of the class's deadline, which may
be more or less than that: a try that differs from the usual tells when its request was made.
"""

from __future__ import annotations

from dataclasses import dataclass

SAME = 0.05  # of the deadline: times that differ by no more are the same, as a busy loop takes some too
MOST_VOTES = 50.0  # so that a new usual time is learnt within some hundred tries
AGAINST = 0.25  # of a vote, by a try that differs: the usual time needs a fifth of all tries
KNOWN_FROM = 2.0  # votes from which there is a usual time at all


@dataclass(slots=True)
class UsualTime:
    """The most common time that the tries of one class are given, by a running vote."""

    deadline: float
    time: float = 0.0
    votes: float = 0.0

    def waited(self, time_left: float) -> float:
        """Counts a try; seconds that its client has surely waited before it, 0 where that is not told."""
        if abs(time_left - self.time) <= SAME * self.deadline:
            self.votes = min(MOST_VOTES, self.votes + 1)
            return 0.0
        self.votes -= AGAINST
        if self.votes < 0:
            self.time, self.votes = time_left, 1.0
        return max(0.0, self.deadline - time_left) if self.votes >= KNOWN_FROM else 0.0
